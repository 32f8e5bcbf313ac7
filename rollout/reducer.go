package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// tickTimer fires while there are rollouts.
const tickTimer rail.TimerName = "rollout.tick"

// maxVerdicts is the maximum number of verdicts kept, including those for documents that are not in force yet.
const maxVerdicts = 256

// Reducer decides the rollouts at one entry and assigns requests to versions.
type Reducer struct {
	settings Settings
	domain   rail.Domain
	self     rail.Incarnation
	now      time.Time

	routes       map[rail.RouteName]*route
	verdicts     map[key]*standingVerdict
	brakeReasons map[string]string
	timerSet     bool

	failures failureBuffer

	caughtUp       bool
	logUnavailable bool
	lastLogRead    time.Time
	lastReceived   map[rail.Domain]time.Time
	domainOf       map[rail.Incarnation]rail.Domain
}

// New returns a reducer for the entry's incarnation in the failure domain.
func New(settings Settings, domain rail.Domain, self rail.Incarnation) *Reducer {
	return &Reducer{
		settings:     settings,
		domain:       domain,
		self:         self,
		routes:       map[rail.RouteName]*route{},
		verdicts:     map[key]*standingVerdict{},
		brakeReasons: map[string]string{},
		lastReceived: map[rail.Domain]time.Time{},
		domainOf:     map[rail.Incarnation]rail.Domain{},
		failures:     newFailureBuffer(),
	}
}

// Pick implements rail.VersionPicker.
func (p *Reducer) Pick(route rail.Route, request rail.RequestID) rail.Version {
	r, ok := p.routes[route.Name()]
	if !ok || r.share == 0 || position(r.seed, request) >= r.share {
		return route.Stable()
	}
	return r.key.version
}

// Reduce implements rail.Reducer.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case Observed:
		return p.observed(e)
	case rail.DocumentInForce:
		return p.document(e.Document())
	case rail.FactsLearned:
		return p.facts(e.Facts())
	case rail.ListRead:
		p.list(e.Instances())
		p.failures.discardUnlisted(e.Instances())
	case rail.LoadRead:
		return p.count(p.failures.release(e.Load().Instance(), e.Load().AsOf()))
	case rail.InstanceLeaving:
		p.failures.discardLeaving(e.Instance())
	case rail.LogRead:
		return p.log(e)
	case rail.LogUnavailable:
		p.logUnavailable = true
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return p.tick(in.Random())
		}
	}
	return nil
}

func (p *Reducer) observed(e Observed) []rail.Effect {
	r, ok := p.routes[e.route]
	if !ok || r.final() || (e.version != r.key.stable && e.version != r.key.version) {
		return nil
	}
	if e.version == r.key.stable {
		// Not buffered, because failures of the old version must never be counted later than those of the new one.
		return p.count([]failure{{event: e}})
	}
	ready, counts := p.failures.observe(e, p.now)
	effects := p.count(ready)
	if counts {
		effects = append(effects, p.count([]failure{{event: e}})...)
	}
	return effects
}

// count adds requests whose result is evidence about their version.
func (p *Reducer) count(requests []failure) []rail.Effect {
	var effects []rail.Effect
	for _, f := range requests {
		r, ok := p.routes[f.event.route]
		if !ok || r.final() || (f.event.version != r.key.stable && f.event.version != r.key.version) {
			continue
		}
		r.observe(f.event, p.now, p.settings.settleTime)
		effects = append(effects, p.brakeOnFault(r)...)
	}
	return effects
}

// brakeOnFault brakes the rollout immediately if its counts show a fault.
func (p *Reducer) brakeOnFault(r *route) []rail.Effect {
	if r.braked || r.final() {
		return nil
	}
	fault := r.fault(p.settings.falseAlarmRate)
	if fault == "" {
		return nil
	}
	effects := p.brake(r, fault)
	effects = append(effects, rail.NewPublish(rail.FactBrake, r.key.subject(), fault))
	return append(effects, p.appendVerdict(r, OutcomeRolledBack, fault)...)
}

func (p *Reducer) brake(r *route, reason string) []rail.Effect {
	r.braked, r.reason = true, reason
	r.updateShare(p.settings, p.caughtUp)
	return []rail.Effect{rail.NewReport(rail.EventRolloutBraked, string(r.key.route), string(r.key.version)+" "+reason)}
}

// document continues the rollouts that are unchanged and starts the new ones.
func (p *Reducer) document(d rail.Document) []rail.Effect {
	routes := map[rail.RouteName]*route{}
	for _, rollout := range d.Rollouts() {
		target, ok := d.Route(rollout.Route())
		if !ok || target.Stable() == rollout.Version() {
			continue
		}
		k := newKey(target, rollout)
		r, ok := p.routes[rollout.Route()]
		if !ok || r.key != k {
			r = p.begin(k, rollout.Deadline())
		}
		routes[rollout.Route()] = r
	}
	p.routes = routes
	if len(routes) == 0 || p.timerSet {
		return nil
	}
	p.timerSet = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tickInterval)}
}

// begin starts a rollout with the verdict and the brake that were received before its document came into force.
func (p *Reducer) begin(k key, deadline time.Time) *route {
	r := newRoute(k, deadline, p.now)
	if s, ok := p.verdicts[k]; ok {
		r.standing = *s
	}
	if reason, ok := p.brakeReasons[k.subject()]; ok {
		r.braked, r.reason = true, reason
	}
	r.updateShare(p.settings, p.caughtUp)
	return r
}

// list applies an instance list: the domain of each entry, and the domains with entries.
func (p *Reducer) list(instances []rail.Instance) {
	clear(p.domainOf)
	for _, i := range instances {
		if i.Role() != rail.RoleEntry || i.Leaving() {
			continue
		}
		p.domainOf[i.Incarnation()] = i.Domain()
		if _, ok := p.lastReceived[i.Domain()]; !ok {
			p.lastReceived[i.Domain()] = p.now
		}
	}
}

// unreachableDomains returns the other domains from which nothing was received for the domain timeout.
func (p *Reducer) unreachableDomains(now time.Time) []rail.Domain {
	var unreachable []rail.Domain
	for d, at := range p.lastReceived {
		if d != p.domain && now.Sub(at) > p.settings.domainTimeout {
			unreachable = append(unreachable, d)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// logConnected reports whether the log has been read to its end once and the last read is recent.
func (p *Reducer) logConnected() bool {
	return p.caughtUp && !p.logUnavailable && p.now.Sub(p.lastLogRead) <= p.settings.logTimeout
}

func (p *Reducer) facts(facts []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range facts {
		if d, ok := p.domainOf[f.Key().Origin()]; ok {
			p.lastReceived[d] = p.now
		}
		switch f.Key().Kind() {
		case rail.FactBrake:
			effects = append(effects, p.applyBrake(f)...)
		case rail.FactEvidence:
			effects = append(effects, p.applyEvidence(f)...)
		}
	}
	return effects
}

func (p *Reducer) applyBrake(f rail.Fact) []rail.Effect {
	p.recordBrake(f.Key().Subject(), f.Value())
	for _, r := range p.routes {
		if r.key.subject() == f.Key().Subject() && !r.braked {
			return p.brake(r, f.Value())
		}
	}
	return nil
}

// recordBrake stores a brake, also for a document that is not in force yet.
func (p *Reducer) recordBrake(subject, reason string) {
	if len(p.brakeReasons) >= maxVerdicts {
		for s := range p.brakeReasons {
			if p.routeBySubject(s) == nil {
				delete(p.brakeReasons, s)
			}
		}
	}
	p.brakeReasons[subject] = reason
}

func (p *Reducer) applyEvidence(f rail.Fact) []rail.Effect {
	e, ok := parseEvidence(f.Value())
	if !ok || f.Key().Origin() == p.self {
		return nil
	}
	p.lastReceived[e.domain] = p.now
	r := p.routeBySubject(f.Key().Subject())
	if r == nil {
		return nil
	}
	r.evidenceReceived = true
	if e.startedAt.Before(r.startedAt) {
		r.startedAt = e.startedAt
	}
	if !r.final() {
		r.applyTally(f.Key().Origin(), e.tally, p.now)
	}
	effects := p.brakeOnFault(r)
	if e.verdict != nil && e.verdict.key() == r.key {
		effects = append(effects, p.applyVerdict(r.key, *e.verdict, e.offset, time.Time{})...)
	}
	if e.step > r.step && e.step < len(p.settings.steps) && p.logConnected() {
		r.setStep(e.step, p.now)
	}
	r.updateShare(p.settings, p.caughtUp)
	return effects
}

func (p *Reducer) routeBySubject(subject string) *route {
	for _, r := range p.routes {
		if r.key.subject() == subject {
			return r
		}
	}
	return nil
}

func (p *Reducer) log(e rail.LogRead) []rail.Effect {
	p.logUnavailable, p.lastLogRead = false, p.now
	p.caughtUp = p.caughtUp || e.CaughtUp()
	var effects []rail.Effect
	for _, record := range e.Records() {
		if record.Kind() != rail.RecordVerdict {
			continue
		}
		var v verdict
		if json.Unmarshal(record.Body(), &v) != nil || v.Outcome == OutcomeNone {
			continue
		}
		effects = append(effects, p.applyVerdict(v.key(), v, record.Offset(), record.At())...)
	}
	for _, r := range p.routes {
		r.updateShare(p.settings, p.caughtUp)
	}
	return effects
}
