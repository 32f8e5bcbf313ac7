package gateway

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// rollout is a rollout in progress. A small share of the requests goes to the
// new version until there is enough evidence in its favour. Then the traffic
// moves in steps, so that a fault that shows late, or under load, shows before
// most of it has moved, and that cold upstreams do not get all of it at once.
type rollout struct {
	RolloutOrder
	// earlierIDs are those that the order had before the store was restored.
	earlierIDs []OrderID
	startedAt  time.Time
	steps      int // how many of rolloutSteps have been taken
	steppedAt  time.Time
	// speedAtStep holds the version's answers before the last step.
	speedAtStep speed
	// tallied holds the version's tallies at the evaluations of the last recentTime.
	tallied []talliedAt
	// proven reports whether there is enough evidence for the first step.
	proven bool
	moved  bool // all traffic goes to the new version
	bad    bool
}

const (
	// trialShare is the share of the allowed exposure that a version on trial gets until there is enough evidence for a step,
	// provenShare the share from then on: more good answers tell nothing of faults that show late.
	trialShare  = 0.6
	provenShare = 0.2
	// movePeriodShare is the share of the period after which all traffic may move. It moves earlier if less than moveMargin, besides
	// the drain time, would be left to the deadline.
	movePeriodShare = 0.75
	moveMargin      = 1250 * time.Millisecond
	// minStepShare is the least time between two steps, as a share of the time until all traffic may move.
	minStepShare = 0.09
	// minEvidence is the number of good answers needed for a good verdict.
	minEvidence = 20
	// minBadAnswers is the number of bad answers from which their share is evaluated.
	minBadAnswers = 5
	// badExcess is by how much the share of bad answers must exceed that of the other versions for a bad verdict.
	badExcess = 0.1
	// recentTime is the time over which the latest answers are evaluated by themselves, so that a version that turns bad is found
	// however many good answers it gave before.
	recentTime = 500 * time.Millisecond
	// minManyBad and manyExcess take the place of minBadAnswers and badExcess for the latest answers, and for all requests together with
	// those that broke off: the loss of a failure domain breaks off many requests at once.
	minManyBad = 10
	manyExcess = 0.3
	// supersededHold is how long after a restore of the store an order that a later one had superseded has no effect: the operator
	// writes the later one again.
	supersededHold = 10 * time.Second
	// drainTime is the time for requests on the old version to complete before it is stopped.
	drainTime = 2500 * time.Millisecond
)

// rolloutSteps are the shares of the requests in the steps by which the traffic moves to a version. Each step may be taken from a
// share of the time on after which all traffic may move.
var rolloutSteps = []struct{ from, share float64 }{{0.8, 0.1}, {0.9, 0.4}, {1, 1}}

// moveTime returns the time from the order on after which all traffic may move.
func (r *rollout) moveTime() time.Duration {
	return min(time.Duration(movePeriodShare*float64(r.period)), r.period-drainTime-moveMargin)
}

// requestShare returns the share of the requests that the version gets.
func (r *rollout) requestShare(exposeShare float64) float64 {
	switch {
	case r.steps == 0 && r.proven:
		return provenShare * exposeShare
	case r.steps == 0:
		return trialShare * exposeShare
	}
	return rolloutSteps[r.steps-1].share
}

// stepDue reports whether enough of the period has passed for the next step.
func (r *rollout) stepDue(now time.Time) bool {
	if r.moved {
		return false
	}
	from := rolloutSteps[r.steps].from * float64(r.moveTime())
	spacing := minStepShare * float64(r.moveTime())
	return float64(now.Sub(r.startedAt)) > from && float64(now.Sub(r.steppedAt)) >= spacing
}

// step takes the next step; before holds the version's answers until now.
func (r *rollout) step(now time.Time, before speed) {
	r.steps++
	r.steppedAt, r.speedAtStep = now, before
	r.moved = r.steps == len(rolloutSteps)
}

func (s *State) rolloutRead(o RolloutOrder) []Effect {
	previous, ok := s.rollouts[o.service]
	if ok && s.repeats(previous, o) {
		effects := s.endRollout(previous, o.state, "store")
		return append(effects, s.adoptID(previous, o.id)...)
	}
	k := versionKey{service: o.service, version: o.target}
	restored := s.now.Sub(s.registry.storeRestoredAt) < supersededHold
	if (ok && o.id.compare(previous.id) < 0) || (s.superseded[k] && restored) {
		return nil
	}
	if ok {
		s.superseded[versionKey{service: o.service, version: previous.target}] = true
	}
	delete(s.superseded, k)
	r := &rollout{RolloutOrder: o, startedAt: s.now}
	r.end(o.state)
	// A version that serves already has no other one to be compared with.
	r.moved = r.moved || (ok && previous.target == o.target && previous.state == RolloutDone)
	s.rollouts[o.service] = r
	s.dropEvidence(r)
	effects := []Effect{report(rail.EventRolloutOrdered, NewField("service", o.service), NewField("version", o.target), NewField("periodMs", o.period.Milliseconds()), NewField("state", string(o.state)),
		NewField("era", o.id.era), NewField("order", o.id.number))}
	if status, known := s.rolloutStatuses[o.service]; known && status.concerns(o) && (!ok || status.order == o.id) {
		effects = append(effects, s.endRollout(r, status.state, "store")...) // A running gateway may have read it long ago.
	}
	effects = append(effects, s.applyKnownVerdict(r)...)
	if state, known := s.verdicts[k]; known && !ok { // A verdict without an order's id is on the first one that this gateway reads.
		effects = append(effects, s.endRollout(r, state, "peer")...)
	}
	return effects
}

// repeats reports whether the order that was read is the rollout's: the store was restored and holds its record at the same offset,
// or the operator has written it again.
func (s *State) repeats(r *rollout, o RolloutOrder) bool {
	switch {
	case r.target != o.target:
		return false
	case o.id == r.id || !o.id.Known() || !r.id.Known():
		return true
	case o.id.era > r.id.era:
		return o.id.number == r.id.number || s.now.Sub(s.registry.storeRestoredAt) < supersededHold
	default:
		return r.state == RolloutRunning && !r.bad && r.period == o.period
	}
}

// adoptID gives the rollout a later id of its order.
func (s *State) adoptID(r *rollout, id OrderID) []Effect {
	if id.compare(r.id) <= 0 {
		return nil
	}
	r.earlierIDs = append(r.earlierIDs, r.id)
	r.id = id
	versions, speeds := s.versions, s.speeds
	s.versions, s.speeds = make(map[versionKey]tally, len(versions)), make(map[speedKey]speed, len(speeds))
	for k, t := range versions {
		if k.service == r.service {
			k.order = id
		}
		s.versions[k] = t
	}
	for k, v := range speeds {
		if k.service == r.service {
			k.order = id
		}
		s.speeds[k] = v
	}
	return s.applyKnownVerdict(r)
}

// hasID reports whether the id is one of the rollout's order; unknown ones are those of gateways that know one order of each version.
func (r *rollout) hasID(id OrderID) bool {
	return !id.Known() || id == r.id || slices.Contains(r.earlierIDs, id)
}

// applyKnownVerdict applies the verdict on the rollout's order that a peer reported before the order was read.
func (s *State) applyKnownVerdict(r *rollout) []Effect {
	if state, known := s.verdicts[versionKey{r.service, r.target, r.id}]; known && r.id.Known() {
		return s.endRollout(r, state, "peer")
	}
	return nil
}

// dropEvidence drops what is known of the service's earlier orders: a version that served well may fail when it is ordered again.
func (s *State) dropEvidence(r *rollout) {
	earlier := func(service string, id OrderID) bool {
		return service == r.service && id.Known() && id.compare(r.id) < 0
	}
	maps.DeleteFunc(s.versions, func(k versionKey, _ tally) bool { return earlier(k.service, k.order) })
	maps.DeleteFunc(s.speeds, func(k speedKey, _ speed) bool { return earlier(k.service, k.order) })
	maps.DeleteFunc(s.verdicts, func(k versionKey, _ RolloutState) bool { return earlier(k.service, k.order) })
}

// rolloutStatusRead applies a state that a holder of the duties has reported; it stands for an order that is read later too.
func (s *State) rolloutStatusRead(status RolloutStatus) []Effect {
	s.rolloutStatuses[status.service] = status
	if r := s.rollouts[status.service]; r != nil && status.concerns(r.RolloutOrder) {
		return s.endRollout(r, status.state, "store")
	}
	return nil
}

// end applies the verdict that the holder of the duties reported.
func (r *rollout) end(state RolloutState) {
	r.state, r.bad, r.moved = state, state == RolloutRolledBack, state == RolloutDone
}

// endRollout applies the verdict to a running rollout. A verdict that gateways reached by themselves, from their evidence, stops
// requests to the version but does not end the rollout: the holder of the duties may report it as done meanwhile.
func (s *State) endRollout(r *rollout, state RolloutState, source string) []Effect {
	if r.state != RolloutRunning || state == RolloutRunning {
		return nil
	}
	switch {
	case source == "store" || state == RolloutDone:
		r.end(state)
	case r.bad:
		return nil
	default:
		r.bad, r.moved = true, false
	}
	return []Effect{report(rail.EventRolloutVerdict, NewField("service", r.service), NewField("version", r.target), NewField("state", string(state)), NewField("source", source))}
}

// verdicts are the ends of rollouts by version and order.
type verdicts map[versionKey]RolloutState

// add adds a verdict and reports whether it is news. Once a version is done its predecessor is stopped, so that this stands
// against all other verdicts.
func (v verdicts) add(k versionKey, state RolloutState) bool {
	if v[k] == state || v[k] == RolloutDone {
		return false
	}
	v[k] = state
	return true
}

// addIdentified adds the verdicts whose orders are known. The others are passed on by none but the gateways that reached them, since
// they would be taken for verdicts on later orders.
func (v verdicts) addIdentified(o verdicts) {
	for k, state := range o {
		if k.order.Known() {
			v.add(k, state)
		}
	}
}

// knownVerdicts returns the verdicts that this gateway knows of its own rollouts and from peers.
func (s *State) knownVerdicts() verdicts {
	known := verdicts{}
	known.addIdentified(s.verdicts)
	for _, r := range s.rollouts {
		k := versionKey{r.service, r.target, r.id}
		switch {
		case r.state == RolloutDone:
			known.add(k, RolloutDone)
		case r.bad:
			known.add(k, RolloutRolledBack)
		}
	}
	return known
}

// applyVerdicts applies the verdicts of a peer, which a gateway that started later has no evidence for.
func (s *State) applyVerdicts(d Digest) []Effect {
	var effects []Effect
	for k, state := range d.verdicts {
		if !s.verdicts.add(k, state) {
			continue
		}
		if r := s.rollouts[k.service]; r != nil && r.target == k.version && r.hasID(k.order) {
			effects = append(effects, s.endRollout(r, state, d.gateway)...)
		}
	}
	return effects
}

// tallies returns the tallies of the target and of all other versions, over all gateways.
func (s *State) tallies(r *rollout) (target, others tally) {
	add := func(vs map[versionKey]tally) {
		for k, t := range vs {
			switch {
			case k.service != r.service || !r.hasID(k.order):
			case k.version == r.target:
				target.add(t)
			default:
				others.add(t)
			}
		}
	}
	add(s.versions)
	for _, p := range s.peers {
		add(p.digest.versions)
	}
	return target, others
}

// tickRollouts evaluates the evidence of each running rollout.
func (s *State) tickRollouts() []Effect {
	var effects []Effect
	for _, r := range s.rollouts {
		if r.state != RolloutRunning || r.bad {
			continue
		}
		target, others := s.tallies(r)
		speeds := s.speedsOf(r)
		recent := r.recent(s.now, target)
		if fails(target, recent, others) || speeds.slow(r.speedAtStep) {
			r.bad, r.moved = true, false
			effects = append(effects, report(rail.EventRolloutVerdict, NewField("service", r.service), NewField("version", r.target), NewField("state", string(RolloutRolledBack)),
				NewField("good", target.good), NewField("bad", target.bad), NewField("brokenOff", target.brokenOff), NewField("recentGood", recent.good), NewField("recentBad", recent.bad), NewField("othersGood", others.good), NewField("othersBad", others.bad), NewField("slowness", speeds.slowness())))
			continue
		}
		r.proven = r.proven || target.good >= minEvidence
		if r.stepDue(s.now) && r.proven && speeds.tolerable(r.speedAtStep) {
			r.step(s.now, speeds.all.target)
			effects = append(effects, report(rail.EventRolloutStep, NewField("service", r.service), NewField("version", r.target),
				NewField("share", r.requestShare(s.settings.exposeShare)), NewField("good", target.good), NewField("bad", target.bad)))
		}
	}
	return effects
}

// talliedAt is a tally at a time.
type talliedAt struct {
	tally
	at time.Time
}

// recent adds the tally of all answers until now, and returns that of the answers since recentTime ago.
func (r *rollout) recent(now time.Time, target tally) tally {
	r.tallied = append(r.tallied, talliedAt{target, now})
	for len(r.tallied) > 1 && now.Sub(r.tallied[1].at) >= recentTime {
		r.tallied = r.tallied[1:]
	}
	before := r.tallied[0]
	// The tallies of a gateway that is silent for long are dropped.
	return tally{good: max(0, target.good-before.good), bad: max(0, target.bad-before.bad)}
}

// fails reports whether the target version fails more often than the others, by all of its answers or the recent ones.
func fails(target, recent, others tally) bool {
	return isBad(target, others, minBadAnswers, badExcess) || isBad(recent, others, minManyBad, manyExcess) ||
		isBad(target.withBrokenOff(), others.withBrokenOff(), minManyBad, manyExcess)
}

// isBad reports whether the target version gave minBad bad answers at least and fails more often than the others by the excess.
func isBad(target, others tally, minBad int64, excess float64) bool {
	n := target.good + target.bad
	if target.bad < minBad || n == 0 {
		return false
	}
	old := 0.0
	if m := others.good + others.bad; m > 0 {
		old = float64(others.bad) / float64(m)
	}
	return float64(target.bad)/float64(n) > old+excess
}

// DigestInterval returns the time between two exchanges of digests with the same peer. It is shorter in a small fleet while most
// traffic moves to a version, since all of it may meet a fault that one gateway alone has too little evidence of.
func (s *State) DigestInterval() time.Duration {
	for _, r := range s.rollouts {
		if s.cells == nil && r.state == RolloutRunning && r.steps > 0 && !r.bad {
			return moveDigestInterval
		}
	}
	return digestInterval
}

const (
	// digestInterval is the time between two exchanges with the same peer, moveDigestInterval that while traffic moves to a version.
	digestInterval     = 400 * time.Millisecond
	moveDigestInterval = 100 * time.Millisecond
)

// Verdicts returns the orders that are running in the store with the state to store now, by service.
func (s *State) Verdicts() map[string]RolloutOrder {
	verdicts := map[string]RolloutOrder{}
	for name, r := range s.rollouts {
		if r.state != RolloutRunning {
			continue
		}
		o := r.RolloutOrder
		switch {
		case r.bad:
			o.state = RolloutRolledBack
		case r.moved && s.now.Sub(r.steppedAt) >= drainTime:
			o.state = RolloutDone
		case !r.moved && s.now.Sub(r.startedAt) > r.period-time.Second:
			o.state = RolloutRolledBack
		}
		verdicts[name] = o
	}
	return verdicts
}

// EndedRollouts returns the orders that have ended in the store, with their states, by service.
func (s *State) EndedRollouts() map[string]RolloutOrder {
	ended := map[string]RolloutOrder{}
	for name, r := range s.rollouts {
		if r.state != RolloutRunning {
			ended[name] = r.RolloutOrder
		}
	}
	return ended
}

// versionRule decides which versions may serve a call.
type versionRule struct {
	rollout *rollout
	trial   bool // the call is one of those that the new version gets
}

// versionRuleFor returns the rule for the call; a hash of its id decides whether it tries the new version.
func (s *State) versionRuleFor(service string, c *Call) versionRule {
	r := s.rollouts[service]
	if r == nil {
		return versionRule{}
	}
	const hashBuckets = 10_000
	share := r.requestShare(s.settings.exposeShare)
	return versionRule{rollout: r, trial: float64(hashWeight(c.id, r.target)%hashBuckets) < share*hashBuckets}
}

func (v versionRule) allows(t *target) bool {
	if v.rollout == nil {
		return true
	}
	isTarget := t.version == v.rollout.target
	switch {
	case v.rollout.bad:
		return !isTarget
	case v.rollout.moved:
		return isTarget
	default:
		return isTarget == v.trial
	}
}

// allowsFallback reports whether the upstream may be used if there is none that the rule allows.
func (v versionRule) allowsFallback(t *target) bool {
	return v.rollout == nil || t.version != v.rollout.target || v.rollout.moved
}

// trackVersion makes the attempt's outcome count for the upstream's version if the service has a rollout.
func (s *State) trackVersion(p *pendingCall, t *target) {
	if r := s.rollouts[t.service]; r != nil {
		p.version = versionKey{t.service, t.version, r.id}
	}
}

// recordVersionOutcome records the outcome of an attempt that ended at the time for the upstream's version.
func (s *State) recordVersionOutcome(p pendingCall, o Outcome, at time.Time) {
	k, ok := s.presentKey(p.version)
	if !ok {
		return
	}
	kind := o.upstreamKind()
	v := s.versions[k]
	switch {
	case kind == rail.KindCancelled:
	case kind == rail.KindNone && at.Sub(p.sentAt) < slowFactor*max(p.route.goal, time.Millisecond):
		v.good++
	case kind.Reply().Run() == rail.NotRun:
	case o.brokenOff():
		v.brokenOff++
	default:
		v.bad++
	}
	s.versions[k] = v
}

// presentKey returns the key under which an attempt counts that was sent under the given one, false if its order was replaced.
func (s *State) presentKey(k versionKey) (versionKey, bool) {
	r := s.rollouts[k.service]
	if r == nil || !r.hasID(k.order) {
		return versionKey{}, false
	}
	k.order = r.id
	return k, true
}

// slowFactor is the multiple of its goal that an answer may take and still count as good.
const slowFactor = 4
