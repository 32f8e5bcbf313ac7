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

	rollouts     map[rail.RouteName]*rolloutState
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
		rollouts:     map[rail.RouteName]*rolloutState{},
		verdicts:     map[key]*standingVerdict{},
		brakeReasons: map[string]string{},
		lastReceived: map[rail.Domain]time.Time{},
		domainOf:     map[rail.Incarnation]rail.Domain{},
		failures:     newFailureBuffer(),
	}
}

// Pick implements rail.VersionPicker.
func (r *Reducer) Pick(route rail.Route, request rail.RequestID) rail.Version {
	state, ok := r.rollouts[route.Name()]
	if !ok || state.share == 0 || position(state.seed, request) >= state.share {
		return route.Stable()
	}
	return state.key.version
}

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	r.now = in.At()
	switch e := in.Event().(type) {
	case Observed:
		return r.observed(e)
	case rail.DocumentInForce:
		return r.document(e.Document())
	case rail.FactsLearned:
		return r.facts(e.Facts())
	case rail.ListRead:
		r.list(e.Instances())
		r.failures.discardUnlisted(e.Instances())
	case rail.LoadRead:
		return r.count(r.failures.release(e.Load().Instance(), e.Load().AsOf()))
	case rail.InstanceLeaving:
		r.failures.discardLeaving(e.Instance())
	case rail.LogRead:
		return r.log(e)
	case rail.LogUnavailable:
		r.logUnavailable = true
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return r.tick(in.Random())
		}
	}
	return nil
}

func (r *Reducer) observed(e Observed) []rail.Effect {
	state, ok := r.rollouts[e.route]
	if !ok || state.final() || (e.version != state.key.stable && e.version != state.key.version) {
		return nil
	}
	if e.version == state.key.stable {
		// Not buffered, because failures of the old version must never be counted later than those of the new one.
		return r.count([]failure{{event: e}})
	}
	ready, counts := r.failures.observe(e, r.now)
	effects := r.count(ready)
	if counts {
		effects = append(effects, r.count([]failure{{event: e}})...)
	}
	return effects
}

// count adds requests whose result is evidence about their version.
func (r *Reducer) count(requests []failure) []rail.Effect {
	var effects []rail.Effect
	for _, f := range requests {
		state, ok := r.rollouts[f.event.route]
		if !ok || state.final() || (f.event.version != state.key.stable && f.event.version != state.key.version) {
			continue
		}
		state.observe(f.event, r.now, r.settings.settleTime)
		effects = append(effects, r.brakeOnFault(state)...)
	}
	return effects
}

// brakeOnFault brakes the rollout immediately if its counts show a fault.
func (r *Reducer) brakeOnFault(state *rolloutState) []rail.Effect {
	if state.braked || state.final() {
		return nil
	}
	fault := state.fault(r.settings.falseAlarmRate)
	if fault == "" {
		return nil
	}
	effects := r.brake(state, fault)
	effects = append(effects, rail.NewPublish(rail.FactBrake, state.key.subject(), fault))
	return append(effects, r.appendVerdict(state, OutcomeRolledBack, fault)...)
}

func (r *Reducer) brake(state *rolloutState, reason string) []rail.Effect {
	state.braked, state.reason = true, reason
	state.updateShare(r.settings, r.caughtUp)
	return []rail.Effect{rail.NewReport(rail.EventRolloutBraked, string(state.key.route), string(state.key.version)+" "+reason)}
}

// document continues the rollouts that are unchanged and starts the new ones.
func (r *Reducer) document(d rail.Document) []rail.Effect {
	rollouts := map[rail.RouteName]*rolloutState{}
	for _, rollout := range d.Rollouts() {
		target, ok := d.Route(rollout.Route())
		if !ok || target.Stable() == rollout.Version() {
			continue
		}
		k := newKey(target, rollout)
		state, ok := r.rollouts[rollout.Route()]
		if !ok || state.key != k {
			state = r.begin(k, rollout.Deadline())
		}
		rollouts[rollout.Route()] = state
	}
	r.rollouts = rollouts
	if len(rollouts) == 0 || r.timerSet {
		return nil
	}
	r.timerSet = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, r.settings.tickInterval)}
}

// begin starts a rollout with the verdict and the brake that were received before its document came into force.
func (r *Reducer) begin(k key, deadline time.Time) *rolloutState {
	state := newRolloutState(k, deadline, r.now)
	if s, ok := r.verdicts[k]; ok {
		state.standing = *s
	}
	if reason, ok := r.brakeReasons[k.subject()]; ok {
		state.braked, state.reason = true, reason
	}
	state.updateShare(r.settings, r.caughtUp)
	return state
}

// list applies an instance list: the domain of each entry, and the domains with entries.
func (r *Reducer) list(instances []rail.Instance) {
	clear(r.domainOf)
	for _, i := range instances {
		if i.Role() != rail.RoleEntry || i.Leaving() {
			continue
		}
		r.domainOf[i.Incarnation()] = i.Domain()
		if _, ok := r.lastReceived[i.Domain()]; !ok {
			r.lastReceived[i.Domain()] = r.now
		}
	}
}

// unreachableDomains returns the other domains from which nothing was received for the domain timeout.
func (r *Reducer) unreachableDomains(now time.Time) []rail.Domain {
	var unreachable []rail.Domain
	for d, at := range r.lastReceived {
		if d != r.domain && now.Sub(at) > r.settings.domainTimeout {
			unreachable = append(unreachable, d)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// logConnected reports whether the log has been read to its end once and the last read is recent.
func (r *Reducer) logConnected() bool {
	return r.caughtUp && !r.logUnavailable && r.now.Sub(r.lastLogRead) <= r.settings.logTimeout
}

func (r *Reducer) facts(facts []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range facts {
		if d, ok := r.domainOf[f.Key().Origin()]; ok {
			r.lastReceived[d] = r.now
		}
		switch f.Key().Kind() {
		case rail.FactBrake:
			effects = append(effects, r.applyBrake(f)...)
		case rail.FactEvidence:
			effects = append(effects, r.applyEvidence(f)...)
		}
	}
	return effects
}

func (r *Reducer) applyBrake(f rail.Fact) []rail.Effect {
	r.recordBrake(f.Key().Subject(), f.Value())
	for _, state := range r.rollouts {
		if state.key.subject() == f.Key().Subject() && !state.braked {
			return r.brake(state, f.Value())
		}
	}
	return nil
}

// recordBrake stores a brake, also for a document that is not in force yet.
func (r *Reducer) recordBrake(subject, reason string) {
	if len(r.brakeReasons) >= maxVerdicts {
		for s := range r.brakeReasons {
			if r.rolloutBySubject(s) == nil {
				delete(r.brakeReasons, s)
			}
		}
	}
	r.brakeReasons[subject] = reason
}

func (r *Reducer) applyEvidence(f rail.Fact) []rail.Effect {
	e, ok := parseEvidence(f.Value())
	if !ok || f.Key().Origin() == r.self {
		return nil
	}
	r.lastReceived[e.domain] = r.now
	state := r.rolloutBySubject(f.Key().Subject())
	if state == nil {
		return nil
	}
	state.evidenceReceived = true
	if e.startedAt.Before(state.startedAt) {
		state.startedAt = e.startedAt
	}
	if !state.final() {
		state.applyTally(f.Key().Origin(), e.tally, r.now)
	}
	effects := r.brakeOnFault(state)
	if e.verdict != nil && e.verdict.key() == state.key {
		effects = append(effects, r.applyVerdict(state.key, *e.verdict, e.offset, time.Time{})...)
	}
	if e.step > state.step && e.step < len(r.settings.steps) && r.logConnected() {
		state.setStep(e.step, r.now)
	}
	state.updateShare(r.settings, r.caughtUp)
	return effects
}

func (r *Reducer) rolloutBySubject(subject string) *rolloutState {
	for _, state := range r.rollouts {
		if state.key.subject() == subject {
			return state
		}
	}
	return nil
}

func (r *Reducer) log(e rail.LogRead) []rail.Effect {
	r.logUnavailable, r.lastLogRead = false, r.now
	r.caughtUp = r.caughtUp || e.CaughtUp()
	var effects []rail.Effect
	for _, record := range e.Records() {
		if record.Kind() != rail.RecordVerdict {
			continue
		}
		var v verdict
		if json.Unmarshal(record.Body(), &v) != nil || v.Outcome == OutcomeNone {
			continue
		}
		effects = append(effects, r.applyVerdict(v.key(), v, record.Offset(), record.At())...)
	}
	for _, state := range r.rollouts {
		state.updateShare(r.settings, r.caughtUp)
	}
	return effects
}
