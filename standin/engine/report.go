package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// sample is the number of running and waiting streams since a time.
type sample struct {
	at      time.Time
	running int
	waiting int
}

// samples keeps the history of the load for the length of the report lag.
type samples struct {
	lag     time.Duration
	history []sample
}

func (s *samples) add(now time.Time, running, waiting int) {
	s.history = append(s.history, sample{at: now, running: running, waiting: waiting})
	s.history = s.history[s.visibleIndex(now):]
}

// visibleIndex returns the index of the newest sample that is at least as old as the lag.
func (s *samples) visibleIndex(now time.Time) int {
	i := max(len(s.history)-1, 0)
	for i > 0 && s.history[i].at.After(now.Add(-s.lag)) {
		i--
	}
	return i
}

// report returns the load as of the lag ago.
func (s *samples) report(now time.Time) sample {
	before := now.Add(-s.lag)
	if len(s.history) == 0 {
		return sample{at: before}
	}
	r := s.history[s.visibleIndex(now)]
	if r.at.After(before) {
		return sample{at: before}
	}
	r.at = before
	return r
}

type loadAnswer struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AsOfMs  int64 `json:"asOfMs"`
	Leaving bool  `json:"leaving"`
}

func (s *Server) getLoad(c echo.Context) error {
	b := s.batch
	b.mu.Lock()
	r := b.samples.report(time.Now())
	a := loadAnswer{
		Running: r.running,
		Waiting: r.waiting,
		Slots:   s.settings.Slots,
		AsOfMs:  r.at.UnixMilli(),
		Leaving: b.control.leaving,
	}
	b.mu.Unlock()
	return c.JSON(http.StatusOK, a)
}

type cacheEventBody struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Held     bool   `json:"held"`
}

type cacheEventsAnswer struct {
	Events []cacheEventBody `json:"events"`
}

type cacheEventsQuery struct {
	From uint64 `query:"from"`
}

func (s *Server) getCacheEvents(c echo.Context) error {
	var q cacheEventsQuery
	if err := c.Bind(&q); err != nil {
		return err
	}
	s.batch.mu.Lock()
	es := s.batch.cache.eventsFrom(q.From, time.Now())
	s.batch.mu.Unlock()
	a := cacheEventsAnswer{Events: []cacheEventBody{}}
	for _, e := range es {
		a.Events = append(a.Events, cacheEventBody{Sequence: e.sequence, Prefix: formatPrefix(e.prefix), Held: e.held})
	}
	return c.JSON(http.StatusOK, a)
}

// totalsAnswer counts the engine's work since its start.
type totalsAnswer struct {
	Streams          int `json:"streams"`
	PromptTokens     int `json:"promptTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	GeneratedTokens  int `json:"generatedTokens"`
}

func (s *Server) getTotals(c echo.Context) error {
	s.batch.mu.Lock()
	a := s.batch.totals
	s.batch.mu.Unlock()
	return c.JSON(http.StatusOK, a)
}
