package duty

import (
	"sort"
	"time"

	"dandelionrail.org/rail/capacity"
)

const (
	// upstreamTokensPerSecond is the prompt tokens a second that one engine is assumed to process while it also generates answers, until the
	// rates of the engines are known.
	upstreamTokensPerSecond = 22_000
	// minPerDomain is the minimum number of engines in a failure domain in which the cloud offers any.
	minPerDomain = 2
	// maxDomainPercent is the percentage of a domain's maximum up to which on-demand upstreams are added; the rest leaves
	// room for reclaimable ones later.
	maxDomainPercent = 70
)

// Domain is the state of one service in a failure domain.
type Domain struct {
	name  string
	price float64
	// spot and onDemand are the numbers of upstreams that accept requests, by whether the cloud may reclaim them; the latter includes
	// those that were ordered and are about to serve.
	spot, onDemand int
}

// NewDomain returns the failure domain with the price of an upstream and the numbers of upstreams that accept requests.
func NewDomain(name string, price float64, spot, onDemand int) Domain {
	return Domain{name: name, price: price, spot: spot, onDemand: onDemand}
}

// DesiredCapacity is the desired number of upstreams of one class in a failure domain.
type DesiredCapacity struct {
	domain string
	spot   bool
	count  int
}

// Domain returns the failure domain.
func (c DesiredCapacity) Domain() string { return c.domain }

// Spot reports whether the cloud may reclaim the upstreams.
func (c DesiredCapacity) Spot() bool { return c.spot }

// Count returns the desired number of upstreams.
func (c DesiredCapacity) Count() int { return c.count }

// Plan decides how many upstreams each failure domain gets. Reclaimable ones
// are spread evenly, enough that the loss of one domain leaves the number that
// the demand requires. After a reclaim the cloud has no reclaimable upstreams in
// any domain for a while: the remaining ones are then kept, and on-demand
// upstreams, which are more expensive, replace the missing ones, in the cheapest
// domain first.
type Plan struct {
	minCount, maxCount int
	requirement        *capacity.Requirement
	forecast           capacity.Forecast
	basis              Basis
	begunAt            time.Time
	// found is the number of upstreams that were listed when the plan began, by domain.
	found map[string]int
	spot  map[string]int // last desired number, by domain
}

// NewPlan returns the plan of a service from now on, with bounds on the upstreams in each domain, and the total required until the demand is
// known.
func NewPlan(minCount, maxCount, required int, now time.Time) *Plan {
	return &Plan{minCount: minCount, maxCount: maxCount, begunAt: now, found: map[string]int{}, requirement: capacity.NewRequirement(required), spot: map[string]int{}}
}

// InheritedRequirement returns the required number for which a fleet of the size in so many domains provides.
func InheritedRequirement(total, domains int) int {
	if domains <= 1 {
		return total
	}
	return (total*(domains-1) + domains - 1) / domains
}

// Required returns the required number of upstreams: as many remain after the loss of one domain.
func (p *Plan) Required() int { return p.requirement.Number() }

// Basis returns what the required number was last derived from.
func (p *Plan) Basis() Basis { return p.basis }

// UpdateDemand updates the required number from the demand in prompt tokens a second, for engines of unknown rates. It reports whether the
// number changed.
func (p *Plan) UpdateDemand(tokens float64, now time.Time) bool {
	p.basis = Basis{tokens: tokens, planned: tokens / upstreamTokensPerSecond}
	return p.requirement.Update(p.basis.planned, now)
}

// UpdateWork updates the required number from the work of the requests at the estimated rates of the engines. It reports whether the number
// changed. The number that the demand in prompt tokens a second gives for engines of unknown rates is an upper bound: the estimate counts on
// goals that are met behind large prompts, and orders more engines than that where they bring little.
func (p *Plan) UpdateWork(d capacity.Demand, e capacity.Engine, tokens float64, now time.Time) bool {
	need := capacity.NewNeed(d, e)
	planned := p.forecast.Update(need.Work(), d, now)
	p.basis = Basis{estimated: true, demand: d, engine: e, need: need, planned: planned/need.Utilisation() + need.Backlog()}
	if tokens > 0 {
		p.basis.planned = min(p.basis.planned, tokens/upstreamTokensPerSecond)
	}
	if !d.Whole() { // What the silent gateways get is not known; it is still served.
		return p.requirement.Raise(p.basis.planned)
	}
	return p.requirement.Update(p.basis.planned, now)
}

// DesiredCapacity returns the desired numbers for the domains; spotUnavailable means that the cloud has no reclaimable upstreams now.
func (p *Plan) DesiredCapacity(domains []Domain, spotUnavailable bool) []DesiredCapacity {
	each := p.spotByDomain(domains)
	available := 0
	for _, d := range domains {
		available += d.spot
	}
	substitutes := p.onDemandSubstitutes(domains, max(0, p.Required()-available))
	var desired []DesiredCapacity
	for i, d := range domains {
		// Existing on-demand upstreams stay until their replacements serve, also those that replace upstreams of another domain.
		spot, onDemand := each[i], min(max(each[i]-d.spot, substitutes[i]), d.onDemand)
		if spotUnavailable {
			onDemand = substitutes[i]
			if last, ok := p.spot[d.name]; ok {
				spot = max(last, d.spot)
			}
		}
		onDemand = max(0, min(onDemand, p.maxCount-d.spot))
		p.spot[d.name] = spot
		spot = min(spot, p.maxCount, max(d.spot, p.maxCount-max(onDemand, d.onDemand))) // The maximum is that of both classes together.
		desired = append(desired, DesiredCapacity{d.name, true, spot}, DesiredCapacity{d.name, false, onDemand})
	}
	return desired
}

// keptAtFirst returns the number of upstreams of the class that an order must keep while the plan does not know the demand for long enough: that
// of a lease holder that has just started still rises, and the listed upstreams may be those that a lost domain left. On-demand upstreams may
// go once reclaimable ones serve in their place, since they cost several times as much. spot and onDemand are the numbers in the domain.
func (p *Plan) keptAtFirst(c DesiredCapacity, spot, onDemand int, now time.Time) int {
	switch {
	case now.Sub(p.begunAt) >= capacity.HoldTime:
		return 0
	case c.spot:
		return spot
	default:
		return min(onDemand, p.found[c.domain]-spot)
	}
}

// Raised returns the order for the desired number while the operator has upstreams of a second version in the domain: present is
// the number of upstreams of the class and version that serve, presentAll that of the class, total that of the domain. An order
// that does not raise the number, or exceeds the maximum, would remove upstreams of either version; it is not placed.
func (p *Plan) Raised(c DesiredCapacity, present, presentAll, total int) (DesiredCapacity, bool) {
	missing := c.count - present
	if missing <= 0 || total+missing > p.maxCount {
		return DesiredCapacity{}, false
	}
	c.count = presentAll + missing
	return c, true
}

// spotByDomain returns the number of reclaimable upstreams of each domain; without any one domain the others still have the required number.
// The numbers differ by at most one, and the most expensive domains have the smaller one.
func (p *Plan) spotByDomain(domains []Domain) []int {
	sharing := max(1, len(domains)-1)
	each := (p.Required() + sharing - 1) / sharing
	surplus := each*sharing - p.Required() // Of the other domains, if one that has the greater number is lost.
	counts := make([]int, len(domains))
	order := byPrice(domains)
	for i, n := range order {
		count := each
		if len(order)-1-i < surplus {
			count--
		}
		counts[n] = min(max(count, minPerDomain, p.minCount), p.maxCount)
	}
	return counts
}

// byPrice returns the indices of the domains, cheapest first.
func byPrice(domains []Domain) []int {
	order := make([]int, len(domains))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return domains[order[a]].price < domains[order[b]].price })
	return order
}

// onDemandSubstitutes spreads the missing upstreams over the domains: first where on-demand ones exist, then cheapest first.
func (p *Plan) onDemandSubstitutes(domains []Domain, missing int) []int {
	counts := make([]int, len(domains))
	order := byPrice(domains)
	for _, i := range order {
		counts[i] = min(missing, domains[i].onDemand)
		missing -= counts[i]
	}
	for _, i := range order {
		more := max(0, min(missing, maxDomainPercent*p.maxCount/100-domains[i].spot-counts[i]))
		counts[i] += more
		missing -= more
	}
	return counts
}
