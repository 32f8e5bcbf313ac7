package gateway

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/estimate"
)

// rateKey identifies what observations describe: a start of an upstream, or all upstreams of a service.
type rateKey struct {
	upstreamStart
	service string
}

// serviceRate is the estimate that holds for all upstreams of a service.
type serviceRate struct {
	// shared estimates the ratio of the time per prompt token of engines to the default one, relative to that of their steps, and
	// the ratio of the service time of other upstreams.
	shared estimate.Estimator
	speeds estimate.Speeds
	// overhead is the part of the time to the first event that does not depend on the prompt.
	overhead estimate.Overhead
	// prompt is the ratio of the time per prompt token; known and promptKnown report whether any upstream, and it, have an estimate.
	prompt             float64
	known, promptKnown bool
	// reported and reportedAt are the rates in the last report, and its time.
	reported   estimate.Rates
	reportedAt time.Time
}

const (
	// minIdlePrompt is the number of prompt tokens from which the time to the first event shows the prompt rate: delays of some
	// milliseconds outside of the engine matter little then.
	minIdlePrompt = 1500
	// maxShortPrompt is the number of prompt tokens up to which the time to the first event shows the part that does not depend on the prompt.
	maxShortPrompt = 600
	// requestWeight is the weight of an observation that a request gives once, relative to one of many gaps of a stream.
	requestWeight = 3
	// minServiceTime is the shortest time of a plain request that counts.
	minServiceTime = time.Millisecond
	// minErrorStatus is the lowest HTTP status of a request that was not served, which may take less time.
	minErrorStatus = 400
	// promptGain is the part of the difference to the estimated prompt ratio that each tick adds: it is reached within some five seconds.
	promptGain = 0.02
	// rateReportInterval is the minimum time between two reports of the rates of a service.
	rateReportInterval = time.Minute
)

// rates returns how fast the upstream works. While versions are compared, placement uses the default rates: with estimates, the bound on
// the requests to a version that turns slow was exceeded in 1 of 240 simulated rollouts, without them in none.
func (s *State) rates(t *target) estimate.Rates {
	r := s.serviceRates[t.service]
	if r == nil || !r.known || s.RolloutRunning(t.service) {
		return estimate.Default()
	}
	if ratio, ok := t.slowness.Ratio(); ok {
		return s.ratesAt(t.service, r, r.speeds.Of(ratio))
	}
	return s.ratesAt(t.service, r, r.speeds.Typical())
}

// ServiceRates returns how fast a typical upstream of the service works.
func (s *State) ServiceRates(service string) estimate.Rates {
	r := s.serviceRates[service]
	if r == nil || !r.known {
		return estimate.Default()
	}
	return s.ratesAt(service, r, r.speeds.Typical())
}

func (s *State) ratesAt(service string, r *serviceRate, ratio float64) estimate.Rates {
	if s.hasEngines(service) {
		return estimate.Engine(ratio, r.prompt)
	}
	return estimate.Plain(ratio)
}

// uneven reports whether the engines of the service differ in speed.
func (s *State) uneven(service string) bool {
	r := s.serviceRates[service]
	return r != nil && r.known && len(r.speeds.Groups()) > 1 && !s.RolloutRunning(service)
}

func (s *State) hasEngines(service string) bool {
	if s.config == nil {
		return false
	}
	x := s.config.services[service]
	return x != nil && x.isEngine()
}

// expectAttempt records what the attempt's times are compared with. The check for slower versions compares versions by the default
// rates: by estimated ones, that of the service included, a slower version would be expected to be slow.
func (s *State) expectAttempt(c *Call, p *pendingCall, t *target, wait time.Duration) {
	load := t.ownLoad
	load.add(t.peerLoad)
	reference := estimate.Default()
	speed := s.rates(t).PromptTokensPerSecond() / reference.PromptTokensPerSecond()
	p.expectedFirst, p.expectedStep = max(time.Duration(float64(wait)*speed), time.Millisecond), reference.Step(load.running+1)
	p.running, p.idlePrompt = load.running, 0
	shared := sumTokens(shareableParts(c.parts))
	hit := t.cache.hitTokens(c.parts, s.now)
	if load.waitingTokens == 0 && len(c.parts) > 1 && hit == shared {
		p.idlePrompt = c.prompt - hit
	}
}

// observeGaps records the times between events of a stream. While prompts are processed, these are longer, and fewer.
func (s *State) observeGaps(p *pendingCall, gaps []time.Duration) {
	t := p.target
	if p.peer != "" || !p.service.isEngine() || len(gaps) == 0 {
		return
	}
	expected := estimate.Default().Step(max(1, t.ownLoad.running+t.peerLoad.running)) * time.Duration(p.service.EventTokens())
	for _, gap := range gaps {
		t.slowness.Observe(s.now, gap.Seconds()/expected.Seconds(), 1)
	}
}

// observeFirstEvent records the time to the first event of a request whose engine had no other prompts to process.
func (s *State) observeFirstEvent(c *Call, p *pendingCall) {
	ratio, ok := p.target.slowness.Ratio()
	if !ok || p.idlePrompt == 0 || !p.route.streaming || !p.service.isEngine() {
		return
	}
	r, took, steps := s.serviceRateOf(p.service.name), s.now.Sub(p.sentAt), int(p.idlePrompt/prefillChunkTokens)+1
	if p.idlePrompt <= maxShortPrompt {
		rates := s.rates(p.target)
		r.overhead.Observe(took - rates.Prefill(p.idlePrompt) - rates.Step(p.running+1))
	}
	if p.idlePrompt < minIdlePrompt {
		return
	}
	r.shared.Observe(s.now, estimate.PromptRatio(took-r.overhead.Time(), ratio, p.idlePrompt, c.prompt-p.idlePrompt, steps, p.running+1), requestWeight)
}

// observeService records the time of a plain request at an upstream with a free slot.
func (s *State) observeService(p *pendingCall, o Outcome) {
	took := s.now.Sub(p.sentAt)
	if o.kind != rail.KindNone || o.status >= minErrorStatus || p.peer != "" || p.route.streaming || p.service.isEngine() || took < minServiceTime || (p.target.slots > 0 && p.running >= p.target.slots) {
		return
	}
	ratio := took.Seconds() / estimate.Default().Service().Seconds()
	p.target.slowness.Observe(s.now, ratio, requestWeight)
	s.serviceRateOf(p.service.name).shared.Observe(s.now, ratio, requestWeight)
}

func (s *State) serviceRateOf(service string) *serviceRate {
	r := s.serviceRates[service]
	if r == nil {
		r = &serviceRate{speeds: estimate.NewSpeeds(nil), prompt: 1}
		s.serviceRates[service] = r
	}
	return r
}

// updateRates updates the estimates with the observations of this gateway and of its peers.
func (s *State) updateRates() []Effect {
	if s.config == nil {
		return nil
	}
	others := map[rateKey]estimate.Histogram{}
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) < peerTimeout {
			addRates(others, p.digest.rates)
		}
	}
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.config.services)) {
		var ratios []float64
		for _, t := range s.registry.ofService(name) {
			queued := t.ownLoad.waitingTokens+t.peerLoad.waitingTokens > prefillChunkTokens
			t.slowness.Update(s.now, others[rateKey{upstreamStart: t.start()}], queued)
			if ratio, ok := t.slowness.Ratio(); ok {
				ratios = append(ratios, ratio)
			}
		}
		r := s.serviceRateOf(name)
		r.shared.Update(s.now, others[rateKey{service: name}], false)
		shared, ok := r.shared.Ratio()
		switch engines := s.hasEngines(name); {
		case engines:
			r.known = len(ratios) > 0
			r.speeds = estimate.NewSpeeds(ratios)
			r.updatePrompt(shared, ok)
		case ok:
			r.known, r.speeds = true, estimate.NewSpeeds([]float64{shared})
		default:
			r.known = false
		}
		effects = append(effects, s.reportRates(name, r)...)
	}
	return effects
}

// updatePrompt moves the ratio of prompt tokens towards its estimate, which few requests give.
func (r *serviceRate) updatePrompt(estimated float64, ok bool) {
	switch {
	case !ok:
		r.prompt, r.promptKnown = 1, false
	case !r.promptKnown:
		r.prompt, r.promptKnown = estimated, true
	default:
		r.prompt += promptGain * (estimated - r.prompt)
	}
}

// reportRates reports the rates of a service when they change, as often as rateReportInterval allows.
func (s *State) reportRates(service string, r *serviceRate) []Effect {
	rates := s.ServiceRates(service)
	if !r.known || rates == r.reported || (!r.reportedAt.IsZero() && s.now.Sub(r.reportedAt) < rateReportInterval) {
		return nil
	}
	r.reported, r.reportedAt = rates, s.now
	return []Effect{report(rail.EventRatesEstimated, NewField("service", service), NewField("promptPerSecond", int64(rates.PromptTokensPerSecond())), NewField("stepUs", rates.Step(0).Microseconds()),
		NewField("stepPerRequestUs", rates.StepPerRequest().Microseconds()), NewField("serviceMs", rates.Service().Milliseconds()), NewField("slowness", r.speeds.Groups()))}
}

// recentRates returns the recent observations of this gateway: those of each engine, and those of each service.
func (s *State) recentRates() map[rateKey]estimate.Histogram {
	recent := map[rateKey]estimate.Histogram{}
	add := func(k rateKey, e *estimate.Estimator) {
		if h := e.Recent(s.now); h.Count() > 0 {
			recent[k] = h
		}
	}
	for service, r := range s.serviceRates {
		add(rateKey{service: service}, &r.shared)
		if s.hasEngines(service) {
			for _, t := range s.registry.ofService(service) {
				add(rateKey{upstreamStart: t.start()}, &t.slowness)
			}
		}
	}
	return recent
}

// addRates adds the observations of a peer.
func addRates(sum, o map[rateKey]estimate.Histogram) {
	for k, h := range o {
		merged := sum[k]
		merged.Merge(h)
		sum[k] = merged
	}
}
