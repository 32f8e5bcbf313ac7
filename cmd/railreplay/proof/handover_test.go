package proof_test

import (
	"testing"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// abruptFaultRequests returns streams and orders with the outcomes that are possible when an entry fails without notice, or
// before its notice has expired.
func abruptFaultRequests() []trace.Request {
	return sortByOffset(
		streams(2*streamCount, streamTokens, streamInterval, trace.CompleteOrResent),
		orders(2*streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce),
		orders(2*streamCount, streamInterval, trace.ByKey, trace.AtMostOnce),
	)
}

func TestTicketIssuerIsPaused(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 2, services: 2})
	s.replay(abruptFaultRequests(),
		trace.NewProcessFault(faultAt, trace.Stop, "entry-1"),
		trace.NewProcessFault(faultAt+7*time.Second, trace.Continue, "entry-1"))
}

// A leaving entry is paused until its successor has taken over its tickets. When it
// resumes, its sockets still hold orders that the successor has run; it must not run
// them again.
func TestLeavingEntryIsPaused(t *testing.T) {
	const hold = 5 * time.Second
	s := newSystem(t, size{entries: 3, engines: 1, services: 2})
	rs := orders(2*streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce)
	for i := range rs {
		rs[i] = rs[i].WithHold(hold).WithCopies(3)
	}
	s.replay(rs,
		trace.NewReclaimFault(3*time.Second, "entry-1", 10*time.Second),
		trace.NewProcessFault(4500*time.Millisecond, trace.Stop, "entry-1"),
		trace.NewProcessFault(10*time.Second, trace.Continue, "entry-1"))
}

func TestEntryIsKilledDuringHandover(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 2, services: 2})
	s.replay(abruptFaultRequests(),
		trace.NewReclaimFault(faultAt, "entry-1", 10*time.Second),
		trace.NewProcessFault(faultAt+200*time.Millisecond, trace.Kill, "entry-1"))
}

func TestTwoWavesOfReclaims(t *testing.T) {
	s := newSystem(t, size{entries: 4, engines: 4, services: 2})
	s.replay(mix(trace.ExactlyOnce),
		trace.NewReclaimFault(faultAt, "entry-1", 5*time.Second),
		trace.NewReclaimFault(faultAt, "engine-1", 3*time.Second),
		trace.NewReclaimFault(faultAt+500*time.Millisecond, "entry-2", 5*time.Second),
		trace.NewReclaimFault(faultAt+500*time.Millisecond, "engine-2", 3*time.Second))
}

// The partitioned entry continues to serve what does not need the platform. It refuses keyed orders, which then run
// through the other entry.
func TestEntryIsPartitionedFromPlatform(t *testing.T) {
	t.Parallel()
	s := startSystem(t, size{entries: 1, engines: 2, services: 2})
	proxy := newProxy(t, s.platform.address)
	s.startEntryAt(1, "http://"+proxy.listener.Addr().String())
	s.ready(2)
	proxy.partitioned.Store(true)
	s.replay(mix(trace.ExactlyOnce))
}
