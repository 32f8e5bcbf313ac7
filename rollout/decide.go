package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	// appendRetryInterval is the time after which a verdict that was not read back is appended again.
	appendRetryInterval = 5 * time.Second
	// takeoverTicks is the number of ticks for which an entry leaves the append of a verdict to other entries.
	takeoverTicks = 5
	// publishersPerTick is the approximate number of entries that publish their evidence in each tick.
	publishersPerTick = 32
)

// pending is a verdict that this entry proposes and has not read back.
type pending struct {
	verdict     verdict
	appendedAt  time.Time
	waitedTicks int
}

// tick publishes the evidence and makes the decisions that are due.
func (r *Reducer) tick(random uint64) []rail.Effect {
	if len(r.rollouts) == 0 {
		r.timerSet = false
		return nil
	}
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, r.settings.tickInterval)}
	effects = append(effects, r.count(r.failures.releaseExpired(r.now))...)
	for _, state := range r.sortedRollouts() {
		effects = append(effects, r.brakeOnFault(state)...)
		effects = append(effects, r.tickRollout(state, random)...)
		state.updateShare(r.settings, r.caughtUp)
		if r.shouldPublish(state, random) {
			e := state.evidence(r.domain, len(r.settings.steps))
			effects = append(effects, rail.NewPublish(rail.FactEvidence, state.key.subject(), e.text()))
		}
	}
	return effects
}

// shouldPublish reduces the digests of large deployments to about publishersPerTick entries per tick; entries that suspect a fault always publish.
func (r *Reducer) shouldPublish(state *rolloutState, random uint64) bool {
	if state.suspicious() && !state.final() {
		return true
	}
	return (random>>32)%uint64(1+len(state.peers)/publishersPerTick) == 0
}

// sortedRollouts returns the rollouts sorted by route.
func (r *Reducer) sortedRollouts() []*rolloutState {
	rollouts := make([]*rolloutState, 0, len(r.rollouts))
	for _, state := range r.rollouts {
		rollouts = append(rollouts, state)
	}
	slices.SortFunc(rollouts, func(a, b *rolloutState) int { return strings.Compare(string(a.key.route), string(b.key.route)) })
	return rollouts
}

func (r *Reducer) tickRollout(state *rolloutState, random uint64) []rail.Effect {
	outcome := state.standing.verdict.Outcome
	if outcome == OutcomeNone && !state.deadline.IsZero() && !r.now.Before(state.deadline) {
		state.expired = true
	}
	switch {
	case state.braked && !state.standing.verdict.Braked:
		return r.propose(state, OutcomeRolledBack, state.reason, random)
	case outcome != OutcomeNone:
		return r.renewVerdict(state, random)
	case state.expired:
		return r.propose(state, OutcomeRolledBack, "not enough evidence by the deadline", random)
	case !r.logConnected() || r.now.Sub(state.stepStartedAt) < state.dwell(r.settings, r.now) || !state.stepPassed(r.settings):
		return nil
	case state.step == len(r.settings.steps)-1:
		return r.propose(state, OutcomeDone, state.summary(), random)
	}
	state.setStep(state.step+1, r.now)
	detail := fmt.Sprintf("%s to %g%%", state.key.version, 100*r.settings.steps[state.step].share)
	return []rail.Effect{rail.NewReport(rail.EventRolloutStep, string(state.key.route), detail)}
}

// summary describes the evidence for a good version.
func (state *rolloutState) summary() string {
	c := state.total.newVersion()
	return fmt.Sprintf("%d requests, %d failed, %d slow", c.total, c.failed, c.slow)
}

// propose appends a verdict at random with a probability of one in the number of entries, and after takeoverTicks in any case.
func (r *Reducer) propose(state *rolloutState, outcome Outcome, reason string, random uint64) []rail.Effect {
	state.pending.waitedTicks++
	if state.pending.waitedTicks <= takeoverTicks && random%uint64(len(state.peers)+1) != 0 {
		return nil
	}
	return r.appendVerdict(state, outcome, reason)
}

// appendVerdict appends a verdict, again after appendRetryInterval while no verdict has been read back.
func (r *Reducer) appendVerdict(state *rolloutState, outcome Outcome, reason string) []rail.Effect {
	repeated := state.pending.verdict.Outcome == outcome
	if r.logUnavailable || (repeated && r.now.Sub(state.pending.appendedAt) < appendRetryInterval) {
		return nil
	}
	v := verdict{
		Route: state.key.route, Stable: state.key.stable, Version: state.key.version, DeadlineMs: state.key.deadline,
		Outcome: outcome, Reason: reason, Unreachable: r.unreachableDomains(r.now), By: r.self,
	}
	state.pending.verdict, state.pending.appendedAt = v, r.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, v.body())}
}

// renewVerdict appends the standing verdict again before the log's retention ends.
func (r *Reducer) renewVerdict(state *rolloutState, random uint64) []rail.Effect {
	age := r.now.Sub(state.standing.lastRecordAt)
	if !r.logConnected() || age < r.settings.renewAfter || random%uint64(len(state.peers)+1) != 0 {
		return nil
	}
	state.standing.lastRecordAt = r.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, state.standing.verdict.body())}
}

// applyVerdict applies a verdict from the log or from a peer.
func (r *Reducer) applyVerdict(k key, v verdict, offset rail.Offset, at time.Time) []rail.Effect {
	s, ok := r.verdicts[k]
	if !ok {
		r.evictVerdict()
		s = &standingVerdict{}
		r.verdicts[k] = s
	}
	before := s.verdict
	s.apply(v, offset, at)
	state := r.rolloutBySubject(k.subject())
	if state == nil {
		return nil
	}
	state.standing = *s
	state.updateShare(r.settings, r.caughtUp)
	if before.Outcome == s.verdict.Outcome {
		return nil
	}
	state.pending = pending{}
	return []rail.Effect{verdictReport(s.verdict)}
}

func verdictReport(v verdict) rail.Report {
	event := rail.EventRolloutDone
	if v.Outcome == OutcomeRolledBack {
		event = rail.EventRolloutRolledBack
	}
	detail := string(v.Version) + ": " + v.Reason
	for _, d := range v.Unreachable {
		detail += ", cut off: " + string(d)
	}
	return rail.NewReport(event, string(v.Route), detail)
}

// evictVerdict removes the oldest verdict without a rollout in force if there are maxVerdicts.
func (r *Reducer) evictVerdict() {
	if len(r.verdicts) < maxVerdicts {
		return
	}
	var oldest key
	found := false
	for k, s := range r.verdicts {
		if r.rolloutBySubject(k.subject()) != nil {
			continue
		}
		if !found || s.offset < r.verdicts[oldest].offset {
			oldest, found = k, true
		}
	}
	if found {
		delete(r.verdicts, oldest)
	}
}
