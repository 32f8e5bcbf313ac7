package instance_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// identity identifies one incarnation of an upstream.
type identity struct {
	id          rail.InstanceID
	incarnation rail.Incarnation
}

// drawEvent returns an event about one of three upstreams in one of three incarnations, and the incarnation that it reports as leaving.
func drawEvent(t *rapid.T, r *instance.Reducer) (rail.Event, identity) {
	id := rail.InstanceID(fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "id")))
	incarnation := rail.Incarnation(fmt.Sprint(id, rapid.IntRange(0, 2).Draw(t, "incarnation")))
	known, listed := r.Instance(id)
	current := identity{}
	if listed {
		current = identity{id, known.Incarnation()}
	}
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		return rail.NewInstanceLeaving(id, instance.SourceNotice), current
	case 1:
		return leavingFact(string(id), string(incarnation)), identity{id, incarnation}
	case 2:
		return rail.NewLoadRead(rail.NewLoad(id, 0, 0, 8, start).WithLeaving()), current
	case 3:
		return list(engine(id, incarnation).WithLeaving()), identity{id, incarnation}
	case 4:
		return instance.NewUnreachable(id), identity{}
	case 5:
		return instance.NewReachable(id), identity{}
	case 6:
		return rail.NewLoadRead(rail.NewLoad(id, 0, 0, 8, start)), identity{}
	default:
		return list(engine(id, incarnation)), identity{}
	}
}

// TestLeavingIncarnationGetsNoNewRequests processes lists that lag or go back in time, notices, facts of peers, load reports and failures in any order. An incarnation reported as leaving must never be returned again.
func TestLeavingIncarnationGetsNoNewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := instance.New(me)
		announced := map[identity]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			e, leaving := drawEvent(t, r)
			reduce(r, i, e)
			if leaving.id != "" {
				announced[leaving] = true
			}
			for _, u := range r.Upstreams("frame-writer", "v1") {
				if announced[identity{u.ID(), u.Incarnation()}] {
					t.Fatalf("%s in incarnation %s is returned after it was reported as leaving", u.ID(), u.Incarnation())
				}
			}
		}
	})
}
