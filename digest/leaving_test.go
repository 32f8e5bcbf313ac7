package digest_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// leavingDeadline is the time after which a leaving upstream must receive no new work.
const leavingDeadline = 3 * time.Second

var (
	leavingUpstream = rail.NewInstance("m1", "domain0", rail.RoleEngine, "127.0.0.1:2").WithIncarnation("m1-a").WithServing("frame-writer", "v1")
	liveUpstream    = rail.NewInstance("m2", "domain0", rail.RoleEngine, "127.0.0.1:3").WithIncarnation("m2-a").WithServing("frame-writer", "v1")
)

// staleList returns a list that still shows the leaving upstream as live.
func (f *fleet) staleList() rail.Event {
	all := []rail.Instance{leavingUpstream, liveUpstream}
	for _, n := range f.nodes {
		all = append(all, n.me)
	}
	return rail.NewListRead(all)
}

// nodesUsingLeaving returns the nodes that would still send work to the leaving upstream.
func (f *fleet) nodesUsingLeaving() int {
	count := 0
	for _, n := range f.nodes {
		for _, u := range n.membership.Upstreams("frame-writer", "v1") {
			if u.ID() == leavingUpstream.ID() {
				count++
			}
		}
	}
	return count
}

// TestLeavingUpstreamGetsNoNewRequests reports a leaving upstream to one entry only; the list does not show it to the others, because the platform is unavailable or its list lags.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	notice := rail.NewInstanceLeaving(leavingUpstream.ID(), instance.SourceNotice)
	report := rail.NewLoadRead(rail.NewLoad(leavingUpstream.ID(), 1, 0, 8, time.Time{}).WithLeaving())
	tests := []struct {
		name  string
		event rail.Event
		lists bool
	}{
		{"notice, platform unavailable", notice, false},
		{"upstream's own report, platform unavailable", report, false},
		{"notice, list lags", notice, true},
		{"upstream's own report, list lags", report, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(9, 4, 3)
			for _, n := range f.nodes {
				f.deliver(n, f.staleList())
			}
			f.advance(5 * time.Second)
			is.Equal(f.nodesUsingLeaving(), 9)
			f.deliver(f.nodes[0], tt.event)
			for range 3 {
				f.advance(leavingDeadline / 3)
				for _, n := range f.nodes {
					if tt.lists {
						f.deliver(n, f.staleList())
					}
				}
			}
			is.Equal(f.nodesUsingLeaving(), 0)
		})
	}
}

// TestRestartedEntryLearnsOfLeavingUpstream restarts an entry that reads only a lagging list.
func TestRestartedEntryLearnsOfLeavingUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 4)
	for _, n := range f.nodes {
		f.deliver(n, f.staleList())
	}
	f.deliver(f.nodes[0], rail.NewInstanceLeaving(leavingUpstream.ID(), instance.SourceNotice))
	f.advance(30 * time.Second)
	f.restart(f.nodes[5], "new")
	f.deliver(f.nodes[5], f.staleList())
	is.Equal(f.nodesUsingLeaving(), 1)
	f.advance(leavingDeadline)
	is.Equal(f.nodesUsingLeaving(), 0)
}

// TestPartitionedEntryLearnsOfLeavingFromTheUpstream partitions an entry from all others and the platform.
func TestPartitionedEntryLearnsOfLeavingFromTheUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 5)
	alone := f.nodes[0]
	for _, n := range f.nodes {
		f.deliver(n, f.staleList())
	}
	f.partitioned = func(a, b rail.Instance) bool { return a.ID() == alone.me.ID() || b.ID() == alone.me.ID() }
	f.deliver(f.nodes[1], rail.NewInstanceLeaving(leavingUpstream.ID(), instance.SourceNotice))
	f.advance(leavingDeadline)
	is.Equal(f.nodesUsingLeaving(), 1)
	// The upstream refuses the entry's next request; there is no other source.
	f.deliver(alone, rail.NewInstanceLeaving(leavingUpstream.ID(), instance.SourceUpstream))
	is.Equal(f.nodesUsingLeaving(), 0)
	f.partitioned = func(rail.Instance, rail.Instance) bool { return false }
	f.advance(10 * time.Second)
	is.Equal(f.nodesUsingLeaving(), 0)
}
