package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// tickTimer fires while there are rollouts.
const tickTimer rail.TimerName = "rollout.tick"

// keptVerdicts is the number of verdicts remembered for documents to come.
const keptVerdicts = 256

// Reducer moves the routes of one entry.
type Reducer struct {
	settings Settings
	domain   rail.Domain
	me       rail.Incarnation
	now      time.Time

	routes   map[rail.RouteName]*route
	verdicts map[key]*standing
	brakes   map[string]string
	ticking  bool

	hold hold

	caught  bool
	away    bool
	lastLog time.Time
	heard   map[rail.Domain]time.Time
	domains map[rail.Incarnation]rail.Domain
}

// New returns a part for the entry's incarnation in the domain.
func New(settings Settings, domain rail.Domain, me rail.Incarnation) *Reducer {
	return &Reducer{
		settings: settings,
		domain:   domain,
		me:       me,
		routes:   map[rail.RouteName]*route{},
		verdicts: map[key]*standing{},
		brakes:   map[string]string{},
		heard:    map[rail.Domain]time.Time{},
		domains:  map[rail.Incarnation]rail.Domain{},
		hold:     newHold(),
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

// Reduce implements rail.Part.
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
		p.hold.list(e.Instances())
	case rail.LoadRead:
		return p.count(p.hold.alive(e.Load().Instance(), e.Load().AsOf()))
	case rail.InstanceLeaving:
		p.hold.leave(e.Instance())
	case rail.LogRead:
		return p.log(e)
	case rail.LogAway:
		p.away = true
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return p.tick(in.Random())
		}
	}
	return nil
}

func (p *Reducer) observed(e Observed) []rail.Effect {
	r, ok := p.routes[e.route]
	if !ok || r.over() || (e.version != r.key.stable && e.version != r.key.version) {
		return nil
	}
	if e.version == r.key.stable {
		// At once: the old version's failures must never be the later ones to count.
		return p.count([]failure{{event: e}})
	}
	ready, counts := p.hold.take(e, p.now)
	effects := p.count(ready)
	if counts {
		effects = append(effects, p.count([]failure{{event: e}})...)
	}
	return effects
}

// count takes in requests whose outcome says something of their version.
func (p *Reducer) count(requests []failure) []rail.Effect {
	var effects []rail.Effect
	for _, f := range requests {
		r, ok := p.routes[f.event.route]
		if !ok || r.over() || (f.event.version != r.key.stable && f.event.version != r.key.version) {
			continue
		}
		r.observe(f.event, p.now, p.settings.settle)
		effects = append(effects, p.test(r)...)
	}
	return effects
}

// test brakes the rollout at once if its counts show a fault.
func (p *Reducer) test(r *route) []rail.Effect {
	if r.braked || r.over() {
		return nil
	}
	fault := r.fault(p.settings.falseRate)
	if fault == "" {
		return nil
	}
	effects := p.brake(r, fault)
	effects = append(effects, rail.NewPublish(rail.FactBrake, r.key.subject(), fault))
	return append(effects, p.decide(r, OutcomeRolledBack, fault)...)
}

func (p *Reducer) brake(r *route, reason string) []rail.Effect {
	r.braked, r.reason = true, reason
	r.settleShare(p.settings, p.caught)
	return []rail.Effect{rail.NewReport(rail.EventRolloutBraked, string(r.key.route), string(r.key.version)+" "+reason)}
}

// document keeps the rollouts that go on and starts those that are new.
func (p *Reducer) document(d rail.Document) []rail.Effect {
	routes := map[rail.RouteName]*route{}
	for _, o := range d.Rollouts() {
		t, ok := d.Route(o.Route())
		if !ok || t.Stable() == o.Version() {
			continue
		}
		k := newKey(t, o)
		r, ok := p.routes[o.Route()]
		if !ok || r.key != k {
			r = p.begin(k, o.Deadline())
		}
		routes[o.Route()] = r
	}
	p.routes = routes
	if len(routes) == 0 || p.ticking {
		return nil
	}
	p.ticking = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tick)}
}

// begin starts a rollout with what was learned of it before its document came into force.
func (p *Reducer) begin(k key, deadline time.Time) *route {
	r := newRoute(k, deadline, p.now)
	if s, ok := p.verdicts[k]; ok {
		r.standing = *s
	}
	if reason, ok := p.brakes[k.subject()]; ok {
		r.braked, r.reason = true, reason
	}
	r.settleShare(p.settings, p.caught)
	return r
}

// list learns which domains have entries, and which entry is in which.
func (p *Reducer) list(instances []rail.Instance) {
	clear(p.domains)
	for _, i := range instances {
		if i.Role() != rail.RoleEntry || i.Leaving() {
			continue
		}
		p.domains[i.Incarnation()] = i.Domain()
		if _, ok := p.heard[i.Domain()]; !ok {
			p.heard[i.Domain()] = p.now
		}
	}
}

// cutOff returns the domains that have not been heard of for a while.
func (p *Reducer) cutOff(now time.Time) []rail.Domain {
	var cut []rail.Domain
	for d, at := range p.heard {
		if d != p.domain && now.Sub(at) > p.settings.domainSilence {
			cut = append(cut, d)
		}
	}
	slices.Sort(cut)
	return cut
}

// connected reports whether the log has been read to its end a short while ago.
func (p *Reducer) connected() bool {
	return p.caught && !p.away && p.now.Sub(p.lastLog) <= p.settings.silence
}

func (p *Reducer) facts(facts []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range facts {
		if d, ok := p.domains[f.Key().Origin()]; ok {
			p.heard[d] = p.now
		}
		switch f.Key().Kind() {
		case rail.FactBrake:
			effects = append(effects, p.brakeFact(f)...)
		case rail.FactEvidence:
			effects = append(effects, p.evidenceFact(f)...)
		}
	}
	return effects
}

func (p *Reducer) brakeFact(f rail.Fact) []rail.Effect {
	p.keepBrake(f.Key().Subject(), f.Value())
	for _, r := range p.routes {
		if r.key.subject() == f.Key().Subject() && !r.braked {
			return p.brake(r, f.Value())
		}
	}
	return nil
}

// keepBrake remembers a brake, also for a document that is not yet in force.
func (p *Reducer) keepBrake(subject, reason string) {
	if len(p.brakes) >= keptVerdicts {
		for s := range p.brakes {
			if p.bySubject(s) == nil {
				delete(p.brakes, s)
			}
		}
	}
	p.brakes[subject] = reason
}

func (p *Reducer) evidenceFact(f rail.Fact) []rail.Effect {
	e, ok := parseEvidence(f.Value())
	if !ok || f.Key().Origin() == p.me {
		return nil
	}
	p.heard[e.domain] = p.now
	r := p.bySubject(f.Key().Subject())
	if r == nil {
		return nil
	}
	r.heard = true
	if e.start.Before(r.start) {
		r.start = e.start
	}
	if !r.over() {
		r.learn(f.Key().Origin(), e.tally, p.now)
	}
	effects := p.test(r)
	if e.verdict != nil && e.verdict.key() == r.key {
		effects = append(effects, p.stand(r.key, *e.verdict, e.offset, time.Time{})...)
	}
	if e.step > r.step && e.step < len(p.settings.steps) && p.connected() {
		r.climb(e.step, p.now)
	}
	r.settleShare(p.settings, p.caught)
	return effects
}

func (p *Reducer) bySubject(subject string) *route {
	for _, r := range p.routes {
		if r.key.subject() == subject {
			return r
		}
	}
	return nil
}

func (p *Reducer) log(e rail.LogRead) []rail.Effect {
	p.away, p.lastLog = false, p.now
	p.caught = p.caught || e.CaughtUp()
	var effects []rail.Effect
	for _, record := range e.Records() {
		if record.Kind() != rail.RecordVerdict {
			continue
		}
		var v verdict
		if json.Unmarshal(record.Body(), &v) != nil || v.Outcome == OutcomeNone {
			continue
		}
		effects = append(effects, p.stand(v.key(), v, record.Offset(), record.At())...)
	}
	for _, r := range p.routes {
		r.settleShare(p.settings, p.caught)
	}
	return effects
}
