package instance_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// life is one incarnation of an upstream.
type life struct {
	id          rail.InstanceID
	incarnation rail.Incarnation
}

// draw returns an event about one of three upstreams in one of three lives, and the life that it says is leaving.
func draw(t *rapid.T, p *instance.Reducer) (rail.Event, life) {
	id := rail.InstanceID(fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "id")))
	incarnation := rail.Incarnation(fmt.Sprint(id, rapid.IntRange(0, 2).Draw(t, "life")))
	known, listed := p.Instance(id)
	current := life{}
	if listed {
		current = life{id, known.Incarnation()}
	}
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		return rail.NewInstanceLeaving(id, instance.SourceNotice), current
	case 1:
		return leavingFact(string(id), string(incarnation)), life{id, incarnation}
	case 2:
		return rail.NewLoadRead(rail.NewLoad(id, 0, 0, 8, start).WithLeaving()), current
	case 3:
		return list(engine(id, incarnation).WithLeaving()), life{id, incarnation}
	case 4:
		return instance.NewUnreachable(id), life{}
	case 5:
		return instance.NewReachable(id), life{}
	case 6:
		return rail.NewLoadRead(rail.NewLoad(id, 0, 0, 8, start)), life{}
	default:
		return list(engine(id, incarnation)), life{}
	}
}

// TestNothingNewForAnyLeavingLife drives lists that lag and fall back, notices, peers, reports and suspicion in any order; an incarnation once said to leave is never offered again.
func TestNothingNewForAnyLeavingLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := instance.New(me)
		left := map[life]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			e, leaving := draw(t, p)
			step(p, i, e)
			if leaving.id != "" {
				left[leaving] = true
			}
			for _, u := range p.Upstreams("frame-writer", "v1") {
				if left[life{u.ID(), u.Incarnation()}] {
					t.Fatalf("%s in life %s is offered after it was said to leave", u.ID(), u.Incarnation())
				}
			}
		}
	})
}
