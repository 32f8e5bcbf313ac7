package gateway

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulatedFleet is a set of gateways that receive one team's load and exchange digests.
type simulatedFleet struct {
	states        []*State
	start         time.Time
	now           time.Time
	partitioned   map[int]bool
	admitted      map[time.Duration]float64
	refused       int
	nextGateway   int
	otherRequests int
	slack         Slack
	// only is the gateway that gets all of the team's requests, negative if they are spread evenly; down holds those that ended.
	only    int
	down    map[int]bool
	team    *Team
	cost    float64
	allowed float64
}

// newSimulatedFleet returns n gateways and a team with the rate in tokens a second, a burst of the same size, and requests of the cost.
func newSimulatedFleet(n int, rate, cost float64) *simulatedFleet {
	f := &simulatedFleet{
		team: NewTeam("engravers", 1, []string{"key-1"}).WithLimit(rate, rate, true, 200), cost: cost,
		allowed: 9*rate*1.1 + testSlackTokens, start: time.Date(2026, 6, 9, 0, 0, 0, 0, time.UTC), partitioned: map[int]bool{}, admitted: map[time.Duration]float64{},
		slack: testSlack, only: -1, down: map[int]bool{},
	}
	f.now = f.start
	for range n {
		f.add(true)
	}
	return f
}

func (f *simulatedFleet) add(firstStart bool) {
	name := "gateway-" + strconv.Itoa(len(f.states))
	settings := NewSettings(name, "north", name, f.now).WithRetries(0.2, 60).WithFirstStart(firstStart).WithSlack(f.slack)
	s := NewState(settings)
	s.Reduce(f.now, NewConfigRead(testConfig(1, f.team), "store"))
	f.states = append(f.states, s)
	registrations := map[string]Registration{}
	for i := range f.states {
		registrations["gateway-"+strconv.Itoa(i)] = NewRegistration("127.0.0.1:"+strconv.Itoa(i), "north")
	}
	for _, s := range f.states {
		s.Reduce(f.now, NewPeersRead(registrations, true))
	}
}

// run sends the team's requests evenly to all gateways for the duration.
func (f *simulatedFleet) run(d time.Duration, tokensPerSecond float64) {
	const step, tick, exchange = 10 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond
	owed := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		at := f.now.Sub(f.start)
		f.otherRequests++ // Other teams send a hundred requests a second.
		f.states[f.otherRequests%len(f.states)].arrivals.add([]string{"printers", "binders", "gilders", "carvers"}[f.otherRequests/len(f.states)%4])
		owed += tokensPerSecond * step.Seconds()
		for ; owed >= f.cost; owed -= f.cost {
			for f.nextGateway++; f.down[f.nextGateway%len(f.states)]; {
				f.nextGateway++
			}
			s := f.states[f.nextGateway%len(f.states)]
			if f.only >= 0 {
				s = f.states[f.only]
			}
			s.arrivals.add("engravers")
			s.now = f.now
			if ok, _ := s.admit(s.config.teams["engravers"], f.cost); ok {
				f.admitted[at] += f.cost
			} else {
				f.refused++
			}
		}
		if at%tick == 0 {
			for i, s := range f.states {
				if !f.down[i] {
					s.Reduce(f.now, Ticked{})
				}
			}
		}
		if at%exchange != 0 {
			continue
		}
		for i, s := range f.states {
			for j, o := range f.states {
				if i != j && !f.down[i] && !f.down[j] && !f.partitioned[i] && !f.partitioned[j] {
					o.Reduce(f.now, NewDigestReceived(DigestFrom(s.Digest(f.now).Message())))
				}
			}
		}
	}
}

func (f *simulatedFleet) maxShare() float64 {
	return maxInWindow(f.admitted, f.now.Sub(f.start)) / f.allowed
}

func TestGatewayThatStartsDuringABurst(t *testing.T) {
	is := is.New(t)
	f := newSimulatedFleet(6, testRate, 4000)
	f.run(10*time.Second, testRate/2)
	f.run(4*time.Second, 8*testRate)
	f.add(false)
	record := make([]int64, quotaBuckets) // The lease holder failed before the burst began, so the record does not include it.
	for i := range record {
		record[i] = int64(testRate / 2)
	}
	f.states[6].Reduce(f.now, NewAdmittedRestored(map[string][]int64{"engravers": record}, f.now.Add(-4*time.Second)))
	f.run(10*time.Second, 8*testRate)
	t.Logf("%.3f of what is allowed", f.maxShare())
	is.True(f.maxShare() <= 1)
}

// restart ends a gateway and starts it again after the time, with nothing in the store's record.
func (f *simulatedFleet) restart(i int, after time.Duration, tokensPerSecond float64) {
	f.down[i] = true
	f.run(after, tokensPerSecond)
	delete(f.down, i)
	old := f.states[i].settings
	s := NewState(NewSettings(old.name, old.domain, old.name+"-again", f.now).WithRetries(0.2, 60).WithSlack(f.slack))
	s.Reduce(f.now, NewConfigRead(testConfig(1, f.team), "store"))
	registrations := map[string]Registration{}
	for j, o := range f.states {
		registrations[o.settings.name] = NewRegistration("127.0.0.1:"+strconv.Itoa(j), "north")
	}
	s.Reduce(f.now, NewPeersRead(registrations, true))
	f.states[i] = s
}

// A gateway that takes a whole burst and is killed has admitted more than it had reported; its restart must not make the
// others forget that. The figures of the limit are those of the soak.
func TestGatewayKilledInABurst(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		for _, burst := range []time.Duration{200 * time.Millisecond, 390 * time.Millisecond} {
			for _, times := range []float64{5, 20, 40} {
				t.Run(fmt.Sprintf("%v of %v times the limit, started after %v", burst, times, after), func(t *testing.T) {
					is := is.New(t)
					const rate, slackTokens = 6000, 20_000
					f := newSimulatedFleet(0, rate, 250)
					f.slack, f.allowed = NewSlack(8*time.Second, 0.1, slackTokens), 9*rate*1.1+slackTokens
					for range 4 {
						f.add(true)
					}
					f.run(1210*time.Millisecond, 0) // Ends right after an exchange.
					f.only = 0
					f.run(burst, times*rate)
					f.only = -1
					f.restart(0, after, times*rate)
					f.run(8*time.Second, times*rate)
					t.Logf("%.3f of what is allowed", f.maxShare())
					is.True(f.maxShare() <= 1)
				})
			}
		}
	}
}

func TestLimitHoldsDuringPartition(t *testing.T) {
	for _, team := range []struct{ rate, cost float64 }{{testRate, 4000}, {testRate / 4, 8000}, {testRate / 4, 4000}, {2 * testRate, 10_000}} {
		for _, lost := range []int{1, 2, 3} {
			for _, times := range []float64{2, 4, 8, 20} {
				t.Run(fmt.Sprintf("%v tokens a second, %d of 6, %v times the limit", team.rate, lost, times), func(t *testing.T) {
					is := is.New(t)
					f := newSimulatedFleet(6, team.rate, team.cost)
					f.run(10*time.Second, team.rate/5)
					for i := range lost {
						f.partitioned[i] = true
					}
					f.run(10*time.Second, times*team.rate)
					clear(f.partitioned)
					f.run(10*time.Second, times*team.rate)
					t.Logf("%.3f of what is allowed", f.maxShare())
					is.True(f.maxShare() <= 1)
				})
			}
		}
	}
}

func TestBaselineLoadAfterGatewaysFail(t *testing.T) {
	for lost := 1; lost < 6; lost++ {
		is := is.New(t)
		f := newSimulatedFleet(6, testRate, 4000)
		f.run(20*time.Second, testRate*0.55)
		f.states = f.states[lost:] // The callers of the lost gateways reconnect to the others.
		f.run(10*time.Second, testRate*0.55)
		t.Logf("%d of 6 lost: %d refused", lost, f.refused)
		is.Equal(f.refused, 0)
	}
}

// TestPartitionWhileAnotherGatewayIsDown guards against reserving too much when
// a gateway becomes silent while another one has been silent for long: the
// amount reserved for the first must not be applied to the second.
func TestPartitionWhileAnotherGatewayIsDown(t *testing.T) {
	is := is.New(t)
	f := newSimulatedFleet(6, testRate, 4000)
	f.run(10*time.Second, testRate/2)
	f.partitioned[5] = true
	f.run(10*time.Second, testRate/2)
	f.partitioned[0], f.refused = true, 0
	f.run(500*time.Millisecond, testRate/2)
	f.run(3*time.Second, testRate/2)
	is.True(f.refused <= 2)
	is.True(f.maxShare() <= 1)
}

func TestCallerShareOfSilentGateways(t *testing.T) {
	domains := map[string]string{"a": "north", "b": "north", "c": "south", "d": "east"}
	for _, c := range []struct {
		name          string
		received      []string
		silent, share float64
	}{
		{"digests from all gateways", []string{"b", "c", "d"}, 0, 1.0 / 6},
		{"the other gateway of the domain is silent", []string{"c", "d"}, 1.0 / 6, 1.0 / 5},
		{"a domain is silent", []string{"b", "c"}, 1.0 / 3, 1.0 / 4},
		{"this domain is partitioned", []string{"b"}, 2.0 / 3, 1.0 / 2},
		{"this gateway is partitioned", nil, 5.0 / 6, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			s := NewState(NewSettings("a", "north", "first", now))
			registrations := map[string]Registration{}
			for name, domain := range domains {
				registrations[name] = NewRegistration("127.0.0.1:1", domain)
			}
			s.Reduce(now, NewPeersRead(registrations, true))
			now = now.Add(10 * time.Second)
			for _, name := range c.received {
				s.Reduce(now, NewDigestReceived(Digest{gateway: name, incarnation: "first", covers: 1}))
			}
			s.Reduce(now, Ticked{})
			silent, own := s.shares()
			is.True(math.Abs(silent-c.silent) < 1e-9)
			is.True(math.Abs(own-c.share) < 1e-9)
		})
	}
}
