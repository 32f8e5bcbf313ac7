package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testCatalogue(version int64, teams ...*Team) *Config {
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

func TestDigestThatAPartitionHeldUp(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.post(NewConfigRead(testCatalogue(1, testTeam()), "store"))
	hear := func(incarnation string, sequence, tokens int64) {
		w.post(NewDigestReceived(Digest{gateway: "gateway-2", incarnation: incarnation, sequence: sequence, wall: w.now, admitted: map[string]parts{"engravers": {float64(tokens)}}, covers: 1}))
	}
	hear("first", 1, 400_000)
	hear("first", 2, 401_000)
	hear("second", 1, 2000)
	before := w.state.quota(w.state.catalogue.teams["engravers"]).total
	hear("first", 3, 402_000) // Sent before the restart, held up by a partition.
	hear("second", 2, 3000)
	hear("second", 1, 2000)
	hear("second", 3, 3000)
	after := w.state.quota(w.state.catalogue.teams["engravers"]).total
	is.Equal(after-before, 1000.0)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.post(NewConfigRead(testCatalogue(7), "store"))
	w.post(NewConfigRead(testCatalogue(5), "gateway-2"))
	is.Equal(w.state.Config().Version(), int64(7))
}
