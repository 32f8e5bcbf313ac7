package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"dandelionrail.org/rail/standin"
)

const (
	defaultReadLimit = 500
	maxReadLimit     = 5000
	maxReadWait      = 30 * time.Second
	// firstOffset is the offset of the first record of a new log.
	firstOffset = 0
)

type record struct {
	Offset int64           `json:"offset"`
	AtMs   int64           `json:"atMs"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// recordLog is the append-only log.
type recordLog struct {
	mu        sync.Mutex
	limiter   *rate.Limiter
	retention time.Duration
	records   []record
	oldest    int64
	changed   chan struct{}
}

func newRecordLog(appendsPerSecond float64, retention time.Duration) *recordLog {
	return &recordLog{
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), burst(appendsPerSecond)),
		retention: retention,
		oldest:    firstOffset,
		changed:   make(chan struct{}),
	}
}

// burst returns how many appends may come at once: those of a tenth of a second.
func burst(perSecond float64) int { return max(1, int(perSecond/10)) }

func (l *recordLog) setRate(perSecond float64) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(burst(perSecond))
}

func (l *recordLog) setRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retention = d
}

// append adds a record and wakes the readers that wait.
func (l *recordLog) append(kind string, body json.RawMessage, now time.Time) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	r := record{Offset: l.nextOffset(), AtMs: now.UnixMilli(), Kind: kind, Body: body}
	l.records = append(l.records, r)
	close(l.changed)
	l.changed = make(chan struct{})
	return r
}

// nextOffset returns the offset after the last record; l.mu must be held.
func (l *recordLog) nextOffset() int64 { return l.oldest + int64(len(l.records)) }

// expire removes the records that are older than the retention; l.mu must be held.
func (l *recordLog) expire(now time.Time) {
	cutoff := now.Add(-l.retention).UnixMilli()
	n := 0
	for n < len(l.records) && l.records[n].AtMs < cutoff {
		n++
	}
	l.records = l.records[n:]
	l.oldest += int64(n)
}

type readAnswer struct {
	Oldest  int64    `json:"oldest"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

// read returns the records from the offset on and a channel that closes at the next append.
func (l *recordLog) read(from int64, limit int, now time.Time) (readAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	from = min(max(from, l.oldest), l.nextOffset())
	rs := l.records[from-l.oldest:]
	rs = rs[:min(len(rs), limit)]
	next := l.nextOffset()
	if len(rs) > 0 {
		next = rs[len(rs)-1].Offset + 1
	}
	return readAnswer{Oldest: l.oldest, Next: next, Records: append([]record{}, rs...)}, l.changed
}

type appendBody struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
	AtMs   int64 `json:"atMs"`
}

func (p *Server) postRecord(c echo.Context) error {
	var b appendBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if b.Kind == "" || len(b.Body) == 0 {
		return c.JSON(http.StatusBadRequest, problem{Reason: "kind and body are required"})
	}
	if !p.log.limiter.Allow() {
		return c.JSON(http.StatusTooManyRequests, problem{Reason: "append rate"})
	}
	r := p.log.append(b.Kind, b.Body, time.Now())
	p.faults.loseAnswer()
	return c.JSON(http.StatusOK, appendAnswer{Offset: r.Offset, AtMs: r.AtMs})
}

type readQuery struct {
	From   int64 `query:"from"`
	Limit  int   `query:"limit"`
	WaitMs int64 `query:"waitMs"`
}

func (p *Server) getRecords(c echo.Context) error {
	q := readQuery{Limit: defaultReadLimit}
	if err := c.Bind(&q); err != nil {
		return err
	}
	q.Limit = min(max(q.Limit, 1), maxReadLimit)
	deadline := time.NewTimer(min(milliseconds(q.WaitMs), maxReadWait))
	defer deadline.Stop()
	for {
		answer, changed := p.log.read(q.From, q.Limit, time.Now())
		if len(answer.Records) > 0 || q.WaitMs <= 0 {
			return c.JSON(http.StatusOK, answer)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return c.JSON(http.StatusOK, answer)
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}
