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
	trials      = 50
	trialWindow = 6 * time.Minute
	slowFactor  = 3
	laterAfter  = 100 * time.Second
	loadedShare = 0.35
	// failedPerGroup and slowPerGroup bound the requests spoiled until entries that exchange digests
	// brake, travel is how long the brake takes to all of them. A slow answer weighs less: three
	// times the latency puts 7 of 10 over the old version's 90th percentile, where 1 of 10 was.
	failedPerGroup = 20
	slowPerGroup   = 40
	travel         = 3 * time.Second
	groups         = 2
)

func failing(rate float64) fault {
	return func(o outcome, _ rail.RouteName, _ time.Duration, _, roll float64) outcome {
		if o.ok && roll < rate {
			o.ok, o.hurt = false, true
		}
		return o
	}
}

// shapes are the ways in which a version is bad.
var shapes = []struct {
	name  string
	fault fault
	bound float64
	good  []rail.RouteName
}{
	{"good", nil, 0, []rail.RouteName{counter, workshop}},
	{"atOnce", failing(0.5), failedPerGroup, nil},
	{"later", func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if after < laterAfter {
			return o
		}
		return failing(0.3)(o, r, after, share, roll)
	}, failedPerGroup, nil},
	{"slowOnly", func(o outcome, _ rail.RouteName, _ time.Duration, _, _ float64) outcome {
		o.hurt = o.ok
		o.latency *= slowFactor
		return o
	}, slowPerGroup, nil},
	{"underLoad", func(o outcome, r rail.RouteName, after time.Duration, share, roll float64) outcome {
		if share < loadedShare {
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
			sum := tallied{}
			for seed := range uint64(trials) {
				w := trial(seed, shape.fault)
				for _, name := range []rail.RouteName{counter, workshop} {
					v := w.verdicts(name)
					is.Equal(len(v), 1) // every entry holds the same verdict
					sum.add(w.routes[name], v, shape.bound, slices.Contains(shape.good, name))
				}
			}
			slices.Sort(sum.hurt)
			slices.Sort(sum.zero)
			t.Logf("%s: %s", shape.name, sum)
			is.Equal(sum.missed, 0)
			is.Equal(sum.falseBacks, 0)
			is.Equal(sum.over, 0)
			is.Equal(sum.done, sum.good)
		})
	}
}

// tallied sums up the routes of many trials.
type tallied struct {
	good, done, falseBacks int
	bad, missed, over      int
	hurt                   []int
	zero                   []time.Duration
}

func (s *tallied) add(w *watch, verdicts map[Outcome]int, bound float64, good bool) {
	if good {
		s.good++
		s.done += min(1, verdicts[OutcomeDone])
		s.falseBacks += min(1, verdicts[OutcomeRolledBack])
		return
	}
	s.bad++
	if verdicts[OutcomeRolledBack] == 0 {
		s.missed++
	}
	if float64(w.hurt) > groups*bound+w.hurtShare*w.rate*travel.Seconds() {
		s.over++
	}
	s.hurt = append(s.hurt, w.hurt)
	s.zero = append(s.zero, max(0, w.lastNew.Sub(w.firstHurt)))
}

func (s tallied) String() string {
	text := fmt.Sprintf("good done in time %d of %d, falsely taken back %d", s.done, s.good, s.falseBacks)
	if s.bad == 0 {
		return text
	}
	middle, last := len(s.hurt)/2, len(s.hurt)-1
	return text + fmt.Sprintf("; bad taken back %d of %d, requests hurt median %d worst %d, first visible fault to zero traffic median %s worst %s",
		s.bad-s.missed, s.bad, s.hurt[middle], s.hurt[last], s.zero[middle], s.zero[last])
}

// trial runs one rollout; every second seed cuts one domain off for a while.
func trial(seed uint64, f fault) *world {
	w := newWorld(seed, 3+int(seed%7), trialWindow, f)
	if seed%2 == 1 {
		at := time.Duration(w.rng.IntN(120)) * time.Second
		w.run(at, nil)
		w.cutDomain("edolo", true)
		w.run(30*time.Second, nil)
		w.cutDomain("edolo", false)
	}
	w.run(trialWindow+10*time.Second-w.now.Sub(epoch), w.settled)
	w.run(5*time.Second, nil)
	return w
}
