package digest_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
)

// origins are the processes whose facts the property tests merge.
var origins = []rail.Incarnation{"a", "b", "c"}

// drawBatches returns batches that the processes could have sent, with gaps, repeats and in any order.
func drawBatches(t *rapid.T, label string) []digest.Batch {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) digest.Batch {
		o := rapid.SampledFrom(origins).Draw(t, "origin")
		after := rapid.Uint64Range(0, 8).Draw(t, "after")
		upTo := rapid.Uint64Range(after, 9).Draw(t, "upTo")
		var facts []rail.Fact
		for s := after + 1; s <= upTo; s++ {
			facts = append(facts, writtenFact(o, s))
		}
		return digest.NewBatch(o, false, after, upTo, facts)
	}), 0, 6).Draw(t, label)
}

// writtenFact returns the fact that the origin writes at the sequence number, always the same one.
func writtenFact(o rail.Incarnation, sequence uint64) rail.Fact {
	key := rail.NewFactKey(rail.FactLoad, fmt.Sprint(sequence%3), o)
	return rail.NewFact(key, sequence, fmt.Sprintf("%s%d", o, sequence))
}

// heldFacts returns the facts that a state holds.
func heldFacts(s *digest.State) []rail.Fact {
	var fs []rail.Fact
	for _, o := range origins {
		for subject := range 3 {
			if f, ok := s.Fact(rail.NewFactKey(rail.FactLoad, fmt.Sprint(subject), o)); ok {
				fs = append(fs, f)
			}
		}
	}
	return fs
}

func mergedState(batches ...[]digest.Batch) *digest.State {
	s := digest.NewState("self")
	for _, bs := range batches {
		s.Merge(bs)
	}
	return s
}

func TestMergeProperties(t *testing.T) {
	t.Run("commutative", rapid.MakeCheck(func(t *rapid.T) {
		a, b := drawBatches(t, "a"), drawBatches(t, "b")
		if !slices.Equal(heldFacts(mergedState(a, b)), heldFacts(mergedState(b, a))) {
			t.Fatal("result depends on the order of merges")
		}
	}))
	t.Run("idempotent", rapid.MakeCheck(func(t *rapid.T) {
		a := drawBatches(t, "a")
		s := mergedState(a)
		before := heldFacts(s)
		if news := s.Merge(a); len(news) > 0 || !slices.Equal(heldFacts(s), before) {
			t.Fatal("a second merge of the same batches changes the state")
		}
	}))
	t.Run("monotonic", rapid.MakeCheck(func(t *rapid.T) {
		s := digest.NewState("self")
		for _, b := range drawBatches(t, "batches") {
			before, summary := heldFacts(s), s.Summary(false)
			s.Merge([]digest.Batch{b})
			for _, f := range before {
				if now, ok := s.Fact(f.Key()); !ok || now.Sequence() < f.Sequence() {
					t.Fatalf("%v was replaced by the earlier %v", f, now)
				}
			}
			held := map[uint64]uint64{}
			for i, id := range s.Summary(false).IDs() {
				held[id] = s.Summary(false).Sequences()[2*i]
			}
			for i, id := range summary.IDs() {
				if held[id] < summary.Sequences()[2*i] {
					t.Fatal("sequence number of the summary decreased")
				}
			}
		}
	}))
}

// TestSummaryIsAccurate writes and exchanges facts at random and checks that all states hold the same facts after a final exchange. A summary that states more than its state holds would leave a fact missing.
func TestSummaryIsAccurate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := make([]*digest.State, len(origins))
		for i, o := range origins {
			states[i] = digest.NewState(o)
			states[i].Put(rail.FactAlive, "", "")
		}
		pull := func(to, from int) {
			if batches, ok := states[from].Missing(states[to].Summary(false)); ok {
				states[to].Merge(batches)
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "i")
			j := rapid.IntRange(0, 2).Draw(t, "j")
			if i == j {
				states[i].Put(rail.FactLoad, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "subject")), "x")
				continue
			}
			pull(i, j)
		}
		for range 2 {
			for i := range states {
				for j := range states {
					pull(i, j)
				}
			}
		}
		for _, s := range states[1:] {
			if !slices.Equal(heldFacts(s), heldFacts(states[0])) || s.Summary(true).Set() != states[0].Summary(true).Set() {
				t.Fatal("states differ after the final exchange")
			}
		}
	})
}

func TestForgottenOriginStaysForgotten(t *testing.T) {
	is := is.New(t)
	b := digest.NewBatch("b", false, 0, 2, []rail.Fact{writtenFact("b", 1), writtenFact("b", 2)})
	s := digest.NewState("self")
	s.Merge([]digest.Batch{b})
	s.Forget("b")
	is.Equal(len(s.Merge([]digest.Batch{b})), 0) // from a peer that still holds the facts
	is.Equal(len(s.Origins()), 1)
	is.Equal(len(s.Merge([]digest.Batch{digest.NewBatch("b", false, 2, 3, []rail.Fact{writtenFact("b", 3)})})), 1) // a new write proves that the process is alive
	is.Equal(len(s.Origins()), 2)
	batches, _ := stateWithWrites("b", 3).Missing(s.Summary(false))
	is.Equal(batches[0].After(), uint64(0)) // the forgotten facts are requested again
}

// stateWithWrites returns the state of a process that has written the given number of facts.
func stateWithWrites(o rail.Incarnation, writes int) *digest.State {
	s := digest.NewState(o)
	for i := 1; i <= writes; i++ {
		s.Put(rail.FactLoad, fmt.Sprint(i%3), fmt.Sprintf("%s%d", o, i))
	}
	return s
}

func TestShortSummaryNeedsTheSameSet(t *testing.T) {
	is := is.New(t)
	a, b := stateWithWrites("a", 2), stateWithWrites("b", 2)
	_, readable := b.Missing(a.Summary(true))
	is.True(!readable)
	all, _ := b.Missing(a.Summary(false))
	a.Merge(all)
	back, _ := a.Missing(b.Summary(false))
	b.Merge(back)
	missing, readable := b.Missing(a.Summary(true))
	is.True(readable)
	is.Equal(len(missing), 0)
	b.Put(rail.FactLoad, "1", "y")
	missing, _ = b.Missing(a.Summary(true))
	is.Equal(len(missing), 1)
	is.Equal(len(missing[0].Facts()), 1)
}
