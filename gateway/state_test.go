package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testConfig(version int64, teams ...*Team) *Config {
	routes := []*Route{
		NewRoute("orders", "shop.example", "/orders/", NewBackend("desk", 1)).WithTimes(time.Second, 100*time.Millisecond),
		NewRoute("lookups", "shop.example", "/orders/lookup/", NewBackend("desk", 1)).WithTimes(time.Second, 100*time.Millisecond).WithRepeat(Repeatable, 2),
		NewRoute("drafts", "shop.example", "/drafts/", NewBackend("models", 1)).WithTimes(12*time.Second, time.Second).WithRepeat(AtMostOnce, 2).WithStream(true, 500*time.Millisecond),
		NewRoute("chats", "shop.example", "/chats/", NewBackend("models", 1)).WithTimes(12*time.Second, time.Second).WithStream(false, 500*time.Millisecond),
	}
	services := []*Service{NewService("desk", 96), NewService("models", 360).WithEngine(64, 500_000)}
	return NewConfig(version, routes, services, teams, Limits{})
}

func testTeam() *Team {
	return NewTeam("engravers", 1, []string{"key-1"}).WithLimit(testRate, testRate, true, 200)
}

func TestDelayedDigestIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.post(NewConfigRead(testConfig(1, testTeam()), "store"))
	receive := func(incarnation string, sequence, tokens int64) {
		h.post(NewDigestReceived(Digest{gateway: "gateway-2", incarnation: incarnation, sequence: sequence, wall: h.now, admitted: map[string]buckets{"engravers": {float64(tokens)}}, covers: 1}))
	}
	receive("first", 1, 400_000)
	receive("first", 2, 401_000)
	receive("second", 1, 2000)
	before := h.state.quota(h.state.config.teams["engravers"]).total
	receive("first", 3, 402_000) // Sent before the restart, delayed by a partition.
	receive("second", 2, 3000)
	receive("second", 1, 2000)
	receive("second", 3, 3000)
	after := h.state.quota(h.state.config.teams["engravers"]).total
	is.Equal(after-before, 1000.0)
}

func TestOlderConfigIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.post(NewConfigRead(testConfig(7), "store"))
	h.post(NewConfigRead(testConfig(5), "gateway-2"))
	is.Equal(h.state.Config().Version(), int64(7))
}
