package spillover

import "time"

// reserve is the part of its capacity that a domain keeps for its own callers.
const reserve = 0.25

// Domain is what a gateway knows of the upstreams of a service in one failure domain.
type Domain struct {
	name           string
	capacity, busy float64
	wait           time.Duration
}

// NewDomain returns a domain with the number of requests that its usable upstreams serve at the same time, the number in flight
// there from all gateways, and the predicted time to the first token of a request.
func NewDomain(name string, capacity, busy float64, wait time.Duration) Domain {
	return Domain{name: name, capacity: capacity, busy: busy, wait: wait}
}

// Name returns the domain's name.
func (d Domain) Name() string { return d.name }

// Capacity returns the number of requests that the domain's upstreams serve at the same time.
func (d Domain) Capacity() float64 { return d.capacity }

// Busy returns the number of requests in flight there.
func (d Domain) Busy() float64 { return d.busy }

// Wait returns the predicted time to the first token.
func (d Domain) Wait() time.Duration { return d.wait }

// room returns how many more requests the domain takes from other domains.
func (d Domain) room(goal time.Duration) float64 {
	return d.capacity * max(0, 1-reserve-d.pressure(goal))
}

// pressure returns how close the domain is to its limits: the larger of the used part of its capacity and of the goal.
func (d Domain) pressure(goal time.Duration) float64 {
	p := d.busy / max(1, d.capacity)
	if goal > 0 {
		p = max(p, float64(d.wait)/float64(goal))
	}
	return p
}
