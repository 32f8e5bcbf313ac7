package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func (w *world) call(path string) *Call {
	return NewCall("r-"+strconv.FormatInt(w.now.UnixNano(), 36), path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), w.now, w.now.Add(12*time.Second))
}

// effect returns the effect that is for a call.
func effect(effects []Effect) Effect {
	for _, e := range effects {
		switch e.(type) {
		case Send, Refuse, Deliver:
			return e
		}
	}
	return nil
}

func (w *world) arrive(c *Call) Effect { return effect(w.post(CallArrived{call: c})) }

func (w *world) end(c *Call, o Outcome) Effect {
	return effect(w.post(AttemptEnded{call: c, outcome: o}))
}

func newServingWorld(upstreams ...Upstream) *world {
	w := newWorld()
	w.post(NewConfigRead(testCatalogue(1), "store"))
	for _, u := range upstreams {
		w.list(UpstreamSet(u))
	}
	return w
}

func model(id, domain string) Upstream {
	return NewUpstream(id, "models", "127.0.0.1:1", domain, 1).WithSlots(64, 0)
}

func TestWhatFollowsAnAttempt(t *testing.T) {
	failed, refused := Outcome{kind: rail.KindUpstreamFailed}, Outcome{kind: rail.KindUpstreamFull}
	answered := Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500}
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		last       string
	}{
		{"an order that may have run is not sent again", "/orders/1", []Outcome{failed}, "refuse upstreamFailed"},
		{"an order that did not run goes to another upstream", "/orders/1", []Outcome{refused}, "send"},
		{"an order that no upstream took did not run", "/orders/1", []Outcome{refused, refused, refused}, "refuse upstreamFull"},
		{"an order that may have run after a refusal is no refusal", "/orders/1", []Outcome{refused, failed}, "refuse upstreamFailed"},
		{"a lookup goes to another upstream", "/orders/lookup/1", []Outcome{failed}, "send"},
		{"a lookup runs at no more upstreams than allowed", "/orders/lookup/1", []Outcome{failed, failed}, "refuse upstreamFailed"},
		{"a lookup that may have run is not refused as not run", "/orders/lookup/1", []Outcome{failed, refused, refused, refused}, "refuse upstreamFailed"},
		{"an upstream's own failure is delivered", "/orders/1", []Outcome{answered}, "deliver"},
		{"a lookup's second failure is delivered", "/orders/lookup/1", []Outcome{answered, answered}, "deliver"},
		{"a stream that may go on does", "/drafts/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, last: "3"}}, "send 3"},
		{"a stream that may not go on ends", "/chats/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, last: "3"}}, "refuse upstreamFailed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newServingWorld(testUpstream("a"), testUpstream("b"), testUpstream("c"), testUpstream("d"), model("e", "north"), model("f", "north"))
			call := w.call(c.path)
			e := w.arrive(call)
			for _, o := range c.outcomes {
				_, sent := e.(Send)
				is.True(sent)
				e = w.end(call, o)
			}
			got := ""
			switch e := e.(type) {
			case Send:
				got = "send"
				if e.resume != "" {
					got += " " + e.resume
				}
			case Refuse:
				got = "refuse " + string(e.kind)
			case Deliver:
				got = "deliver"
			}
			is.Equal(got, c.last)
			for _, u := range w.state.roster.targets {
				if got[:4] != "send" {
					is.Equal(u.own, Load{}) // Nothing is left of the load.
				}
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	is.Equal(w.arrive(w.call("/orders/1")).(Refuse).kind, rail.KindNotReady)
	w.post(NewConfigRead(testCatalogue(1, testTeam()), "store"))
	w.list()
	is.Equal(w.arrive(w.call("/nothing/1")).(Refuse).kind, rail.KindUnknownRoute)
	stranger := w.call("/orders/1")
	stranger.key = "key-2"
	is.Equal(w.arrive(stranger).(Refuse).kind, rail.KindUnknownTeam)
	none := w.arrive(w.call("/orders/1")).(Refuse)
	is.Equal(none.kind, rail.KindNoUpstream)
	is.True(none.retryAfter > 0)
	w.list(UpstreamSet(testUpstream("a")))
	over := w.call("/orders/1")
	over.WithTokens(5_000_000, 0, nil)
	limited := w.arrive(over).(Refuse)
	is.Equal(limited.kind, rail.KindLimited)
	is.True(limited.retryAfter > 0)
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	w := newServingWorld(testUpstream("a"), testUpstream("b"))
	w.list(UpstreamSet(testUpstream("a").WithLeaving(2 * time.Second)))
	for range 50 {
		w.pass(time.Millisecond)
		is.Equal(w.arrive(w.call("/orders/1")).(Send).upstream.id, "b")
	}
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	is := is.New(t)
	w := newServingWorld(testUpstream("a"), testUpstream("b"), testUpstream("c"))
	first, again := 0, 0
	for range 1000 {
		w.pass(5 * time.Millisecond)
		c := w.call("/orders/lookup/1")
		if _, ok := w.arrive(c).(Send); ok {
			first++
		}
		if _, ok := w.end(c, Outcome{kind: rail.KindUpstreamFailed}).(Send); ok {
			again++
			w.end(c, Outcome{kind: rail.KindUpstreamFailed})
		}
	}
	is.True(float64(again) <= 0.2*float64(first)+60)
	is.True(again > 100) // What the budget allows is used.
}

func TestDomainThatIsCutOffIsPassedOver(t *testing.T) {
	is := is.New(t)
	near, far, other := testUpstream("near"), testUpstream("far-1"), testUpstream("far-2")
	far.domain, other.domain = "south", "south"
	w := newServingWorld(near, far, other)
	timedOut := Outcome{kind: rail.KindUpstreamUnreachable, timedOut: true}
	w.state.noteReach(w.state.roster.targets["far-1"], timedOut.kind, true)
	w.state.noteReach(w.state.roster.targets["far-2"], timedOut.kind, true)
	for range 30 {
		w.pass(10 * time.Millisecond)
		is.Equal(w.arrive(w.call("/orders/1")).(Send).upstream.id, "near")
	}
	w.pass(reachBar).post(Ticked{})
	is.True(!w.state.cut("south")) // Tried again after a while.
	w.state.noteReach(w.state.roster.targets["far-1"], rail.KindNone, false)
	is.True(!w.state.cut("south"))
}

func TestSilentEngineLosesItsStreamsThatMayGoOn(t *testing.T) {
	is := is.New(t)
	w := newServingWorld(model("a", "north"))
	var calls []*Call
	for range 3 {
		w.pass(time.Millisecond)
		c := w.call("/drafts/1")
		w.arrive(c)
		w.post(AnswerStarted{call: c})
		calls = append(calls, c)
	}
	w.pass(silence / 2).post(StreamProgressed{call: calls[0]})
	is.Equal(len(aborts(w.pass(silence/2).post(Ticked{}))), 0) // One stream still moves.
	is.Equal(len(aborts(w.pass(silence).post(Ticked{}))), 3)
}

func aborts(effects []Effect) []Abort {
	var found []Abort
	for _, e := range effects {
		if a, ok := e.(Abort); ok {
			found = append(found, a)
		}
	}
	return found
}

// playedEngine reads the prompts that it was sent one after the other.
type playedEngine struct {
	busyUntil time.Time
	held      map[string]bool
}

// read returns when the first token of a call comes.
func (e *playedEngine) read(c *Call, now time.Time) time.Time {
	missing := int64(0)
	for _, p := range c.parts {
		if !e.held[p.id] {
			missing += p.tokens
		}
		e.held[p.id] = true
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(missing) * time.Second / prefillPerSecond)
	return e.busyUntil
}

// TestPlacementUnderABurst plays drafts at 1.5 times what eight engines can
// read without their caches, in a mix of sizes like the users', against random
// choice with the same calls: the time to the first token, of all and of the
// largest tenth.
func TestPlacementUnderABurst(t *testing.T) {
	is := is.New(t)
	play := func(choose func(w *world, c *Call) string) (all, largest time.Duration, missed int) {
		var upstreams []Upstream
		engines := map[string]*playedEngine{}
		for i := range 8 {
			id := fmt.Sprintf("engine-%d", i)
			upstreams = append(upstreams, model(id, "north"))
			engines[id] = &playedEngine{held: map[string]bool{}}
		}
		w := newServingWorld(upstreams...)
		random := rand.New(rand.NewPCG(1, 2))
		type first struct {
			wait time.Duration
			size int64
		}
		var firsts []first
		due := map[*Call]time.Time{}
		for n := range 1500 {
			w.pass(20 * time.Millisecond)
			for c, at := range due {
				if !at.After(w.now) {
					w.post(AnswerStarted{call: c})
				}
				if !at.Add(2 * time.Second).After(w.now) { // The answer is written.
					w.end(c, Outcome{answered: true, status: 200})
					delete(due, c)
				}
			}
			own := int64(1000 + random.ExpFloat64()*6000)
			c := w.call("/drafts/1")
			c.WithTokens(5400+own, 384, []PromptPart{NewPromptPart(fmt.Sprintf("p%d", random.IntN(3)), 512), NewPromptPart(fmt.Sprintf("s%d", random.IntN(60)), 4888), NewPromptPart(fmt.Sprintf("o%d", n), own)})
			id := choose(w, c)
			at := engines[id].read(c, w.now)
			due[c] = at
			firsts = append(firsts, first{at.Sub(w.now), c.prompt})
		}
		slices.SortFunc(firsts, func(a, b first) int { return int(b.size - a.size) })
		tenth := firsts[:len(firsts)/10]
		for i, f := range firsts {
			all += f.wait
			if i < len(tenth) {
				largest += f.wait
			}
			if f.wait > time.Second { // The goal of the route.
				missed++
			}
		}
		return all / time.Duration(len(firsts)), largest / time.Duration(len(tenth)), missed
	}
	random := rand.New(rand.NewPCG(3, 4))
	all, largest, missed := play(func(w *world, c *Call) string { return w.arrive(c).(Send).upstream.id })
	randomAll, randomLargest, randomMissed := play(func(w *world, c *Call) string {
		w.arrive(c)
		return fmt.Sprintf("engine-%d", random.IntN(8))
	})
	t.Logf("mean wait %v, of the largest tenth %v, %d over the goal; at random %v, %v, %d", all, largest, missed, randomAll, randomLargest, randomMissed)
	is.True(all < randomAll)
	is.True(largest < randomLargest)
	is.True(missed <= randomMissed)
}

func TestBadVersionGetsItsShareOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(sent int) bool
	}{
		{"fails at once", func(int) bool { return true }},
		{"fails later", func(sent int) bool { return sent > 60 }},
		{"fails at times", func(sent int) bool { return sent%3 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fresh := testUpstream("new")
			w := newServingWorld(testUpstream("a").WithVersion("v1"), testUpstream("b").WithVersion("v1"), fresh.WithVersion("v2"))
			w.state.settings = w.state.settings.WithExposure(0.1)
			w.post(NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutRunning)))
			sent, all, afterVerdict := 0, 0, 0
			for range 1200 { // 100 requests a second up to the deadline.
				w.pass(10 * time.Millisecond)
				call := w.call("/orders/1")
				s := w.arrive(call).(Send)
				all++
				o := Outcome{answered: true, status: 200}
				if s.upstream.version == "v2" {
					sent++
					if w.state.rollouts["desk"].bad {
						afterVerdict++
					}
					if c.bad(sent) {
						o = Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500}
					}
				}
				w.pass(0)
				w.end(call, o)
				w.post(Ticked{})
			}
			is.True(float64(sent) <= 0.1*float64(all)+50)
			is.Equal(afterVerdict, 0)
			is.Equal(w.state.Verdicts()["desk"].State(), RolloutRolledBack)
		})
	}
}

func TestGoodVersionIsDoneInTime(t *testing.T) {
	is := is.New(t)
	w := newServingWorld(testUpstream("a").WithVersion("v1"), testUpstream("b").WithVersion("v1"), testUpstream("new").WithVersion("v2"))
	w.state.settings = w.state.settings.WithExposure(0.1)
	w.post(NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutRunning)))
	for range 1180 {
		w.pass(10 * time.Millisecond)
		call := w.call("/orders/1")
		w.arrive(call)
		w.end(call, Outcome{answered: true, status: 200})
		w.post(Ticked{})
	}
	is.Equal(w.state.Verdicts()["desk"].State(), RolloutDone)
	for range 20 {
		w.pass(time.Millisecond)
		is.Equal(w.arrive(w.call("/orders/1")).(Send).upstream.version, "v2")
	}
}
