package team

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
)

// testEntry is an entry with a manual clock.
type testEntry struct {
	reducer *Reducer
	now     time.Time
	next    int
}

// newTestEntry returns one of the given number of entries, with one upstream of the given slots; it has received no digest from the other entries.
func newTestEntry(s Settings, slots, entries int, teams ...rail.Team) *testEntry {
	te := &testEntry{reducer: New(s, "me"), now: epoch}
	te.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 1, teams, nil, nil, "")))
	te.reduce(rail.NewListRead([]rail.Instance{rail.NewInstance("m1", "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1")}))
	te.reduce(rail.NewLoadRead(rail.NewLoad("m1", 0, 0, slots, epoch)))
	te.reduce(NewCapacity(entries))
	return te
}

func (te *testEntry) reduce(e rail.Event) []rail.Effect {
	return te.reducer.Reduce(rail.NewInput(e, te.now, 0))
}

// arrive submits a request of the team and returns its id and outcome.
func (te *testEntry) arrive(team rail.TeamName) (rail.RequestID, string) {
	te.next++
	id := rail.RequestID(fmt.Sprint("r", te.next))
	effects := te.reduce(NewArrived(rail.NewRequest(id, team, "drafting", te.now), route))
	return id, outcome(effects, id)
}

// outcome returns the outcome of the request in the effects.
func outcome(effects []rail.Effect, id rail.RequestID) string {
	for _, f := range effects {
		switch f := f.(type) {
		case Admitted:
			if f.Call() == id {
				return "admitted"
			}
		case Refused:
			if f.Call() == id {
				return string(f.Kind())
			}
		}
	}
	return "queued"
}

func (te *testEntry) arriveMany(team rail.TeamName, n int) map[string]int {
	found := map[string]int{}
	for range n {
		_, o := te.arrive(team)
		found[o]++
	}
	return found
}

func TestReservedShareGetsNextFreeSlot(t *testing.T) {
	is := is.New(t)
	te := newTestEntry(Defaults(), 10, 1, counter, neighbour)
	borrowed, _ := te.arrive("neighbour")
	is.Equal(te.arriveMany("neighbour", 12)["admitted"], 9) // all reserved slots are borrowed, none is idle
	id, o := te.arrive("counter")
	is.Equal(o, "queued")
	is.Equal(outcome(te.reduce(NewEnded(borrowed)), id), "admitted") // ahead of the neighbour's three queued requests
}

func TestPreemptStopsResumableBorrowedWork(t *testing.T) {
	is := is.New(t)
	te := newTestEntry(Defaults().WithPreemption(true), 10, 1, counter, neighbour)
	te.arriveMany("neighbour", 10)
	effects := te.reduce(NewArrived(rail.NewRequest("c", "counter", "drafting", te.now), route))
	var stopped []rail.RequestID
	for _, f := range effects {
		if p, ok := f.(Preempt); ok {
			stopped = append(stopped, p.Request())
		}
	}
	is.Equal(len(stopped), 1)
	is.Equal(outcome(te.reduce(NewEnded(stopped[0])), "c"), "admitted")
}

func TestDivisionAmongEntries(t *testing.T) {
	tests := []struct {
		name  string
		peers map[rail.Incarnation]string
		want  int
	}{
		{"partitioned: the static share", nil, 10},
		{"all peers idle", map[rail.Incarnation]string{"a": "", "b": "", "c": ""}, 40},
		{"a peer with three times the demand", map[rail.Incarnation]string{"a": "neighbour 60", "b": "", "c": ""}, 10},
		{"peers with the same demand, one silent", map[rail.Incarnation]string{"a": "neighbour 20", "b": "neighbour 20"}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			te := newTestEntry(Defaults(), 40, 4, neighbour)
			for range 200 { // 20 requests per second for the length of rateWindow
				te.now = te.now.Add(50 * time.Millisecond)
				id, _ := te.arrive("neighbour")
				te.reduce(NewEnded(id))
			}
			for origin, text := range tt.peers {
				key := rail.NewFactKey(rail.FactDemand, "tin-writer", origin)
				te.reduce(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, text)}))
			}
			te.reducer.pools["tin-writer"].serviceTime = 10 // demand far above the slots
			got := te.arriveMany("neighbour", 100)["admitted"]
			is.True(math.Abs(float64(got-tt.want)) <= 4)
		})
	}
}

func TestLimitIsDividedByDemand(t *testing.T) {
	tests := []struct {
		name string
		peer string
		want int
	}{
		{"partitioned", "", 250},
		{"peer idle", "counter 0", 500},
		{"peer with three times the rate", "counter 60", 125},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			te := newTestEntry(Defaults(), 1000, 2, counter.WithLimit(10))
			admitted := 0
			for i := range 1000 { // 50 s at 20 requests per second
				if i%20 == 0 && tt.peer != "" {
					key := rail.NewFactKey(rail.FactDemand, "tin-writer", "peer")
					te.reduce(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, uint64(i+1), tt.peer)}))
				}
				te.now = te.now.Add(50 * time.Millisecond)
				id, o := te.arrive("counter")
				if o == "admitted" {
					admitted++
					te.reduce(NewEnded(id))
				} else {
					is.Equal(o, string(rail.KindLimited))
				}
			}
			is.True(math.Abs(float64(admitted-tt.want)) <= float64(tt.want)/5)
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	te := newTestEntry(Defaults().WithRetryBudget(0.1, 3), 1000, 1, counter, neighbour.WithRetryShare(0.5))
	spend := func(team rail.TeamName) int {
		n := 0
		for te.reducer.Retry(team) {
			n++
		}
		return n
	}
	is.Equal(spend("counter"), 3) // the burst
	te.arriveMany("counter", 20)
	is.Equal(spend("counter"), 2) // a tenth of its requests
	is.Equal(spend("neighbour"), 3)
	te.arriveMany("neighbour", 4)
	is.Equal(spend("neighbour"), 2)
}

func TestRefusedBeforeAnythingRan(t *testing.T) {
	is := is.New(t)
	te := newTestEntry(Defaults().WithMaxQueue(5), 2, 1, counter)
	found := te.arriveMany("counter", 20)
	is.Equal(found["admitted"], 2)
	is.True(found["overloaded"] > 0)
	is.Equal(found["queued"]+found["admitted"]+found["overloaded"], 20)
	is.Equal(rail.KindOverloaded.Reply().Run(), rail.NotRun)
	is.Equal(rail.KindLimited.Reply().Run(), rail.NotRun)
	te.now = te.now.Add(waitTarget)
	effects := te.reduce(rail.NewTimerFired(tickTimer))
	late := 0
	for _, f := range effects {
		if r, ok := f.(Refused); ok {
			is.Equal(r.Kind(), rail.KindOverloaded)
			late++
		}
	}
	is.Equal(late, found["queued"]) // no request waits beyond its target
}

func TestUnknownUpstreamsAdmit(t *testing.T) {
	is := is.New(t)
	te := &testEntry{reducer: New(Defaults(), "me"), now: epoch}
	is.Equal(te.arriveMany("counter", 50)["admitted"], 50)
}

// In any order of arrivals, ends, ticks and documents, no slot is counted twice and none is lost.
func TestSlotCountsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		te := newTestEntry(Defaults(), 6, 1, counter, neighbour)
		var ids []rail.RequestID
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				id, _ := te.arrive(rapid.SampledFrom([]rail.TeamName{"counter", "neighbour", "stranger"}).Draw(t, "team"))
				ids = append(ids, id)
			case 2:
				if len(ids) > 0 {
					te.reduce(NewEnded(rapid.SampledFrom(ids).Draw(t, "ended")))
				}
			case 3:
				te.now = te.now.Add(300 * time.Millisecond)
				te.reduce(rail.NewTimerFired(tickTimer))
			case 4:
				te.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 2, []rail.Team{counter}, nil, nil, "")))
			}
			pl := te.reducer.pools["tin-writer"]
			if pl == nil {
				continue
			}
			running, queued := 0, 0
			for _, m := range pl.members {
				running += m.running
				queued += len(m.queue)
			}
			is.Equal(running, pl.running)
			is.Equal(running+queued, len(te.reducer.requests))
			is.True(running <= 6)
			is.True(queued == 0 || running >= pl.maxRunning) // work-conserving
		}
		for _, id := range ids {
			te.reduce(NewEnded(id))
		}
		is.Equal(len(te.reducer.requests), 0)
	})
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		demands := make([]teamDemand, rapid.IntRange(0, 6).Draw(t, "teams"))
		demanded := 0.0
		for i := range demands {
			demands[i] = teamDemand{share: rapid.Float64Range(0, 1).Draw(t, "share") / 6, demand: rapid.Float64Range(0, 500).Draw(t, "demand")}
			demanded += demands[i].demand
		}
		sum := 0.0
		for i, g := range divide(capacity, demands) {
			is.True(g <= demands[i].demand+1e-6)
			is.True(g >= math.Min(demands[i].demand, demands[i].share*capacity)-1e-6) // the reserved share
			sum += g
		}
		is.True(math.Abs(sum-math.Min(capacity, demanded)) < 1e-6) // work-conserving
	})
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(Defaults().Validate())
	for _, s := range []Settings{Defaults().WithPeerTimeout(0), Defaults().WithMaxWait(0), Defaults().WithMaxQueue(0), Defaults().WithDefaultSlots(0), Defaults().WithRetryBudget(2, 1)} {
		is.Equal(rail.KindOf(s.Validate()), rail.KindBadSettings)
	}
}

func FuzzParseDemand(f *testing.F) {
	f.Add("counter 0.5 neighbour 60")
	f.Fuzz(func(t *testing.T, text string) {
		all, ok := parseDemand(text)
		for _, rate := range all {
			if ok && !(rate >= 0) {
				t.Fatalf("%q gives rate %g", text, rate)
			}
		}
	})
}
