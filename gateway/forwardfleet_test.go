package gateway

import (
	"fmt"
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
	calls          []*simulatedCall
	served         map[*Call]bool
	// runs counts the runs of each request, arrivals the requests that reached upstreams.
	runs     map[string]int
	arrivals int
	// forwarded counts the forwards that each gateway received, secondHops those that it forwarded again.
	forwarded  map[string]int
	secondHops int
	probes     map[string]int
	reports    map[rail.EventNumber]int
}

// cutForm is what happens to connections across a partition.
type cutForm int

const (
	connectionsRefused cutForm = iota
	dialsTimeOut
	connectionsHang
)

const forwardKey = "access"

func newForwardFleet(gateways, domains, upstreams int, seed uint64) *forwardFleet {
	f := &forwardFleet{deskFleet: newDeskFleet(gateways, domains, upstreams, seed), dead: map[string]bool{}, draining: map[string]bool{}, served: map[*Call]bool{}, runs: map[string]int{}, forwarded: map[string]int{}, probes: map[string]int{}, reports: map[rail.EventNumber]int{}}
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
		switch e := e.(type) {
		case Report:
			f.reports[e.number]++
		case Probe:
			f.probes[name]++
			took, ok := time.Millisecond, !f.cut(f.states[name], e.upstream) && !f.engines[e.upstream.id].down
			if !ok && f.how != connectionsRefused {
				took = 300 * time.Millisecond
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
	f.sent++
	path := "/orders/lookup/" + strconv.Itoa(f.sent)
	if f.random.IntN(2) == 0 {
		path = "/orders/" + strconv.Itoa(f.sent)
	}
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
	case cut:
		kind, wait := rail.KindDeadlinePassed, e.deadline.Sub(f.now)+answerGrace
		if e.failoverTimeout > 0 && e.failoverTimeout < wait {
			kind, wait = rail.KindUpstreamSilent, e.failoverTimeout
		}
		f.after(wait, func() { end(Outcome{kind: kind, timedOut: true}) })
	default:
		f.arrivals++
		f.runs[e.call.id]++
		f.after(time.Duration(10+f.random.IntN(20))*time.Millisecond, func() { end(Outcome{status: 200, answered: true}) })
	}
}

// forward lets a peer make an attempt of the call.
func (f *forwardFleet) forward(x *simulatedCall, e Send, forward Forward, end func(Outcome)) {
	peer, done := forward.Peer(), false
	if f.dead[peer] {
		f.after(time.Millisecond, func() { end(Outcome{kind: rail.KindPeerUnreachable}) })
		return
	}
	c := NewCall(x.call.id, x.call.path, "", x.call.message, f.now, e.deadline).WithForwarded(NewForwarded(x.gateway, forward.Team(), forward.ConfigVersion(), forward.Tried(), forward.AttemptsLeft()))
	finish := func(o Outcome) {
		if !done {
			done = true
			f.after(time.Millisecond, func() { end(o) })
		}
	}
	if e.failoverTimeout > 0 {
		f.after(e.failoverTimeout, func() {
			if !done {
				f.reduce(peer, CallerDisconnected{call: c})
				finish(Outcome{kind: rail.KindUpstreamSilent, timedOut: true})
			}
		})
	}
	f.forwarded[peer]++
	f.after(time.Millisecond, func() {
		upstreamID := ""
		switch e := f.reduce(peer, CallArrived{call: c}).(type) {
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
				switch e := f.reduce(peer, AttemptEnded{call: c, outcome: o}).(type) {
				case Refuse:
					finish(Outcome{kind: e.kind, placement: upstreamID})
				case Send:
					f.secondHops++
				default:
					o.placement = upstreamID
					finish(o)
				}
			})
		}
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
}) bool {
	return s.gateways > maxSimulatedGateways
})

const contactTime = 3 * time.Second

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
			for how, name := range []string{"refused", "dials time out", "hang"} {
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
