package gateway

import (
	"maps"
	"math"
	"time"

	"dandelionrail.org/rail/capacity"
)

// work is what the arriving requests of a service ask of its engines, per second: prompt tokens that are not expected to be cached, the
// squares of these, and output tokens.
type work struct{ prompt, promptSquares, output float64 }

func (w work) plus(o work) work {
	return work{w.prompt + o.prompt, w.promptSquares + o.promptSquares, w.output + o.output}
}

// mergeWork adds the work of other gateways to the sum.
func mergeWork(sum, other map[string]work) {
	for service, w := range other {
		sum[service] = sum[service].plus(w)
	}
}

// workMeter measures the work of the requests that arrive at this gateway, by service. Rates are exchanged rather than counters: a digest that
// is late delays a rate, while the jump of a counter would look like a burst.
type workMeter struct {
	arrived   map[string]work // since the last update
	rates     map[string]work
	updatedAt time.Time
	// outputShares are the parts of their maximum number of output tokens that answers had, by service.
	outputShares map[string]float64
}

// outputGain is the weight of one answer in the moving average of the output.
const outputGain = 0.05

// minWork is the work in tokens a second below which a service without requests is forgotten.
const minWork = 1

func newWorkMeter(now time.Time) *workMeter {
	return &workMeter{arrived: map[string]work{}, rates: map[string]work{}, updatedAt: now, outputShares: map[string]float64{}}
}

// add adds a request that arrived, whether it is served or refused.
func (m *workMeter) add(service *Service, c *Call) {
	if !service.isEngine() {
		return
	}
	uncached := max(0, float64(c.prompt)-affinityShare*float64(sumTokens(shareableParts(c.parts))))
	m.arrived[service.name] = m.arrived[service.name].plus(work{uncached, uncached * uncached, float64(c.output) * m.outputShare(service.name)})
}

// outputShare returns the part of their maximum number of output tokens that answers of the service have: callers state the maximum, which
// is about twice the mean.
func (m *workMeter) outputShare(service string) float64 {
	if share, ok := m.outputShares[service]; ok {
		return share
	}
	return 1
}

// answered records the events of a complete stream.
func (m *workMeter) answered(service *Service, c *Call, events int) {
	if !service.isEngine() || c.output <= 0 || events <= 0 {
		return
	}
	share := min(1, float64(int64(events)*service.EventTokens())/float64(c.output))
	before := m.outputShare(service.name)
	m.outputShares[service.name] = before + outputGain*(share-before)
}

// update adds what arrived since the last update to the rates.
func (m *workMeter) update(now time.Time) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.updatedAt = now
	for service := range m.arrived {
		m.rates[service] = m.rates[service].plus(work{})
	}
	weight := 1 - math.Exp(-elapsed/capacity.MeasuringTime.Seconds())
	for service, r := range m.rates {
		a := m.arrived[service]
		r = work{
			prompt:        r.prompt + (a.prompt/elapsed-r.prompt)*weight,
			promptSquares: r.promptSquares + (a.promptSquares/elapsed-r.promptSquares)*weight,
			output:        r.output + (a.output/elapsed-r.output)*weight,
		}
		m.rates[service] = r
		if r.prompt+r.output < minWork {
			delete(m.rates, service)
		}
	}
	clear(m.arrived)
}

// work returns the rates by service.
func (m *workMeter) work() map[string]work { return maps.Clone(m.rates) }

// Work returns the work that the requests of a service ask of its engines, over all gateways with recent digests. It returns false if a
// gateway of an older build is among them, which does not report its work, or if the service has no engines.
func (s *State) Work(service string) (capacity.Demand, bool) {
	if s.config == nil || s.config.services[service] == nil || !s.config.services[service].isEngine() {
		return capacity.Demand{}, false
	}
	sum, gateways := s.workMeter.rates[service], 1
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) >= reserveTimeout {
			continue
		}
		if p.digest.workCovers < p.digest.covers {
			return capacity.Demand{}, false
		}
		sum, gateways = sum.plus(p.digest.work[service]), gateways+p.digest.workCovers
	}
	var waiting int64
	for _, t := range s.registry.ofService(service) {
		waiting += t.ownLoad.waitingTokens + t.peerLoad.waitingTokens
	}
	return capacity.NewDemand(sum.prompt, sum.promptSquares, sum.output).WithBacklog(waiting).WithGateways(gateways, s.gateways()), true
}

// Engine returns a typical engine of the service, and the shortest latency goal of the streaming routes that use it.
func (s *State) Engine(service string) capacity.Engine {
	var goal time.Duration
	slots := 0
	if s.config != nil && s.config.services[service] != nil {
		slots = s.config.services[service].slots
		goal = s.config.shortestGoal(service)
	}
	return capacity.NewEngine(s.ServiceRates(service), slots, goal)
}

// shortestGoal returns the shortest latency goal of the streaming routes that use the service, zero if there is none.
func (c *Config) shortestGoal(service string) time.Duration {
	var shortest time.Duration
	for _, routes := range c.routesByHost {
		for _, r := range routes {
			for _, b := range r.backends {
				if r.streaming && b.service == service && b.weight > 0 && r.goal > 0 && (shortest == 0 || r.goal < shortest) {
					shortest = r.goal
				}
			}
		}
	}
	return shortest
}
