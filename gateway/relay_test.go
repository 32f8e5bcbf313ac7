package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/runend"
)

// refusingSender reports each attempt as not run, and counts the attempts that were aborted.
type refusingSender struct{ aborted int }

func (s *refusingSender) Send(ctx context.Context, _ Send) (*Answer, error) {
	time.Sleep(10 * time.Microsecond) // Lets a timer fire if one is running.
	if ctx.Err() != nil {
		s.aborted++
	}
	return nil, rail.NewError(rail.KindUpstreamFull, "full")
}

func (*refusingSender) Probe(Probe, func(bool)) {}

func (*refusingSender) Check(CheckEngine, func(runend.Check)) {}

type discardLog struct{}

func (discardLog) Write(rail.EventNumber, ...Field) {}

type discardMetrics struct{}

func (discardMetrics) Attempt(rail.RouteName)                                          {}
func (discardMetrics) RequestDone(rail.RouteName, rail.Kind, time.Duration)            {}
func (discardMetrics) FirstToken(rail.RouteName, time.Duration)                        {}
func (discardMetrics) Routed(string, string, int64, int64)                             {}
func (discardMetrics) SpilloverShare(string, string, float64)                          {}
func (discardMetrics) SpilloverInputs(string, string, float64, float64, time.Duration) {}
func (discardMetrics) StreamMoved(string, string)                                      {}
func (discardMetrics) QueueLength(string, int)                                         {}
func (discardMetrics) QueueLeft(string, string, int, time.Duration)                    {}

func TestOrderIsNotAbortedByFailoverTimeout(t *testing.T) {
	is := is.New(t)
	sender := &refusingSender{}
	now := time.Now()
	g := New(NewState(NewSettings("gateway-1", "north", "first", now).WithRetries(0.2, 60)), sender, discardLog{}, discardMetrics{})
	g.Post(NewConfigRead(testConfig(1), "store"))
	g.Post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b"))}, true, "store"))
	for range 300 {
		c := NewCall("r-1", "/orders/1", "", NewMessage("POST", "/orders/1", "shop.example", nil, nil), time.Now(), time.Now().Add(time.Second))
		is.NoErr(g.Serve(context.Background(), c, httptest.NewRecorder()))
	}
	is.Equal(sender.aborted, 0)
}

// Guards against a silent connection that ends without an answer and does not count as a timeout.
func TestConnectionThatTimedOutIsReported(t *testing.T) {
	is := is.New(t)
	cause := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	o := (&relay{}).attemptFailure(t.Context(), rail.WrapError(cause, rail.KindUpstreamFailed, "no answer"))
	is.True(o.timedOut)
	is.True(!o.brokenOff())
	is.Equal(o.kind, rail.KindUpstreamFailed) // It may have run.
}

// answeringSender answers each attempt with the status, without a statement that the request was not run.
type answeringSender struct{ status, sent int }

func (s *answeringSender) Send(context.Context, Send) (*Answer, error) {
	s.sent++
	body := "no database"
	return NewAnswer(s.status, http.Header{}, int64(len(body)), io.NopCloser(strings.NewReader(body))), nil
}

func (*answeringSender) Probe(Probe, func(bool)) {}

func (*answeringSender) Check(CheckEngine, func(runend.Check)) {}

// Guards against an order that its caller sends again, since an upstream failed with a status that promises that it was not run (REFUSED).
func TestFailureOfAnOrderIsNoPromise(t *testing.T) {
	for _, c := range []struct {
		path           string
		status, answer int
	}{
		{"/orders/1", http.StatusRequestTimeout, http.StatusBadGateway},
		{"/orders/1", http.StatusTooManyRequests, http.StatusBadGateway},
		{"/orders/1", http.StatusServiceUnavailable, http.StatusBadGateway},
		{"/orders/1", http.StatusInternalServerError, http.StatusInternalServerError},
		{"/orders/1", http.StatusBadGateway, http.StatusBadGateway},
		{"/orders/1", http.StatusConflict, http.StatusConflict},
		{"/orders/lookup/1", http.StatusTooManyRequests, http.StatusTooManyRequests},
		{"/orders/lookup/1", http.StatusServiceUnavailable, http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprintf("%s %d", c.path, c.status), func(t *testing.T) {
			is := is.New(t)
			sender := &answeringSender{status: c.status}
			now := time.Now()
			g := New(NewState(NewSettings("gateway-1", "north", "first", now).WithRetries(0, 0)), sender, discardLog{}, discardMetrics{})
			g.Post(NewConfigRead(testConfig(1), "store"))
			g.Post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b"))}, true, "store"))
			w := httptest.NewRecorder()
			is.NoErr(g.Serve(t.Context(), NewCall("r-1", c.path, "", NewMessage("POST", c.path, "shop.example", nil, nil), now, now.Add(time.Second)), w))
			is.Equal(w.Code, c.answer)
			is.Equal(sender.sent, 1)
		})
	}
}
