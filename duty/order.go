package duty

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gateway"
)

// OperatorTopic follows the operator's orders of rollouts.
type OperatorTopic interface {
	// Refresh reads the orders that are not known yet.
	Refresh(ctx context.Context) error
}

const (
	// orderRetryDelay is how long after an accepted order it is repeated if the upstreams are not listed.
	orderRetryDelay = 7 * time.Second
	// settleDelay is how long the number of listed upstreams must not have grown before a holder places its first order,
	// so that it counts all upstreams that exist already.
	settleDelay = 1500 * time.Millisecond
	// firstOrderDelay is how long after the start of its process a holder places no order: upstreams need some seconds to register.
	firstOrderDelay = 4 * time.Second
	// refusedRetryDelay is how long after the cloud refused an order for lack of capacity reclaimable upstreams are ordered again.
	refusedRetryDelay = 2500 * time.Millisecond
)

// listing is the number of listed upstreams of a service and the time at which it last grew.
type listing struct {
	total int
	at    time.Duration
}

type orderKey struct {
	service, domain string
	spot            bool
}

// upstreamOrder is the last order of a service, domain and class.
type upstreamOrder struct {
	count     int
	at        time.Time
	accepted  bool
	fulfilled bool // The upstreams were listed.
}

// demandMeter measures the demand of all gateways in prompt tokens a second.
type demandMeter struct {
	total int64
	at    time.Time
	rate  float64
}

// demandGain is the weight of the newest measurement, about one a second, in the moving average of the demand.
const demandGain = 0.3

func (m *demandMeter) measure(total int64, now time.Time) bool {
	elapsed := now.Sub(m.at).Seconds()
	if elapsed < 1 {
		return false
	}
	if !m.at.IsZero() && total >= m.total {
		m.rate += demandGain * (float64(total-m.total)/elapsed - m.rate)
	}
	m.total, m.at = total, now
	return true
}

// orderUpstreams orders the desired capacity of each service.
func (r *Runner) orderUpstreams(ctx context.Context) {
	now := time.Now()
	r.refreshed = false
	var services []*gateway.Fleet
	r.gateway.View(func(s *gateway.State) { services = s.Fleets() })
	for _, f := range services {
		p, ok := r.plans[f.Service()]
		if !ok {
			if l := r.listed[f.Service()]; l.total == 0 || r.now()-l.at < settleDelay || r.now()-r.started < firstOrderDelay {
				continue // The existing upstreams are not all listed yet.
			}
			required := InheritedRequirement(f.Total(), len(f.Prices()))
			if r.demand.rate == 0 { // Before there is traffic, all that are listed must remain after the loss of a domain.
				required = f.Total()
			}
			p = NewPlan(f.MinUpstreams(), f.MaxUpstreams(), required, now)
			for domain := range f.Prices() {
				p.found[domain] = f.CountAll(domain, true) + f.CountAll(domain, false)
			}
			r.plans[f.Service()] = p
		}
		demand, engine, complete := r.work(f.Service())
		r.updateRequirement(p, f.Service(), demand, engine, complete, now)
		domains := r.domains(f, now)
		r.reportLeaving(p, f)
		r.forgetOrdersAfterRollout(f)
		for _, c := range p.DesiredCapacity(domains, r.spotUnavailable[f.Service()]) {
			if c, ok = orderInRollout(p, f, c); !ok {
				continue
			}
			c.count = max(c.count, p.keptAtFirst(c, f.CountAll(c.domain, true), f.CountAll(c.domain, false), now))
			if err := r.placeOrder(ctx, f, c, now); err != nil {
				r.handleLeaseError(err)
				return
			}
		}
		r.recordNumbers(p, f)
	}
}

// orderInRollout returns the order to place while a rollout of the service may be in progress, false if there is none.
func orderInRollout(p *Plan, f *gateway.Fleet, c DesiredCapacity) (DesiredCapacity, bool) {
	switch {
	case !f.InRollout():
		return c, true
	case !f.HasTwoVersions(): // How many upstreams the operator has started is not known yet.
		return c, false
	}
	total := f.CountAll(c.domain, true) + f.CountAll(c.domain, false)
	return p.Raised(c, f.Count(c.domain, c.spot), f.CountAll(c.domain, c.spot), total)
}

// forgetOrdersAfterRollout forgets the last orders of a service when the operator has removed the upstreams of one version: what was
// ordered says nothing about those of the other.
func (r *Runner) forgetOrdersAfterRollout(f *gateway.Fleet) {
	if r.inRollout[f.Service()] && !f.InRollout() {
		for k := range r.orders {
			if k.service == f.Service() {
				delete(r.orders, k)
			}
		}
	}
	r.inRollout[f.Service()] = f.InRollout()
}

// recordListings records when the number of listed upstreams last grew, until the demand is known.
func (r *Runner) recordListings() {
	var services []*gateway.Fleet
	r.gateway.View(func(s *gateway.State) { services = s.Fleets() })
	for _, f := range services {
		l, ok := r.listed[f.Service()]
		if !ok || (f.Total() > l.total && r.demand.rate == 0) {
			r.listed[f.Service()] = listing{total: f.Total(), at: r.now()}
		}
	}
}

func (r *Runner) domains(f *gateway.Fleet, now time.Time) []Domain {
	var domains []Domain
	for name, price := range f.Prices() {
		if f.Evacuated(name) {
			continue // Its upstreams stay as they are, and the others get the missing number.
		}
		domains = append(domains, NewDomain(name, price, f.Count(name, true), max(f.Count(name, false), r.expectedOnDemand(f, name, now))))
		if f.Reclaimed(name) {
			r.spotUnavailable[f.Service()] = true
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].name < domains[j].name })
	return domains
}

// expectedOnDemand returns the number of on-demand upstreams that the cloud accepted an order for shortly ago.
func (r *Runner) expectedOnDemand(f *gateway.Fleet, domain string, now time.Time) int {
	o := r.orders[orderKey{f.Service(), domain, false}]
	if o == nil || !o.accepted || o.fulfilled || f.InRollout() || now.Sub(o.at) >= orderRetryDelay {
		return 0
	}
	return o.count
}

// placeOrder places an order unless it equals the last one and that one is fulfilled or may still be. Reclaimable
// upstreams that the cloud refused are ordered again after refusedRetryDelay.
func (r *Runner) placeOrder(ctx context.Context, f *gateway.Fleet, c DesiredCapacity, now time.Time) error {
	k := orderKey{f.Service(), c.domain, c.spot}
	o, ok := r.orders[k]
	if !ok {
		o = &upstreamOrder{count: -1}
		r.orders[k] = o
	}
	present := f.CountAll(c.domain, c.spot)
	switch {
	case c.spot && r.spotUnavailable[f.Service()] && now.Sub(r.refusedAt) < refusedRetryDelay:
		return nil
	case o.accepted && o.count == c.count && present >= c.count:
		o.fulfilled = true
		return nil
	case o.accepted && o.count == c.count && !o.fulfilled && now.Sub(o.at) < orderRetryDelay:
		return nil
	case !r.mayAct(ctx):
		return nil
	case !f.InRollout() && r.rolloutBegun(ctx, f.Service()):
		return nil
	}
	err := r.callCloud(ctx, func(ctx context.Context) error { return r.cloud.OrderUpstreams(ctx, r.lease.Fence(), f.Service(), c) })
	r.log.Write(rail.EventUpstreamsOrdered, gateway.NewField("service", f.Service()), gateway.NewField("domain", c.domain), gateway.NewField("spot", c.spot),
		gateway.NewField("count", c.count), gateway.NewField("present", present), gateway.NewField("demand", int64(r.demand.rate)),
		gateway.NewField("fence", r.lease.Fence()), gateway.ErrorField(err))
	o.count, o.at, o.accepted, o.fulfilled = c.count, now, err == nil, false
	if c.spot {
		r.spotUnavailable[f.Service()] = errors.Is(err, ErrNoCapacity) || (err != nil && r.spotUnavailable[f.Service()])
	}
	if errors.Is(err, ErrNoCapacity) {
		r.refusedAt = now
		return nil
	}
	if errors.Is(err, ErrFenced) {
		return err
	}
	return nil // An order without a reply is repeated.
}

// rolloutBegun reports whether the operator has begun a rollout of the service, of which this gateway did not know yet, or whether
// that cannot be read: an order that does not consider the upstreams of its version removes some.
func (r *Runner) rolloutBegun(ctx context.Context, service string) bool {
	if !r.refreshed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := r.operator.Refresh(ctx); err != nil {
			r.handleLeaseError(err)
			return true
		}
		r.refreshed = true
	}
	begun := false
	r.gateway.View(func(s *gateway.State) { begun = s.RolloutRunning(service) })
	return begun
}
