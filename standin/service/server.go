package service

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"

	"dandelionrail.org/rail/timer"
)

const (
	maxBodyBytes    = 4 << 20
	defaultSlots    = 64
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
)

// Settings configures the service.
type Settings struct {
	// Slots is the capacity for concurrent calls in the load report; it is not enforced. Zero stands for the default.
	Slots int
}

// Server is the stand-in of a plain service.
type Server struct {
	echo    *echo.Echo
	slots   int
	mu      sync.Mutex
	control control
	running int
	runs    counts
}

// control holds the faults that are injected.
type control struct {
	delay       time.Duration
	dropAnswers int
	silent      int
	refuse      int
	failShare   float64
	leaving     bool
}

// New returns the service as an HTTP handler.
func New(settings Settings) *Server {
	if settings.Slots == 0 {
		settings.Slots = defaultSlots
	}
	s := &Server{echo: echo.New(), slots: settings.Slots, runs: newCounts()}
	s.echo.GET("/load", s.getLoad)
	s.echo.GET("/runs", s.getRuns)
	s.echo.POST("/control", s.postControl)
	s.echo.Any("/*", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	s.echo.ServeHTTP(w, r)
}

// Leave makes the service refuse new calls.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control.leaving = true
}

// Leaving reports whether the service refuses new calls.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control.leaving
}

type problem struct {
	Reason string `json:"reason"`
}

type callAnswer struct {
	RequestID string `json:"requestId"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  uint64 `json:"bodyHash"`
}

// outcome is the way in which one call will end.
type outcome struct {
	delay  time.Duration
	drop   bool
	silent bool
	fail   bool
}

// call runs one request; it counts as run once its body has been read completely.
func (s *Server) call(c echo.Context) error {
	r := c.Request()
	if !s.admit() {
		c.Response().Header().Set(headerNotRun, "true")
		return c.JSON(http.StatusServiceUnavailable, problem{Reason: "refused"})
	}
	defer s.finishCall()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return c.JSON(http.StatusBadRequest, problem{Reason: "body was cut off"})
	}
	id := r.Header.Get(headerRequestID)
	o := s.run(id, r.Method, r.URL.Path)
	if o.silent {
		<-r.Context().Done()
		return r.Context().Err()
	}
	if err := wait(c, o.delay); err != nil {
		return err
	}
	if o.drop {
		panic(http.ErrAbortHandler)
	}
	if o.fail {
		return c.JSON(http.StatusInternalServerError, problem{Reason: "failed"})
	}
	return c.JSON(http.StatusOK, callAnswer{RequestID: id, Method: r.Method, Path: r.URL.Path, BodyHash: xxhash.Sum64(body)})
}

// admit reports whether a call may start.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.control.leaving {
		return false
	}
	if s.control.refuse > 0 {
		s.control.refuse--
		return false
	}
	s.running++
	return true
}

func (s *Server) finishCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// run counts the call and determines its outcome.
func (s *Server) run(id, method, path string) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.add(id, method, path)
	o := outcome{delay: s.control.delay, fail: standin.HashFraction(id) < s.control.failShare}
	if s.control.silent > 0 {
		s.control.silent--
		o.silent = true
	} else if s.control.dropAnswers > 0 {
		s.control.dropAnswers--
		o.drop = true
	}
	return o
}

func wait(c echo.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	if ctx := c.Request().Context(); !timer.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

type loadAnswer struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AsOfMs  int64 `json:"asOfMs"`
	Leaving bool  `json:"leaving"`
}

func (s *Server) getLoad(c echo.Context) error {
	s.mu.Lock()
	a := loadAnswer{Running: s.running, Slots: s.slots, AsOfMs: time.Now().UnixMilli(), Leaving: s.control.leaving}
	s.mu.Unlock()
	return c.JSON(http.StatusOK, a)
}

type controlBody struct {
	DelayMs     *int64   `json:"delayMs"`
	DropAnswers *int     `json:"dropAnswers"`
	Silent      *int     `json:"silent"`
	Refuse      *int     `json:"refuse"`
	FailShare   *float64 `json:"failShare"`
	Leaving     *bool    `json:"leaving"`
}

// postControl changes the injected faults; a field that is left out keeps its value.
func (s *Server) postControl(c echo.Context) error {
	var b controlBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.DelayMs != nil {
		s.control.delay = time.Duration(*b.DelayMs) * time.Millisecond
	}
	setIfPresent(&s.control.dropAnswers, b.DropAnswers)
	setIfPresent(&s.control.silent, b.Silent)
	setIfPresent(&s.control.refuse, b.Refuse)
	setIfPresent(&s.control.failShare, b.FailShare)
	setIfPresent(&s.control.leaving, b.Leaving)
	return c.NoContent(http.StatusNoContent)
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}
