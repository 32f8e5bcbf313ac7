package fleet

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// Pool is the instances of one price class in a failure domain: those on offer and those that exist.
type Pool struct {
	domain      rail.Domain
	class       rail.Class
	price       float64
	reclaimRate float64
	instances   int
	refused     bool
}

// NewPool returns a pool with the price of an instance per hour.
func NewPool(domain rail.Domain, class rail.Class, price float64) Pool {
	return Pool{domain: domain, class: class, price: price}
}

// WithReclaimRate returns a copy with the fraction of its instances that the cloud reclaims per hour.
func (p Pool) WithReclaimRate(perHour float64) Pool { p.reclaimRate = perHour; return p }

// WithInstances returns a copy with the number of existing instances, including those that are being bought.
func (p Pool) WithInstances(n int) Pool { p.instances = n; return p }

// WithRefused returns a copy of which the cloud refuses to start more instances now.
func (p Pool) WithRefused() Pool { p.refused = true; return p }

// Domain returns the failure domain.
func (p Pool) Domain() rail.Domain { return p.domain }

// Class returns the price class.
func (p Pool) Class() rail.Class { return p.class }

// Change is a number of instances to buy, or to release if it is negative.
type Change struct {
	pool  Pool
	count int
}

// Pool returns the pool in which to buy or release instances.
func (c Change) Pool() Pool { return c.pool }

// Count returns the number to buy, or to release if it is negative.
func (c Change) Count() int { return c.count }

// warmDiscount is the fraction by which the plan lowers the price of an existing instance, because it is running and warm.
const warmDiscount = 0.2

// supply is a number of instances of one pool at the same cost that the plan may use.
type supply struct {
	index  int
	domain rail.Domain
	cost   float64
	count  int
}

// Plan returns the cheapest changes after which the required number of instances
// remains when any one domain is lost, or as many as the offers allow.
// replacementTime is how long it takes until the replacement of a reclaimed
// instance is warm.
func Plan(required int, pools []Pool, replacementTime time.Duration) []Change {
	supplies, domains := supplyOf(pools, required, replacementTime)
	var best allocation
	for parts := range 2 * domains {
		// The candidates limit each domain to the required number divided by 1, 2, 3 and so on. With at most maxPerDomain
		// instances in each domain and required+maxPerDomain in total, the loss of one domain leaves the required number.
		maxPerDomain := (required + parts) / (parts + 1)
		a := allocate(supplies, len(pools), maxPerDomain, required+maxPerDomain)
		a.remaining = min(required, a.total-a.largest)
		if domains == 1 {
			a = allocate(supplies, len(pools), required, required)
			a.remaining = a.total
		}
		if best.counts == nil || a.remaining > best.remaining || a.remaining == best.remaining && a.cost < best.cost {
			best = a
		}
	}
	var changes []Change
	for i, p := range pools {
		if best.counts == nil {
			break
		}
		if n := best.counts[i] - p.instances; n != 0 {
			changes = append(changes, Change{pool: p, count: n})
		}
	}
	return changes
}

// supplyOf returns the instances that the plan may use, the cheapest first, and the number of their domains.
func supplyOf(pools []Pool, required int, replacementTime time.Duration) ([]supply, int) {
	names := map[rail.Domain]bool{}
	var supplies []supply
	for i, p := range pools {
		price := p.price * (1 + p.reclaimRate*replacementTime.Hours())
		if p.instances > 0 {
			supplies = append(supplies, supply{index: i, domain: p.domain, cost: price * (1 - warmDiscount), count: p.instances})
			names[p.domain] = true
		}
		if !p.refused {
			supplies = append(supplies, supply{index: i, domain: p.domain, cost: price, count: required})
			names[p.domain] = true
		}
	}
	slices.SortStableFunc(supplies, func(a, b supply) int { return cmp.Compare(a.cost, b.cost) })
	return supplies, len(names)
}

// allocation is a candidate plan: the number of instances of each pool.
type allocation struct {
	counts    []int
	cost      float64
	total     int
	largest   int // the largest number in one domain
	remaining int // the number after the loss of any one domain, up to the required number
}

// allocate takes the cheapest instances up to the total, and at most maxPerDomain in each domain.
func allocate(supplies []supply, pools, maxPerDomain, total int) allocation {
	a := allocation{counts: make([]int, pools)}
	domains := map[rail.Domain]int{}
	for _, s := range supplies {
		n := min(s.count, maxPerDomain-domains[s.domain], total-a.total)
		a.counts[s.index] += n
		a.cost += float64(n) * s.cost
		a.total += n
		domains[s.domain] += n
		a.largest = max(a.largest, domains[s.domain])
	}
	return a
}
