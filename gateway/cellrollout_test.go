package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// rolloutFleet is a large fleet that serves a service with a version on trial.
type rolloutFleet struct {
	*simulatedCells
	random *rand.Rand
	names  []string
	// sentNew and sent are the requests to the new version and in total; badAt is the time of its fiftieth bad answer, and
	// lateNew the requests to it that came later than the bound after that.
	sentNew, sent, bad, lateNew int
	badAt                       time.Time
	// breaksOff reports whether bad answers break off, as if their upstream had ended.
	breaksOff bool
}

func newRolloutFleet(n int, seed uint64) *rolloutFleet {
	f := &rolloutFleet{simulatedCells: newSimulatedCells(n, 6), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		name := "gateway-" + strconv.Itoa(i)
		f.names = append(f.names, name)
		f.prepare(f.states[name])
	}
	return f
}

func (f *rolloutFleet) prepare(s *State) {
	s.settings = s.settings.WithExposure(0.1)
	changes := []UpstreamChange{}
	for i := range 6 {
		changes = append(changes, UpstreamSet(NewUpstream("old-"+strconv.Itoa(i), "desk", "127.0.0.1:"+strconv.Itoa(i+1), "domain-"+strconv.Itoa(i), 1).WithSlots(50, 0).WithVersion("v1")),
			UpstreamSet(NewUpstream("new-"+strconv.Itoa(i), "desk", "127.0.0.1:"+strconv.Itoa(i+11), "domain-"+strconv.Itoa(i), 1).WithSlots(50, 0).WithVersion("v2")))
	}
	s.Reduce(f.now, NewUpstreamsRead(changes, true, "store"))
}

// restart starts a gateway again: it knows the order, but nothing of what was seen.
func (f *rolloutFleet) restart(name string) {
	f.begin(name).Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
}

// begin replaces a gateway by a new process, which has read everything but the order.
func (f *rolloutFleet) begin(name string) *State {
	old := f.states[name]
	s := NewState(NewSettings(name, old.settings.domain, name+strconv.Itoa(f.sent), f.now).WithSlack(testSlack))
	s.Reduce(f.now, NewConfigRead(testConfig(1, testTeam()), "store"))
	registrations := map[string]Registration{}
	for i, n := range f.names {
		registrations[n] = NewRegistration("127.0.0.1:"+strconv.Itoa(i+1), f.states[n].settings.domain)
	}
	s.Reduce(f.now, NewPeersRead(registrations, true))
	f.states[name] = s
	f.prepare(s)
	return s
}

// play sends requests a second to random gateways for the duration; isBad decides whether the new version's answer is bad.
func (f *rolloutFleet) play(d time.Duration, perSecond int, isBad func() bool) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for range perSecond / 100 {
			s := f.states[f.names[f.random.IntN(len(f.names))]]
			path := "/orders/" + strconv.Itoa(f.sent)
			c := NewCall("r-"+strconv.Itoa(f.sent), path, "key-1", NewMessage("POST", path, "shop.example", nil, nil), f.now, f.now.Add(2*time.Second))
			send, ok := callEffect(s.Reduce(f.now, CallArrived{call: c})).(Send)
			if !ok {
				continue
			}
			f.sent++
			o := Outcome{answered: true, status: 200}
			if send.upstream.version == "v2" {
				f.sentNew++
				if !f.badAt.IsZero() && f.now.Sub(f.badAt) > 5*time.Second {
					f.lateNew++
				}
				if isBad() {
					o = Outcome{kind: rail.KindUpstreamFailed, answered: true, status: 500}
					if f.breaksOff {
						o = Outcome{kind: rail.KindUpstreamFailed, err: io.ErrUnexpectedEOF}
					}
					if f.bad++; f.bad == 50 {
						f.badAt = f.now
					}
				}
			}
			s.Reduce(f.now, AttemptEnded{call: c, outcome: o})
		}
		for i, name := range f.names {
			f.advance(name, time.Duration(i*7%40)*10*time.Millisecond)
		}
	}
}

// A bad version gets its share only from 195 gateways, and none once its fault has shown, also from gateways that start
// after that. The bounds are those of the users: a tenth of the requests and 50, and five seconds after the fiftieth bad answer.
func TestBadVersionInALargeFleet(t *testing.T) {
	for _, c := range []struct {
		name     string
		share    float64
		after    time.Duration
		restarts bool
	}{
		{"fails at once", 0.5, 0, false},
		{"fails at once, gateways restart in turn", 0.5, 0, true},
		{"fails later", 0.5, 6 * time.Second, false},
		{"fails later, gateways restart in turn", 0.4, 6 * time.Second, true},
		{"fails seldom", 0.3, 0, true},
		{"fails before the traffic moves", 0.5, 9 * time.Second, false},
		{"fails while the traffic moves", 0.5, 10 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRolloutFleet(195, 1)
			f.play(2*time.Second, 400, func() bool { return false })
			for _, s := range f.states {
				s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
			}
			f.sent, f.sentNew = 0, 0
			ordered := f.now
			for i := range 30 {
				f.play(500*time.Millisecond, 400, func() bool { return f.now.Sub(ordered) >= c.after && f.random.Float64() < c.share })
				if c.restarts {
					for k := range 6 {
						f.restart(f.names[(i*6+k)%len(f.names)])
					}
				}
			}
			f.play(2*time.Second, 400, func() bool { return f.random.Float64() < c.share }) // Until the last ones have heard of it.
			t.Logf("%d of %d requests to the bad version, %d bad answers, %d too late", f.sentNew, f.sent, f.bad, f.lateNew)
			is.True(float64(f.sentNew) <= 0.1*float64(f.sent)+50)
			is.Equal(f.lateNew, 0)
			for _, s := range f.states {
				is.True(s.rollouts["desk"].bad) // Every gateway knows it.
			}
		})
	}
}

// A version that fails from shortly after all traffic has moved to it gets no more requests than the users allow.
func TestVersionThatFailsAfterTheMoveStaysWithinExposure(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRolloutFleet(7, seed)
			f.play(2*time.Second, 100, func() bool { return false })
			for _, s := range f.states {
				s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
			}
			f.sent, f.sentNew = 0, 0
			var failsFrom time.Time
			f.play(15*time.Second, 100, func() bool {
				if failsFrom.IsZero() && f.states[f.names[0]].rollouts["desk"].moved {
					failsFrom = f.now.Add(600 * time.Millisecond)
				}
				return !failsFrom.IsZero() && !f.now.Before(failsFrom)
			})
			t.Logf("%d of %d requests to the bad version, %d bad answers", f.sentNew, f.sent, f.bad)
			is.True(f.bad > 0)
			is.True(float64(f.sentNew) <= 0.1*float64(f.sent)+50)
		})
	}
}

// A sound version is kept if as many requests as a failure domain has in progress break off at once, in any step.
func TestSoundVersionIsKeptWhenADomainIsLost(t *testing.T) {
	for _, n := range []int{7, 195} {
		for steps := 1; steps <= len(rolloutSteps); steps++ {
			t.Run(fmt.Sprintf("%d gateways, %d steps", n, steps), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newRolloutFleet(n, 1)
				f.breaksOff = true
				for _, s := range f.states {
					s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
				}
				f.play(14*time.Second, 100, func() bool { return f.states[f.names[0]].rollouts["desk"].steps >= steps && f.bad < 13 })
				is.Equal(f.bad, 13)
				is.Equal(f.states[f.names[0]].Verdicts()["desk"].State(), RolloutDone)
			})
		}
	}
}

// A version under which upstreams break off half of their answers is rolled back.
func TestVersionThatBreaksOffAnswersIsRolledBack(t *testing.T) {
	is := is.New(t)
	f := newRolloutFleet(7, 1)
	f.breaksOff = true
	for _, s := range f.states {
		s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
	}
	f.play(15*time.Second, 100, func() bool { return f.random.Float64() < 0.5 })
	is.Equal(f.states[f.names[0]].Verdicts()["desk"].State(), RolloutRolledBack)
	is.True(float64(f.sentNew) <= 0.1*float64(f.sent)+50)
}

// A sound version is kept if ten requests fail at once after the move, as many as a failure domain has in progress.
func TestSoundVersionIsKeptWhenADomainIsLostAfterTheMove(t *testing.T) {
	for _, n := range []int{7, 195} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRolloutFleet(n, 1)
			for _, s := range f.states {
				s.Reduce(f.now, NewRolloutRead(NewRolloutOrder("desk", "v2", 15*time.Second, RolloutRunning)))
			}
			lost, lostFrom := 0, time.Time{}
			f.play(14*time.Second, 100, func() bool {
				if lostFrom.IsZero() && f.states[f.names[0]].rollouts["desk"].moved {
					lostFrom = f.now.Add(500 * time.Millisecond)
				}
				if lostFrom.IsZero() || f.now.Before(lostFrom) || lost == 10 {
					return false
				}
				lost++
				return true
			})
			is.Equal(lost, 10)
			is.Equal(f.states[f.names[0]].Verdicts()["desk"].State(), RolloutDone)
		})
	}
}
