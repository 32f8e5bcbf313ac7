package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// A failure on the new version counts only once its upstream is known to be alive after it.
func TestFailuresCountOnlyIfUpstreamIsAlive(t *testing.T) {
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
		{"no upstream given", failed, nil, 1},
		{"old version counts immediately", NewObserved(counter, oldVersion, false, 0).WithUpstream("m1"), nil, 1},
		{"no report yet", failed.WithUpstream("m1"), nil, 0},
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
			te := newSimulation(1, 1, trialWindow, nil).entries[0]
			reduce := func(at time.Duration, e rail.Event) { te.reducer.Reduce(rail.NewInput(e, epoch.Add(at), 0)) }
			reduce(0, tt.first)
			for _, e := range tt.events {
				reduce(2*time.Second, e)
			}
			all := te.reducer.rollouts[counter].total
			is.Equal(all.oldVersion.failed+all.newVersion().failed, tt.want)
			reduce(maxHoldTime+3*time.Second, rail.NewTimerFired(tickTimer)) // no report of the upstream, neither alive nor removed
			if len(tt.events) == 0 {
				all = te.reducer.rollouts[counter].total
				is.Equal(all.oldVersion.failed+all.newVersion().failed, 1)
			}
		})
	}
}
