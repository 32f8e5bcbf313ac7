package rollout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	// appendAgain is the time after which an append that was not read back is repeated.
	appendAgain = 5 * time.Second
	// patience is the number of ticks for which an entry leaves an append to the others.
	patience = 5
	// publishers is the number of entries that publish their evidence in each tick.
	publishers = 32
)

// pending is a verdict that this entry wants to append and has not read back.
type pending struct {
	verdict verdict
	at      time.Time
	waited  int
}

// tick publishes the evidence and takes the decisions that are due.
func (p *Reducer) tick(random uint64) []rail.Effect {
	if len(p.routes) == 0 {
		p.ticking = false
		return nil
	}
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tick)}
	effects = append(effects, p.count(p.hold.due(p.now))...)
	for _, r := range p.ordered() {
		effects = append(effects, p.test(r)...)
		effects = append(effects, p.tickRoute(r, random)...)
		r.settleShare(p.settings, p.caught)
		if p.mayPublish(r, random) {
			e := r.evidence(p.domain, len(p.settings.steps))
			effects = append(effects, rail.NewPublish(rail.FactEvidence, r.key.subject(), e.text()))
		}
	}
	return effects
}

// mayPublish thins the digests out where many entries take part, but for those that see something.
func (p *Reducer) mayPublish(r *route, random uint64) bool {
	if r.suspicious() && !r.over() {
		return true
	}
	return (random>>32)%uint64(1+len(r.origins)/publishers) == 0
}

// ordered returns the rollouts in order of their routes.
func (p *Reducer) ordered() []*route {
	rs := make([]*route, 0, len(p.routes))
	for _, r := range p.routes {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *route) int { return strings.Compare(string(a.key.route), string(b.key.route)) })
	return rs
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
		return p.renew(r, random)
	case r.expired:
		return p.propose(r, OutcomeRolledBack, "not enough evidence by the deadline", random)
	case !p.connected() || p.now.Sub(r.stepAt) < r.dwell(p.settings, p.now) || !r.proved(p.settings):
		return nil
	case r.step == len(p.settings.steps)-1:
		return p.propose(r, OutcomeDone, r.summary(), random)
	}
	r.climb(r.step+1, p.now)
	detail := fmt.Sprintf("%s to %g%%", r.key.version, 100*p.settings.steps[r.step].share)
	return []rail.Effect{rail.NewReport(rail.EventRolloutStep, string(r.key.route), detail)}
}

// summary says on how much evidence a version was found good.
func (r *route) summary() string {
	c := r.all.fresh()
	return fmt.Sprintf("%d requests, %d failed, %d slow", c.total, c.failed, c.slow)
}

// propose leaves the append to another entry at random, but not for long.
func (p *Reducer) propose(r *route, outcome Outcome, reason string, random uint64) []rail.Effect {
	r.pending.waited++
	if r.pending.waited <= patience && random%uint64(len(r.origins)+1) != 0 {
		return nil
	}
	return p.decide(r, outcome, reason)
}

// decide appends a verdict, and repeats it until a verdict was read back.
func (p *Reducer) decide(r *route, outcome Outcome, reason string) []rail.Effect {
	again := r.pending.verdict.Outcome == outcome
	if p.away || (again && p.now.Sub(r.pending.at) < appendAgain) {
		return nil
	}
	v := verdict{
		Route: r.key.route, Stable: r.key.stable, Version: r.key.version, DeadlineMs: r.key.deadline,
		Outcome: outcome, Reason: reason, CutOff: p.cutOff(p.now), By: p.me,
	}
	r.pending.verdict, r.pending.at = v, p.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, v.body())}
}

// renew appends the standing verdict again before the log drops it.
func (p *Reducer) renew(r *route, random uint64) []rail.Effect {
	age := p.now.Sub(r.standing.latest)
	if !p.connected() || age < p.settings.keep || random%uint64(len(r.origins)+1) != 0 {
		return nil
	}
	r.standing.latest = p.now
	return []rail.Effect{rail.NewAppend(rail.RecordVerdict, r.standing.verdict.body())}
}

// stand takes in a verdict from the log or a peer.
func (p *Reducer) stand(k key, v verdict, offset rail.Offset, at time.Time) []rail.Effect {
	s, ok := p.verdicts[k]
	if !ok {
		p.forget()
		s = &standing{}
		p.verdicts[k] = s
	}
	before := s.verdict
	s.fold(v, offset, at)
	r := p.bySubject(k.subject())
	if r == nil {
		return nil
	}
	r.standing = *s
	r.settleShare(p.settings, p.caught)
	if before.Outcome == s.verdict.Outcome {
		return nil
	}
	r.pending = pending{}
	return []rail.Effect{verdictReport(s.verdict)}
}

func verdictReport(v verdict) rail.Report {
	number := rail.EventRolloutDone
	if v.Outcome == OutcomeRolledBack {
		number = rail.EventRolloutRolledBack
	}
	detail := string(v.Version) + ": " + v.Reason
	for _, d := range v.CutOff {
		detail += ", cut off: " + string(d)
	}
	return rail.NewReport(number, string(v.Route), detail)
}

// forget drops the oldest verdict that no rollout in force needs, if there are too many.
func (p *Reducer) forget() {
	if len(p.verdicts) < keptVerdicts {
		return
	}
	var oldest key
	found := false
	for k, s := range p.verdicts {
		if p.bySubject(k.subject()) != nil {
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
