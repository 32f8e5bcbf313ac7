package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"

	"dandelionrail.org/rail/timer"
)

// problem is the body of an error response.
type problem struct {
	Reason string `json:"reason"`
}

// faults are the injected faults of all calls.
type faults struct {
	mu          sync.Mutex
	outageUntil time.Time
	latency     time.Duration
	loseAnswers int
}

// middleware delays or refuses calls while a fault lasts.
func (f *faults) middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := f.delay(c); err != nil {
			return err
		}
		if f.inOutage(time.Now()) {
			return c.JSON(http.StatusServiceUnavailable, problem{Reason: "outage"})
		}
		return next(c)
	}
}

func (f *faults) delay(c echo.Context) error {
	f.mu.Lock()
	d := f.latency
	f.mu.Unlock()
	if d == 0 {
		return nil
	}
	if ctx := c.Request().Context(); !timer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (f *faults) inOutage(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.outageUntil)
}

// loseAnswer aborts the connection without an answer if an answer is still to be lost.
func (f *faults) loseAnswer() {
	f.mu.Lock()
	lose := f.loseAnswers > 0
	if lose {
		f.loseAnswers--
	}
	f.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

type controlBody struct {
	OutageMs         *int64        `json:"outageMs"`
	LoseAnswers      *int          `json:"loseAnswers"`
	SlowMs           *int64        `json:"slowMs"`
	ListLagMs        *int64        `json:"listLagMs"`
	AppendsPerSecond *float64      `json:"appendsPerSecond"`
	RetentionMs      *int64        `json:"retentionMs"`
	RefuseStarts     *int          `json:"refuseStarts"`
	Reclaim          []reclaimBody `json:"reclaim"`
}

type reclaimBody struct {
	Instance string `json:"instance"`
	NoticeMs int64  `json:"noticeMs"`
}

// postControl changes the injected faults; a field that is left out keeps its value.
func (p *Server) postControl(c echo.Context) error {
	var b controlBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	now := time.Now()
	p.setFaults(b, now)
	if b.ListLagMs != nil {
		p.list.setLag(milliseconds(*b.ListLagMs))
	}
	if b.AppendsPerSecond != nil {
		p.log.setRate(*b.AppendsPerSecond)
	}
	if b.RetentionMs != nil {
		p.log.setRetention(milliseconds(*b.RetentionMs))
	}
	if b.RefuseStarts != nil {
		p.cloud.refuseStarts(*b.RefuseStarts)
	}
	for _, r := range b.Reclaim {
		p.cloud.reclaim(r.Instance, now, now.Add(milliseconds(r.NoticeMs)))
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Server) setFaults(b controlBody, now time.Time) {
	f := p.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.OutageMs != nil {
		f.outageUntil = now.Add(milliseconds(*b.OutageMs))
		p.list.extend(f.outageUntil)
	}
	if b.SlowMs != nil {
		f.latency = milliseconds(*b.SlowMs)
	}
	if b.LoseAnswers != nil {
		f.loseAnswers = *b.LoseAnswers
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
