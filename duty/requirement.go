package duty

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/capacity"
	"dandelionrail.org/rail/gateway"
)

// Metrics records the numbers of upstreams of a service.
type Metrics interface {
	// Upstreams records how many upstreams the demand requires after the loss of a domain, how many are ordered and how many serve.
	Upstreams(service string, required, ordered, present int)
}

// WithMetrics sets where the numbers of upstreams are recorded.
func (r *Runner) WithMetrics(m Metrics) *Runner {
	r.metrics = m
	return r
}

// WithEstimates sets whether the number of engines follows from their estimated rates, or from the constant for engines of unknown rates.
func (r *Runner) WithEstimates(enabled bool) *Runner {
	r.estimates = enabled
	return r
}

const (
	// requirementLogInterval is the minimum time between two log lines about the required number of a service.
	requirementLogInterval = time.Second
	// basisLogInterval is that between two lines about its basis.
	basisLogInterval = 5 * time.Second
)

// work returns the work of a service's requests and its typical engine, and whether all gateways report their work.
func (r *Runner) work(service string) (demand capacity.Demand, engine capacity.Engine, complete bool) {
	r.gateway.View(func(s *gateway.State) {
		demand, complete = s.Work(service)
		engine = s.Engine(service)
	})
	return demand, engine, complete
}

// updateRequirement updates the required number of a service: from the work of its requests, or from the prompt tokens of all gateways
// while estimates are not enabled, the rates of the engines are not known or some gateways do not report the work.
func (r *Runner) updateRequirement(p *Plan, service string, demand capacity.Demand, engine capacity.Engine, complete bool, now time.Time) {
	before, wasEstimated := p.Required(), p.Basis().Estimated()
	switch {
	case r.estimates && complete && engine.Known():
		p.UpdateWork(demand, engine, r.demand.rate, now)
	case r.demandMeasured && r.demand.rate > 0:
		p.UpdateDemand(r.demand.rate, now)
	default:
		return
	}
	fields := append([]gateway.Field{gateway.NewField("service", service), gateway.NewField("required", p.Required()), gateway.NewField("before", before)}, p.Basis().fields()...)
	if p.Basis().Estimated() != wasEstimated && now.Sub(r.basisLoggedAt[service]) >= basisLogInterval {
		r.basisLoggedAt[service] = now
		r.log.Write(rail.EventCapacityBasis, fields...)
	}
	if p.Required() != before && now.Sub(r.requirementLoggedAt[service]) >= requirementLogInterval {
		r.requirementLoggedAt[service] = now
		r.log.Write(rail.EventCapacityRequired, fields...)
	}
}

// reportLeaving logs that the cloud announced to reclaim upstreams of a domain, once an announcement.
func (r *Runner) reportLeaving(p *Plan, f *gateway.Fleet) {
	for domain := range f.Prices() {
		key, n := f.Service()+"/"+domain, f.Leaving(domain)
		if r.leaving[key] == 0 && n > 0 {
			r.log.Write(rail.EventCapacityLeaving, gateway.NewField("service", f.Service()), gateway.NewField("domain", domain), gateway.NewField("leaving", n),
				gateway.NewField("remaining", f.Count(domain, true)+f.Count(domain, false)), gateway.NewField("present", f.Total()), gateway.NewField("required", p.Required()))
		}
		r.leaving[key] = n
	}
}

// recordNumbers records the numbers of upstreams of a service in the metrics.
func (r *Runner) recordNumbers(p *Plan, f *gateway.Fleet) {
	if r.metrics == nil {
		return
	}
	ordered := 0
	for k, o := range r.orders {
		if k.service == f.Service() && o.accepted {
			ordered += o.count
		}
	}
	r.metrics.Upstreams(f.Service(), p.Required(), ordered, f.Total())
}
