package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/simtime"
)

// forwardedCall returns a call that gateway-2 forwards after it was admitted by the configuration.
func (h *harness) forwardedCall(path string, admitted *Config) *Call {
	c := NewCall("r-1", path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), h.now, h.now.Add(1500*time.Millisecond))
	definitions := admitted.definitions(admitted.route("shop.example", path), admitted.teams["engravers"])
	return c.WithForwarded(NewForwarded("gateway-2", "engravers", admitted.version, nil, 2).WithDefinitions(definitions))
}

// changedConfig returns a configuration in which the orders and the lookups have another timeout, and a route is new.
func changedConfig(version int64, teams ...*Team) *Config {
	routes := []*Route{
		NewRoute("orders", "shop.example", "/orders/", NewBackend("desk", 1)).WithTimes(time.Second+time.Duration(version)*time.Millisecond, 100*time.Millisecond),
		NewRoute("lookups", "shop.example", "/orders/lookup/", NewBackend("desk", 1)).WithTimes(time.Second+time.Duration(version)*time.Millisecond, 100*time.Millisecond).WithRepeat(Repeatable, 2),
		NewRoute("new", "shop.example", "/new/", NewBackend("desk", 1)).WithTimes(time.Second, 100*time.Millisecond),
	}
	return NewConfig(version, routes, []*Service{NewService("desk", 96)}, teams, Limits{})
}

// Guards against refusals of a peer that has not the configuration yet which admitted a call (review/9).
func TestForwardedCallOfANewerConfiguration(t *testing.T) {
	same, changed := testConfig(2, testTeam()), changedConfig(2, testTeam())
	withoutDefinitions := func(h *harness) *Call {
		c := h.forwardedCall("/orders/1", same)
		return c.WithForwarded(NewForwarded("gateway-2", "engravers", 2, nil, 2)) // Of an older gateway.
	}
	call := func(path string, admitted *Config) func(h *harness) *Call {
		return func(h *harness) *Call { return h.forwardedCall(path, admitted) }
	}
	for _, c := range []struct {
		name   string
		call   func(h *harness) *Call
		begin  string
		change func(h *harness) []Effect
		end    string
	}{
		{"the same definitions", call("/orders/1", same), "send", nil, ""},
		{"a changed route", call("/orders/1", changed), "hold", func(h *harness) []Effect { return h.post(NewConfigRead(changed, "gateway-2")) }, "send"},
		{"a new route", call("/new/1", changed), "hold", func(h *harness) []Effect { return h.post(NewConfigRead(changed, "gateway-2")) }, "send"},
		{"a peer that names no definitions", withoutDefinitions, "hold", func(h *harness) []Effect { return h.post(NewConfigRead(same, "gateway-2")) }, "send"},
		{"an order that waits longer than calls that may be repeated", call("/orders/1", changed), "hold", func(h *harness) []Effect { return h.advance(2 * configWait).post(Ticked{}) }, ""},
		{"a version that does not come", call("/orders/1", changed), "hold", func(h *harness) []Effect { return h.advance(maxConfigWait).post(Ticked{}) }, "refuse notReady"},
		{"a version that does not come for a lookup", call("/orders/lookup/1", changed), "hold", func(h *harness) []Effect { return h.advance(configWait).post(Ticked{}) }, "refuse notReady"},
		{"an even newer version without the route", call("/orders/1", changed), "hold", func(h *harness) []Effect {
			return h.post(NewConfigRead(NewConfig(3, nil, nil, []*Team{testTeam()}, Limits{}), "store"))
		}, "refuse unknownRoute"},
		{"a shutdown", call("/orders/1", changed), "hold", func(h *harness) []Effect { return h.post(ShutdownStarted{}) }, "refuse leaving"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testUpstream("a"), testUpstream("b"))
			h.peers("gateway-2")
			h.state.config = testConfig(1, testTeam())
			x := c.call(h)
			is.Equal(describeNext(h.post(CallArrived{call: x})), c.begin)
			if c.change == nil {
				return
			}
			is.Equal(describeNext(c.change(h)), c.end)
			h.post(CallerDisconnected{call: x})
			is.Equal(len(h.state.configWaits), 0)
			is.Equal(len(h.state.calls), 0)
		})
	}
}

// describeNext describes the effect of a call.
func describeNext(effects []Effect) string {
	switch e := callEffect(effects).(type) {
	case Send:
		return "send"
	case Refuse:
		return "refuse " + string(e.kind)
	}
	if holds(effects) {
		return "hold"
	}
	return ""
}

// A route or a team that a peer does not have is not in the newest configuration, so that the caller learns of it at once.
func TestCallThatIsUnknownToThePeerIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []rail.Kind{rail.KindUnknownRoute, rail.KindUnknownTeam} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			h := newPartitionedHarness(t, "gateway-2", "gateway-3", "gateway-4")
			call := h.call("/orders/1")
			_, forwarded := h.arrive(call).(Send).Forward()
			is.True(forwarded)
			is.Equal(h.end(call, Outcome{kind: kind}).(Refuse).kind, kind)
		})
	}
}

// configure sends a configuration to all gateways; the partitioned ones read the store, the others learn of it later.
func (f *forwardFleet) configure(config *Config, cut map[string]bool, lag time.Duration) {
	for _, name := range f.names {
		after := time.Duration(5+f.random.IntN(15)) * time.Millisecond
		if !cut[name] {
			after += time.Duration(f.random.Int64N(int64(lag)))
		}
		f.after(after, func() { f.reduce(name, NewConfigRead(config, "store")) })
	}
}

// Guards against callers of partitioned gateways being refused while their peers have not the newest configuration yet (review/9).
func TestCallersOfPartitionedGatewaysAreServedBesideNewConfigurations(t *testing.T) {
	lags := map[int]time.Duration{6: 400 * time.Millisecond, 90: 900 * time.Millisecond, 195: 900 * time.Millisecond}
	for _, size := range forwardFleetSizes {
		for _, gap := range []time.Duration{330 * time.Millisecond, 60 * time.Millisecond} {
			for name, config := range map[string]func(version int64, teams ...*Team) *Config{"other routes": testConfig, "the route": changedConfig} {
				t.Run(fmt.Sprintf("%d gateways, %v, %s", size.gateways, gap, name), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newForwardFleet(size.gateways, size.domains, size.upstreams, 1)
					f.play(2*time.Second, size.perSecond)
					cut := f.partition(connectionsBreak, inDomain1)
					f.play(contactTime, size.perSecond)
					team := NewTeam("engravers", 1, []string{"key-1"}).WithLimit(1e6, 1e6, false, 0)
					begin := f.now
					for version := int64(10); f.now.Sub(begin) < 4*time.Second; version++ {
						f.configure(config(version, team), cut, lags[size.gateways])
						f.play(gap, size.perSecond)
					}
					f.play(1600*time.Millisecond, size.perSecond)
					atCut, atOthers := f.servedShares(begin, func(name string) bool { return cut[name] })
					t.Logf("served %.3f at partitioned gateways, %.3f at others", atCut, atOthers)
					is.True(atCut >= atOthers*0.9)
					is.True(atOthers > 0.99)
					orders, lookups := f.ordersRunTwice()
					is.Equal(orders, 0)
					is.Equal(lookups, 0)
					for _, name := range f.names {
						is.Equal(len(f.states[name].configWaits), 0)
					}
				})
			}
		}
	}
}

// Guards against gateways that fall behind while the configuration changes again and again. The log tells how old the last gateway's
// configuration is.
func TestConfigurationsInQuickSuccessionReachAllGateways(t *testing.T) {
	for i, n := range restorableFleetSizes {
		applyTime := time.Duration(i+2) * time.Second // ConfigApplyMs of the users' sites of that size.
		for _, gap := range []time.Duration{330 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d gateways, %v", n, gap), func(t *testing.T) {
				simtime.Run(t, func(t *testing.T) {
					f := newRestorableFleet(n)
					defer f.stop()
					f.topic.write("config", "1")
					time.Sleep(5 * time.Second)
					writtenAt := map[int64]time.Time{}
					var longest time.Duration
					for version, begin := int64(2), time.Now(); time.Since(begin) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
						if time.Since(begin) >= time.Duration(version-2)*gap {
							f.topic.write("config", strconv.FormatInt(version, 10))
							writtenAt[version] = time.Now()
							version++
						}
						for known := range f.versions(func(int) bool { return true }) {
							if next, ok := writtenAt[known+1]; ok {
								longest = max(longest, time.Since(next))
							}
						}
					}
					t.Logf("the last gateway is up to %v behind", longest)
					is.New(t).True(longest <= applyTime)
				})
			})
		}
	}
}
