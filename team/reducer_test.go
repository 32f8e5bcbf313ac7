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

// desk is one entry under test.
type desk struct {
	part *Reducer
	now  time.Time
	next int
}

// newDesk returns an entry with one upstream of so many slots, the only one of so many entries that is heard of.
func newDesk(s Settings, slots, entries int, teams ...rail.Team) *desk {
	d := &desk{part: New(s, "me"), now: epoch}
	d.feed(rail.NewDocumentInForce(rail.NewDocument("trial", 1, teams, nil, nil, "")))
	d.feed(rail.NewListRead([]rail.Instance{rail.NewInstance("m1", "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1")}))
	d.feed(rail.NewLoadRead(rail.NewLoad("m1", 0, 0, slots, epoch)))
	d.feed(NewCapacity(slots, entries))
	return d
}

func (d *desk) feed(e rail.Event) []rail.Effect {
	return d.part.Reduce(rail.NewInput(e, d.now, 0))
}

// ask lets a request of the team arrive and returns its id and what became of it.
func (d *desk) ask(team rail.TeamName) (rail.RequestID, string) {
	d.next++
	id := rail.RequestID(fmt.Sprint("r", d.next))
	effects := d.feed(NewArrived(rail.NewRequest(id, team, "drafting", d.now), route))
	return id, outcome(effects, id)
}

// outcome returns what the effects say of the request.
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

func (d *desk) askMany(team rail.TeamName, n int) map[string]int {
	found := map[string]int{}
	for range n {
		_, o := d.ask(team)
		found[o]++
	}
	return found
}

func TestReservedShareIsBackWithinOneSlot(t *testing.T) {
	is := is.New(t)
	d := newDesk(Defaults(), 10, 1, counter, neighbour)
	borrowed, _ := d.ask("neighbour")
	is.Equal(d.askMany("neighbour", 12)["admitted"], 9) // all slots are lent out, none is idle
	id, o := d.ask("counter")
	is.Equal(o, "queued")
	is.Equal(outcome(d.feed(NewEnded(borrowed)), id), "admitted") // before the neighbour's three, which came earlier
}

func TestPreemptTakesBorrowedWorkThatCanResume(t *testing.T) {
	is := is.New(t)
	d := newDesk(Defaults().WithPreemption(true), 10, 1, counter, neighbour)
	d.askMany("neighbour", 10)
	effects := d.feed(NewArrived(rail.NewRequest("c", "counter", "drafting", d.now), route))
	var stopped []rail.RequestID
	for _, f := range effects {
		if p, ok := f.(Preempt); ok {
			stopped = append(stopped, p.Request())
		}
	}
	is.Equal(len(stopped), 1)
	is.Equal(outcome(d.feed(NewEnded(stopped[0])), "c"), "admitted")
}

func TestDivisionAmongEntries(t *testing.T) {
	tests := []struct {
		name  string
		peers map[rail.Incarnation]string
		want  int
	}{
		{"cut off: the static part", nil, 10},
		{"all idle but this one", map[rail.Incarnation]string{"a": "", "b": "", "c": ""}, 40},
		{"a peer with three times the demand", map[rail.Incarnation]string{"a": "neighbour 60", "b": "", "c": ""}, 10},
		{"peers with the same demand, one silent", map[rail.Incarnation]string{"a": "neighbour 20", "b": "neighbour 20"}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(Defaults(), 40, 4, neighbour)
			for range 200 { // 20 requests a second for as long as rates are measured over
				d.now = d.now.Add(50 * time.Millisecond)
				id, _ := d.ask("neighbour")
				d.feed(NewEnded(id))
			}
			for origin, text := range tt.peers {
				key := rail.NewFactKey(rail.FactDemand, "tin-writer", origin)
				d.feed(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, text)}))
			}
			d.part.pools["tin-writer"].service = 10 // far more than there are slots for
			got := d.askMany("neighbour", 100)["admitted"]
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
		{"cut off", "", 250},
		{"peer idle", "counter 0", 500},
		{"peer with three times the rate", "counter 60", 125},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDesk(Defaults(), 1000, 2, counter.WithLimit(10))
			let := 0
			for i := range 1000 { // 50 s at 20 a second
				if i%20 == 0 && tt.peer != "" {
					key := rail.NewFactKey(rail.FactDemand, "tin-writer", "peer")
					d.feed(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, uint64(i+1), tt.peer)}))
				}
				d.now = d.now.Add(50 * time.Millisecond)
				id, o := d.ask("counter")
				if o == "admitted" {
					let++
					d.feed(NewEnded(id))
				} else {
					is.Equal(o, string(rail.KindLimited))
				}
			}
			is.True(math.Abs(float64(let-tt.want)) <= float64(tt.want)/5)
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	d := newDesk(Defaults().WithRetryBudget(0.1, 3), 1000, 1, counter, neighbour.WithRetryShare(0.5))
	spend := func(team rail.TeamName) int {
		n := 0
		for d.part.Retry(team) {
			n++
		}
		return n
	}
	is.Equal(spend("counter"), 3) // the burst
	d.askMany("counter", 20)
	is.Equal(spend("counter"), 2) // a tenth of its requests
	is.Equal(spend("neighbour"), 3)
	d.askMany("neighbour", 4)
	is.Equal(spend("neighbour"), 2)
}

func TestRefusedBeforeAnythingRan(t *testing.T) {
	is := is.New(t)
	d := newDesk(Defaults().WithMaxQueue(5), 2, 1, counter)
	found := d.askMany("counter", 20)
	is.Equal(found["admitted"], 2)
	is.True(found["overloaded"] > 0)
	is.Equal(found["queued"]+found["admitted"]+found["overloaded"], 20)
	is.Equal(rail.KindOverloaded.Reply().Run(), rail.NotRun)
	is.Equal(rail.KindLimited.Reply().Run(), rail.NotRun)
	d.now = d.now.Add(worldTarget)
	effects := d.feed(rail.NewTimerFired(tickTimer))
	late := 0
	for _, f := range effects {
		if r, ok := f.(Refused); ok {
			is.Equal(r.Kind(), rail.KindOverloaded)
			late++
		}
	}
	is.Equal(late, found["queued"]) // none waits beyond its target
}

func TestUnknownUpstreamsAdmit(t *testing.T) {
	is := is.New(t)
	d := &desk{part: New(Defaults(), "me"), now: epoch}
	is.Equal(d.askMany("counter", 50)["admitted"], 50)
}

// Whatever comes and goes, no slot is counted twice and none is lost.
func TestCountsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		d := newDesk(Defaults(), 6, 1, counter, neighbour)
		var ids []rail.RequestID
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				id, _ := d.ask(rapid.SampledFrom([]rail.TeamName{"counter", "neighbour", "stranger"}).Draw(t, "team"))
				ids = append(ids, id)
			case 2:
				if len(ids) > 0 {
					d.feed(NewEnded(rapid.SampledFrom(ids).Draw(t, "ended")))
				}
			case 3:
				d.now = d.now.Add(300 * time.Millisecond)
				d.feed(rail.NewTimerFired(tickTimer))
			case 4:
				d.feed(rail.NewDocumentInForce(rail.NewDocument("trial", 2, []rail.Team{counter}, nil, nil, "")))
			}
			l := d.part.pools["tin-writer"]
			if l == nil {
				continue
			}
			running, queued := 0, 0
			for _, m := range l.members {
				running += m.running
				queued += len(m.queue)
			}
			is.Equal(running, l.running)
			is.Equal(running+queued, len(d.part.tickets))
			is.True(running <= 6)
			is.True(queued == 0 || running >= l.room) // work-conserving
		}
		for _, id := range ids {
			d.feed(NewEnded(id))
		}
		is.Equal(len(d.part.tickets), 0)
	})
}

func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		claims := make([]claim, rapid.IntRange(0, 6).Draw(t, "teams"))
		demanded := 0.0
		for i := range claims {
			claims[i] = claim{share: rapid.Float64Range(0, 1).Draw(t, "share") / 6, demand: rapid.Float64Range(0, 500).Draw(t, "demand")}
			demanded += claims[i].demand
		}
		sum := 0.0
		for i, g := range divide(capacity, claims) {
			is.True(g <= claims[i].demand+1e-6)
			is.True(g >= math.Min(claims[i].demand, claims[i].share*capacity)-1e-6) // the reserved share
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
