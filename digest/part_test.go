package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/instance"
)

// alone returns the part of an entry without peers and a way to let it take in an event after a time.
func alone() (*digest.Reducer, func(time.Duration, rail.Event) []rail.Effect) {
	p := digest.New(instance.New(rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1")))
	start := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	return p, func(after time.Duration, e rail.Event) []rail.Effect {
		return p.Reduce(rail.NewInput(e, start.Add(after), 3))
	}
}

func TestFactsOfSingleInstancesAreDropped(t *testing.T) {
	for _, kind := range []rail.FactKind{rail.FactLeaving, rail.FactInstance} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			p, take := alone()
			for i := range 100 {
				take(0, digest.NewFactPublished(rail.NewPublish(kind, fmt.Sprint("m", i), "x")))
			}
			is.Equal(p.State().Facts(), 101)
			take(time.Hour+time.Second, rail.NewTimerFired("digest.tick"))
			is.True(p.State().Facts() <= 1)
		})
	}
}

func TestFrequentFactsWaitForTheirTurn(t *testing.T) {
	is := is.New(t)
	p, take := alone()
	for i := range 2000 {
		take(0, digest.NewFactPublished(rail.NewPublish(rail.FactLoad, fmt.Sprint("m", i), "1")))
	}
	for s := range 10 {
		take(time.Duration(s)*time.Second, rail.NewTimerFired("digest.tick"))
	}
	written := p.State().Facts()
	is.True(written > 500 && written < 1500*10/12) // within the rate
	take(10*time.Second, digest.NewFactPublished(rail.NewPublish(rail.FactBrake, "frames/v2", "failed")))
	_, ok := p.State().Fact(rail.NewFactKey(rail.FactBrake, "frames/v2", "e1"))
	is.True(ok)
}

func TestSameValueIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	_, take := alone()
	brake := digest.NewFactPublished(rail.NewPublish(rail.FactBrake, "frames/v2", "failed"))
	is.True(len(take(0, brake)) > 0)
	is.Equal(len(take(0, brake)), 0)
}

func TestWhatAnotherHasToldIsNotToldAgain(t *testing.T) {
	is := is.New(t)
	p, take := alone()
	fact := rail.NewFact(rail.NewFactKey(rail.FactLeaving, "m1", "e2-a"), 1, "m1-a")
	batch := digest.NewBatch("e2-a", true, 0, 1, []rail.Fact{fact})
	take(0, digest.NewReplied(rail.Instance{}, digest.NewResponse(false, []digest.Batch{batch}, nil)))
	before := p.State().Facts()
	take(0, digest.NewFactPublished(rail.NewPublish(rail.FactLeaving, "m1", "m1-a")))
	is.Equal(p.State().Facts(), before)
	take(0, digest.NewFactPublished(rail.NewPublish(rail.FactLeaving, "m1", "m1-b")))
	is.Equal(p.State().Facts(), before+1)
}

func TestSilentPeerIsSuspectedAndNotForgotten(t *testing.T) {
	is := is.New(t)
	members := instance.New(rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1"))
	e2 := rail.NewInstance("e2", "breno", rail.RoleEntry, "127.0.0.1:2").WithPeerAddress("127.0.0.1:3")
	start := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	members.Reduce(rail.NewInput(rail.NewListRead([]rail.Instance{e2}), start, 1))
	p := digest.New(members)
	fact := rail.NewFact(rail.NewFactKey(rail.FactDemand, "members", e2.Incarnation()), 1, "5")
	batch := digest.NewBatch(e2.Incarnation(), false, 0, 1, []rail.Fact{fact})
	p.Reduce(rail.NewInput(digest.NewReplied(e2, digest.NewResponse(false, []digest.Batch{batch}, nil)), start, 1))
	for s := range 600 {
		at := start.Add(time.Duration(s) * time.Second)
		p.Reduce(rail.NewInput(digest.NewExchangeFailed(e2), at, 1))
		p.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), at, 1))
	}
	_, ok := p.State().Fact(fact.Key())
	is.True(ok) // a list still shows it
}
