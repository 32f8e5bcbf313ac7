package fleet

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// Pool is one kind of instance that can be had, or is there, in a domain.
type Pool struct {
	domain   rail.Domain
	class    rail.Class
	price    float64
	reclaims float64
	have     int
	refused  bool
}

// NewPool returns an option at the price of an instance and hour.
func NewPool(domain rail.Domain, class rail.Class, price float64) Pool {
	return Pool{domain: domain, class: class, price: price}
}

// WithReclaimRate returns a copy of which the cloud reclaims this part in an hour.
func (o Pool) WithReclaimRate(perHour float64) Pool { o.reclaims = perHour; return o }

// WithInstances returns a copy of which there are so many instances, those that are being bought included.
func (o Pool) WithInstances(n int) Pool { o.have = n; return o }

// WithRefused returns a copy of which the cloud starts no more now.
func (o Pool) WithRefused() Pool { o.refused = true; return o }

// Domain returns the failure domain.
func (o Pool) Domain() rail.Domain { return o.domain }

// Class returns the price class.
func (o Pool) Class() rail.Class { return o.class }

// Change is a number of instances to buy, or to release if it is negative.
type Change struct {
	option Pool
	count  int
}

// Pool returns what to buy or release.
func (c Change) Pool() Pool { return c.option }

// Count returns how many, negative to release.
func (c Change) Count() int { return c.count }

// keepRebate is the part of the price that an instance is taken to cost less because it is there and warm.
const keepRebate = 0.2

// run is a number of instances of one option at one cost, which the plan may count on.
type run struct {
	index  int
	domain rail.Domain
	cost   float64
	count  int
}

// Plan returns the cheapest change after which need instances are left when any
// one domain goes, and which gets as near to it as the offers allow. restart is
// how long a reclaimed instance takes to be replaced and warm.
func Plan(need int, options []Pool, restart time.Duration) []Change {
	runs, domains := runsOf(options, need, restart)
	var best filled
	for parts := range 2 * domains {
		// No domain holds more than most; then need is left if there are need and most together.
		most := (need + parts) / (parts + 1)
		f := fill(runs, len(options), most, need+most)
		f.left = min(need, f.total-f.largest)
		if domains == 1 {
			f = fill(runs, len(options), need, need)
			f.left = f.total
		}
		if best.counts == nil || f.left > best.left || f.left == best.left && f.cost < best.cost {
			best = f
		}
	}
	var changes []Change
	for i, o := range options {
		if best.counts == nil {
			break
		}
		if n := best.counts[i] - o.have; n != 0 {
			changes = append(changes, Change{option: o, count: n})
		}
	}
	return changes
}

// runsOf returns what can be counted on, the cheapest first, and the number of domains.
func runsOf(options []Pool, need int, restart time.Duration) ([]run, int) {
	names := map[rail.Domain]bool{}
	var runs []run
	for i, o := range options {
		price := o.price * (1 + o.reclaims*restart.Hours())
		if o.have > 0 {
			runs = append(runs, run{index: i, domain: o.domain, cost: price * (1 - keepRebate), count: o.have})
			names[o.domain] = true
		}
		if !o.refused {
			runs = append(runs, run{index: i, domain: o.domain, cost: price, count: need})
			names[o.domain] = true
		}
	}
	slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.cost, b.cost) })
	return runs, len(names)
}

// filled is one way to have the instances.
type filled struct {
	counts  []int
	cost    float64
	total   int
	largest int
	left    int
}

// fill takes the cheapest instances up to the total with at most so many a domain.
func fill(runs []run, options, most, total int) filled {
	f := filled{counts: make([]int, options)}
	domains := map[rail.Domain]int{}
	for _, r := range runs {
		n := min(r.count, most-domains[r.domain], total-f.total)
		f.counts[r.index] += n
		f.cost += float64(n) * r.cost
		f.total += n
		domains[r.domain] += n
		f.largest = max(f.largest, domains[r.domain])
	}
	return f
}
