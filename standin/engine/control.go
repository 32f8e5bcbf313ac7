package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"

	"dandelionrail.org/rail/timer"
)

// control holds the faults that are injected.
type control struct {
	failShare       float64
	failAfter       int
	failWhenRunning int
	slowFactor      float64
	slowWhenRunning int
	silentAfter     int
	pausedUntil     time.Time
	leaving         bool
	killed          bool
}

// slowdown returns the factor on the times of prompts and tokens at the number of running streams.
func (c control) slowdown(running int) float64 {
	if c.slowFactor <= 0 || running < c.slowWhenRunning {
		return 1
	}
	return c.slowFactor
}

type controlBody struct {
	FailShare       *float64 `json:"failShare"`
	FailAfter       *int     `json:"failAfter"`
	FailWhenRunning *int     `json:"failWhenRunning"`
	SlowFactor      *float64 `json:"slowFactor"`
	SlowWhenRunning *int     `json:"slowWhenRunning"`
	SilentAfter     *int     `json:"silentAfter"`
	FrozenMs        *int64   `json:"frozenMs"`
	DieAfter        *int64   `json:"dieAfter"`
	Leaving         *bool    `json:"leaving"`
}

// postControl changes the injected faults; a field that is left out keeps its value.
func (s *Server) postControl(c echo.Context) error {
	var b controlBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	now := time.Now()
	s.batch.updateControl(func(k *control) {
		setIfPresent(&k.failShare, b.FailShare)
		setIfPresent(&k.failAfter, b.FailAfter)
		setIfPresent(&k.failWhenRunning, b.FailWhenRunning)
		setIfPresent(&k.slowFactor, b.SlowFactor)
		setIfPresent(&k.slowWhenRunning, b.SlowWhenRunning)
		setIfPresent(&k.silentAfter, b.SilentAfter)
		setIfPresent(&k.leaving, b.Leaving)
		if b.FrozenMs != nil {
			k.pausedUntil = now.Add(milliseconds(*b.FrozenMs))
		}
	})
	if b.DieAfter != nil {
		time.AfterFunc(milliseconds(*b.DieAfter), s.exit)
	}
	return c.NoContent(http.StatusNoContent)
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// exit ends the process if the settings can; else it aborts all streams and every later request.
func (s *Server) exit() {
	if s.settings.Exit != nil {
		s.settings.Exit()
		return
	}
	s.batch.kill()
}

// applyFaults holds requests while the engine is paused and aborts them once it is killed.
func (s *Server) applyFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.batch.currentControl().killed {
			panic(http.ErrAbortHandler)
		}
		if err := s.waitWhilePaused(c); err != nil {
			return err
		}
		return next(c)
	}
}

// waitWhilePaused waits until the pause is over.
func (s *Server) waitWhilePaused(c echo.Context) error {
	for {
		d := time.Until(s.batch.currentControl().pausedUntil)
		if d <= 0 {
			return nil
		}
		if ctx := c.Request().Context(); !timer.Sleep(ctx, d) {
			return ctx.Err()
		}
	}
}
