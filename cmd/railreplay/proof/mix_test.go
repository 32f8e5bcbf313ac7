package proof_test

import (
	"testing"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// mix returns streams, lookups, and orders of both claims with the expected outcome.
func mix(o trace.Outcome) []trace.Request {
	return sortByOffset(
		streams(streamCount, streamTokens, streamInterval, trace.Complete),
		lookups(streamCount, streamInterval),
		orders(streamCount, streamInterval, trace.ByTicket, o),
		orders(streamCount, streamInterval, trace.ByKey, o),
	)
}

func TestNoFault(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2, services: 2})
	s.replay(mix(trace.ExactlyOnce))
}

func TestEntryIsReclaimedWithNotice(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 2, services: 1})
	s.replay(mix(trace.ExactlyOnce), trace.NewReclaimFault(faultAt, "entry-1", 5*time.Second))
}

func TestServiceRefuses(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 1, services: 2})
	s.replay(orders(streamCount, streamInterval, trace.ByTicket, trace.ExactlyOnce),
		trace.NewControlFault(faultAt, "service-1", `{"refuse":5}`))
}

func TestPlatformOutage(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2, services: 1})
	s.replay(mix(trace.ExactlyOnce), trace.NewControlFault(faultAt, "", `{"outageMs":6000}`))
}

// A load balancer may deliver one request twice, to entries that did not issue its ticket.
func TestTicketedOrderIsDeliveredTwice(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 1, services: 2})
	rs := orders(streamCount, streamInterval, trace.ByTicket, trace.ExactlyOnce)
	for i := range rs {
		rs[i] = rs[i].WithCopies(3)
	}
	s.replay(rs)
}
