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

// newLoneReducer returns the reducer of an entry without peers, and a function that processes an event at a time after the start.
func newLoneReducer() (*digest.Reducer, func(time.Duration, rail.Event) []rail.Effect) {
	r := digest.New(instance.New(rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1")))
	start := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	return r, func(after time.Duration, e rail.Event) []rail.Effect {
		return r.Reduce(rail.NewInput(e, start.Add(after), 3))
	}
}

func TestFactsOfSingleInstancesExpire(t *testing.T) {
	for _, kind := range []rail.FactKind{rail.FactLeaving, rail.FactInstance} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			r, reduce := newLoneReducer()
			for i := range 100 {
				reduce(0, digest.NewFactPublished(rail.NewPublish(kind, fmt.Sprint("m", i), "x")))
			}
			is.Equal(r.State().FactCount(), 101)
			reduce(time.Hour+time.Second, rail.NewTimerFired("digest.tick"))
			is.True(r.State().FactCount() <= 1)
		})
	}
}

func TestFrequentFactsAreRateLimited(t *testing.T) {
	is := is.New(t)
	r, reduce := newLoneReducer()
	for i := range 2000 {
		reduce(0, digest.NewFactPublished(rail.NewPublish(rail.FactLoad, fmt.Sprint("m", i), "1")))
	}
	for s := range 10 {
		reduce(time.Duration(s)*time.Second, rail.NewTimerFired("digest.tick"))
	}
	written := r.State().FactCount()
	is.True(written > 500 && written < 1500*10/12) // within the rate limit
	reduce(10*time.Second, digest.NewFactPublished(rail.NewPublish(rail.FactBrake, "frames/v2", "failed")))
	_, ok := r.State().Fact(rail.NewFactKey(rail.FactBrake, "frames/v2", "e1"))
	is.True(ok)
}

func TestSameValueIsNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	_, reduce := newLoneReducer()
	brake := digest.NewFactPublished(rail.NewPublish(rail.FactBrake, "frames/v2", "failed"))
	is.True(len(reduce(0, brake)) > 0)
	is.Equal(len(reduce(0, brake)), 0)
}

func TestFactPublishedByAPeerIsNotPublishedAgain(t *testing.T) {
	is := is.New(t)
	r, reduce := newLoneReducer()
	fact := rail.NewFact(rail.NewFactKey(rail.FactLeaving, "m1", "e2-a"), 1, "m1-a")
	batch := digest.NewBatch("e2-a", true, 0, 1, []rail.Fact{fact})
	reduce(0, digest.NewResponseReceived(rail.Instance{}, digest.NewResponse(false, []digest.Batch{batch}, nil)))
	before := r.State().FactCount()
	reduce(0, digest.NewFactPublished(rail.NewPublish(rail.FactLeaving, "m1", "m1-a")))
	is.Equal(r.State().FactCount(), before)
	reduce(0, digest.NewFactPublished(rail.NewPublish(rail.FactLeaving, "m1", "m1-b")))
	is.Equal(r.State().FactCount(), before+1)
}

func TestSilentPeerIsSuspectedAndNotForgotten(t *testing.T) {
	is := is.New(t)
	members := instance.New(rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1"))
	e2 := rail.NewInstance("e2", "breno", rail.RoleEntry, "127.0.0.1:2").WithPeerAddress("127.0.0.1:3")
	start := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	members.Reduce(rail.NewInput(rail.NewListRead([]rail.Instance{e2}), start, 1))
	r := digest.New(members)
	fact := rail.NewFact(rail.NewFactKey(rail.FactDemand, "members", e2.Incarnation()), 1, "5")
	batch := digest.NewBatch(e2.Incarnation(), false, 0, 1, []rail.Fact{fact})
	r.Reduce(rail.NewInput(digest.NewResponseReceived(e2, digest.NewResponse(false, []digest.Batch{batch}, nil)), start, 1))
	for s := range 600 {
		at := start.Add(time.Duration(s) * time.Second)
		r.Reduce(rail.NewInput(digest.NewExchangeFailed(e2), at, 1))
		r.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), at, 1))
	}
	_, ok := r.State().Fact(fact.Key())
	is.True(ok) // the list still shows the peer
}
