package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
)

// account accumulates the cost of the instances over the time that they are listed.
type account struct {
	last time.Time
	cost float64
}

// charge adds the cost of the time since the last charge.
func (a *account) charge(rs []registration, offers []rail.Offer, now time.Time) {
	if !a.last.IsZero() {
		hours := now.Sub(a.last).Hours()
		for _, r := range rs {
			a.cost += hours * price(offers, r)
		}
	}
	a.last = now
}

func price(offers []rail.Offer, r registration) float64 {
	for _, o := range offers {
		if string(o.Domain()) == r.Domain && string(o.Class()) == r.Class {
			return o.Price()
		}
	}
	return 0
}

type accountAnswer struct {
	Cost float64 `json:"cost"`
}

// getAccount returns the accumulated cost. Each call charges the time since the one before to the instances
// that are listed at the call, so callers have to poll it.
func (p *Server) getAccount(c echo.Context) error {
	now := time.Now()
	rs := p.list.current(now)
	p.cloud.mu.Lock()
	defer p.cloud.mu.Unlock()
	p.cloud.account.charge(rs, p.cloud.settings.Offers, now)
	return c.JSON(http.StatusOK, accountAnswer{Cost: p.cloud.account.cost})
}
