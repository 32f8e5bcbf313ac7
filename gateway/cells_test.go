package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playedCells is a large fleet whose gateways call each other as Contacts says.
type playedCells struct {
	states map[string]*State
	now    time.Time
	// dead do not answer, cut says of a pair whether it cannot talk.
	dead   map[string]bool
	cut    func(a, b *State) bool
	failed map[[2]string]time.Time
	calls  int
}

func newPlayedCells(n, domains int) *playedCells {
	c := &playedCells{states: map[string]*State{}, now: time.Unix(1_000_000, 0), dead: map[string]bool{}, failed: map[[2]string]time.Time{}}
	c.cut = func(*State, *State) bool { return false }
	listings := map[string]Registration{}
	for i := range n {
		name, domain := "gateway-"+strconv.Itoa(i), "domain-"+strconv.Itoa(i%domains)
		listings[name] = NewRegistration("127.0.0.1:"+strconv.Itoa(i+1), domain)
		s := NewState(NewSettings(name, domain, name, c.now).WithFirstStart(true).WithSlack(testSlack))
		s.Reduce(c.now, NewConfigRead(testCatalogue(1, testTeam()), "store"))
		c.states[name] = s
	}
	for _, s := range c.states {
		s.Reduce(c.now, NewPeersRead(listings, true))
	}
	return c
}

// pass plays rounds of exchanges for a time; a message passes as on the wire.
func (c *playedCells) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(400 * time.Millisecond) {
		for name, s := range c.states {
			if c.dead[name] {
				continue
			}
			s.Reduce(c.now, Ticked{})
			contacts := s.Contacts(func(peer string) (away, again bool) {
				last, away := c.failed[[2]string{name, peer}]
				return away, c.now.Sub(last) >= 2*time.Second
			})
			for _, x := range contacts {
				c.calls++
				peer := c.states[x.Name()]
				if c.dead[x.Name()] || c.cut(s, peer) {
					c.failed[[2]string{name, x.Name()}] = c.now
					continue
				}
				delete(c.failed, [2]string{name, x.Name()})
				peer.Reduce(c.now, NewDigestReceived(DigestFrom(s.Digest(c.now).Message())).WithReplyRequested())
				s.Reduce(c.now, NewDigestReceived(DigestFrom(peer.Reply(c.now, name).Message())))
			}
		}
	}
	for _, s := range c.states {
		s.Reduce(c.now, Ticked{})
	}
}

func silentShare(s *State) float64 {
	silent, _ := s.shares()
	return silent
}

func TestCellsLieWithinFailureDomains(t *testing.T) {
	is := is.New(t)
	c := newPlayedCells(91, 4)
	seen := map[string]int{}
	for _, members := range c.states["gateway-0"].cells.members {
		is.True(len(members) <= 10)
		for _, name := range members {
			seen[name]++
			is.Equal(c.states[name].settings.domain, c.states[members[0]].settings.domain)
		}
	}
	is.Equal(len(seen), 91)
	is.Equal(newPlayedCells(11, 4).states["gateway-0"].cells, nil) // All know each other.
}

func TestAllGatewaysOfALargeFleetKnowWhatIsAdmitted(t *testing.T) {
	for _, n := range []int{12, 30, 91, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newPlayedCells(n, 4)
			c.pass(2 * time.Second)
			team := c.states["gateway-0"].catalogue.teams["engravers"]
			for _, s := range c.states {
				s.quota(team).own[s.quota(team).at%quotaSlots] = 100
			}
			c.calls = 0
			c.pass(2 * time.Second)
			t.Logf("%.1f calls a second for each gateway", float64(c.calls)/2/float64(n))
			for _, s := range c.states {
				is.Equal(s.quota(team).total, 100*float64(n))
				is.Equal(silentShare(s), 0.0)
			}
		})
	}
}

func TestCellsWhoseFirstGatewaysEnd(t *testing.T) {
	is := is.New(t)
	c := newPlayedCells(91, 4)
	c.pass(2 * time.Second)
	for _, members := range c.states["gateway-0"].cells.members {
		c.dead[members[0]] = true
	}
	c.pass(5 * time.Second)
	lost := len(c.dead)
	for name, s := range c.states {
		if !c.dead[name] {
			is.True(silentShare(s) <= float64(lost)/91+0.001)
		}
	}
	clear(c.dead) // They come back, and speak for their cells again.
	c.pass(5 * time.Second)
	for _, s := range c.states {
		is.Equal(silentShare(s), 0.0)
		is.True(len(s.peers) <= 21) // Those of its cell and the first of the others.
	}
}

func TestDomainOfALargeFleetThatIsCutOff(t *testing.T) {
	is := is.New(t)
	c := newPlayedCells(91, 4)
	c.pass(2 * time.Second)
	c.cut = func(a, b *State) bool {
		return (a.settings.domain == "domain-0") != (b.settings.domain == "domain-0")
	}
	c.pass(4 * time.Second)
	for _, s := range c.states {
		if s.settings.domain == "domain-0" {
			is.Equal(silentShare(s), 68.0/91)
		} else {
			is.Equal(silentShare(s), 23.0/91)
		}
	}
	c.cut = func(*State, *State) bool { return false }
	c.pass(3 * time.Second)
	for _, s := range c.states {
		is.Equal(silentShare(s), 0.0)
	}
}

func TestUsageOfALargeFleetIsCountedOnce(t *testing.T) {
	is := is.New(t)
	c := newPlayedCells(91, 4)
	c.pass(2 * time.Second)
	window := c.states["gateway-0"].window()
	for _, s := range c.states {
		s.usage.count(window, "engravers", 10)
	}
	c.pass(2 * time.Second)
	first := c.states["gateway-0"].cells.members[0][0]
	c.dead[first] = true // What it counted was told.
	c.pass(4 * time.Second)
	for name, s := range c.states {
		if !c.dead[name] {
			n := s.Usage(window)["engravers"]
			is.True(n >= 900)
			is.True(n <= 910)
		}
	}
}

// TestGatewaysThatDoNotHearEachOtherBothCall: of two that start at the same time one may not know of the other.
func TestGatewaysThatDoNotHearEachOtherBothCall(t *testing.T) {
	is := is.New(t)
	c := newPlayedCells(6, 2)
	never := func(string) (away, again bool) { return false, false }
	for _, s := range c.states {
		is.Equal(len(s.Contacts(never)), 5)
	}
	c.pass(2 * time.Second)
	calls := 0
	for _, s := range c.states {
		calls += len(s.Contacts(never))
	}
	is.Equal(calls, 6*5/2) // One of each pair.
}
