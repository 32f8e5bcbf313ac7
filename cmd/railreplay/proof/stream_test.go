package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	streamCount    = 30
	streamTokens   = 60
	streamInterval = 50 * time.Millisecond
	struck         = 700 * time.Millisecond
)

func TestEngineIsKilled(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewProcessFault(struck, trace.Kill, "engine-1"))
}

func TestEngineFreezes(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewProcessFault(struck, trace.Stop, "engine-1"),
		trace.NewProcessFault(struck+8*time.Second, trace.Continue, "engine-1"))
}

func TestEngineIsReclaimedWithNotice(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewReclaimFault(struck, "engine-1", time.Second))
}

func TestEntryFreezes(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.CompleteOrResent),
		trace.NewProcessFault(struck, trace.Stop, "entry-1"),
		trace.NewProcessFault(struck+6*time.Second, trace.Continue, "entry-1"))
}

// The cut is silent: neither end hears of it, as when something between them loses track of the connections.
func TestCutBetweenEntryAndEngine(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 2})
	cut := s.behindPassage("engine-3")
	time.AfterFunc(struck, func() { cut.cut.Store(true) })
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete))
}

// The streams are longer than the time for which a leaving entry goes on accepting.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	const longTokens = 300
	s := newSystem(t, size{entries: 2, engines: 2, services: 1})
	is := is.New(t)
	rs := inOrder(
		streams(streamCount, longTokens, streamInterval, trace.Complete),
		lookups(streamCount, streamInterval),
	)
	report := s.replay(rs, trace.NewProcessFault(struck, trace.Terminate, "entry-1"))
	is.Equal(report.Reconnects(), 0)
}

func TestDomainIsReclaimedWithNotice(t *testing.T) {
	const notice = 4 * time.Second
	s := newSystem(t, size{entries: 4, engines: 4, services: 2})
	var faults []trace.Fault
	for _, instance := range []string{"engine-1", "engine-3", "service-1", "entry-1", "entry-3"} {
		faults = append(faults, trace.NewReclaimFault(struck, instance, notice))
	}
	s.replay(inOrder(
		streams(3*streamCount, 2*streamTokens, streamInterval, trace.Complete),
		lookups(3*streamCount, streamInterval),
	), faults...)
}
