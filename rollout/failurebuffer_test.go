package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// A failure counts only once its upstream has shown that it lives on.
func TestFailuresWaitForTheirUpstream(t *testing.T) {
	load := rail.NewLoadRead(rail.NewLoad("m1", 1, 0, 8, epoch.Add(time.Second)))
	stale := rail.NewLoadRead(rail.NewLoad("m1", 1, 0, 8, epoch.Add(-time.Second)))
	m1 := rail.NewInstance("m1", "breno", rail.RoleEngine, "")
	failed := NewObserved(counter, newVersion, false, 0)
	tests := []struct {
		name   string
		first  Observed
		events []rail.Event
		want   int
	}{
		{"no upstream named", failed, nil, 1},
		{"the old version's count at once", NewObserved(counter, oldVersion, false, 0).WithUpstream("m1"), nil, 1},
		{"nothing heard yet", failed.WithUpstream("m1"), nil, 0},
		{"a success after it", failed.WithUpstream("m1"), []rail.Event{NewObserved(counter, newVersion, true, time.Second).WithUpstream("m1")}, 1},
		{"a load report after it", failed.WithUpstream("m1"), []rail.Event{load}, 1},
		{"a load report from before it", failed.WithUpstream("m1"), []rail.Event{stale}, 0},
		{"leaving", failed.WithUpstream("m1"), []rail.Event{rail.NewInstanceLeaving("m1", "notice"), load}, 0},
		{"leaving before it failed", failed.WithUpstream("m2"), []rail.Event{rail.NewInstanceLeaving("m1", "notice"), failed.WithUpstream("m1"), load}, 0},
		{"no longer listed", failed.WithUpstream("m1"), []rail.Event{rail.NewListRead(nil), load}, 0},
		{"still listed", failed.WithUpstream("m1"), []rail.Event{rail.NewListRead([]rail.Instance{m1}), load}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := newWorld(1, 1, trialWindow, nil).nodes[0]
			reduce := func(at time.Duration, e rail.Event) { n.part.Reduce(rail.NewInput(e, epoch.Add(at), 0)) }
			reduce(0, tt.first)
			for _, e := range tt.events {
				reduce(2*time.Second, e)
			}
			all := n.part.routes[counter].all
			is.Equal(all.old.failed+all.fresh().failed, tt.want)
			reduce(holdTime+3*time.Second, rail.NewTimerFired(tickTimer)) // no sign of life nor of death
			if len(tt.events) == 0 {
				all = n.part.routes[counter].all
				is.Equal(all.old.failed+all.fresh().failed, 1)
			}
		})
	}
}
