package proof_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

func TestEntryIsKilled(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2, services: 1})
	rs := sortByOffset(
		streams(streamCount, streamTokens, streamInterval, trace.CompleteOrResent),
		orders(streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce),
	)
	s.replay(rs, trace.NewProcessFault(faultAt, trace.Kill, "entry-1"))
}

func TestServiceDropsAnswers(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 1, services: 1})
	s.replay(orders(streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce),
		trace.NewControlFault(faultAt, "service-1", `{"dropAnswers":5}`))
}

func TestServiceStopsResponding(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 1, services: 1})
	s.replay(orders(streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce),
		trace.NewControlFault(faultAt, "service-1", `{"silent":3}`))
}

func TestAppendAnswersAreLost(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 1, services: 1})
	s.replay(orders(streamCount, streamInterval, trace.ByKey, trace.ExactlyOnce),
		trace.NewControlFault(0, "", `{"loseAnswers":5}`))
}

// orders returns n orders, one per interval.
func orders(n int, interval time.Duration, claim trace.Claim, o trace.Outcome) []trace.Request {
	var rs []trace.Request
	for i := range n {
		path := fmt.Sprintf("/orders/%s-%d", claim, i)
		rs = append(rs, trace.NewOrder(time.Duration(i)*interval, office, "orders", path, "two tins", claim).WithOutcome(o))
	}
	return rs
}

// A load balancer may deliver one request twice; the claim makes it run once.
func TestKeyedOrderIsDeliveredTwice(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 1, services: 2})
	rs := orders(streamCount, streamInterval, trace.ByKey, trace.ExactlyOnce)
	for i := range rs {
		rs[i] = rs[i].WithCopies(3)
	}
	s.replay(rs)
}
