package gateway

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playedFleet is some gateways that offer the load of one team, and exchange digests.
type playedFleet struct {
	states   []*State
	start    time.Time
	now      time.Time
	cut      map[int]bool
	admitted map[time.Duration]float64
	refused  int
	next     int
	others   int
	team     *Team
	cost     float64
	allowed  float64
}

// newPlayedFleet returns gateways of a team with the rate in tokens a second, as large a burst, and requests of the cost.
func newPlayedFleet(n int, rate, cost float64) *playedFleet {
	f := &playedFleet{
		team: NewTeam("engravers", 1, []string{"key-1"}).WithLimit(rate, rate, true, 200), cost: cost,
		allowed: 9*rate*1.1 + testTokens, start: time.Date(2026, 6, 9, 0, 0, 0, 0, time.UTC), cut: map[int]bool{}, admitted: map[time.Duration]float64{},
	}
	f.now = f.start
	for range n {
		f.add(true)
	}
	return f
}

func (f *playedFleet) add(firstStart bool) {
	name := "gateway-" + strconv.Itoa(len(f.states))
	settings := NewSettings(name, "north", name, f.now).WithRetries(0.2, 60).WithFirstStart(firstStart).WithSlack(testSlack)
	s := NewState(settings)
	s.Reduce(f.now, NewConfigRead(testCatalogue(1, f.team), "store"))
	f.states = append(f.states, s)
	names := map[string]Registration{}
	for i := range f.states {
		names["gateway-"+strconv.Itoa(i)] = NewRegistration("127.0.0.1:"+strconv.Itoa(i), "north")
	}
	for _, s := range f.states {
		s.Reduce(f.now, NewPeersRead(names, true))
	}
}

// offer sends the team's requests, evenly to all gateways, for a time.
func (f *playedFleet) offer(d time.Duration, tokensPerSecond float64) {
	const step, tick, exchange = 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond
	owed := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		at := f.now.Sub(f.start)
		f.others++ // A hundred requests a second of other teams.
		f.states[f.others%len(f.states)].arrivals.add([]string{"printers", "binders", "gilders", "carvers"}[f.others/len(f.states)%4])
		owed += tokensPerSecond * step.Seconds()
		for ; owed >= f.cost; owed -= f.cost {
			s := f.states[f.next%len(f.states)]
			f.next++
			s.arrivals.add("engravers")
			s.now = f.now
			if ok, _ := s.admit(s.catalogue.teams["engravers"], f.cost); ok {
				f.admitted[at] += f.cost
			} else {
				f.refused++
			}
		}
		if at%tick == 0 {
			for _, s := range f.states {
				s.Reduce(f.now, Ticked{})
			}
		}
		if at%exchange != 0 {
			continue
		}
		for i, s := range f.states {
			for j, o := range f.states {
				if i != j && !f.cut[i] && !f.cut[j] {
					o.Reduce(f.now, NewDigestReceived(DigestFrom(s.Digest(f.now).Message())))
				}
			}
		}
	}
}

func (f *playedFleet) mostShare() float64 {
	return mostInWindow(f.admitted, f.now.Sub(f.start)) / f.allowed
}

func TestGatewayThatStartsDuringABurst(t *testing.T) {
	is := is.New(t)
	f := newPlayedFleet(6, testRate, 4000)
	f.offer(10*time.Second, testRate/2)
	f.offer(4*time.Second, 8*testRate)
	f.add(false)
	record := make([]int64, recallParts) // The holder of the lease was lost before the burst began.
	for i := range record {
		record[i] = int64(testRate / 2)
	}
	f.states[6].Reduce(f.now, NewAdmittedRestored(map[string][]int64{"engravers": record}, f.now.Add(-4*time.Second)))
	f.offer(10*time.Second, 8*testRate)
	t.Logf("%.3f of what is allowed", f.mostShare())
	is.True(f.mostShare() <= 1)
}

func TestLimitHoldsWhileGatewaysAreCutOff(t *testing.T) {
	for _, team := range []struct{ rate, cost float64 }{{testRate, 4000}, {testRate / 4, 8000}, {testRate / 4, 4000}, {2 * testRate, 10_000}} {
		for _, lost := range []int{1, 2, 3} {
			for _, times := range []float64{2, 4, 8, 20} {
				t.Run(fmt.Sprintf("%v tokens a second, %d of 6, %v times the limit", team.rate, lost, times), func(t *testing.T) {
					is := is.New(t)
					f := newPlayedFleet(6, team.rate, team.cost)
					f.offer(10*time.Second, team.rate/5)
					for i := range lost {
						f.cut[i] = true
					}
					f.offer(10*time.Second, times*team.rate)
					clear(f.cut)
					f.offer(10*time.Second, times*team.rate)
					t.Logf("%.3f of what is allowed", f.mostShare())
					is.True(f.mostShare() <= 1)
				})
			}
		}
	}
}

func TestUsualLoadWhileGatewaysAreLost(t *testing.T) {
	for lost := 1; lost < 6; lost++ {
		is := is.New(t)
		f := newPlayedFleet(6, testRate, 4000)
		f.offer(20*time.Second, testRate*0.55)
		f.states = f.states[lost:] // Their callers go to the others.
		f.offer(10*time.Second, testRate*0.55)
		t.Logf("%d of 6 lost: %d refused", lost, f.refused)
		is.Equal(f.refused, 0)
	}
}

// TestDomainThatIsCutOffWhileAnotherGatewayIsGone: what a gateway that is gone for long is taken to use says nothing
// of those that fall silent later.
func TestDomainThatIsCutOffWhileAnotherGatewayIsGone(t *testing.T) {
	is := is.New(t)
	f := newPlayedFleet(6, testRate, 4000)
	f.offer(10*time.Second, testRate/2)
	f.cut[5] = true
	f.offer(10*time.Second, testRate/2)
	f.cut[0], f.refused = true, 0
	f.offer(500*time.Millisecond, testRate/2)
	f.offer(3*time.Second, testRate/2)
	is.True(f.refused <= 2)
	is.True(f.mostShare() <= 1)
}

func TestPartOfTheCallersWhoseGatewaysAreSilent(t *testing.T) {
	domains := map[string]string{"a": "north", "b": "north", "c": "south", "d": "east"}
	for _, c := range []struct {
		name          string
		heard         []string
		silent, share float64
	}{
		{"all are heard", []string{"b", "c", "d"}, 0, 1.0 / 6},
		{"the other of the domain is silent", []string{"c", "d"}, 1.0 / 6, 1.0 / 5},
		{"a domain is silent", []string{"b", "c"}, 1.0 / 3, 1.0 / 4},
		{"this domain is cut off", []string{"b"}, 2.0 / 3, 1.0 / 2},
		{"this gateway is cut off", nil, 5.0 / 6, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			s := NewState(NewSettings("a", "north", "first", now))
			listings := map[string]Registration{}
			for name, domain := range domains {
				listings[name] = NewRegistration("127.0.0.1:1", domain)
			}
			s.Reduce(now, NewPeersRead(listings, true))
			now = now.Add(10 * time.Second)
			for _, name := range c.heard {
				s.Reduce(now, NewDigestReceived(Digest{gateway: name, incarnation: "first", covers: 1}))
			}
			s.Reduce(now, Ticked{})
			silent, own := s.shares()
			is.True(math.Abs(silent-c.silent) < 1e-9)
			is.True(math.Abs(own-c.share) < 1e-9)
		})
	}
}
