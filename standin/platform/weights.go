package platform

import (
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

// weights is the rate-limited weight store.
type weights struct {
	limiter    *rate.Limiter
	waiting    atomic.Int64
	maxWaiting int64
}

func newWeights(perSecond float64, maxWaiting int) *weights {
	return &weights{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), maxWaiting: int64(maxWaiting)}
}

type weightsAnswer struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (p *Server) getWeights(c echo.Context) error {
	w := p.weights
	defer w.waiting.Add(-1)
	if w.waiting.Add(1) > w.maxWaiting {
		return c.JSON(http.StatusTooManyRequests, problem{Reason: "too many wait"})
	}
	if err := w.limiter.Wait(c.Request().Context()); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, weightsAnswer{Model: c.Param("model"), Version: c.Param("version")})
}
