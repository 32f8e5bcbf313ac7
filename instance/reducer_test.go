package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

var (
	start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	me    = rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1").WithIncarnation("e1-a")
)

// engine returns a live upstream with the incarnation.
func engine(id rail.InstanceID, incarnation rail.Incarnation) rail.Instance {
	return rail.NewInstance(id, "breno", rail.RoleEngine, "127.0.0.1:2").
		WithIncarnation(incarnation).WithServing("frame-writer", "v1")
}

func entry(id rail.InstanceID, incarnation rail.Incarnation) rail.Instance {
	return rail.NewInstance(id, "edolo", rail.RoleEntry, "127.0.0.1:3").WithIncarnation(incarnation)
}

// reduce processes events in order at a time in seconds after the start.
func reduce(r *instance.Reducer, seconds int, events ...rail.Event) []rail.Effect {
	var effects []rail.Effect
	for _, e := range events {
		effects = append(effects, r.Reduce(rail.NewInput(e, start.Add(time.Duration(seconds)*time.Second), 7))...)
	}
	return effects
}

func list(instances ...rail.Instance) rail.Event { return rail.NewListRead(instances) }

func leavingFact(id, incarnation string) rail.Event {
	key := rail.NewFactKey(rail.FactLeaving, id, "e2-a")
	return rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, incarnation)})
}

func upstreamIDs(r *instance.Reducer) []rail.InstanceID {
	var ids []rail.InstanceID
	for _, i := range r.Upstreams("frame-writer", "v1") {
		ids = append(ids, i.ID())
	}
	return ids
}

func TestLeavingIsStickyFromEachSource(t *testing.T) {
	live := list(engine("m1", "a"), engine("m2", "b"))
	tests := []struct {
		name  string
		event rail.Event
	}{
		{"list", list(engine("m1", "a").WithLeaving(), engine("m2", "b"))},
		{"notice", rail.NewInstanceLeaving("m1", instance.SourceNotice)},
		{"peer", leavingFact("m1", "a")},
		{"upstream", rail.NewLoadRead(rail.NewLoad("m1", 0, 0, 8, start).WithLeaving())},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := instance.New(me)
			reduce(r, 0, live)
			is.Equal(upstreamIDs(r), []rail.InstanceID{"m1", "m2"})
			reduce(r, 1, tt.event)
			is.Equal(upstreamIDs(r), []rail.InstanceID{"m2"})
			// The list lags and the upstream responds; neither clears the mark.
			reduce(r, 2, live, rail.NewLoadRead(rail.NewLoad("m1", 0, 0, 8, start)), instance.NewReachable("m1"))
			is.Equal(upstreamIDs(r), []rail.InstanceID{"m2"})
			// It is missing from the list for a minute and listed again.
			for s := 3; s < 63; s++ {
				reduce(r, s, list(engine("m2", "b")))
			}
			reduce(r, 64, live)
			is.Equal(upstreamIDs(r), []rail.InstanceID{"m2"})
			reduce(r, 65, list(engine("m1", "c"), engine("m2", "b")))
			is.Equal(upstreamIDs(r), []rail.InstanceID{"m1", "m2"})
			// The list goes back to the old incarnation.
			reduce(r, 66, live)
			is.Equal(r.Upstreams("frame-writer", "v1")[0].Incarnation(), rail.Incarnation("c"))
		})
	}
}

func TestLeavingBeforeListed(t *testing.T) {
	tests := []struct {
		name  string
		event rail.Event
		want  int
	}{
		{"notice binds to the first incarnation", rail.NewInstanceLeaving("m1", instance.SourceNotice), 0},
		{"peer names the incarnation", leavingFact("m1", "a"), 0},
		{"peer names another incarnation", leavingFact("m1", "old"), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := instance.New(me)
			reduce(r, 0, tt.event, list(engine("m1", "a")))
			is.Equal(len(upstreamIDs(r)), tt.want)
			reduce(r, 1, list(engine("m1", "b")))
			is.Equal(len(upstreamIDs(r)), 1)
		})
	}
}

func TestListAfterOutageMissesInstances(t *testing.T) {
	is := is.New(t)
	r := instance.New(me)
	reduce(r, 0, list(engine("m1", "a"), entry("e2", "e2-a")))
	// Registrations expired while the platform was unavailable for ten minutes.
	reduce(r, 600, list())
	is.Equal(len(upstreamIDs(r)), 1)
	is.Equal(len(r.Peers()), 1)
	reduce(r, 629, list())
	is.Equal(len(upstreamIDs(r)), 1)
	reduce(r, 630, list())
	is.Equal(len(upstreamIDs(r)), 0)
	is.Equal(len(r.Peers()), 0)
}

func TestUnreachableIsSkippedWhileOthersAreReachable(t *testing.T) {
	is := is.New(t)
	r := instance.New(me)
	reduce(r, 0, list(engine("m1", "a"), engine("m2", "b")))
	reduce(r, 1, instance.NewUnreachable("m1"))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m2"})
	reduce(r, 1, instance.NewUnreachable("m2"))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m1", "m2"}) // a suspected upstream is better than none
	reduce(r, 2, instance.NewReachable("m2"))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m2"})
	reduce(r, 4, rail.NewTimerFired("instance.passOver"))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m1", "m2"})
}

func TestLeavingEntryIsNoPeer(t *testing.T) {
	is := is.New(t)
	r := instance.New(me)
	reduce(r, 0, list(entry("e2", "e2-a"), entry("e3", "e3-a"), me))
	is.Equal(len(r.Peers()), 2)
	reduce(r, 1, leavingFact("e2", "e2-a"))
	is.Equal(len(r.Peers()), 1)
	is.Equal(r.Peers()[0].ID(), rail.InstanceID("e3"))
	effects := reduce(r, 2, rail.NewShutdownStarted(true), rail.NewShutdownStarted(false))
	is.Equal(effects, []rail.Effect{rail.NewPublish(rail.FactLeaving, "e1", "e1-a")})
	is.True(r.Me().Leaving())
}

func TestInstancesOfPeersOnlyBeforeTheFirstList(t *testing.T) {
	is := is.New(t)
	r := instance.New(me)
	reduce(r, 0, instance.NewFetched([]rail.Instance{engine("m1", "a"), engine("m2", "b").WithLeaving()}))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m1"})
	reduce(r, 1, list(engine("m1", "a")), instance.NewFetched([]rail.Instance{engine("m3", "c")}))
	is.Equal(upstreamIDs(r), []rail.InstanceID{"m1"})
}
