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
	faultAt        = 700 * time.Millisecond
)

func TestEngineIsKilled(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewProcessFault(faultAt, trace.Kill, "engine-1"))
}

func TestEngineIsPaused(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewProcessFault(faultAt, trace.Stop, "engine-1"),
		trace.NewProcessFault(faultAt+8*time.Second, trace.Continue, "engine-1"))
}

func TestEngineIsReclaimedWithNotice(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 3})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete),
		trace.NewReclaimFault(faultAt, "engine-1", time.Second))
}

func TestEntryIsPaused(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2})
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.CompleteOrResent),
		trace.NewProcessFault(faultAt, trace.Stop, "entry-1"),
		trace.NewProcessFault(faultAt+6*time.Second, trace.Continue, "entry-1"))
}

// Neither end is notified of the partition: no connection is closed or reset, as when a middlebox loses the state of the
// connections.
func TestPartitionBetweenEntryAndEngine(t *testing.T) {
	s := newSystem(t, size{entries: 1, engines: 2})
	proxy := s.startEngineBehindProxy("engine-3")
	time.AfterFunc(faultAt, func() { proxy.partitioned.Store(true) })
	s.replay(streams(streamCount, streamTokens, streamInterval, trace.Complete))
}

// The streams last longer than the time for which a leaving entry still accepts requests.
func TestGracefulShutdownAbortsNothing(t *testing.T) {
	const longTokens = 300
	s := newSystem(t, size{entries: 2, engines: 2, services: 1})
	is := is.New(t)
	rs := sortByOffset(
		streams(streamCount, longTokens, streamInterval, trace.Complete),
		lookups(streamCount, streamInterval),
	)
	report := s.replay(rs, trace.NewProcessFault(faultAt, trace.Terminate, "entry-1"))
	is.Equal(report.Reconnects(), 0)
}

func TestDomainIsReclaimedWithNotice(t *testing.T) {
	const notice = 4 * time.Second
	s := newSystem(t, size{entries: 4, engines: 4, services: 2})
	var faults []trace.Fault
	for _, instance := range []string{"engine-1", "engine-3", "service-1", "entry-1", "entry-3"} {
		faults = append(faults, trace.NewReclaimFault(faultAt, instance, notice))
	}
	s.replay(sortByOffset(
		streams(3*streamCount, 2*streamTokens, streamInterval, trace.Complete),
		lookups(3*streamCount, streamInterval),
	), faults...)
}
