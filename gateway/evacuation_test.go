package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/evacuation"
)

// regionHarness is a gateway in the domain north of the region home, with upstreams of both services in north, south (home) and far (away).
func regionHarness(t *testing.T, routes []string, teams []string) *harness {
	t.Helper()
	h := newHarness()
	h.state.settings = h.state.settings.WithRegions(map[string]string{"north": "home", "south": "home", "far": "away"})
	team := testTeam().WithRegions(teams)
	config := testConfig(1, team)
	for _, rs := range config.routesByHost {
		for _, r := range rs {
			r.WithRegions(routes)
		}
	}
	h.post(NewConfigRead(config, "store"))
	var changes []UpstreamChange
	for _, domain := range []string{"north", "south", "far"} {
		changes = append(changes, UpstreamSet(NewUpstream("desk-"+domain, "desk", "127.0.0.1:1", domain, 1).WithSlots(6, 0)),
			UpstreamSet(NewUpstream("engine-"+domain, "models", "127.0.0.1:2", domain, 1).WithSlots(64, 0)))
	}
	h.post(NewUpstreamsRead(changes, true, "store"))
	return h
}

func (h *harness) evacuate(domains ...string) []Effect {
	var changes []evacuation.Change
	for _, d := range domains {
		changes = append(changes, evacuation.NewChange(d, true))
	}
	return h.post(NewEvacuationsRead(changes, false, "store"))
}

// domainsUsed sends calls and returns the domains of the upstreams that got them.
func (h *harness) domainsUsed(path string, calls int) []string {
	used := map[string]bool{}
	for i := range calls {
		c := NewCall("r-"+path+string(rune('a'+i)), path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), h.now, h.now.Add(10*time.Second)).
			WithTokens(500, 20, []PromptPart{NewPromptPart("shared", 400), NewPromptPart(string(rune('a'+i)), 100)})
		if e, ok := callEffect(h.post(CallArrived{call: c})).(Send); ok {
			used[e.upstream.domain] = true
			h.post(AttemptEnded{call: c, outcome: Outcome{status: 200, answered: true}})
		}
	}
	var domains []string
	for d := range used {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains
}

// eligibleDomains returns the domains whose upstreams may get requests of the path's route in the tier preferred.
func (h *harness) eligibleDomains(path string) []string {
	c := NewCall("r", path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), h.now, h.now.Add(time.Second))
	p := &pendingCall{route: h.state.config.route("shop.example", path), team: h.state.config.team("key-1"), tried: map[upstreamStart]bool{}}
	p.service = h.state.pickService(c, p)
	var domains []string
	for _, t := range h.state.registry.ofService(p.service.name) {
		if h.state.allows(t, p, h.state.versionRuleFor(p.service.name, c), preferred) {
			domains = append(domains, t.domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// isSubset reports whether all values are among the others.
func isSubset(values, others []string) bool {
	return !slices.ContainsFunc(values, func(v string) bool { return !slices.Contains(others, v) })
}

// reported reports whether the event is among the effects.
func reported(effects []Effect, number rail.EventNumber) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool {
		r, ok := e.(Report)
		return ok && r.number == number
	})
}

// fieldOf returns the value of a field of the event, nil if there is none.
func fieldOf(effects []Effect, number rail.EventNumber, key string) any {
	for _, e := range effects {
		if r, ok := e.(Report); ok && r.number == number {
			for _, f := range r.fields {
				if f.key == key {
					return f.value
				}
			}
		}
	}
	return nil
}

// Guards against requests that reach upstreams of an evacuated domain (EVAC), and against a domain that stays empty after its end.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/orders/1", "/orders/lookup/1", "/drafts/1"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := regionHarness(t, nil, nil)
			effects := h.evacuate("north")
			is.True(reported(effects, rail.EventDomainEvacuated))
			is.True(!slices.Contains(h.domainsUsed(path, 24), "north"))
			h.advance(time.Second)
			is.True(reported(h.post(NewEvacuationsRead([]evacuation.Change{evacuation.NewChange("north", false)}, false, "store")), rail.EventEvacuationEnded))
			is.Equal(h.eligibleDomains(path), []string{"far", "north", "south"})
		})
	}
}

// Guards against a retry or a failover that goes to an upstream of a domain that was evacuated after the first attempt.
func TestRetryAvoidsADomainThatWasEvacuatedMeanwhile(t *testing.T) {
	is := is.New(t)
	h := regionHarness(t, nil, nil)
	for i := range 12 {
		path := "/orders/lookup/1"
		c := NewCall("r-"+string(rune('a'+i)), path, "key-1", NewMessage("GET", path, "shop.example", nil, nil), h.now, h.now.Add(time.Second))
		h.post(NewEvacuationsRead(nil, true, "store"))
		first, ok := callEffect(h.post(CallArrived{call: c})).(Send)
		is.True(ok)
		h.evacuate("south", first.upstream.domain)
		next := callEffect(h.post(AttemptEnded{call: c, outcome: Outcome{kind: rail.KindUpstreamUnreachable}}))
		if e, ok := next.(Send); ok {
			is.True(e.upstream.domain != "south" && e.upstream.domain != first.upstream.domain)
			h.post(AttemptEnded{call: c, outcome: Outcome{status: 200, answered: true}})
		}
	}
}

// Guards against requests that wait, or are refused without the reason, while all domains of a service are evacuated.
func TestRequestsAreRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	is := is.New(t)
	h := regionHarness(t, nil, nil)
	h.evacuate("north", "south", "far")
	c := NewCall("r-1", "/orders/1", "key-1", NewMessage("POST", "/orders/1", "shop.example", nil, nil), h.now, h.now.Add(time.Second))
	effects := h.post(CallArrived{call: c})
	refusal, ok := callEffect(effects).(Refuse)
	is.True(ok)
	is.Equal(refusal.kind, rail.KindNoUpstream)
	is.Equal(fieldOf(effects, rail.EventRequestRefused, "evacuated"), []string{"far", "north", "south"})
}

// Guards against probes of a partition, and cache copies, that reach an evacuated domain.
func TestProbesAndCacheCopiesAvoidAnEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	h := regionHarness(t, nil, nil)
	h.domainsUsed("/drafts/1", 24) // Fills the cache estimates of all engines.
	h.evacuate("north")
	p := &pendingCall{route: h.state.config.route("shop.example", "/drafts/1"), service: h.state.config.services["models"], tried: map[upstreamStart]bool{}}
	parts := []PromptPart{NewPromptPart("shared", 400), NewPromptPart("own", 100)}
	c := NewCall("r-x", "/drafts/1", "key-1", NewMessage("POST", "/drafts/1", "shop.example", nil, nil), h.now, h.now.Add(time.Second)).WithTokens(500, 20, parts)
	chosen := h.state.registry.targets["engine-far"]
	chosen.cache = newCache()
	pl := placement{service: p.service, now: h.now, rates: h.state.rates}
	source := pl.cacheSource(c, chosen, h.state.registry.ofService("models"), func(t *target) bool { return h.state.reachable(t, p) })
	is.True(source == nil || source.domain != "north")
	for range 6 {
		for _, e := range h.state.probeNext("models", h.state.partitionOf("models")) {
			if probe, ok := e.(Probe); ok {
				is.True(probe.upstream.domain != "north")
			}
		}
	}
}

// Guards against requests that reach upstreams outside the regions of their route or team (HOME).
func TestRequestsStayInTheAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name          string
		routes, teams []string
		want          []string
	}{
		{"of the route", []string{"home"}, nil, []string{"north", "south"}},
		{"of the team", nil, []string{"away"}, []string{"far"}},
		{"of both", []string{"home", "away"}, []string{"away"}, []string{"far"}},
		{"none in common", []string{"home"}, []string{"away"}, nil},
		{"unknown", []string{"elsewhere"}, nil, nil},
	} {
		for _, path := range []string{"/orders/1", "/drafts/1"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				is := is.New(t)
				h := regionHarness(t, c.routes, c.teams)
				is.Equal(h.eligibleDomains(path), c.want)
				used := h.domainsUsed(path, 26)
				is.True(isSubset(used, c.want))
				is.Equal(len(used) == 0, len(c.want) == 0)
			})
		}
	}
}

// Guards against a domain whose region is unknown counting as allowed.
func TestDomainOfAnUnknownRegionIsNotAllowed(t *testing.T) {
	is := is.New(t)
	h := regionHarness(t, []string{"home"}, nil)
	h.state.settings = h.state.settings.WithRegions(map[string]string{"north": "home"})
	is.Equal(h.domainsUsed("/orders/1", 26), []string{"north"})
}

// Guards against the body of a request that is sent to a peer in a region that is neither allowed nor the gateway's own.
func TestForwardsStayInTheAllowedRegions(t *testing.T) {
	is := is.New(t)
	h := regionHarness(t, []string{"home"}, nil)
	h.state.settings = h.state.settings.WithRegions(map[string]string{"north": "home", "south": "home", "far": "away", "remote": "third"})
	registrations := map[string]Registration{}
	for _, domain := range []string{"north", "south", "far", "remote"} {
		name := "gateway-" + domain
		registrations[name] = NewRegistration("127.0.0.1:1", domain).WithForwarding("127.0.0.1:2", "access")
	}
	h.post(NewPeersRead(registrations, true))
	for name := range registrations {
		h.post(NewDigestReceived(Digest{gateway: name, incarnation: "x", sequence: 1, wall: h.now, covers: 1}))
	}
	for _, c := range []struct {
		routes []string
		want   []string
	}{
		{nil, []string{"gateway-far", "gateway-north", "gateway-remote", "gateway-south"}},
		{[]string{"home"}, []string{"gateway-north", "gateway-south"}},
		{[]string{"away"}, []string{"gateway-far", "gateway-north", "gateway-south"}}, // The caller is in the region home.
	} {
		route := NewRoute("drafts", "shop.example", "/drafts/").WithRegions(c.routes)
		is.Equal(h.state.peersFor(&pendingCall{route: route, service: h.state.config.services["desk"]}), c.want)
	}
}
