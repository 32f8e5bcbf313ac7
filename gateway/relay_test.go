package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// refusingSender says of each call that it did not run, and counts the attempts that were broken off.
type refusingSender struct{ broken int }

func (s *refusingSender) Send(ctx context.Context, _ Send) (*Answer, error) {
	time.Sleep(10 * time.Microsecond) // A timer that should not run has its chance.
	if ctx.Err() != nil {
		s.broken++
	}
	return nil, rail.NewError(rail.KindUpstreamFull, "full")
}

type silentLog struct{}

func (silentLog) Write(rail.EventNumber, ...Field) {}

type silentMetrics struct{}

func (silentMetrics) Attempt(rail.RouteName)                               {}
func (silentMetrics) RequestDone(rail.RouteName, rail.Kind, time.Duration) {}
func (silentMetrics) FirstToken(rail.RouteName, time.Duration)             {}

func TestOrderIsNotBrokenOffForImpatience(t *testing.T) {
	is := is.New(t)
	sender := &refusingSender{}
	now := time.Now()
	g := New(NewState(NewSettings("gateway-1", "north", "first", now).WithRetries(0.2, 60)), sender, silentLog{}, silentMetrics{})
	g.Post(NewConfigRead(testCatalogue(1), "store"))
	g.Post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b"))}, true, "store"))
	for range 300 {
		c := NewCall("r-1", "/orders/1", "", NewMessage("POST", "/orders/1", "shop.example", nil, nil), time.Now(), time.Now().Add(time.Second))
		is.NoErr(g.Serve(context.Background(), c, httptest.NewRecorder()))
	}
	is.Equal(sender.broken, 0)
}
