package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/slowstart"
)

func TestParseWait(t *testing.T) {
	for _, c := range []struct {
		header string
		want   time.Duration
	}{
		{"3", 3 * time.Second},
		{"0.25", 250 * time.Millisecond},
		{"", 0},
		{"0", 0},
		{"-4", 0},
		{"soon", 0},
		{"NaN", 0},
		{"Inf", 0},
		{"31536000", maxWait},
		{"1e300", maxWait},
		{"Sat, 05 Dec 2026 03:00:00 GMT", 0},
	} {
		t.Run(c.header, func(t *testing.T) { is.New(t).Equal(ParseWait(c.header), c.want) })
	}
}

func FuzzParseWait(f *testing.F) {
	for _, s := range []string{"3", "0.5", "-1", "1e9", "NaN", "Fri, 31 Dec 1999 23:59:59 GMT", "0x1p4"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		if d := ParseWait(header); d < 0 || d > maxWait || math.IsNaN(d.Seconds()) {
			t.Fatalf("%q: %v", header, d)
		}
	})
}

// Each condition keeps requests from an upstream in the tiers up to its last one.
func TestConditionsOfUpstreams(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	unmet := map[string]func(h *harness, t *target, p *pendingCall){
		"not leaving":              func(_ *harness, t *target, _ *pendingCall) { t.leaving = true },
		"not tried by the request": func(_ *harness, t *target, p *pendingCall) { p.tried[t.start()] = true },
		"request limit": func(h *harness, t *target, _ *pendingCall) {
			h.state.applyLimitNews(t, limitNews{RequestLimit: RequestLimit{perSecond: 0.5, named: true}, startedAtMs: 1, at: h.now}, "upstream")
		},
		"time of a refusal": func(h *harness, t *target, _ *pendingCall) { t.refusal.refuse(h.now, time.Second) },
		"version may serve": func(h *harness, t *target, _ *pendingCall) {
			t.version = "v2"
			h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutRolledBack)))
		},
		"version of the rollout": func(h *harness, t *target, _ *pendingCall) {
			t.version = "v1"
			h.post(NewRolloutRead(NewRolloutOrder("desk", "v2", time.Minute, RolloutDone)))
		},
		"evacuation": func(h *harness, t *target, _ *pendingCall) { h.evacuate(t.domain) },
		"allowed region": func(_ *harness, _ *target, p *pendingCall) {
			p.route = NewRoute("orders", "shop.example", "/orders/").WithRegions([]string{"elsewhere"})
		},
		"slow start": func(h *harness, t *target, _ *pendingCall) {
			h.state.config.services["desk"].WithSlowStart(slowstart.NewLimits(1, time.Second))
			h.state.extendCold(t, h.now.Add(time.Second), "store")
		},
		"health": func(h *harness, t *target, _ *pendingCall) { t.health.ejectedUntil = h.now.Add(time.Second) },
		"reachable domain": func(h *harness, t *target, _ *pendingCall) {
			t.domain = "south"
			h.state.reachability["south"] = &reachability{lastFailure: h.now, failedUpstreams: map[string]bool{"a": true, "b": true}}
		},
	}
	is.New(t).Equal(len(unmet), len(conditions))
	for _, c := range conditions {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testUpstream("a"))
			h.now = now.Add(time.Hour)
			h.post(Ticked{})
			x, p := h.state.registry.targets["a"], &pendingCall{route: NewRoute("orders", "shop.example", "/orders/"), tried: map[upstreamStart]bool{}}
			rule := func() versionRule { return h.state.versionRuleFor("desk", h.call("/orders/1")) }
			is.True(h.state.allows(x, p, rule(), preferred))
			unmet[c.name](h, x, p)
			for at := preferred; at <= fallback; at++ {
				is.Equal(h.state.allows(x, p, rule(), at), at > c.last)
			}
		})
	}
}

// An upstream that says in an answer that it leaves gets no request until its next start, from any gateway.
func TestUpstreamThatSaysThatItLeaves(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"))
	first := h.call("/orders/1")
	left := h.arrive(first).(Send).upstream.id
	h.post(NoticeRead{call: first, notice: Notice{}.WithLeaving()})
	h.end(first, Outcome{answered: true, status: 200})
	h.list(UpstreamSet(testUpstream(left))) // The store still has it in use.
	for range 20 {
		h.advance(100 * time.Millisecond)
		c := h.call("/orders/1")
		is.True(h.arrive(c).(Send).upstream.id != left)
		h.end(c, Outcome{answered: true, status: 200})
	}
	digest := DigestFrom(h.state.Digest(h.now).Message())
	digest.gateway = "gateway-2"
	peer := newServingHarness(testUpstream("a"), testUpstream("b"))
	peer.post(NewDigestReceived(digest))
	is.True(!peer.usable(left))
	restarted := testUpstream(left)
	restarted.startedAtMs = 2
	peer.list(UpstreamSet(restarted))
	digest.sequence++
	peer.post(NewDigestReceived(digest))
	is.True(peer.usable(left)) // The news is of the start before.
}

// In the time that a refusal names an upstream gets no request, and one before the others when it has ended.
func TestTimeOfARefusal(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"))
	refused := Outcome{kind: rail.KindUpstreamFull}
	c := h.call("/orders/1")
	h.arrive(c)
	h.post(NoticeRead{call: c, notice: Notice{}.WithWait(3 * time.Second)})
	r := h.end(c, refused).(Refuse)
	is.Equal(r.kind, rail.KindUpstreamFull)
	is.Equal(r.retryAfter, 3*time.Second)
	h.advance(time.Second)
	r = h.arrive(h.call("/orders/1")).(Refuse) // At once, with the time that is left.
	is.Equal(r.kind, rail.KindOverloaded)
	is.Equal(r.retryAfter, 2*time.Second)
	h.advance(2 * time.Second)
	probe := h.call("/orders/1")
	is.Equal(fmt.Sprintf("%T", h.arrive(probe)), "gateway.Send")
	is.Equal(fmt.Sprintf("%T", h.arrive(h.call("/orders/1"))), "gateway.Refuse") // The first one asks.
	h.advance(100 * time.Millisecond)
	h.post(NoticeRead{call: probe, notice: Notice{}.WithWait(time.Second)})
	h.end(probe, refused)
	is.Equal(fmt.Sprintf("%T", h.arrive(h.call("/orders/1"))), "gateway.Refuse")
	h.advance(time.Second)
	probe = h.call("/orders/1")
	is.Equal(fmt.Sprintf("%T", h.arrive(probe)), "gateway.Send")
	h.end(probe, Outcome{answered: true, status: 200})
	for range 3 {
		is.Equal(fmt.Sprintf("%T", h.arrive(h.call("/orders/1"))), "gateway.Send")
	}
	restarted := testUpstream("a")
	restarted.startedAtMs = 2
	h.state.registry.targets["a"].refusal.refuse(h.now, time.Minute)
	h.list(UpstreamSet(restarted))
	is.Equal(fmt.Sprintf("%T", h.arrive(h.call("/orders/1"))), "gateway.Send") // The time was that of the start before.
}

// While one upstream wants no requests, the others get them, and no caller is sent away.
func TestRefusalOfOneUpstreamSendsNoCallerAway(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"))
	h.state.registry.targets["a"].refusal.refuse(h.now, time.Second)
	for range 20 {
		c := h.call("/orders/1")
		is.Equal(h.arrive(c).(Send).upstream.id, "b")
		h.end(c, Outcome{answered: true, status: 200})
	}
}

// All gateways stop to send to an upstream soon after one of them was told by an answer that it leaves, beside partitions that end.
func TestLeavingInAnswersReachesAllGateways(t *testing.T) {
	const spreadTime = 2 * time.Second
	for _, size := range []struct{ gateways, domains int }{{6, 4}, {90, 3}, {195, 6}} {
		for _, partition := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d gateways, partition before %v", size.gateways, partition), func(t *testing.T) {
				is := is.New(t)
				c := newSimulatedCells(size.gateways, size.domains)
				for _, s := range c.states {
					s.Reduce(c.now, NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b"))}, true, "store"))
				}
				c.run(2 * time.Second)
				teller := c.states["gateway-0"]
				if partition {
					c.partitioned = func(a, b *State) bool { return a.settings.domain != b.settings.domain }
				}
				call := NewCall("r-1", "/orders/1", "key-1", NewMessage("POST", "/orders/1", "shop.example", nil, nil), c.now, c.now.Add(time.Second))
				left := callEffect(teller.Reduce(c.now, CallArrived{call: call})).(Send).upstream.id
				teller.Reduce(c.now, NoticeRead{call: call, notice: Notice{}.WithLeaving()})
				if partition {
					c.run(3 * time.Second)
					c.partitioned = func(*State, *State) bool { return false }
					c.run(2 * time.Second) // Until unreachable peers are called again.
				}
				c.run(spreadTime)
				for name, s := range c.states {
					if !s.registry.targets[left].leaving {
						t.Errorf("%s does not know that %s leaves", name, left)
					}
				}
				is.True(!teller.registry.targets[map[string]string{"a": "b", "b": "a"}[left]].leaving)
			})
		}
	}
}
