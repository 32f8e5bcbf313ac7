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
func (p *Reducer) tick(random uint64) []rail.Effect {
	if len(p.routes) == 0 {
		p.timerSet = false
		return nil
	}
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tickInterval)}
	effects = append(effects, p.count(p.failures.releaseExpired(p.now))...)
	for _, r := range p.sortedRoutes() {
		effects = append(effects, p.brakeOnFault(r)...)
		effects = append(effects, p.tickRoute(r, random)...)
		r.updateShare(p.settings, p.caughtUp)
		if p.shouldPublish(r, random) {
			e := r.evidence(p.domain, len(p.settings.steps))
			effects = append(effects, rail.NewPublish(rail.FactEvidence, r.key.subject(), e.text()))
		}
	}
	return effects
}

// shouldPublish reduces the digests of large deployments to about publishersPerTick entries per tick; entries that suspect a fault always publish.
func (p *Reducer) shouldPublish(r *route, random uint64) bool {
	if r.suspicious() && !r.final() {
		return true
	}
	return (random>>32)%uint64(1+len(r.peers)/publishersPerTick) == 0
}

// sortedRoutes returns the rollouts sorted by route.
func (p *Reducer) sortedRoutes() []*route {
	routes := make([]*route, 0, len(p.routes))
	for _, r := range p.routes {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b *route) int { return strings.Compare(string(a.key.route), string(b.key.route)) })
	return routes
}

func (p *Reducer) tickRoute(r *route, random uint64) []rail.Effect {
	outcome := r.standing.verdict.Outcome
	if outcome == OutcomeNone && !r.deadline.IsZero() && !p.now.Before(r.deadline) {
		r.expired = true
	}
	switch {
	case r.braked && !r.standing.verdict.Braked:
		return p.propose(r, OutcomeRolledBack, r.reason, random)
	case outcome != OutcomeNone:
		return p.renewVerdict(r, random)
	case r.expired:
		return p.propose(r, OutcomeRolledBack, "not enough evidence by the deadline", random)
	case !p.logConnected() || p.now.Sub(r.stepStartedAt) < r.dwell(p.settings, p.now) || !r.stepPassed(p.settings):
		return nil
	case r.step == len(p.settings.steps)-1:
		return p.propose(r, OutcomeDone, r.summary(), random)
	}
	r.setStep(r.step+1, p.now)
	detail := fmt.Sprintf("%s to %g%%", r.key.version, 100*p.settings.steps[r.step].share)
	return []rail.Effect{rail.NewReport(rail.EventRolloutStep, string(r.key.route), detail)}
}

// summary describes the evidence for a good version.
func (r *route) summary() string {
	c := r.total.newVersion()
	return fmt.Sprintf("%d requests, %d failed, %d slow", c.total, c.failed, c.slow)
}

// propose appends a verdict at random with a probability of one in the number of entries, and after takeoverTicks in any case.
func (p *Reducer) propose(r *route, outcome Outcome, reason string, random uint64) []rail.Effect {
	r.pending.waitedTicks++
	if r.pending.waitedTicks <= takeoverTicks && random%uint64(len(r.peers)+1) != 0 {
		return nil
	}
	return p.appendVerdict(r, outcome, reason)
}

// appendVerdict appends a verdict, again after appendRetryInterval while no verdict has been read back.
func (p *Reducer) appendVerdict(r *route, outcome Outcome, reason string) []rail.Effect {
	repeated := r.pending.verdict.Outcome == outcome
	if p.logUnavailable || (repeated && p.now.Sub(r.pending.appendedAt) < appendRetryInterval) {
		return nil
	}
	v := verdict{
		Route: r.key.route, Stable: r.key.stable, Version: r.key.version, DeadlineMs: r.key.deadline,
		Outcome: outcome, Reason: reason, Unreachable: p.unreachableDomains(p.now), By: p.self,
	}
	r.pending.verdict, r.pending.appendedAt = v, p.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, v.body())}
}

// renewVerdict appends the standing verdict again before the log's retention ends.
func (p *Reducer) renewVerdict(r *route, random uint64) []rail.Effect {
	age := p.now.Sub(r.standing.lastRecordAt)
	if !p.logConnected() || age < p.settings.renewAfter || random%uint64(len(r.peers)+1) != 0 {
		return nil
	}
	r.standing.lastRecordAt = p.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, r.standing.verdict.body())}
}

// applyVerdict applies a verdict from the log or from a peer.
func (p *Reducer) applyVerdict(k key, v verdict, offset rail.Offset, at time.Time) []rail.Effect {
	s, ok := p.verdicts[k]
	if !ok {
		p.evictVerdict()
		s = &standingVerdict{}
		p.verdicts[k] = s
	}
	before := s.verdict
	s.apply(v, offset, at)
	r := p.routeBySubject(k.subject())
	if r == nil {
		return nil
	}
	r.standing = *s
	r.updateShare(p.settings, p.caughtUp)
	if before.Outcome == s.verdict.Outcome {
		return nil
	}
	r.pending = pending{}
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
func (p *Reducer) evictVerdict() {
	if len(p.verdicts) < maxVerdicts {
		return
	}
	var oldest key
	found := false
	for k, s := range p.verdicts {
		if p.routeBySubject(k.subject()) != nil {
			continue
		}
		if !found || s.offset < p.verdicts[oldest].offset {
			oldest, found = k, true
		}
	}
	if found {
		delete(p.verdicts, oldest)
	}
}
