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

// day is a trace of one day in steps of a minute: demand with a dawn peak,
// prices that drift, refused starts, single reclaims and two waves.
type day struct {
	rng     *rand.Rand
	minute  int
	prices  map[place]float64
	refused map[place]int
	have    map[place]int
	coming  []delivery
	cost    float64
	short   int
}

type delivery struct {
	place place
	at    int
}

const (
	minutes = 24 * 60
	boot    = 6
)

var trialDomains = []rail.Domain{"breno", "edolo", "darfo", "sondrio"}

func (d *day) need() int {
	x := float64(d.minute-330) / 90
	return 3 + int(math.Round(7*math.Exp(-x*x)))
}

func (d *day) options() []Pool {
	var options []Pool
	for _, dom := range trialDomains {
		for _, c := range []rail.Class{cheap, sure} {
			k := place{dom, c}
			n := d.have[k]
			for _, x := range d.coming {
				if x.place == k {
					n++
				}
			}
			o := NewPool(dom, c, d.prices[k]).WithInstances(n)
			if c == cheap {
				o = o.WithReclaimRate(0.05)
			}
			if d.minute < d.refused[k] {
				o = o.WithRefused()
			}
			options = append(options, o)
		}
	}
	return options
}

// step lets a minute pass under the policy.
func (d *day) step(policy func(int, []Pool) []Change) {
	for _, dom := range trialDomains {
		k := place{dom, cheap}
		d.prices[k] = math.Min(0.9, math.Max(0.2, d.prices[k]*math.Exp(0.02*d.rng.NormFloat64())))
		if d.rng.Float64() < 0.004 {
			d.refused[k] = d.minute + 45
		}
		if d.have[k] > 0 && d.rng.Float64() < 0.05/60*float64(d.have[k]) {
			d.have[k]--
		}
	}
	if d.minute == 335 || d.minute == 900 {
		d.have[place{trialDomains[d.minute%2], cheap}] = 0
	}
	rest := d.coming[:0]
	for _, x := range d.coming {
		if x.at <= d.minute {
			d.have[x.place]++
		} else {
			rest = append(rest, x)
		}
	}
	d.coming = rest
	changes := policy(d.need(), d.options())
	buying := len(d.coming) > 0 || slices.ContainsFunc(changes, func(c Change) bool { return c.count > 0 })
	for _, c := range changes {
		k := place{c.option.domain, c.option.class}
		for range c.count {
			d.coming = append(d.coming, delivery{place: k, at: d.minute + boot})
		}
		if c.count < 0 && !buying {
			d.have[k] = max(0, d.have[k]+c.count)
		}
	}
	total := 0
	for k, n := range d.have {
		d.cost += float64(n) * d.prices[k] / 60
		total += n
	}
	if total < d.need() {
		d.short++
	}
	d.minute++
}

func replay(seed uint64, policy func(int, []Pool) []Change) *day {
	d := &day{rng: rand.New(rand.NewPCG(seed, 1)), prices: map[place]float64{}, refused: map[place]int{}, have: map[place]int{}}
	for i, dom := range trialDomains {
		d.prices[place{dom, sure}] = 1
		d.prices[place{dom, cheap}] = 0.35 + 0.05*float64(i)
		d.have[place{dom, sure}] = 1
	}
	for range minutes {
		d.step(policy)
	}
	return d
}

// only returns the options of one class.
func only(options []Pool, class rail.Class) []Pool {
	var kept []Pool
	for _, o := range options {
		if o.class == class || o.have > 0 {
			if o.class != class {
				o = o.WithRefused()
			}
			kept = append(kept, o)
		}
	}
	return kept
}

// cheapest puts all in the one offer that costs least.
func cheapest(need int, options []Pool) []Change {
	best, total := -1, 0
	for i, o := range options {
		total += o.have
		if !o.refused && (best < 0 || o.price < options[best].price) {
			best = i
		}
	}
	if best < 0 || total == need {
		return nil
	}
	if total < need {
		return []Change{{option: options[best], count: need - total}}
	}
	for _, o := range options {
		if o.have > 0 {
			return []Change{{option: o, count: -min(o.have, total-need)}}
		}
	}
	return nil
}

func TestCostOfOneDay(t *testing.T) {
	plan := func(need int, options []Pool) []Change { return Plan(need, options, boot*time.Minute) }
	for seed := range uint64(3) {
		is := is.New(t)
		ours := replay(seed, plan)
		safe := replay(seed, func(need int, options []Pool) []Change { return plan(need, only(options, sure)) })
		least := replay(seed, cheapest)
		t.Logf("seed %d, cost of a day and minutes below the need: plan %.0f, %d; all on demand %.0f, %d; cheapest only %.0f, %d",
			seed, ours.cost, ours.short, safe.cost, safe.short, least.cost, least.short)
		is.True(ours.cost < safe.cost)
		is.True(ours.short < least.short)
	}
}
