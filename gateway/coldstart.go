package gateway

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/slowstart"
)

// bornMargin is by how much the start time of an upstream may be off: the clocks of machines differ.
const bornMargin = 500 * time.Millisecond

// coldStart limits what an upstream gets while it is cold and shortly after.
type coldStart struct {
	sharedRate
	period slowstart.Period
}

// coldLimits returns what the upstreams of the service tolerate while they are cold.
func (s *State) coldLimits(service string) slowstart.Limits {
	if s.config == nil || s.config.services[service] == nil {
		return slowstart.Limits{}
	}
	return s.config.services[service].cold
}

// applyUpstreams applies changes of the list of upstreams.
func (s *State) applyUpstreams(e UpstreamsRead) []Effect {
	sequences := make(map[string]upstreamReport, len(e.changes))
	for _, c := range e.changes {
		if t, ok := s.registry.targets[c.id]; ok {
			sequences[c.id] = upstreamReport{t, t.sequence}
		}
	}
	effects := s.registry.apply(e, s.now)
	for _, c := range e.changes {
		t, ok := s.registry.targets[c.id]
		if !ok || c.removed || (t.sequence > 0 && sequences[c.id] == (upstreamReport{t, t.sequence})) {
			continue // The same report is read again; what was left of its cold period then has passed.
		}
		effects = append(effects, s.updateCold(t)...)
	}
	return effects
}

// upstreamReport is a report of a start of an upstream.
type upstreamReport struct {
	target   *target
	sequence int64
}

// updateCold reads from the entry of an upstream until when it is cold.
func (s *State) updateCold(t *target) []Effect {
	if t.warmUp <= 0 {
		return s.updateColdByAge(t)
	}
	return s.extendCold(t, s.now.Add(t.warmUp), "store")
}

// updateColdByAge makes an upstream cold that started a short time ago. Without traffic nothing has made it cold at its start.
func (s *State) updateColdByAge(t *target) []Effect {
	limits := s.coldLimits(t.service)
	left := limits.Duration() + bornMargin - s.trueTime().Sub(time.UnixMilli(t.startedAtMs))
	if !limits.Enabled() || s.demand == 0 || left <= 0 {
		return nil
	}
	return s.extendCold(t, s.now.Add(min(left, limits.Duration())), "age")
}

// extendCold makes the upstream cold until the time, unless it is cold for longer anyway.
func (s *State) extendCold(t *target, until time.Time, source string) []Effect {
	limits := s.coldLimits(t.service)
	_, wasLimited := t.cold.period.PerSecond(limits, s.now)
	wasCold := t.cold.period.Until().After(s.now)
	t.cold.period = t.cold.period.Extend(until)
	perSecond, limited := t.cold.period.PerSecond(limits, s.now)
	if wasCold || !limited {
		return nil // The configuration may follow, so that the end is kept.
	}
	s.updateRank(&t.cold.sharedRate, t.id, perSecond)
	if !wasLimited { // Staggered, so that the gateways do not send their first requests together.
		t.cold.reset(float64(t.cold.shares-t.cold.rank-1)/float64(t.cold.shares), s.now)
	}
	return []Effect{report(rail.EventUpstreamCold, NewField("upstream", t.id), NewField("service", t.service), NewField("forMs", until.Sub(s.now).Milliseconds()),
		NewField("perSecond", perSecond), NewField("share", t.cold.rate(perSecond)), NewField("source", source))}
}

// coldRate returns the requests a second that the upstream may get from all gateways together, false if there is no limit.
func (s *State) coldRate(t *target) (float64, bool) {
	return t.cold.period.PerSecond(s.coldLimits(t.service), s.now)
}

// coldAllows reports whether the upstream is warm, or may get a request of this gateway now. A gateway that does not know the others yet
// sends none.
func (s *State) coldAllows(t *target) bool {
	if t.cold.period.Until().IsZero() {
		return true
	}
	perSecond, limited := s.coldRate(t)
	if !limited {
		return true
	}
	if !s.registrations.read {
		return false
	}
	s.updateRank(&t.cold.sharedRate, t.id, perSecond)
	return t.cold.allows(perSecond, s.now)
}

// coldWait returns the shortest time until a cold upstream among the targets accepts a request of this gateway, false if none is cold.
func (s *State) coldWait(targets []*target) (time.Duration, bool) {
	wait, limited := noUpstreamRetryAfter, false
	for _, t := range targets {
		perSecond, cold := s.coldRate(t)
		if t.leaving || !cold {
			continue
		}
		limited = true
		if w, ok := t.cold.wait(perSecond); ok {
			wait = min(wait, w)
		}
	}
	return wait, limited
}
