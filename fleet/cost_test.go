package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// simulatedDay simulates one day in steps of a minute: demand with a dawn peak,
// drifting prices, refused starts, single reclaims, and two reclaims of all
// reclaimable instances of a domain.
type simulatedDay struct {
	rng          *rand.Rand
	minute       int
	prices       map[poolKey]float64
	refused      map[poolKey]int
	running      map[poolKey]int
	starting     []pendingStart
	cost         float64
	shortMinutes int
}

type pendingStart struct {
	pool poolKey
	at   int
}

const (
	dayMinutes  = 24 * 60
	bootMinutes = 6
)

var testDomains = []rail.Domain{"breno", "edolo", "darfo", "sondrio"}

func (d *simulatedDay) required() int {
	x := float64(d.minute-330) / 90
	return 3 + int(math.Round(7*math.Exp(-x*x)))
}

func (d *simulatedDay) pools() []Pool {
	var pools []Pool
	for _, dom := range testDomains {
		for _, c := range []rail.Class{reclaimable, onDemand} {
			k := poolKey{dom, c}
			n := d.running[k]
			for _, x := range d.starting {
				if x.pool == k {
					n++
				}
			}
			p := NewPool(dom, c, d.prices[k]).WithInstances(n)
			if c == reclaimable {
				p = p.WithReclaimRate(0.05)
			}
			if d.minute < d.refused[k] {
				p = p.WithRefused()
			}
			pools = append(pools, p)
		}
	}
	return pools
}

// step simulates one minute under the policy.
func (d *simulatedDay) step(policy func(int, []Pool) []Change) {
	for _, dom := range testDomains {
		k := poolKey{dom, reclaimable}
		d.prices[k] = math.Min(0.9, math.Max(0.2, d.prices[k]*math.Exp(0.02*d.rng.NormFloat64())))
		if d.rng.Float64() < 0.004 {
			d.refused[k] = d.minute + 45
		}
		if d.running[k] > 0 && d.rng.Float64() < 0.05/60*float64(d.running[k]) {
			d.running[k]--
		}
	}
	if d.minute == 335 || d.minute == 900 {
		d.running[poolKey{testDomains[d.minute%2], reclaimable}] = 0
	}
	rest := d.starting[:0]
	for _, x := range d.starting {
		if x.at <= d.minute {
			d.running[x.pool]++
		} else {
			rest = append(rest, x)
		}
	}
	d.starting = rest
	changes := policy(d.required(), d.pools())
	buying := len(d.starting) > 0 || slices.ContainsFunc(changes, func(c Change) bool { return c.count > 0 })
	for _, c := range changes {
		k := poolKey{c.pool.domain, c.pool.class}
		for range c.count {
			d.starting = append(d.starting, pendingStart{pool: k, at: d.minute + bootMinutes})
		}
		if c.count < 0 && !buying {
			d.running[k] = max(0, d.running[k]+c.count)
		}
	}
	total := 0
	for k, n := range d.running {
		d.cost += float64(n) * d.prices[k] / 60
		total += n
	}
	if total < d.required() {
		d.shortMinutes++
	}
	d.minute++
}

func simulateDay(seed uint64, policy func(int, []Pool) []Change) *simulatedDay {
	d := &simulatedDay{rng: rand.New(rand.NewPCG(seed, 1)), prices: map[poolKey]float64{}, refused: map[poolKey]int{}, running: map[poolKey]int{}}
	for i, dom := range testDomains {
		d.prices[poolKey{dom, onDemand}] = 1
		d.prices[poolKey{dom, reclaimable}] = 0.35 + 0.05*float64(i)
		d.running[poolKey{dom, onDemand}] = 1
	}
	for range dayMinutes {
		d.step(policy)
	}
	return d
}

// onlyClass returns the pools of one class; pools of other classes that have instances are kept, but refuse new ones.
func onlyClass(pools []Pool, class rail.Class) []Pool {
	var kept []Pool
	for _, p := range pools {
		if p.class == class || p.instances > 0 {
			if p.class != class {
				p = p.WithRefused()
			}
			kept = append(kept, p)
		}
	}
	return kept
}

// cheapestOnly is a policy that buys only from the offer with the lowest price.
func cheapestOnly(required int, pools []Pool) []Change {
	best, total := -1, 0
	for i, p := range pools {
		total += p.instances
		if !p.refused && (best < 0 || p.price < pools[best].price) {
			best = i
		}
	}
	if best < 0 || total == required {
		return nil
	}
	if total < required {
		return []Change{{pool: pools[best], count: required - total}}
	}
	for _, p := range pools {
		if p.instances > 0 {
			return []Change{{pool: p, count: -min(p.instances, total-required)}}
		}
	}
	return nil
}

func TestCostOfOneDay(t *testing.T) {
	plan := func(required int, pools []Pool) []Change { return Plan(required, pools, bootMinutes*time.Minute) }
	for seed := range uint64(3) {
		is := is.New(t)
		planned := simulateDay(seed, plan)
		onDemandOnly := simulateDay(seed, func(required int, pools []Pool) []Change { return plan(required, onlyClass(pools, onDemand)) })
		cheapest := simulateDay(seed, cheapestOnly)
		t.Logf("seed %d, cost of a day and minutes below the need: plan %.0f, %d; all on demand %.0f, %d; cheapest only %.0f, %d",
			seed, planned.cost, planned.shortMinutes, onDemandOnly.cost, onDemandOnly.shortMinutes, cheapest.cost, cheapest.shortMinutes)
		is.True(planned.cost < onDemandOnly.cost)
		is.True(planned.shortMinutes < cheapest.shortMinutes)
	}
}
