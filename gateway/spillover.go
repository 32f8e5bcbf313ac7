package gateway

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/spillover"
)

// spilloverState is what a gateway keeps of the share of a service's requests that leaves its failure domain.
type spilloverState struct {
	share     spillover.Share
	decidedAt time.Time
	// others are the domains that were decided on last.
	others []spillover.Domain
}

// SpilloverUpdated requests that the share in force be shown in the metrics.
type SpilloverUpdated struct {
	service string
	share   spillover.Share
	home    spillover.Domain
	others  []spillover.Domain
}

func (SpilloverUpdated) gatewayEffect() {}

// record shows the share and its inputs.
func (e SpilloverUpdated) record(m Metrics) {
	parts := e.share.Parts()
	for _, d := range append([]spillover.Domain{e.home}, e.others...) {
		m.SpilloverShare(e.service, d.Name(), parts[d.Name()])
		m.SpilloverInputs(e.service, d.Name(), d.Capacity(), d.Busy(), d.Wait())
	}
}

const (
	// coldConcurrency is the time for which a request is assumed to occupy a cold upstream; times its rate it is what the upstream serves
	// at the same time.
	coldConcurrency = time.Second
	// waitParts is the part of the goal that requests may wait in the average of a domain: at single upstreams they wait several times as
	// long, and their own prompts take time too.
	waitParts = 2
	// answerTokenBytes is the assumed size of an output token in an answer: events repeat their framing.
	answerTokenBytes = 20
	// plainAnswerBytes is the assumed size of an answer that states no tokens.
	plainAnswerBytes = 4 << 10
)

// spills reports whether the settings ask for the decision, and the configuration and the upstreams of the service state what the decision needs: the capacity, and for engines
// the bytes of a cached token.
func (s *State) spills(service *Service) bool {
	if !s.settings.spillover || service == nil || (service.isEngine() && service.cacheTokenBytes <= 0) {
		return false
	}
	return !slices.ContainsFunc(s.registry.ofService(service.name), func(t *target) bool { return t.slots <= 0 })
}

// tickSpillover decides the share of each service.
func (s *State) tickSpillover() []Effect {
	s.domainGateways = 1
	for _, r := range s.registrations.byName {
		if r.domain == s.settings.domain {
			s.domainGateways++
		}
	}
	if s.config == nil {
		return nil
	}
	var effects []Effect
	for name, service := range s.config.services {
		if !s.spills(service) || len(s.registry.ofService(name)) == 0 {
			delete(s.spillovers, name)
			continue
		}
		effects = append(effects, s.updateSpillover(service)...)
	}
	return effects
}

func (s *State) updateSpillover(service *Service) []Effect {
	x := s.spillovers[service.name]
	if x == nil {
		x = &spilloverState{decidedAt: s.now}
		s.spillovers[service.name] = x
	}
	before := x.share
	home, others := s.spilloverDomains(service)
	x.share = before.Next(home, others, s.serviceGoal(service.name)/waitParts, s.now.Sub(x.decidedAt))
	x.decidedAt = s.now
	shown := slices.Clone(others)
	for _, d := range x.others { // The metrics of a domain without upstreams do not keep their last values.
		if !slices.ContainsFunc(others, func(o spillover.Domain) bool { return o.Name() == d.Name() }) {
			shown = append(shown, spillover.NewDomain(d.Name(), 0, 0, 0))
		}
	}
	x.others = others
	effects := []Effect{SpilloverUpdated{service: service.name, share: x.share, home: home, others: shown}}
	if number := rail.EventSpilloverBegan; (before.Leaving() > 0) != (x.share.Leaving() > 0) {
		if x.share.Leaving() <= 0 {
			number = rail.EventSpilloverEnded
		}
		effects = append(effects, report(number, NewField("service", service.name), NewField("domain", s.settings.domain), NewField("share", x.share.Leaving()),
			NewField("pressure", x.share.Pressure()), NewField("parts", x.share.Parts())))
	}
	return effects
}

// spilloverDomains returns this gateway's failure domain, and the others in the order of their names.
func (s *State) spilloverDomains(service *Service) (home spillover.Domain, others []spillover.Domain) {
	type sum struct {
		capacity, busy, upstreams float64
		load                      Load
		fastest                   *target
	}
	sums := map[string]*sum{s.settings.domain: {}}
	for _, t := range s.registry.ofService(service.name) {
		x := sums[t.domain]
		if x == nil {
			x = &sum{}
			sums[t.domain] = x
		}
		if t.leaving || s.evacuations.Contains(t.domain) || s.unreachable(t.domain) || !t.health.available(s.now) {
			continue
		}
		capacity := float64(t.slots)
		if perSecond, cold := s.coldRate(t); cold {
			capacity = min(capacity, perSecond*coldConcurrency.Seconds())
		}
		x.capacity += capacity
		x.upstreams++
		x.busy += float64(t.ownLoad.running + t.peerLoad.running)
		x.load.add(t.ownLoad)
		x.load.add(t.peerLoad)
		x.fastest = t
	}
	for name, x := range sums {
		wait := time.Duration(0)
		switch {
		case x.fastest == nil:
		case service.isEngine():
			rates := s.rates(x.fastest)
			wait = rates.Prefill(int64(float64(x.load.waitingTokens)/x.upstreams)) + rates.Step(int(x.busy/x.upstreams))
		default:
			wait = time.Duration(float64(s.rates(x.fastest).Service()) * x.busy / max(1, x.capacity))
		}
		d := spillover.NewDomain(name, x.capacity, x.busy, wait)
		if name == s.settings.domain {
			home = d
			continue
		}
		others = append(others, d)
	}
	slices.SortFunc(others, func(a, b spillover.Domain) int { return cmp.Compare(a.Name(), b.Name()) })
	return home, others
}

// serviceGoal returns the shortest latency goal of the routes to the service, zero if there is none.
func (s *State) serviceGoal(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range s.config.routesByHost {
		for _, r := range routes {
			uses := slices.ContainsFunc(r.backends, func(b Backend) bool { return b.service == service })
			if uses && r.goal > 0 && (shortest == 0 || r.goal < shortest) {
				shortest = r.goal
			}
		}
	}
	return shortest
}

// bid is the lowest-cost upstream of some failure domains for a call.
type bid struct {
	target      *target
	first, cost time.Duration
}

// improve takes the upstream if its cost is lower.
func (b *bid) improve(c *Call, t *target, first, cost time.Duration) {
	if b.target == nil || cost < b.cost || (cost == b.cost && hashWeight(c.id, t.id) > hashWeight(c.id, b.target.id)) {
		*b = bid{t, first, cost}
	}
}

// chooseDomain returns the upstream for a call among those that allow accepts, nil if there is none, and its expected time to first
// token: the best of this failure domain, unless the share in force, a missed goal or a cached part sends the call to another one.
func (s *State) chooseDomain(pl placement, c *Call, targets []*target, allow func(*target) bool) (*target, time.Duration) {
	x := s.spilloverOf(pl.service)
	if x == nil {
		return pl.choose(c, targets, allow)
	}
	allowed := slices.DeleteFunc(slices.Clone(targets), func(t *target) bool { return !allow(t) })
	local := func(t *target) bool { return t.domain == s.settings.domain }
	if !slices.ContainsFunc(allowed, local) {
		return pl.choose(c, allowed, func(*target) bool { return true })
	}
	shared := affinityParts(c.parts)
	preferred := pl.preferred(shared, allowed, func(*target) bool { return true })
	localPreferred := pl.preferred(shared, allowed, local)
	destination, leaves := x.share.Destination(c.id)
	var home, away, chosen bid
	for _, t := range allowed {
		first, cost := pl.cost(c, t, shared, t == preferred || t == localPreferred)
		switch {
		case local(t):
			home.improve(c, t, first, cost)
		case x.share.Takes(t.domain):
			away.improve(c, t, first, cost)
			if t.domain == destination {
				chosen.improve(c, t, first, cost)
			}
		}
	}
	if leaves && len(shared) > 0 {
		chosen = away // Engines of several domains may have cached its parts.
	}
	best := home
	switch {
	case chosen.target != nil && (pl.goal == 0 || chosen.first <= max(home.first, pl.goal/2)):
		best = chosen
	case away.target != nil && s.leavesHome(pl, c, home, away, shared, preferred):
		best = away
	}
	return best.target, best.first
}

// spilloverOf returns the share of the service, nil if its requests are placed without regard to failure domains.
func (s *State) spilloverOf(service *Service) *spilloverState {
	if service == nil {
		return nil
	}
	return s.spillovers[service.name]
}

// leavesHome reports whether a call that the share does not send away leaves nevertheless.
func (s *State) leavesHome(pl placement, c *Call, home, away bid, shared []PromptPart, preferred *target) bool {
	offer := func(b bid) spillover.Offer {
		var read time.Duration
		if pl.service.isEngine() {
			read = pl.rates(b.target).Prefill(pl.missing(c, b.target, shared, b.target == preferred))
		}
		wait := b.first
		if !b.target.expiredAt.IsZero() {
			wait += overflowCost
		}
		running := float64(b.target.ownLoad.running + b.target.peerLoad.running)
		return spillover.NewOffer(wait, read).WithState(running/float64(b.target.slots), b.target.health.decayedShare(s.now))
	}
	atHome, elsewhere := offer(home), offer(away)
	if spillover.Late(atHome, elsewhere, pl.goal) {
		return true
	}
	if len(shared) == 0 || !pl.service.isEngine() {
		return false
	}
	_, cost := pl.cost(c, home.target, shared, home.target == preferred)
	uses := s.partUses.count(shared[len(shared)-1].id, s.now) * float64(s.domainGateways)
	return away.cost < cost && spillover.WorthCrossing(atHome, elsewhere, uses, c.crossingBytes())
}

// crossingBytes returns the expected size of the call and of its answer.
func (c *Call) crossingBytes() int64 {
	if !c.sized {
		return int64(len(c.message.body)) + plainAnswerBytes
	}
	return int64(len(c.message.body)) + c.output*answerTokenBytes
}

// sharedTokens returns the tokens of the parts by which an engine is preferred.
func (c *Call) sharedTokens() int64 {
	return sumTokens(affinityParts(c.parts))
}

// mayCopy reports whether cached parts of the prompt may be copied from the one upstream to the other. A copy within a failure domain
// costs nothing.
func (s *State) mayCopy(c *Call, service *Service, from, to *target) bool {
	if from.domain == to.domain || s.spilloverOf(service) == nil {
		return true
	}
	tokens := c.sharedTokens()
	return spillover.WorthCopying(s.rates(to).Prefill(tokens), tokens*service.cacheTokenBytes)
}
