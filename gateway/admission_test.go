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
	"dandelionrail.org/rail/admission"
	"dandelionrail.org/rail/estimate"
)

func (h *harness) call(path string) *Call {
	return NewCall("r-"+strconv.FormatInt(h.now.UnixNano(), 36), path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), h.now, h.now.Add(12*time.Second))
}

// callEffect returns the effect that a call must carry out, nil if there is none.
func callEffect(effects []Effect) Effect {
	for _, e := range effects {
		switch e.(type) {
		case Send, Refuse, Deliver:
			return e
		}
	}
	return nil
}

// holds reports whether a call is to wait.
func holds(effects []Effect) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Hold); return ok })
}

func (h *harness) arrive(c *Call) Effect { return callEffect(h.post(CallArrived{call: c})) }

func (h *harness) end(c *Call, o Outcome) Effect {
	return callEffect(h.post(AttemptEnded{call: c, outcome: o}))
}

// endSeen ends an attempt at an engine, and lets reports show that its run was in progress and has ended too.
func (h *harness) endSeen(c *Call, o Outcome) Effect {
	engine := h.state.calls[c].target.id
	effects := h.post(AttemptEnded{call: c, outcome: o})
	if !holds(effects) {
		return callEffect(effects)
	}
	h.advance(100*time.Millisecond).checked(engine, c.id)
	return callEffect(h.advance(time.Second).checked(engine))
}

// idle posts Ticked each TickInterval for the time, in which the engines report that they run nothing.
func (h *harness) idle(d time.Duration) []Effect {
	var effects []Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(min(TickInterval, end.Sub(h.now)))
		for start, k := range h.state.checks {
			if k.pending {
				effects = append(effects, h.checked(start.id)...)
			}
		}
		effects = append(effects, h.post(Ticked{})...)
	}
	return effects
}

func newServingHarness(upstreams ...Upstream) *harness {
	h := newHarness()
	h.post(NewConfigRead(testConfig(1), "store"))
	for _, u := range upstreams {
		h.list(UpstreamSet(u))
	}
	return h
}

func testEngine(id, domain string) Upstream {
	return NewUpstream(id, "models", "127.0.0.1:1", domain, 1).WithSlots(64, 0)
}

func TestNextStepAfterAttempt(t *testing.T) {
	failed, refused := Outcome{kind: rail.KindUpstreamFailed}, Outcome{kind: rail.KindUpstreamFull}
	answered := Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500}
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		want       string
	}{
		{"order that may have run is not retried", "/orders/1", []Outcome{failed}, "refuse upstreamFailed"},
		{"order that did not run is retried at another upstream", "/orders/1", []Outcome{refused}, "send"},
		{"order refused by all upstreams is refused as not run", "/orders/1", []Outcome{refused, refused, refused}, "refuse upstreamFull"},
		{"order that may have run after a refusal is not refused as not run", "/orders/1", []Outcome{refused, failed}, "refuse upstreamFailed"},
		{"lookup is retried at another upstream", "/orders/lookup/1", []Outcome{failed}, "send"},
		{"lookup runs at no more upstreams than allowed", "/orders/lookup/1", []Outcome{failed, failed}, "refuse upstreamFailed"},
		{"lookup that may have run is not refused as not run", "/orders/lookup/1", []Outcome{failed, refused, refused, refused}, "refuse upstreamFailed"},
		{"error answer of an upstream is delivered", "/orders/1", []Outcome{answered}, "deliver"},
		{"second error answer to a lookup is delivered", "/orders/lookup/1", []Outcome{answered, answered}, "deliver"},
		{"resumable stream is resumed", "/drafts/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, lastEventID: "3"}}, "send 3"},
		{"stream that is not resumable ends", "/chats/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, lastEventID: "3"}}, "refuse upstreamFailed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testUpstream("a"), testUpstream("b"), testUpstream("c"), testUpstream("d"), testEngine("e", "north"), testEngine("f", "north"))
			call := h.call(c.path)
			e := h.arrive(call)
			for _, o := range c.outcomes {
				_, sent := e.(Send)
				is.True(sent)
				e = h.endSeen(call, o)
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
			is.Equal(got, c.want)
			for _, u := range h.state.registry.targets {
				if got[:4] != "send" {
					is.Equal(u.ownLoad, Load{}) // The load is released.
				}
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	is.Equal(h.arrive(h.call("/orders/1")).(Refuse).kind, rail.KindNotReady)
	h.post(NewConfigRead(testConfig(1, testTeam()), "store"))
	h.list()
	is.Equal(h.arrive(h.call("/nothing/1")).(Refuse).kind, rail.KindUnknownRoute)
	unknownTeam := h.call("/orders/1")
	unknownTeam.key = "key-2"
	is.Equal(h.arrive(unknownTeam).(Refuse).kind, rail.KindUnknownTeam)
	noUpstream := h.arrive(h.call("/orders/1")).(Refuse)
	is.Equal(noUpstream.kind, rail.KindNoUpstream)
	is.True(noUpstream.retryAfter > 0)
	h.list(UpstreamSet(testUpstream("a")))
	oversized := h.call("/orders/1")
	oversized.WithTokens(5_000_000, 0, nil)
	limited := h.arrive(oversized).(Refuse)
	is.Equal(limited.kind, rail.KindLimited)
	is.True(limited.retryAfter > 0)
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"))
	h.list(UpstreamSet(testUpstream("a").WithLeaving(2 * time.Second)))
	for range 50 {
		h.advance(time.Millisecond)
		is.Equal(h.arrive(h.call("/orders/1")).(Send).upstream.id, "b")
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"), testUpstream("c"))
	first, retried := 0, 0
	for range 1000 {
		h.advance(5 * time.Millisecond)
		c := h.call("/orders/lookup/1")
		if _, ok := h.arrive(c).(Send); ok {
			first++
		}
		if _, ok := h.end(c, Outcome{kind: rail.KindUpstreamFailed}).(Send); ok {
			retried++
			h.end(c, Outcome{kind: rail.KindUpstreamFailed})
		}
	}
	is.True(float64(retried) <= 0.2*float64(first)+60)
	is.True(retried > 100) // The budget is used.
}

func TestUnreachableDomainIsAvoided(t *testing.T) {
	is := is.New(t)
	near, far, other := testUpstream("near"), testUpstream("far-1"), testUpstream("far-2")
	far.domain, other.domain = "south", "south"
	h := newServingHarness(near, far, other)
	timedOut := Outcome{kind: rail.KindUpstreamUnreachable, timedOut: true}
	h.state.recordReachability(h.state.registry.targets["far-1"], timedOut.kind, true)
	h.state.recordReachability(h.state.registry.targets["far-2"], timedOut.kind, true)
	for range 30 {
		h.advance(10 * time.Millisecond)
		is.Equal(h.arrive(h.call("/orders/1")).(Send).upstream.id, "near")
	}
	h.advance(domainEjection).post(Ticked{})
	is.True(!h.state.unreachable("south")) // The domain is tried again.
	h.state.recordReachability(h.state.registry.targets["far-1"], rail.KindNone, false)
	is.True(!h.state.unreachable("south"))
}

func TestSilentEngineLosesItsStreamsThatMayGoOn(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	var calls []*Call
	for range 3 {
		h.advance(time.Millisecond)
		c := h.call("/drafts/1")
		h.arrive(c)
		h.post(AnswerStarted{call: c})
		calls = append(calls, c)
	}
	h.list(UpstreamSet(testEngine("b", "north")))
	h.advance(silentEngineTimeout / 2).post(StreamProgressed{call: calls[0]})
	is.Equal(len(aborts(h.idle(silentEngineTimeout/2))), 0) // One stream still progresses.
	is.Equal(len(abortedCalls(h.idle(silentEngineTimeout))), 3)
}

// Guards against a stream that runs at two engines, since the first one is only silent for about a second and goes on with it (TWICE).
func TestStreamsOfAnEngineThatIsSilentForASecondRunOnce(t *testing.T) {
	const copyTime = 400 * time.Millisecond // For which a stream may run at two engines.
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 1200 * time.Millisecond, 1450 * time.Millisecond, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			for range 6 {
				c := h.advance(time.Millisecond).call("/drafts/1")
				h.arrive(c)
				h.post(AnswerStarted{call: c})
			}
			h.list(UpstreamSet(testEngine("b", "north")))
			for silent := TickInterval; silent < silence; silent += TickInterval {
				if aborted := abortedCalls(h.tick(TickInterval)); len(aborted) > 0 {
					is.True(silence-silent <= copyTime)
				}
			}
		})
	}
}

// Guards against streams that are broken off because their engine is silent, though no other engine can go on with them.
func TestSilentEngineKeepsItsStreamsThatCannotGoOnElsewhere(t *testing.T) {
	const streams = 6
	for _, c := range []struct {
		name    string
		retries float64 // The retry budget, beyond the share of the requests.
		prepare func(h *harness)
		aborted int
	}{
		{"another engine has room", 60, func(*harness) {}, streams},
		{"no other engine", 60, func(h *harness) { h.list(UpstreamRemoved("b")) }, 0},
		{"the other engine leaves", 60, func(h *harness) { h.list(UpstreamSet(testEngine("b", "north").WithLeaving(2 * time.Second))) }, 0},
		{"the other engine has a request limit", 60, func(h *harness) {
			h.state.registry.targets["b"].limit.limitNews = limitNews{RequestLimit: RequestLimit{perSecond: 100, named: true}, at: h.now}
		}, 0},
		{"the other engine has room for two", 60, func(h *harness) {
			h.state.registry.targets["b"].ownLoad.running = 62
		}, 2},
		{"the other engine is full", 60, func(h *harness) { h.state.registry.targets["b"].ownLoad.running = 64 }, 0},
		{"no retries are left", 0, func(*harness) {}, 0},
		{"two retries are left", 1.5, func(*harness) {}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			h.state.settings = h.state.settings.WithRetries(0.2, c.retries)
			var ids []string
			for range streams {
				call := h.advance(time.Millisecond).call("/drafts/1")
				is.Equal(h.arrive(call).(Send).upstream.id, "a")
				h.post(AnswerStarted{call: call})
				ids = append(ids, call.id)
			}
			h.list(UpstreamSet(testEngine("b", "north")))
			c.prepare(h)
			h.advance(time.Second).post(Ticked{})
			h.checked("a", ids...)
			var aborted []Abort
			for n := 0; n < 10 && len(aborted) == 0; n++ {
				aborted = aborts(h.idle(TickInterval))
			}
			is.Equal(len(aborted), c.aborted)
			for _, a := range aborted {
				next, ok := h.end(a.call, Outcome{kind: a.kind, events: 3, lastEventID: "3"}).(Send)
				is.True(ok)
				is.Equal(next.upstream.id, "b")
			}
			is.Equal(len(aborts(h.advance(100*time.Millisecond).post(Ticked{}))), 0)
		})
	}
}

// abortedCalls returns the calls whose attempts are aborted.
func abortedCalls(effects []Effect) map[*Call]bool {
	calls := map[*Call]bool{}
	for _, a := range aborts(effects) {
		calls[a.call] = true
	}
	return calls
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

// fakeEngine processes prompts one after the other and caches their parts.
type fakeEngine struct {
	busyUntil time.Time
	cached    map[string]bool
}

// prefill returns the time of the call's first token.
func (e *fakeEngine) prefill(c *Call, now time.Time) time.Time {
	missing := int64(0)
	for _, p := range c.parts {
		if !e.cached[p.id] {
			missing += p.tokens
		}
		e.cached[p.id] = true
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(estimate.Default().Prefill(missing))
	return e.busyUntil
}

// TestPlacementUnderABurst simulates drafts at 1.5 times the prefill rate of
// eight engines without caches, in a mix of sizes like the users'. The time to
// first token, of all calls and of the largest tenth, must be lower than with
// random placement of the same calls.
func TestPlacementUnderABurst(t *testing.T) {
	is := is.New(t)
	simulate := func(choose func(h *harness, c *Call) string) (all, largest time.Duration, missed int) {
		var upstreams []Upstream
		engines := map[string]*fakeEngine{}
		for i := range 8 {
			id := fmt.Sprintf("engine-%d", i)
			upstreams = append(upstreams, testEngine(id, "north"))
			engines[id] = &fakeEngine{cached: map[string]bool{}}
		}
		h := newServingHarness(upstreams...)
		h.state.queued = newCallQueues(admission.Limits{}) // Only the choice of the upstream is compared.
		random := rand.New(rand.NewPCG(1, 2))
		type first struct {
			wait time.Duration
			size int64
		}
		var firsts []first
		due := map[*Call]time.Time{}
		for n := range 1500 {
			h.advance(20 * time.Millisecond)
			for c, at := range due {
				if !at.After(h.now) {
					h.post(AnswerStarted{call: c})
				}
				if !at.Add(2 * time.Second).After(h.now) { // The answer is complete.
					h.end(c, Outcome{answered: true, status: 200})
					delete(due, c)
				}
			}
			own := int64(1000 + random.ExpFloat64()*6000)
			c := h.call("/drafts/1")
			c.WithTokens(5400+own, 384, []PromptPart{NewPromptPart(fmt.Sprintf("p%d", random.IntN(3)), 512), NewPromptPart(fmt.Sprintf("s%d", random.IntN(60)), 4888), NewPromptPart(fmt.Sprintf("o%d", n), own)})
			id := choose(h, c)
			at := engines[id].prefill(c, h.now)
			due[c] = at
			firsts = append(firsts, first{at.Sub(h.now), c.prompt})
		}
		slices.SortFunc(firsts, func(a, b first) int { return int(b.size - a.size) })
		tenth := firsts[:len(firsts)/10]
		for i, f := range firsts {
			all += f.wait
			if i < len(tenth) {
				largest += f.wait
			}
			if f.wait > time.Second { // The route's goal.
				missed++
			}
		}
		return all / time.Duration(len(firsts)), largest / time.Duration(len(tenth)), missed
	}
	random := rand.New(rand.NewPCG(3, 4))
	all, largest, missed := simulate(func(h *harness, c *Call) string { return h.arrive(c).(Send).upstream.id })
	randomAll, randomLargest, randomMissed := simulate(func(h *harness, c *Call) string {
		h.arrive(c)
		return fmt.Sprintf("engine-%d", random.IntN(8))
	})
	t.Logf("mean time to first token %v, of the largest tenth %v, %d over the goal; with random placement %v, %v, %d", all, largest, missed, randomAll, randomLargest, randomMissed)
	is.True(all < randomAll)
	is.True(largest < randomLargest)
	is.True(missed <= randomMissed)
}

func TestBadVersionStaysWithinExposure(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(sent int) bool
	}{
		{"fails from the first request", func(int) bool { return true }},
		{"fails later", func(sent int) bool { return sent > 60 }},
		{"fails intermittently", func(sent int) bool { return sent%3 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fresh := testUpstream("new")
			h := newServingHarness(testUpstream("a").WithVersion("v1"), testUpstream("b").WithVersion("v1"), fresh.WithVersion("v2"))
			h.state.settings = h.state.settings.WithExposure(0.1)
			h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutRunning)))
			sent, all, afterVerdict := 0, 0, 0
			for range 1200 { // 100 requests a second up to the deadline.
				h.advance(10 * time.Millisecond)
				call := h.call("/orders/1")
				s := h.arrive(call).(Send)
				all++
				o := Outcome{answered: true, status: 200}
				if s.upstream.version == "v2" {
					sent++
					if h.state.rollouts["desk"].bad {
						afterVerdict++
					}
					if c.bad(sent) {
						o = Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500}
					}
				}
				h.advance(0)
				h.end(call, o)
				h.post(Ticked{})
			}
			is.True(float64(sent) <= 0.1*float64(all)+50)
			is.Equal(afterVerdict, 0)
			is.Equal(h.state.Verdicts()["desk"].State(), RolloutRolledBack)
		})
	}
}

func TestGoodVersionCompletesInTime(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a").WithVersion("v1"), testUpstream("b").WithVersion("v1"), testUpstream("new").WithVersion("v2"))
	h.state.settings = h.state.settings.WithExposure(0.1)
	h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutRunning)))
	for range 1180 {
		h.advance(10 * time.Millisecond)
		call := h.call("/orders/1")
		h.arrive(call)
		h.end(call, Outcome{answered: true, status: 200})
		h.post(Ticked{})
	}
	is.Equal(h.state.Verdicts()["desk"].State(), RolloutDone)
	for range 20 {
		h.advance(time.Millisecond)
		is.Equal(h.arrive(h.call("/orders/1")).(Send).upstream.version, "v2")
	}
}

func streamConfig() *Config {
	b := NewBackend("models", 1)
	return NewConfig(1, []*Route{
		NewRoute("draft", "shop.example", "/drafts/", b).WithTimes(12*time.Second, 500*time.Millisecond).WithRepeat(AtMostOnce, 2).WithStream(true, 600*time.Millisecond),
		NewRoute("chat", "shop.example", "/chats/", b).WithTimes(12*time.Second, 500*time.Millisecond).WithStream(false, 600*time.Millisecond),
	}, []*Service{NewService("models", 60).WithEngine(64, 500_000)}, []*Team{NewTeam("engravers", 1, []string{"key-1"})}, Limits{})
}

func TestSlowStreamsAreKeptAndStalledOnesAborted(t *testing.T) {
	for _, path := range []string{"/drafts/1", "/chats/1"} {
		is := is.New(t)
		h := newHarness()
		h.post(NewConfigRead(streamConfig(), "store"))
		h.list(UpstreamSet(testEngine("a", "north")), UpstreamSet(testEngine("b", "north")))
		var calls []*Call
		for range 4 {
			c := h.advance(time.Millisecond).call(path)
			if _, ok := h.arrive(c).(Send); !ok {
				t.Fatal("call was not sent")
			}
			h.post(AnswerStarted{call: c})
			calls = append(calls, c)
		}
		// All streams of both engines pause for their goal at the same time, again and again.
		for range 8 {
			for range 6 {
				is.Equal(len(aborts(h.advance(100*time.Millisecond).post(Ticked{}))), 0)
			}
			for _, c := range calls {
				h.post(StreamProgressed{call: c})
			}
		}
		// One stream stalls while the others go on.
		stalled, begin := map[*Call]bool{}, h.now
		for len(stalled) == 0 && h.now.Sub(begin) < 10*time.Second {
			for _, e := range aborts(h.advance(100 * time.Millisecond).post(Ticked{})) {
				stalled[e.call] = true
			}
			for _, c := range calls[1:] {
				h.post(StreamProgressed{call: c})
			}
		}
		is.Equal(len(stalled), 1)
		is.True(stalled[calls[0]])
		is.True(h.now.Sub(begin) >= 8*600*time.Millisecond) // Its caller would not wait for longer.
		is.True(h.now.Sub(begin) <= 8*600*time.Millisecond+time.Second)
	}
}

func TestServiceWithoutUpstreamsIsSkipped(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	route := NewRoute("split", "shop.example", "/split/", NewBackend("old", 9), NewBackend("new", 1)).WithTimes(2*time.Second, 200*time.Millisecond)
	h.post(NewConfigRead(NewConfig(1, []*Route{route}, []*Service{NewService("old", 60), NewService("new", 60)}, []*Team{NewTeam("engravers", 1, []string{"key-1"})}, Limits{}), "store"))
	h.list(UpstreamSet(NewUpstream("n", "new", "127.0.0.1:1", "north", 1).WithSlots(6, 0)))
	for range 20 {
		send, ok := h.advance(time.Millisecond).arrive(h.call("/split/1")).(Send)
		is.True(ok)
		is.Equal(send.Upstream().ID(), "n")
	}
	h.list(UpstreamSet(NewUpstream("o", "old", "127.0.0.1:2", "north", 1).WithSlots(6, 0)))
	old := 0
	for range 200 {
		if h.advance(time.Millisecond).arrive(h.call("/split/1")).(Send).Upstream().ID() == "o" {
			old++
		}
	}
	is.True(old > 150 && old < 200) // By weight again.
}

// Once a version is reported as done its predecessor is stopped, so that failures after that must not take it back.
func TestVersionThatIsDoneIsNotRolledBack(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("old").WithVersion("v1"), testUpstream("new").WithVersion("v2"))
	h.state.settings = h.state.settings.WithExposure(0.1)
	h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutRunning)))
	serve := func(n int, o Outcome) {
		for range n {
			call := h.advance(10 * time.Millisecond).call("/orders/1")
			if _, ok := h.arrive(call).(Send); ok {
				h.end(call, o)
			}
			h.post(Ticked{})
		}
	}
	serve(1180, Outcome{answered: true, status: 200})
	is.Equal(h.state.Verdicts()["desk"].State(), RolloutDone)
	// The holder of the duties, another gateway, has reported it.
	holder := NewState(NewSettings("gateway-2", "north", "first", h.now))
	holder.Reduce(h.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 12*time.Second, RolloutDone)))
	h.post(NewDigestReceived(DigestFrom(holder.Digest(h.now).Message())))
	h.list(UpstreamRemoved("old"))
	serve(200, Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500})
	send, ok := h.advance(10 * time.Millisecond).arrive(h.call("/orders/1")).(Send)
	is.True(ok) // Nothing else is there.
	is.Equal(send.Upstream().ID(), "new")
	_, running := h.state.Verdicts()["desk"]
	is.True(!running)
}
