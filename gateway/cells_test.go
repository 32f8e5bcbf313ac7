package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedCells is a fleet whose gateways exchange digests with the peers that Contacts returns.
type simulatedCells struct {
	states map[string]*State
	now    time.Time
	// down holds the gateways that do not answer; partitioned reports whether two gateways cannot reach each other.
	down        map[string]bool
	partitioned func(a, b *State) bool
	failed      map[[2]string]time.Time
	// exchanged is called after two gateways have exchanged digests.
	exchanged func(a, b *State)
	calls     int
	// ticked is called with the effects of each tick.
	ticked func(s *State, effects []Effect)
}

func newSimulatedCells(n, domains int) *simulatedCells {
	c := &simulatedCells{states: map[string]*State{}, now: time.Unix(1_000_000, 0), down: map[string]bool{}, failed: map[[2]string]time.Time{}}
	c.partitioned = func(*State, *State) bool { return false }
	c.exchanged = func(*State, *State) {}
	c.ticked = func(*State, []Effect) {}
	registrations := map[string]Registration{}
	for i := range n {
		name, domain := "gateway-"+strconv.Itoa(i), "domain-"+strconv.Itoa(i%domains)
		registrations[name] = NewRegistration("127.0.0.1:"+strconv.Itoa(i+1), domain)
		s := NewState(NewSettings(name, domain, name, c.now).WithFirstStart(true).WithSlack(testSlack))
		s.Reduce(c.now, NewConfigRead(testConfig(1, testTeam()), "store"))
		c.states[name] = s
	}
	for _, s := range c.states {
		s.Reduce(c.now, NewPeersRead(registrations, true))
	}
	return c
}

// run simulates rounds of exchanges for the duration; digests are converted to messages and back.
func (c *simulatedCells) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(400 * time.Millisecond) {
		for name, s := range c.states {
			if c.down[name] {
				continue
			}
			s.Reduce(c.now, Ticked{})
			c.exchange(name, s)
		}
	}
	for _, s := range c.states {
		s.Reduce(c.now, Ticked{})
	}
}

// advance ticks the gateway, and exchanges its digests, if that is due at its phase.
func (c *simulatedCells) advance(name string, phase time.Duration) {
	const tick = 100 * time.Millisecond
	at := time.Duration(c.now.UnixNano()) + phase
	if at%tick == 0 {
		s := c.states[name]
		c.ticked(s, s.Reduce(c.now, Ticked{}))
	}
	if at%c.states[name].DigestInterval() == 0 {
		c.exchange(name, c.states[name])
	}
}

// exchange exchanges digests with the gateway's contacts.
func (c *simulatedCells) exchange(name string, s *State) {
	s.now = c.now
	contacts := s.Contacts(func(peer string) (unreachable, retry bool) {
		last, unreachable := c.failed[[2]string{name, peer}]
		return unreachable, c.now.Sub(last) >= 2*time.Second
	})
	for _, x := range contacts {
		c.calls++
		peer := c.states[x.Name()]
		if c.down[x.Name()] || c.partitioned(s, peer) {
			c.failed[[2]string{name, x.Name()}] = c.now
			continue
		}
		delete(c.failed, [2]string{name, x.Name()})
		peer.Reduce(c.now, NewDigestReceived(DigestFrom(s.Digest(c.now).Message())).WithReplyRequested())
		s.Reduce(c.now, NewDigestReceived(DigestFrom(peer.Reply(c.now, name).Message())))
		c.exchanged(s, peer)
	}
}

func silentShare(s *State) float64 {
	silent, _ := s.shares()
	return silent
}

func TestCellsLieWithinFailureDomains(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(91, 4)
	seen := map[string]int{}
	for _, members := range c.states["gateway-0"].cells.members {
		is.True(len(members) <= 10)
		for _, name := range members {
			seen[name]++
			is.Equal(c.states[name].settings.domain, c.states[members[0]].settings.domain)
		}
	}
	is.Equal(len(seen), 91)
	is.Equal(newSimulatedCells(11, 4).states["gateway-0"].cells, nil) // A small fleet is a full mesh.
}

func TestLargeFleetSharesAdmittedTokens(t *testing.T) {
	for _, n := range []int{12, 30, 91, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newSimulatedCells(n, 4)
			c.run(2 * time.Second)
			team := c.states["gateway-0"].config.teams["engravers"]
			for _, s := range c.states {
				s.quota(team).own[s.quota(team).currentSlot%quotaSlots] = 100
			}
			c.calls = 0
			c.run(2 * time.Second)
			t.Logf("%.1f calls a second for each gateway", float64(c.calls)/2/float64(n))
			for _, s := range c.states {
				is.Equal(s.quota(team).total, 100*float64(n))
				is.Equal(silentShare(s), 0.0)
			}
		})
	}
}

func TestCellLeadersFail(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(91, 4)
	c.run(2 * time.Second)
	for _, members := range c.states["gateway-0"].cells.members {
		c.down[members[0]] = true
	}
	c.run(5 * time.Second)
	lost := len(c.down)
	for name, s := range c.states {
		if !c.down[name] {
			is.True(silentShare(s) <= float64(lost)/91+0.001)
		}
	}
	clear(c.down) // The former leaders return and lead their cells again.
	c.run(5 * time.Second)
	for _, s := range c.states {
		is.Equal(silentShare(s), 0.0)
		is.True(len(s.peers) <= 21) // The members of its cell and the leaders of the others.
	}
}

func TestPartitionedDomainOfLargeFleet(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(91, 4)
	c.run(2 * time.Second)
	c.partitioned = func(a, b *State) bool {
		return (a.settings.domain == "domain-0") != (b.settings.domain == "domain-0")
	}
	c.run(4 * time.Second)
	for _, s := range c.states {
		if s.settings.domain == "domain-0" {
			is.Equal(silentShare(s), 68.0/91)
		} else {
			is.Equal(silentShare(s), 23.0/91)
		}
	}
	c.partitioned = func(*State, *State) bool { return false }
	c.run(3 * time.Second)
	for _, s := range c.states {
		is.Equal(silentShare(s), 0.0)
	}
}

func TestUsageOfALargeFleetIsCountedOnce(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(91, 4)
	c.run(2 * time.Second)
	window := c.states["gateway-0"].window()
	for _, s := range c.states {
		s.usage.count(window, "engravers", 10)
	}
	c.run(2 * time.Second)
	first := c.states["gateway-0"].cells.members[0][0]
	c.down[first] = true // Its counts were already sent in digests.
	c.run(4 * time.Second)
	for name, s := range c.states {
		if !c.down[name] {
			n := s.Usage(window)["engravers"]
			is.True(n >= 900)
			is.True(n <= 910)
		}
	}
}

// TestGatewaysWithoutDigestsBothCall guards against a pair that never exchanges
// digests: of two gateways that start at the same time, one may not know of the
// other, and it may be the one that should call.
func TestGatewaysWithoutDigestsBothCall(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(6, 2)
	never := func(string) (unreachable, retry bool) { return false, false }
	for _, s := range c.states {
		is.Equal(len(s.Contacts(never)), 5)
	}
	c.run(2 * time.Second)
	calls := 0
	for _, s := range c.states {
		calls += len(s.Contacts(never))
	}
	is.Equal(calls, 6*5/2) // One gateway of each pair calls.
}
