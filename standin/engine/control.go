package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"

	"dandelionrail.org/rail/timer"
)

// control is what the engine was asked to do wrong.
type control struct {
	failShare       float64
	failAfter       int
	failWhenRunning int
	slowFactor      float64
	slowWhenRunning int
	silentAfter     int
	frozenUntil     time.Time
	leaving         bool
	dead            bool
}

// slowdown returns by how much tokens are slowed while so many streams run.
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

// postControl brings disturbances about; a field that is left out changes nothing.
func (s *Server) postControl(c echo.Context) error {
	var b controlBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	now := time.Now()
	s.batch.change(func(k *control) {
		set(&k.failShare, b.FailShare)
		set(&k.failAfter, b.FailAfter)
		set(&k.failWhenRunning, b.FailWhenRunning)
		set(&k.slowFactor, b.SlowFactor)
		set(&k.slowWhenRunning, b.SlowWhenRunning)
		set(&k.silentAfter, b.SilentAfter)
		set(&k.leaving, b.Leaving)
		if b.FrozenMs != nil {
			k.frozenUntil = now.Add(milliseconds(*b.FrozenMs))
		}
	})
	if b.DieAfter != nil {
		time.AfterFunc(milliseconds(*b.DieAfter), s.die)
	}
	return c.NoContent(http.StatusNoContent)
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// die ends the process or, without one, breaks every connection from now on.
func (s *Server) die() {
	if s.settings.Exit != nil {
		s.settings.Exit()
		return
	}
	s.batch.kill()
}

// silence holds calls while the engine is frozen and breaks them once it is dead.
func (s *Server) silence(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.batch.controlNow().dead {
			panic(http.ErrAbortHandler)
		}
		if err := s.thaw(c); err != nil {
			return err
		}
		return next(c)
	}
}

// thaw waits until the engine is not frozen any more.
func (s *Server) thaw(c echo.Context) error {
	for {
		d := time.Until(s.batch.controlNow().frozenUntil)
		if d <= 0 {
			return nil
		}
		if ctx := c.Request().Context(); !timer.Pause(ctx, d) {
			return ctx.Err()
		}
	}
}
