package proof_test

import (
	"testing"
	"time"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// unsure returns streams and ticketed orders for faults that come without notice, or in the middle of one.
func unsure() []trace.Request {
	return inOrder(
		streams(2*streamCount, streamTokens, streamInterval, trace.CompleteOrResent),
		orders(2*streamCount, streamInterval, trace.ByTicket, trace.AtMostOnce),
		orders(2*streamCount, streamInterval, trace.ByKey, trace.AtMostOnce),
	)
}

func TestIssuerFreezes(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 2, services: 2})
	s.replay(unsure(),
		trace.NewProcessFault(struck, trace.Stop, "entry-1"),
		trace.NewProcessFault(struck+7*time.Second, trace.Continue, "entry-1"))
}

// The entry wakes up after its successor has taken its tickets over, finds orders
// in its sockets that the successor has run meanwhile, and must not run them as well.
func TestLeavingEntryFreezes(t *testing.T) {
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

func TestEntryDiesInTheMiddleOfItsHandover(t *testing.T) {
	s := newSystem(t, size{entries: 3, engines: 2, services: 2})
	s.replay(unsure(),
		trace.NewReclaimFault(struck, "entry-1", 10*time.Second),
		trace.NewProcessFault(struck+200*time.Millisecond, trace.Kill, "entry-1"))
}

func TestTwoWavesOfReclaims(t *testing.T) {
	s := newSystem(t, size{entries: 4, engines: 4, services: 2})
	s.replay(mix(trace.ExactlyOnce),
		trace.NewReclaimFault(struck, "entry-1", 5*time.Second),
		trace.NewReclaimFault(struck, "engine-1", 3*time.Second),
		trace.NewReclaimFault(struck+500*time.Millisecond, "entry-2", 5*time.Second),
		trace.NewReclaimFault(struck+500*time.Millisecond, "engine-2", 3*time.Second))
}

// The cut-off entry goes on with what needs no platform; keyed orders are refused there and land at the other one.
func TestEntryIsCutOffFromThePlatform(t *testing.T) {
	t.Parallel()
	s := startSystem(t, size{entries: 1, engines: 2, services: 2})
	cut := newPassage(t, s.platform.address)
	s.startEntryAt(1, "http://"+cut.listener.Addr().String())
	s.ready(2)
	cut.cut.Store(true)
	s.replay(mix(trace.ExactlyOnce))
}
