package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

const (
	trials            = 50
	trialWindow       = 6 * time.Minute
	slowFactor        = 3
	delayedFaultAfter = 100 * time.Second
	loadFaultShare    = 0.35
	// failedPerGroup and slowPerGroup bound the requests affected by the fault before a group of
	// entries that exchange digests brakes; brakePropagation is the time until all of them have the
	// brake. A slow answer is weaker evidence, so more are needed: at three times the latency, 7 of
	// 10 answers exceed the old version's 90th percentile, which 1 of 10 exceeds anyway.
	failedPerGroup   = 20
	slowPerGroup     = 30
	brakePropagation = 3 * time.Second
	groups           = 2
)

func failing(rate float64) fault {
	return func(o outcome, _ rail.RouteName, _ time.Duration, _, roll float64) outcome {
		if o.ok && roll < rate {
			o.ok, o.byFault = false, true
		}
		return o
	}
}

// shapes are the fault patterns of a new version; good lists the routes on which it has no fault.
var shapes = []struct {
	name  string
	fault fault
	bound float64
	good  []rail.RouteName
}{
	{"good", nil, 0, []rail.RouteName{counter, workshop}},
	{"atOnce", failing(0.5), failedPerGroup, nil},
	{"later", func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if after < delayedFaultAfter {
			return o
		}
		return failing(0.3)(o, r, after, share, roll)
	}, failedPerGroup, nil},
	{"slowOnly", func(o outcome, _ rail.RouteName, _ time.Duration, _, _ float64) outcome {
		o.byFault = o.ok
		o.latency *= slowFactor
		return o
	}, slowPerGroup, nil},
	{"underLoad", func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if share < loadFaultShare {
			return o
		}
		return failing(0.3)(o, r, after, share, roll)
	}, failedPerGroup, nil},
	{"oneRoute", func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if r != workshop {
			return o
		}
		return failing(0.5)(o, r, after, share, roll)
	}, failedPerGroup, []rail.RouteName{counter}},
}

func TestFaultShapes(t *testing.T) {
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sum := trialSummary{}
			for seed := range uint64(trials) {
				sim := trial(seed, shape.fault)
				for _, name := range []rail.RouteName{counter, workshop} {
					v := sim.verdicts(name)
					is.Equal(len(v), 1) // every entry holds the same verdict
					sum.add(sim.routes[name], v, shape.bound, slices.Contains(shape.good, name))
				}
			}
			slices.Sort(sum.affected)
			slices.Sort(sum.timeToZero)
			t.Logf("%s: %s", shape.name, sum)
			is.Equal(sum.missed, 0)
			is.Equal(sum.falseRollbacks, 0)
			is.Equal(sum.overBound, 0)
			is.Equal(sum.done, sum.good)
		})
	}
}

// trialSummary sums up the results of many trials.
type trialSummary struct {
	good, done, falseRollbacks int
	bad, missed, overBound     int
	affected                   []int
	timeToZero                 []time.Duration
}

func (s *trialSummary) add(stats *routeStats, verdicts map[Outcome]int, bound float64, good bool) {
	if good {
		s.good++
		s.done += min(1, verdicts[OutcomeDone])
		s.falseRollbacks += min(1, verdicts[OutcomeRolledBack])
		return
	}
	s.bad++
	if verdicts[OutcomeRolledBack] == 0 {
		s.missed++
	}
	if float64(stats.affected) > groups*bound+stats.shareAtFault*stats.rate*brakePropagation.Seconds() {
		s.overBound++
	}
	s.affected = append(s.affected, stats.affected)
	s.timeToZero = append(s.timeToZero, max(0, stats.lastSentNewAt.Sub(stats.firstFaultAt)))
}

func (s trialSummary) String() string {
	text := fmt.Sprintf("good done in time %d of %d, falsely rolled back %d", s.done, s.good, s.falseRollbacks)
	if s.bad == 0 {
		return text
	}
	median, last := len(s.affected)/2, len(s.affected)-1
	return text + fmt.Sprintf("; bad rolled back %d of %d, requests affected median %d worst %d, first visible fault to zero traffic median %s worst %s",
		s.bad-s.missed, s.bad, s.affected[median], s.affected[last], s.timeToZero[median], s.timeToZero[last])
}

// trial runs one rollout; for odd seeds one failure domain is partitioned for 30 s.
func trial(seed uint64, f fault) *simulation {
	sim := newSimulation(seed, 3+int(seed%7), trialWindow, f)
	if seed%2 == 1 {
		at := time.Duration(sim.rng.IntN(120)) * time.Second
		sim.run(at, nil)
		sim.setPartitioned("edolo", true)
		sim.run(30*time.Second, nil)
		sim.setPartitioned("edolo", false)
	}
	sim.run(trialWindow+10*time.Second-sim.now.Sub(epoch), sim.allDecided)
	sim.run(5*time.Second, nil)
	return sim
}

// Guards against a good version that is rolled back because the answers of both differ by less than the load of a machine makes up.
func TestVersionThatIsHardlySlowerIsKept(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		kept   bool
	}{
		{"3% slower", 1.03, true},
		{"6% slower", 1.06, true},
		{"50% slower", 1.5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sum := trialSummary{}
			for seed := range uint64(10) {
				sim := newSimulation(seed, 3, trialWindow, func(o outcome, _ rail.RouteName, _ time.Duration, _, _ float64) outcome {
					o.byFault = o.ok && !c.kept
					o.latency = time.Duration(float64(o.latency) * c.factor)
					return o
				})
				sim.latencySigma = 0.01
				sim.run(trialWindow, nil)
				for _, name := range []rail.RouteName{counter, workshop} {
					sum.add(sim.routes[name], sim.verdicts(name), slowPerGroup, c.kept)
				}
			}
			t.Log(sum)
			is.Equal(sum.done, sum.good)
			is.Equal(sum.missed, 0)
			is.Equal(sum.overBound, 0)
		})
	}
}
