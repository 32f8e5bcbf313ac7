package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// peers registers peers that accept forwarded calls, and receives a digest from each.
func (h *harness) peers(names ...string) *harness {
	registrations := map[string]Registration{}
	for _, name := range names {
		registrations[name] = NewRegistration("127.0.0.1:1", "north").WithForwarding("127.0.0.1:2", "access")
	}
	h.post(NewPeersRead(registrations, true))
	for _, name := range names {
		h.digest(name, func(*Digest) {})
	}
	return h
}

// digest receives a digest of the peer.
func (h *harness) digest(name string, change func(*Digest)) {
	d := Digest{gateway: name, incarnation: name, sequence: h.now.UnixNano(), wall: h.now, covers: 1, domains: []string{"north"}}
	change(&d)
	h.post(NewDigestReceived(DigestFrom(d.Message())))
	h.post(Ticked{})
}

// unreach makes attempts and probes fail at the upstreams.
func (h *harness) unreach(ids ...string) {
	for _, id := range ids {
		t := h.state.registry.targets[id]
		h.state.recordNotReached(t.service, t)
	}
	for _, id := range ids {
		h.post(NewProbeEnded(id, false))
	}
}

// newPartitionedHarness returns a gateway that is partitioned from its upstreams of both services.
func newPartitionedHarness(t *testing.T, peers ...string) *harness {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"), testEngine("e", "north"), testEngine("f", "north"))
	h.peers(peers...)
	h.unreach("a", "b", "e", "f")
	is.True(h.state.partitioned("desk"))
	is.True(h.state.partitioned("models"))
	return h
}

// A gateway places a forwarded call once, or refuses it as not run, and counts nothing that the peer counts.
func TestForwardedCallAtThePeer(t *testing.T) {
	for _, c := range []struct {
		name, path, team string
		version          int64
		tried            []string
		change           func(h *harness)
		want             rail.Kind
	}{
		{name: "placed", path: "/orders/1", team: "engravers", version: 1},
		{name: "older configuration", path: "/orders/1", team: "engravers", version: 0},
		{name: "route that is gone", path: "/gone/1", team: "engravers", version: 0, want: rail.KindUnknownRoute},
		{name: "team that is gone", path: "/orders/1", team: "weavers", version: 0, want: rail.KindUnknownTeam},
		{name: "no team", path: "/orders/1", version: 1, want: rail.KindUnknownTeam},
		{name: "shutting down", path: "/orders/1", team: "engravers", version: 1, change: func(h *harness) { h.post(ShutdownStarted{}) }, want: rail.KindLeaving},
		{name: "partitioned too", path: "/orders/1", team: "engravers", version: 1, want: rail.KindNoUpstream, change: func(h *harness) {
			h.unreach("a", "b")
		}},
		{name: "all upstreams tried", path: "/orders/1", team: "engravers", version: 1, tried: []string{"a", "b"}, want: rail.KindNoUpstream},
		{name: "one upstream tried", path: "/orders/1", team: "engravers", version: 1, tried: []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testUpstream("a"), testUpstream("b"))
			h.peers("gateway-2")
			h.state.config = testConfig(1, testTeam())
			if c.change != nil {
				c.change(h)
			}
			call := NewCall("r-1", c.path, "key-1", NewMessage("POST", c.path, "shop.example", nil, nil), h.now, h.now.Add(time.Second)).WithForwarded(NewForwarded("gateway-2", c.team, c.version, c.tried, 2))
			e := h.arrive(call)
			if c.want != rail.KindNone {
				is.Equal(e.(Refuse).kind, c.want)
				is.Equal(c.want.Reply().Run(), rail.NotRun)
				return
			}
			_, again := e.(Send).Forward()
			is.True(!again)
			is.Equal(e.(Send).team, "engravers")
			is.Equal(h.end(call, Outcome{kind: rail.KindUpstreamFull, refused: true}).(Refuse).kind, rail.KindUpstreamFull) // It is for the peer to try again.
			is.Equal(len(h.state.calls), 0)
			is.Equal(len(h.state.usage), 0)
			is.Equal(h.state.demand, int64(0))
			is.Equal(h.state.quota(h.state.config.teams["engravers"]).total, 0.0)
			is.Equal(*h.state.retryBudget("desk"), retryBudget{currentSecond: h.state.retryBudget("desk").currentSecond})
		})
	}
}

// What follows a forward depends on whether it may have run, as with an attempt of the gateway itself.
func TestNextStepAfterForward(t *testing.T) {
	refused, unreached := Outcome{kind: rail.KindNotReady}, Outcome{kind: rail.KindPeerUnreachable}
	failed := Outcome{kind: rail.KindUpstreamFailed}
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		want       string
	}{
		{"served", "/orders/1", []Outcome{{status: 200, answered: true, placement: "a"}}, ""},
		{"order that may have run", "/orders/1", []Outcome{failed}, "refuse upstreamFailed"},
		{"order that a peer refused", "/orders/1", []Outcome{refused}, "forward"},
		{"order for a peer that is unreachable", "/orders/1", []Outcome{unreached}, "forward"},
		{"order that all peers refused", "/orders/1", []Outcome{refused, unreached, refused}, "refuse upstreamUnreachable"},
		{"order that an upstream rejected", "/orders/1", []Outcome{{kind: rail.KindUpstreamFull, placement: "a", idsOnce: true}}, "forward a"},
		{"order that an upstream of an older peer rejected", "/orders/1", []Outcome{{kind: rail.KindUpstreamFull, placement: "a"}}, "refuse upstreamFailed"},
		{"order whose upstream an older peer found replaced", "/orders/1", []Outcome{{kind: rail.KindUpstreamReplaced, placement: "a"}}, "refuse upstreamFailed"},
		{"order that an older peer blocked after an attempt", "/orders/1", []Outcome{{kind: rail.KindQuarantined, placement: "a"}}, "refuse upstreamFailed"},
		{"order whose upstream an older peer did not reach", "/orders/1", []Outcome{{kind: rail.KindUpstreamUnreachable, placement: "a"}}, "forward"},
		{"order that an older peer refused as it left", "/orders/1", []Outcome{{kind: rail.KindLeaving}}, "forward"},
		{"lookup that an upstream of an older peer rejected", "/orders/lookup/1", []Outcome{{kind: rail.KindUpstreamFull, placement: "a"}}, "forward a"},
		{"stream that an upstream of an older peer rejected", "/drafts/1", []Outcome{{kind: rail.KindUpstreamFull, placement: "e"}}, "forward e"},
		{"stream that cannot be resumed, rejected by an upstream of an older peer", "/chats/1", []Outcome{{kind: rail.KindUpstreamFull, placement: "e"}}, "refuse upstreamFailed"},
		{"order that may have run after a refusal", "/orders/1", []Outcome{refused, failed}, "refuse upstreamFailed"},
		{"lookup", "/orders/lookup/1", []Outcome{{kind: rail.KindUpstreamFailed, placement: "a"}}, "forward a"},
		{"lookup that failed twice", "/orders/lookup/1", []Outcome{failed, failed}, "refuse upstreamFailed"},
		{"failure of an upstream", "/orders/1", []Outcome{{kind: rail.KindUpstreamFailed, answered: true, status: 500, placement: "a"}}, "deliver"},
		{"stream", "/drafts/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, lastEventID: "3", placement: "e"}}, "forward e after 3"},
		{"stream that cannot be resumed", "/chats/1", []Outcome{{kind: rail.KindUpstreamFailed, events: 3, lastEventID: "3", placement: "e"}}, "refuse upstreamFailed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newPartitionedHarness(t, "gateway-2", "gateway-3", "gateway-4")
			call := h.call(c.path)
			e, peers := h.arrive(call), map[string]bool{}
			for _, o := range c.outcomes {
				f, ok := e.(Send).Forward()
				is.True(ok)
				is.True(!peers[f.Peer()]) // One that refused is avoided.
				peers[f.Peer()] = o.kind.Reply().Run() == rail.NotRun && o.placement == ""
				is.Equal(f.Address(), "127.0.0.1:2")
				is.Equal(f.Key(), "access")
				e = h.end(call, o)
			}
			got := ""
			switch e := e.(type) {
			case Send:
				f, _ := e.Forward()
				got = "forward"
				for _, id := range f.Tried() {
					got += " " + id
				}
				if e.resume != "" {
					got += " after " + e.resume
				}
			case Refuse:
				got = "refuse " + string(e.kind)
				is.True(e.retryAfter > 0 || e.kind.Reply().Run() != rail.NotRun)
			case Deliver:
				got = "deliver"
			}
			is.Equal(got, c.want)
		})
	}
}

// Calls are forwarded to peers only that run, are ready, accept them and are not partitioned themselves.
func TestPeersThatGetForwards(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness)
	}{
		{"not ready", func(h *harness) { h.digest("gateway-2", func(d *Digest) { d.notReady = true }) }},
		{"partitioned", func(h *harness) {
			h.digest("gateway-2", func(d *Digest) { d.partitions = map[string][]string{"desk": {"gateway-2"}} })
		}},
		{"silent", func(h *harness) { h.advance(peerTimeout).digest("gateway-3", func(*Digest) {}) }},
		{"without an address for forwards", func(h *harness) {
			h.post(NewPeersRead(map[string]Registration{"gateway-2": NewRegistration("127.0.0.1:1", "north")}, false))
		}},
		{"removed", func(h *harness) { h.post(NewPeersRead(map[string]Registration{"gateway-2": {}}, false)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newPartitionedHarness(t, "gateway-2", "gateway-3")
			c.change(h)
			for range 20 {
				h.advance(time.Millisecond)
				f, ok := h.arrive(h.call("/orders/1")).(Send).Forward()
				is.True(ok)
				is.Equal(f.Peer(), "gateway-3")
			}
			h.digest("gateway-3", func(d *Digest) { d.notReady = true })
			h.digest("gateway-2", func(d *Digest) { d.notReady = true })
			r := h.arrive(h.call("/orders/1")).(Refuse) // At once.
			is.Equal(r.kind, rail.KindNoUpstream)
			is.True(r.retryAfter > 0)
		})
	}
}

// A partition ends when probes of two upstreams succeed, one if there are no peers; failures that were kept back are dropped with it.
func TestPartitionEndsWithProbes(t *testing.T) {
	is := is.New(t)
	h := newPartitionedHarness(t, "gateway-2")
	probes := func(effects []Effect) []string {
		var ids []string
		for _, e := range effects {
			if p, ok := e.(Probe); ok && p.upstream.service == "desk" {
				ids = append(ids, p.upstream.id)
			}
		}
		return ids
	}
	h.advance(minProbeInterval)
	h.digest("gateway-2", func(*Digest) {})
	asked := probes(h.advance(minProbeInterval).post(Ticked{}))
	if len(asked) == 0 { // The tick of the digest asked it.
		for id := range h.state.partitions["desk"].asked {
			asked = append(asked, id)
		}
	}
	is.Equal(len(asked), 1)
	is.Equal(len(probes(h.advance(minProbeInterval).post(Ticked{}))), 0) // One at a time.
	h.digest("gateway-2", func(*Digest) {})
	next := probes(h.post(NewProbeEnded(asked[0], true)))
	is.Equal(len(next), 1)
	is.True(next[0] != asked[0])
	is.True(h.state.partitioned("desk"))
	h.post(NewProbeEnded(next[0], true))
	is.True(!h.state.partitioned("desk"))
	_, forwarded := h.arrive(h.call("/orders/1")).(Send).Forward()
	is.True(!forwarded)
}

// What a peer's refusal tells of gets no further forwards for a second: the peer, its service, or nothing but the call.
func TestScopeOfARefusal(t *testing.T) {
	for _, c := range []struct {
		outcome           Outcome
		sameCall          bool // The peer may get the same call again.
		service, anything bool // It gets other calls of the service, calls of another one.
	}{
		{Outcome{kind: rail.KindPeerUnreachable}, false, false, false},
		{Outcome{kind: rail.KindLeaving}, false, false, false},
		{Outcome{kind: rail.KindUpstreamFailed}, true, false, false},
		{Outcome{kind: rail.KindUpstreamSilent}, true, false, false},
		{Outcome{kind: rail.KindOverloaded}, false, false, true},
		{Outcome{kind: rail.KindNoUpstream}, false, false, true},
		{Outcome{kind: rail.KindUpstreamUnreachable, placement: "a"}, true, false, true},
		{Outcome{kind: rail.KindNotReady}, false, true, true},
		{Outcome{kind: rail.KindUnknownRoute}, false, true, true},
		{Outcome{kind: rail.KindUnknownTeam}, false, true, true},
		{Outcome{kind: rail.KindQuarantined}, false, true, true},
		{Outcome{kind: rail.KindUpstreamFull, placement: "a"}, true, true, true},
		{Outcome{kind: rail.KindUpstreamReplaced, placement: "a"}, true, true, true},
		{Outcome{kind: rail.KindUpstreamSilent, placement: "a"}, true, true, true},
		{Outcome{kind: rail.KindUpstreamFailed, placement: "a", answered: true, status: 500}, true, true, true},
	} {
		t.Run(string(c.outcome.kind)+" "+c.outcome.placement, func(t *testing.T) {
			is := is.New(t)
			h := newPartitionedHarness(t, "gateway-2")
			forwarded := func(path string) bool {
				e, ok := h.arrive(h.call(path)).(Send)
				return ok && e.forward != nil
			}
			call := h.call("/orders/lookup/1")
			_, ok := h.arrive(call).(Send).Forward()
			is.True(ok)
			p := h.state.calls[call]
			h.end(call, c.outcome)
			is.Equal(!slices.Contains(p.refusedBy, "gateway-2"), c.sameCall)
			is.Equal(forwarded("/orders/2"), c.service)
			is.Equal(forwarded("/drafts/2"), c.anything)
			h.advance(peerEjection).digest("gateway-2", func(*Digest) {})
			is.True(forwarded("/orders/3"))
			is.True(forwarded("/drafts/3"))
		})
	}
}

// A kind that may have run is no refusal.
func TestKindsWithAScopeAreNotRun(t *testing.T) {
	is := is.New(t)
	for kind := range refusalScopes {
		is.Equal(kind.Reply().Run(), rail.NotRun)
	}
}
