package duty

import (
	"math"
	"sort"
	"time"
)

const (
	// tokensPerUpstream is the prompt tokens a second that one engine takes beside the answers it writes.
	tokensPerUpstream = 22_000
	// leastPerDomain is the least number of engines in a failure domain that has any to be had.
	leastPerDomain = 2
	// standInShare is the percentage of a domain's room up to which stand-ins are ordered, so that reclaimable ones find room beside them later.
	standInShare = 70
	// shrinkTime is how long demand must stay below before an upstream is given back.
	shrinkTime = 5 * time.Second
)

// Domain is what a failure domain has of one service.
type Domain struct {
	name  string
	price float64
	// spot and onDemand are the upstreams that take requests, by whether the cloud may reclaim them.
	spot, onDemand int
}

// NewDomain returns the failure domain with the price of an upstream and the numbers that take requests.
func NewDomain(name string, price float64, spot, onDemand int) Domain {
	return Domain{name: name, price: price, spot: spot, onDemand: onDemand}
}

// DesiredCapacity is the number of upstreams of one class in a failure domain.
type DesiredCapacity struct {
	domain string
	spot   bool
	count  int
}

// Domain returns the failure domain.
func (w DesiredCapacity) Domain() string { return w.domain }

// Spot reports whether the cloud may reclaim them.
func (w DesiredCapacity) Spot() bool { return w.spot }

// Count returns the number.
func (w DesiredCapacity) Count() int { return w.count }

// Plan decides how many upstreams each failure domain gets: reclaimable ones
// in equal parts, enough that the loss of one domain leaves what the demand
// needs. After a reclaim the cloud has none of them for a while, nowhere: then
// those that are left are kept, and upstreams of the dear class, cheapest domain
// first, make up for what is missing.
type Plan struct {
	least, most int
	need        int
	lower       time.Time
	spot        map[string]int // last wanted, by domain
}

// NewPlan returns the plan of a service that may have from least to most upstreams in a domain and needs so many in all until demand is known.
func NewPlan(least, most, need int) *Plan {
	return &Plan{least: least, most: most, need: need, spot: map[string]int{}}
}

// UpdateDemand takes in the prompt tokens a second.
func (p *Plan) UpdateDemand(tokens float64, now time.Time) {
	need := int(math.Ceil(tokens / tokensPerUpstream))
	if need >= p.need || p.lower.IsZero() {
		p.need, p.lower = max(need, p.need), now
		return
	}
	if now.Sub(p.lower) >= shrinkTime {
		p.need, p.lower = p.need-1, now
	}
}

// DesiredCapacity returns the numbers for the domains; dry says that the cloud has no reclaimable upstreams now.
func (p *Plan) DesiredCapacity(domains []Domain, dry bool) []DesiredCapacity {
	each := p.each(len(domains))
	have := 0
	for _, d := range domains {
		have += d.spot
	}
	standIns := p.standIns(domains, max(0, p.need-have))
	var wanted []DesiredCapacity
	for i, d := range domains {
		spot, onDemand := each, min(max(0, each-d.spot), d.onDemand) // What is there stays until its successors serve.
		if dry {
			onDemand = standIns[i]
			if last, ok := p.spot[d.name]; ok {
				spot = max(last, d.spot)
			}
		}
		onDemand = max(0, min(onDemand, p.most-d.spot))
		p.spot[d.name] = spot
		wanted = append(wanted, DesiredCapacity{d.name, true, min(spot, p.most)}, DesiredCapacity{d.name, false, onDemand})
	}
	return wanted
}

// each returns the reclaimable upstreams of each domain: one domain may go.
func (p *Plan) each(domains int) int {
	sharing := max(1, domains-1)
	return min(max((p.need+sharing-1)/sharing, leastPerDomain, p.least), p.most)
}

// standIns spreads what is missing over the domains: first where stand-ins are already, then cheapest first.
func (p *Plan) standIns(domains []Domain, missing int) []int {
	counts := make([]int, len(domains))
	order := make([]int, len(domains))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return domains[order[a]].price < domains[order[b]].price })
	for _, i := range order {
		counts[i] = min(missing, domains[i].onDemand)
		missing -= counts[i]
	}
	for _, i := range order {
		more := max(0, min(missing, standInShare*p.most/100-domains[i].spot-counts[i]))
		counts[i] += more
		missing -= more
	}
	return counts
}
