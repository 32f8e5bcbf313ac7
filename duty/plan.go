package duty

import (
	"math"
	"time"
)

const (
	// tokensPerUpstream is the prompt tokens a second that one engine takes beside the answers it writes.
	tokensPerUpstream = 13_000
	// leastPerDomain is the least number of engines in a failure domain.
	leastPerDomain = 2
	// leastOnDemand is the number of engines in each domain that the cloud does not reclaim.
	leastOnDemand = 0
	// shrinkTime is how long demand must stay below before upstreams are given back, one at a time.
	shrinkTime = 4 * time.Second
)

// Domain is what a failure domain has of one service.
type Domain struct {
	name  string
	price float64
	// spot and onDemand are the upstreams that take requests, by whether the cloud may reclaim them.
	spot, onDemand int
	// refused says that the cloud has no reclaimable ones there now.
	refused bool
}

// NewDomain returns the failure domain with the price of an upstream and the numbers that take requests.
func NewDomain(name string, price float64, spot, onDemand int, refused bool) Domain {
	return Domain{name: name, price: price, spot: spot, onDemand: onDemand, refused: refused}
}

// Wanted is the number of upstreams of one class in a failure domain.
type Wanted struct {
	domain string
	spot   bool
	count  int
}

// Domain returns the failure domain.
func (w Wanted) Domain() string { return w.domain }

// Spot reports whether the cloud may reclaim them.
func (w Wanted) Spot() bool { return w.spot }

// Count returns the number.
func (w Wanted) Count() int { return w.count }

// Plan decides how many upstreams each failure domain gets: what the demand
// needs, as reclaimable ones in equal parts, so that the loss of one domain
// takes the least. While a domain has none to be had, the others get its part,
// which costs less than upstreams of the dear class in that domain.
type Plan struct {
	least, most int
	need        int
	lower       time.Time
}

// NewPlan returns the plan of a service that may have from least to most upstreams in a domain and needs so many in all until demand is known.
func NewPlan(least, most, need int) *Plan { return &Plan{least: least, most: most, need: need} }

// Demand takes in the prompt tokens a second.
func (p *Plan) Demand(tokens float64, now time.Time) {
	need := int(math.Ceil(tokens / tokensPerUpstream))
	if need >= p.need {
		p.need, p.lower = need, now
		return
	}
	if now.Sub(p.lower) >= shrinkTime {
		p.need, p.lower = p.need-1, now
	}
}

// Wanted returns the numbers for the domains.
func (p *Plan) Wanted(domains []Domain) []Wanted {
	if len(domains) == 0 {
		return nil
	}
	healthy := 0
	for _, d := range domains {
		if !d.refused {
			healthy++
		}
	}
	each := min(max((p.need+max(1, healthy)-1)/max(1, healthy), leastPerDomain, p.least), p.most)
	var wanted []Wanted
	for _, d := range domains {
		floor := min(leastOnDemand, each)
		spot := each - floor
		missing := max(0, spot-d.spot)
		onDemand := floor + min(missing, max(0, d.onDemand-floor)) // What is there stays until its successors serve.
		if d.refused || healthy == 0 {
			onDemand = max(floor, p.least)
			if healthy == 0 {
				onDemand = each
			}
		}
		wanted = append(wanted, Wanted{d.name, true, spot}, Wanted{d.name, false, min(onDemand, p.most-spot)})
	}
	return wanted
}
