package gateway

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// forwardFleet plays lookups and orders at gateways of which some are partitioned from upstreams.
type forwardFleet struct {
	*deskFleet
	// cut reports whether the gateway is partitioned from the upstream.
	cut func(gateway *State, u Upstream) bool
	how cutForm
	// dead holds the gateways that run no longer, draining those that refuse what they have not begun.
	dead, draining map[string]bool
	// older holds the gateways that take some answers of upstreams to forwarded calls for refusals, and do not say that they send ids once.
	older  map[string]bool
	calls  []*simulatedCall
	served map[*Call]bool
	// runs counts the runs of each request, arrivals the requests that reached upstreams.
	runs     map[string]int
	arrivals int
	// forwarded counts the forwards that each gateway received, secondHops those that it forwarded again.
	forwarded  map[string]int
	secondHops int
	probes     map[string]int
	reports    map[rail.EventNumber]int
	// connectionsPerSecond is the number of new connections that each upstream answers in a second, zero for no limit. backlogUntil is when each one
	// has answered those so far, idle the number of idle connections of each gateway and upstream, opened counts the new ones.
	connectionsPerSecond float64
	backlogUntil         map[string]time.Time
	idle                 map[connectionEnds]int
	opened               int
	// heldHops are the forwarded calls that wait at peers, with what carries out their next effects.
	heldHops map[*Call]func(Effect)
}

// connectionEnds names the two ends of connections.
type connectionEnds struct{ gateway, upstream string }

// cutForm is what happens to connections across a partition.
type cutForm int

const (
	connectionsRefused cutForm = iota
	dialsTimeOut
	connectionsHang
	connectionsBreak
)

const forwardKey = "access"

func newForwardFleet(gateways, domains, upstreams int, seed uint64) *forwardFleet {
	f := &forwardFleet{deskFleet: newDeskFleet(gateways, domains, upstreams, seed), dead: map[string]bool{}, draining: map[string]bool{}, older: map[string]bool{}, served: map[*Call]bool{}, runs: map[string]int{}, forwarded: map[string]int{}, probes: map[string]int{}, reports: map[rail.EventNumber]int{}, heldHops: map[*Call]func(Effect){}, backlogUntil: map[string]time.Time{}, idle: map[connectionEnds]int{}}
	f.cut = func(*State, Upstream) bool { return false }
	team := NewTeam("engravers", 1, []string{"key-1"}).WithLimit(1e6, 1e6, false, 0)
	registrations := map[string]Registration{}
	for i, name := range f.names {
		registrations[name] = NewRegistration("127.0.0.1:1", f.states[name].settings.domain).WithForwarding("127.0.0.2:"+strconv.Itoa(i+1), forwardKey)
	}
	for _, name := range f.names {
		s := f.states[name]
		s.settings = s.settings.WithRetries(0.2, 52).WithExposure(0.1)
		s.Reduce(f.now, NewConfigRead(testConfig(3, team), "store"))
		s.Reduce(f.now, NewPeersRead(registrations, true))
	}
	f.ticked = func(s *State, effects []Effect) { f.probe(s.settings.name, effects) }
	return f
}

func (f *forwardFleet) reduce(name string, e Event) Effect {
	effects := f.states[name].Reduce(f.now, e)
	f.probe(name, effects)
	return callEffect(effects)
}

// probe carries out the probes among the effects of a gateway and counts its log lines.
func (f *forwardFleet) probe(name string, effects []Effect) {
	for _, e := range effects {
		if carryOut, held := f.heldHops[effectCall(e)]; held {
			delete(f.heldHops, effectCall(e))
			carryOut(e)
		}
		switch e := e.(type) {
		case Report:
			f.reports[e.number]++
		case Probe:
			f.probes[name]++
			took, ok := time.Millisecond, !f.cut(f.states[name], e.upstream) && !f.engines[e.upstream.id].down
			if !ok && f.how != connectionsRefused {
				took = simulatedProbeTimeout
			}
			if ok && f.connectionsPerSecond > 0 {
				f.probeSlowUpstream(name, e.upstream.id)
				continue
			}
			f.after(took, func() { f.reduce(name, NewProbeEnded(e.upstream.id, ok)) })
		}
	}
}

// play sends so many requests a second to each gateway.
func (f *forwardFleet) play(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		for _, name := range f.names {
			for range f.count(perSecond) {
				f.send(name)
			}
		}
		f.engineFleet.play(simulationStep, load{})
	}
}

func (f *forwardFleet) send(name string) {
	if f.dead[name] {
		return
	}
	path := "/orders/lookup/" + strconv.Itoa(f.sent+1)
	if f.random.IntN(2) == 0 {
		path = "/orders/" + strconv.Itoa(f.sent+1)
	}
	f.sendTo(name, path)
}

// sendTo sends a request with the path to the gateway.
func (f *forwardFleet) sendTo(name, path string) {
	f.sent++
	c := NewCall("r-"+strconv.Itoa(f.sent), path, "key-1", NewMessage("POST", path, "shop.example", nil, []byte("body")), f.now, f.now.Add(1500*time.Millisecond))
	x := &simulatedCall{call: c, sentAt: f.now, gateway: name}
	f.calls = append(f.calls, x)
	f.carryOut(x, f.reduce(name, CallArrived{call: c}))
}

// carryOut carries out the effect of a call at the gateway that has its caller.
func (f *forwardFleet) carryOut(x *simulatedCall, effect Effect) {
	ended := func(o Outcome) {
		if f.dead[x.gateway] {
			return
		}
		if o.kind == rail.KindNone {
			f.served[x.call] = true
		}
		f.carryOut(x, f.reduce(x.gateway, AttemptEnded{call: x.call, outcome: o}))
	}
	switch e := effect.(type) {
	case Refuse:
		x.refused, x.retryAfter = e.kind, e.retryAfter
	case Send:
		x.attempts++
		if forward, ok := e.Forward(); ok {
			f.forward(x, e, forward, ended)
			return
		}
		f.attempt(x.gateway, e, ended)
	}
}

// attempt makes an attempt of the gateway at an upstream.
func (f *forwardFleet) attempt(name string, e Send, end func(Outcome)) {
	engine := f.engines[e.upstream.id]
	refused := Outcome{kind: rail.KindUpstreamUnreachable, err: rail.WrapError(syscall.ECONNREFUSED, rail.KindUpstreamUnreachable, "dial")}
	cut := f.cut(f.states[name], engine.upstream)
	switch {
	case engine.down || (cut && f.how == connectionsRefused):
		f.after(time.Millisecond, func() { end(refused) })
	case cut && f.how == dialsTimeOut:
		f.after(300*time.Millisecond, func() { end(Outcome{kind: rail.KindUpstreamUnreachable, timedOut: true}) })
	case cut && f.how == connectionsBreak:
		f.after(20*time.Millisecond, func() {
			end(Outcome{kind: rail.KindUpstreamFailed, err: rail.WrapError(io.ErrUnexpectedEOF, rail.KindUpstreamFailed, "no answer")})
		})
	case cut:
		done := false
		finish := func(kind rail.Kind) {
			if !done {
				done = true
				end(Outcome{kind: kind, timedOut: true})
			}
		}
		f.after(e.deadline.Sub(f.now)+answerGrace, func() { finish(rail.KindDeadlinePassed) })
		f.failOver(name, e, func() bool { return done }, func() { finish(rail.KindUpstreamSilent) })
	case f.connectionsPerSecond > 0:
		f.attemptSlowUpstream(name, e, end)
	default:
		f.arrivals++
		f.runs[e.call.id]++
		f.after(time.Duration(10+f.random.IntN(20))*time.Millisecond, func() { end(Outcome{status: 200, answered: true}) })
	}
}

// open opens a connection and returns when the upstream answers on it; it does so in order, also where the gateway has given up meanwhile.
func (f *forwardFleet) open(upstreamID string) time.Duration {
	f.opened++
	if f.backlogUntil[upstreamID].Before(f.now) {
		f.backlogUntil[upstreamID] = f.now
	}
	f.backlogUntil[upstreamID] = f.backlogUntil[upstreamID].Add(time.Duration(float64(time.Second) / f.connectionsPerSecond))
	return f.backlogUntil[upstreamID].Sub(f.now)
}

// attemptSlowUpstream makes an attempt on an idle connection, or on a new one that the upstream may answer late.
func (f *forwardFleet) attemptSlowUpstream(name string, e Send, end func(Outcome)) {
	ends := connectionEnds{name, e.upstream.id}
	wait := time.Duration(0)
	if f.idle[ends] > 0 {
		f.idle[ends]--
	} else {
		wait = f.open(e.upstream.id)
	}
	done := false
	finish := func(o Outcome) {
		if !done {
			done = true
			end(o)
		}
	}
	f.after(wait, func() {
		if done {
			return
		}
		f.arrivals++
		f.runs[e.call.id]++
		f.after(time.Duration(10+f.random.IntN(20))*time.Millisecond, func() {
			if !done {
				f.idle[ends]++
			}
			finish(Outcome{status: 200, answered: true})
		})
	})
	f.after(e.deadline.Sub(f.now)+answerGrace, func() { finish(Outcome{kind: rail.KindDeadlinePassed, timedOut: true}) })
	f.failOver(name, e, func() bool { return done }, func() { finish(Outcome{kind: rail.KindUpstreamSilent, timedOut: true}) })
}

const (
	simulatedProbeTimeout     = 300 * time.Millisecond
	simulatedLateProbeTimeout = 2 * time.Second
)

// probeSlowUpstream probes an upstream on a new connection, which is kept if it is answered.
func (f *forwardFleet) probeSlowUpstream(name, upstreamID string) {
	wait := f.open(upstreamID)
	if wait > simulatedProbeTimeout {
		f.after(simulatedProbeTimeout, func() { f.reduce(name, NewProbeEnded(upstreamID, false)) })
	}
	if wait <= simulatedLateProbeTimeout {
		f.after(wait, func() {
			f.idle[connectionEnds{name, upstreamID}]++
			f.reduce(name, NewProbeEnded(upstreamID, true))
		})
	}
}

// failOver plays the failover timeout of an attempt.
func (f *forwardFleet) failOver(name string, e Send, done func() bool, abort func()) {
	if e.failoverTimeout <= 0 {
		return
	}
	var check func()
	check = func() {
		if done() || f.dead[name] {
			return
		}
		effects := f.states[name].Reduce(f.now, FailoverDue{call: e.call})
		f.probe(name, effects)
		if len(aborts(effects)) > 0 {
			abort()
			return
		}
		f.after(failoverInterval, check)
	}
	f.after(e.failoverTimeout, check)
}

// forward lets a peer make an attempt of the call.
func (f *forwardFleet) forward(x *simulatedCall, e Send, forward Forward, end func(Outcome)) {
	peer, done := forward.Peer(), false
	if f.dead[peer] {
		f.after(time.Millisecond, func() { end(Outcome{kind: rail.KindPeerUnreachable}) })
		return
	}
	c := NewCall(x.call.id, x.call.path, "", x.call.message, f.now, e.deadline).WithForwarded(NewForwarded(x.gateway, forward.Team(), forward.ConfigVersion(), forward.Tried(), forward.AttemptsLeft()).WithDefinitions(forward.Definitions()))
	finish := func(o Outcome) {
		if !done {
			done = true
			f.after(time.Millisecond, func() { end(o) })
		}
	}
	f.failOver(x.gateway, e, func() bool { return done }, func() {
		delete(f.heldHops, c)
		f.reduce(peer, CallerDisconnected{call: c})
		finish(Outcome{kind: rail.KindUpstreamSilent, timedOut: true})
	})
	f.forwarded[peer]++
	carryOut := func(e Effect) {
		upstreamID := ""
		switch e := e.(type) {
		case Refuse:
			finish(Outcome{kind: e.kind})
		case Send:
			if _, again := e.Forward(); again {
				f.secondHops++
				return
			}
			upstreamID = e.upstream.id
			f.attempt(peer, e, func(o Outcome) {
				if f.dead[peer] {
					finish(Outcome{kind: rail.KindUpstreamFailed})
					return
				}
				if f.older[peer] && o.answered && f.random.IntN(4) == 0 {
					o = Outcome{kind: rail.KindUpstreamFull, refused: true}
				}
				switch e := f.reduce(peer, AttemptEnded{call: c, outcome: o}).(type) {
				case Refuse:
					finish(Outcome{kind: e.kind, placement: upstreamID, idsOnce: !f.older[peer]})
				case Send:
					f.secondHops++
				default:
					o.placement = upstreamID
					finish(o)
				}
			})
		}
	}
	f.after(time.Millisecond, func() {
		effects := f.states[peer].Reduce(f.now, CallArrived{call: c})
		f.probe(peer, effects)
		if holds(effects) {
			f.heldHops[c] = carryOut
			return
		}
		carryOut(callEffect(effects))
	})
}

// servedShares returns the shares of the requests that were sent from the time on and served, at the gateways for which cut
// reports true and at the others.
func (f *forwardFleet) servedShares(from time.Time, cut func(name string) bool) (atCut, atOthers float64) {
	sent, served := map[bool]int{}, map[bool]int{}
	for _, x := range f.calls {
		if x.sentAt.Before(from) || f.now.Sub(x.sentAt) < 1600*time.Millisecond {
			continue
		}
		sent[cut(x.gateway)]++
		if f.served[x.call] {
			served[cut(x.gateway)]++
		}
	}
	return float64(served[true]) / float64(max(1, sent[true])), float64(served[false]) / float64(max(1, sent[false]))
}

// ordersRunTwice returns the number of orders that ran more than once, lookupsRunThrice that of lookups beyond their attempts.
func (f *forwardFleet) ordersRunTwice() (orders, lookups int) {
	for _, x := range f.calls {
		n := f.runs[x.call.id]
		if strings.HasPrefix(x.call.path, "/orders/lookup/") {
			if n > 2 {
				lookups++
			}
		} else if n > 1 {
			orders++
		}
	}
	return orders, lookups
}

// forwardFleetSizes are the sizes of fleets with the requests a second at each gateway.
var forwardFleetSizes = slices.DeleteFunc([]struct {
	deskFleetSize
	perSecond float64
}{
	{deskFleetSize{6, 3, 6, 3 * time.Second}, 25},
	{deskFleetSize{90, 3, 24, 4 * time.Second}, 4},
	{deskFleetSize{195, 6, 48, 4 * time.Second}, 2},
}, func(s struct {
	deskFleetSize
	perSecond float64
},
) bool {
	return s.gateways > maxSimulatedGateways
})

// The users' bounds ContactMs and RecoverS.
const (
	contactTime = 3 * time.Second
	recoverTime = 12 * time.Second
)

// Guards against callers of gateways that are partitioned from all upstreams getting refusals while peers reach them (RECOVER).
func TestCallersOfPartitionedGatewaysAreServed(t *testing.T) {
	for _, size := range forwardFleetSizes {
		for _, c := range []struct {
			name string
			cut  func(i int, domain string) bool
		}{
			{"one gateway", func(i int, _ string) bool { return i == 1 }},
			{"a domain", func(_ int, domain string) bool { return domain == "domain-1" }},
		} {
			for how, name := range []string{"refused", "dials time out", "hang", "break"} {
				t.Run(fmt.Sprintf("%d gateways, %s, %s", size.gateways, c.name, name), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newForwardFleet(size.gateways, size.domains, size.upstreams, 1)
					f.how = cutForm(how)
					f.play(2*time.Second, size.perSecond)
					cut := map[string]bool{}
					for i, name := range f.names {
						cut[name] = c.cut(i, f.states[name].settings.domain)
					}
					f.cut = func(s *State, _ Upstream) bool { return cut[s.settings.name] }
					begin := f.now
					f.play(9*time.Second, size.perSecond)
					atCut, atOthers := f.servedShares(begin.Add(contactTime), func(name string) bool { return cut[name] })
					t.Logf("served %.3f at partitioned gateways, %.3f at others; forwards %v, second hops %d, probes %v", atCut, atOthers, len(f.forwarded), f.secondHops, len(f.probes))
					is.True(atCut >= atOthers*2/3)
					is.True(atOthers > 0.99)
					is.Equal(f.secondHops, 0)
					orders, lookups := f.ordersRunTwice()
					is.Equal(orders, 0)
					is.Equal(lookups, 0)
				})
			}
		}
	}
}

// partition partitions the gateways from the upstreams.
func (f *forwardFleet) partition(how cutForm, cut func(i int, domain string) bool) map[string]bool {
	names := map[string]bool{}
	for i, name := range f.names {
		names[name] = cut(i, f.states[name].settings.domain)
	}
	f.how, f.cut = how, func(s *State, _ Upstream) bool { return names[s.settings.name] }
	return names
}

func (f *forwardFleet) heal() { f.cut = func(*State, Upstream) bool { return false } }

func oddName(name string) bool { return name[len(name)-1]%2 == 1 }

func inDomain1(_ int, domain string) bool { return domain == "domain-1" }

// Guards against calls that are forwarded, or refused, by gateways that reach upstreams of the service.
func TestPartialPartitionsAreNone(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(s *State, u Upstream) bool
	}{
		{"a domain of upstreams", func(s *State, u Upstream) bool { return u.domain == "domain-2" && s.settings.domain != "domain-2" }},
		{"the own domain's upstreams", func(s *State, u Upstream) bool { return u.domain == "domain-1" && s.settings.domain == "domain-1" }},
		{"half of the upstreams from half of the gateways", func(s *State, u Upstream) bool { return oddName(s.settings.name) && oddName(u.id) }},
		{"all but three of the upstreams from all gateways", func(_ *State, u Upstream) bool {
			return !slices.Contains([]string{"engine-0", "engine-6", "engine-9"}, u.id)
		}},
	} {
		for how := range connectionsBreak {
			t.Run(fmt.Sprintf("%s, form %d", c.name, how), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newForwardFleet(6, 3, 12, 2)
				f.play(2*time.Second, 25)
				f.how, f.cut = how, c.cut
				begin := f.now
				f.play(8*time.Second, 25)
				_, served := f.servedShares(begin.Add(contactTime), func(string) bool { return false })
				refused := map[rail.Kind]int{}
				for _, x := range f.calls {
					refused[x.refused]++
				}
				t.Logf("refused %v; served %.3f; %d partitions, forwards %v, %d probes", refused, served, f.reports[rail.EventPartitionBegan], f.forwarded, f.probeCount())
				is.True(served >= 0.95)
				is.True(f.reports[rail.EventPartitionBegan] <= 2)
			})
		}
	}
}

func (f *forwardFleet) probeCount() int {
	n := 0
	for _, k := range f.probes {
		n += k
	}
	return n
}

// Guards against callers that wait, or calls that go round, while no gateway reaches an upstream, and against refusals that go on
// after that.
func TestAllGatewaysPartitionedRefuseAtOnce(t *testing.T) {
	for _, size := range forwardFleetSizes {
		for how := range connectionsBreak + 1 {
			t.Run(fmt.Sprintf("%d gateways, form %d", size.gateways, how), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newForwardFleet(size.gateways, size.domains, size.upstreams, 3)
				f.play(2*time.Second, size.perSecond)
				f.partition(how, func(int, string) bool { return true })
				f.play(8*time.Second, size.perSecond)
				begin, n := f.now, len(f.calls)
				f.play(2*time.Second, size.perSecond)
				for _, x := range f.calls[n:] {
					is.Equal(x.refused.Reply().Run(), rail.NotRun) // Without an attempt that waits.
					is.True(x.retryAfter > 0)
					is.Equal(f.runs[x.call.id], 0)
				}
				f.heal()
				healed := f.now
				f.play(5*time.Second, size.perSecond)
				_, served := f.servedShares(healed.Add(2*time.Second), func(string) bool { return false })
				t.Logf("%.1f probes a second at each gateway; served %.3f afterwards", float64(f.probeCount())/f.now.Sub(begin).Seconds()/float64(size.gateways), served)
				is.True(served > 0.99)
			})
		}
	}
}

// Guards against gateways that refuse everything while all upstreams run, but answer new connections slowly (RECOVER).
func TestUpstreamsThatAnswerNewConnectionsSlowlyAreUsed(t *testing.T) {
	for _, size := range forwardFleetSizes {
		for _, c := range []struct {
			name  string
			share float64 // Of the requests for which an upstream could answer a new connection each.
		}{
			{"half of the requests", 0.5},
			{"a quarter of the requests", 0.25},
		} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d gateways, new connections for %s, seed %d", size.gateways, c.name, seed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newForwardFleet(size.gateways, size.domains, size.upstreams, 20+seed)
					f.play(2*time.Second, size.perSecond)
					f.connectionsPerSecond = c.share * size.perSecond * float64(size.gateways) / float64(size.upstreams)
					begin := f.now // No connection is left.
					f.play(recoverTime, size.perSecond)
					f.play(10*time.Second, size.perSecond)
					_, served := f.servedShares(begin.Add(recoverTime), func(string) bool { return false })
					limit := f.connectionsPerSecond * float64(size.upstreams) * (recoverTime + 10*time.Second).Seconds()
					t.Logf("%.3f served; %d partitions, %.1f probes a second at each gateway; %d new connections, %.0f could be answered", served, f.reports[rail.EventPartitionBegan],
						float64(f.probeCount())/f.now.Sub(begin).Seconds()/float64(size.gateways), f.opened, limit)
					is.True(served >= 2.0/3)
					f.connectionsPerSecond = 0
					ended := f.now
					f.play(5*time.Second, size.perSecond)
					_, served = f.servedShares(ended.Add(2*time.Second), func(string) bool { return false })
					is.True(served > 0.99)
					orders, lookups := f.ordersRunTwice()
					is.Equal(orders, 0)
					is.Equal(lookups, 0)
				})
			}
		}
	}
}

// Guards against forwards that are charged to teams, counted as usage or retried at both gateways.
func TestForwardedCallsAreCountedOnce(t *testing.T) {
	for how := range connectionsBreak + 1 {
		t.Run(fmt.Sprintf("form %d", how), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newForwardFleet(6, 3, 6, 4)
			f.play(2*time.Second, 25)
			f.partition(how, inDomain1)
			f.play(4*time.Second, 25)
			f.heal()
			f.play(4*time.Second, 25)
			f.engineFleet.play(2*time.Second, load{})
			var usage, ran int64
			for _, name := range f.names {
				for _, counts := range f.states[name].usage {
					usage += counts["engravers"]
				}
				for c := range f.states[name].calls {
					t.Errorf("call %s is still in flight at %s", c.id, name)
				}
				for _, u := range f.states[name].registry.targets {
					is.Equal(u.ownLoad, Load{})
				}
			}
			notRun := 0
			for _, x := range f.calls {
				switch {
				case f.runs[x.call.id] > 0:
					ran++
					is.True(x.refused == "" || x.refused.Reply().Run() != rail.NotRun)
				case x.refused == "" || x.refused.Reply().Run() != rail.NotRun:
					notRun++ // It may have run, as far as the gateway knows.
				}
			}
			t.Logf("%d runs, usage %d, %d that may have run; %d arrivals of %d requests", ran, usage, notRun, f.arrivals, len(f.calls))
			is.True(usage >= ran)
			is.True(usage <= ran+int64(notRun))
			is.True(float64(f.arrivals-len(f.calls)) <= 0.2*float64(len(f.calls))+52)
			orders, lookups := f.ordersRunTwice()
			is.Equal(orders, 0)
			is.Equal(lookups, 0)
			is.Equal(f.secondHops, 0)
		})
	}
}

// Guards against teams that use more than their limit by way of gateways that forward (QUOTA).
func TestLimitHoldsForForwardedCalls(t *testing.T) {
	is := is.New(t)
	f := newForwardFleet(6, 3, 6, 5)
	team := NewTeam("engravers", 1, []string{"key-1"}).WithLimit(60, 60, false, 0)
	for _, name := range f.names {
		f.states[name].settings = f.states[name].settings.WithSlack(NewSlack(quotaWindow, 0.1, 10))
		f.states[name].Reduce(f.now, NewConfigRead(testConfig(4, team), "store"))
	}
	f.play(10*time.Second, 25)
	f.partition(connectionsRefused, inDomain1)
	n := f.arrivals
	f.play(quotaWindow, 25)
	allowed := (60*quotaWindow.Seconds()+60)*1.1 + 10
	t.Logf("%d arrivals, %.0f allowed", f.arrivals-n, allowed)
	is.True(float64(f.arrivals-n) <= allowed)
	is.True(float64(f.arrivals-n) >= 0.8*60*quotaWindow.Seconds())
}

// Guards against orders that run twice, or are reported as not run, when the peers that they were forwarded to end.
func TestOrdersOfPeersThatEndRunOnce(t *testing.T) {
	is := is.New(t)
	f := newForwardFleet(6, 3, 6, 6)
	f.play(2*time.Second, 25)
	cut := f.partition(connectionsRefused, inDomain1)
	f.play(2*time.Second, 25)
	for i, name := range f.names {
		if !cut[name] && i%2 == 0 {
			f.dead[name], f.down[name] = true, true
		}
	}
	f.play(4*time.Second, 25)
	ran, failed := 0, 0
	for _, x := range f.calls {
		if f.runs[x.call.id] > 0 && !f.dead[x.gateway] {
			ran++
			is.True(x.refused == "" || x.refused.Reply().Run() != rail.NotRun)
		}
		if x.refused != "" {
			failed++
		}
	}
	orders, _ := f.ordersRunTwice()
	is.Equal(orders, 0)
	t.Logf("%d ran, %d of %d failed", ran, failed, len(f.calls))
	is.True(failed < len(f.calls)/20)
}

// Guards against orders that run twice, or are reported as not run, when peers of older builds take copies of refusals for their answers.
func TestOrdersForwardedToOlderPeersRunOnce(t *testing.T) {
	for _, size := range forwardFleetSizes {
		t.Run(strconv.Itoa(size.gateways), func(t *testing.T) {
			is := is.New(t)
			f := newForwardFleet(size.gateways, size.domains, size.upstreams, 7)
			for i, name := range f.names {
				f.older[name] = i%2 == 0
			}
			f.play(2*time.Second, size.perSecond)
			f.partition(connectionsRefused, inDomain1)
			f.play(size.contact, size.perSecond)
			notRun := 0
			for _, x := range f.calls {
				order := !strings.HasPrefix(x.call.path, "/orders/lookup/")
				if order && f.runs[x.call.id] > 0 && x.refused != "" && x.refused.Reply().Run() == rail.NotRun {
					notRun++
				}
			}
			twice, _ := f.ordersRunTwice()
			t.Logf("%d requests: %d orders ran twice, %d ran and were refused as not run", f.sent, twice, notRun)
			is.Equal(twice, 0)
			is.Equal(notRun, 0)
		})
	}
}

// Guards against a sound version that is taken back because gateways are partitioned from its upstreams.
func TestPartitionedGatewaysTakeNoVersionBack(t *testing.T) {
	for how := range connectionsBreak + 1 {
		t.Run(fmt.Sprintf("form %d", how), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newForwardFleet(6, 3, 12, 7)
			for _, name := range f.names {
				var changes []UpstreamChange
				for i := range 12 {
					u := &f.engines["engine-"+strconv.Itoa(i)].upstream
					*u = u.WithVersion("v" + strconv.Itoa(1+i%2))
					changes = append(changes, UpstreamSet(*u))
				}
				f.states[name].Reduce(f.now, NewUpstreamsRead(changes, true, "store"))
				f.states[name].Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 14*time.Second, RolloutRunning)))
			}
			f.play(4*time.Second, 25)
			f.partition(how, inDomain1)
			f.play(9*time.Second, 25)
			for _, name := range f.names {
				is.True(!f.states[name].rollouts["desk"].bad)
				is.Equal(f.states[name].quarantine.blocked.Len(), 0)
			}
		})
	}
}

// Guards against forwards that crowd a few peers, and against gateways that ask upstreams all the time.
func TestForwardsSpreadOverPeers(t *testing.T) {
	for _, size := range forwardFleetSizes {
		t.Run(strconv.Itoa(size.gateways), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newForwardFleet(size.gateways, size.domains, size.upstreams, 8)
			f.play(2*time.Second, size.perSecond)
			cut := f.partition(connectionsRefused, inDomain1)
			f.play(contactTime, size.perSecond)
			clear(f.forwarded)
			clear(f.probes)
			const length = 6 * time.Second
			f.play(length, 4*size.perSecond)
			total, most := 0, 0
			for _, n := range f.forwarded {
				total, most = total+n, max(most, n)
			}
			gateways := 0
			for _, isCut := range cut {
				if isCut {
					gateways++
				}
			}
			mean := float64(total) / float64(size.gateways-gateways)
			t.Logf("%d forwards, at most %d at a peer, %.1f on average; %.2f probes a second at each partitioned gateway", total, most, mean, float64(f.probeCount())/length.Seconds()/float64(gateways))
			is.True(float64(most) <= mean+5*math.Sqrt(mean)) // Five standard deviations of a random spread.
			is.True(float64(f.probeCount()) <= 2.2*length.Seconds()*float64(gateways))
		})
	}
}

// limitAll adds upstreams of another service, each of which names a limit of one request a second.
func (f *forwardFleet) limitAll(upstreams, domains int) {
	var changes []UpstreamChange
	for i := range upstreams {
		u := NewUpstream("limited-"+strconv.Itoa(i), "models", "127.0.0.1:2", "domain-"+strconv.Itoa(i%domains), 1).WithSlots(64, 0)
		f.engines[u.id] = &simulatedEngine{told: map[string]time.Time{}, upstream: u}
		changes = append(changes, UpstreamSet(u))
	}
	for _, s := range f.states {
		s.Reduce(f.now, NewUpstreamsRead(changes, false, "store"))
		for i := range upstreams {
			s.applyLimitNews(s.registry.targets["limited-"+strconv.Itoa(i)], limitNews{RequestLimit: RequestLimit{perSecond: 1, named: true}, startedAtMs: 1, at: f.now}, "upstream")
		}
	}
}

// Guards against a peer that gets no calls of any service because it has no room for those of one (RECOVER).
func TestRefusalsOfOneServiceDoNotEjectPeers(t *testing.T) {
	for _, size := range forwardFleetSizes {
		for how, name := range []string{"refused", "dials time out", "hang", "break"} {
			t.Run(fmt.Sprintf("%d gateways, %s", size.gateways, name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newForwardFleet(size.gateways, size.domains, size.upstreams, 1)
				f.limitAll(4, size.domains)
				play := func(d time.Duration) {
					for end := f.now.Add(d); f.now.Before(end); {
						for _, name := range f.names {
							for range f.count(size.perSecond / 4) {
								f.sendTo(name, "/drafts/"+strconv.Itoa(f.sent+1))
							}
							for range f.count(size.perSecond) {
								f.send(name)
							}
						}
						f.engineFleet.play(simulationStep, load{})
					}
				}
				play(2 * time.Second)
				cut := f.partition(cutForm(how), inDomain1)
				begin := f.now
				play(9 * time.Second)
				f.calls = slices.DeleteFunc(f.calls, func(x *simulatedCall) bool { return !strings.HasPrefix(x.call.path, "/orders/") })
				atCut, atOthers := f.servedShares(begin.Add(contactTime), func(name string) bool { return cut[name] })
				t.Logf("served %.3f at partitioned gateways, %.3f at others", atCut, atOthers)
				is.True(atCut >= atOthers*2/3)
				is.True(atOthers > 0.99)
			})
		}
	}
}
