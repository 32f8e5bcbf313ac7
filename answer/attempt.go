package answer

import (
	"slices"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// settleTime is the wait before streams are moved, because the notices of one wave come one by one.
const settleTime = 100 * time.Millisecond

// maxBackOff is the longest wait between two attempts.
const maxBackOff = 2 * time.Second

// start sends the next attempt, or waits if no upstream will do.
func (p *Reducer) start(in rail.Input, f *inFlight) []rail.Effect {
	if p.leave.handsOver() && f.repeatable() {
		return append(p.seal(f), p.handOverSoon(in)...)
	}
	upstream, ok := p.choose(in, f)
	if !ok {
		return p.wait(in, f, rail.KindNoUpstream)
	}
	f.state, f.standby = running, false
	f.attempt++
	f.upstream, f.resumed = upstream, f.offset
	f.marked, f.moveAt, f.paceAt = in.At(), time.Time{}, time.Time{}
	p.noteUpstream(f)
	detail := "attempt " + strconv.Itoa(f.attempt) + " at " + string(upstream.ID()) + " from token " + strconv.Itoa(f.offset)
	effects := []rail.Effect{
		rail.NewDispatch(f.request, f.attempt, upstream, f.offset),
		rail.NewReport(rail.EventAttemptStarted, string(f.id()), detail),
	}
	return append(effects, p.arm(in, f)...)
}

// choose prefers upstreams that have not failed the request, in its version before the stable one.
func (p *Reducer) choose(in rail.Input, f *inFlight) (rail.Instance, bool) {
	if u, ok := p.warm(f); ok {
		return u, true
	}
	for _, v := range p.versions(f) {
		if u, ok := p.chooseVersion(in, f, v); ok {
			return u, true
		}
	}
	return rail.Instance{}, false
}

// warm returns, once, the upstream that ran the request for the entry that handed it over, and may still hold its prompt.
func (p *Reducer) warm(f *inFlight) (rail.Instance, bool) {
	id := f.preferred
	f.preferred = ""
	if id == "" || slices.Contains(f.avoided, id) {
		return rail.Instance{}, false
	}
	for _, v := range p.versions(f) {
		for _, u := range p.directory.Upstreams(f.route.Serves(), v) {
			if u.ID() == id {
				return u, true
			}
		}
	}
	return rail.Instance{}, false
}

// versions returns the versions to try, the preferred one first: the one
// picked, but the stable one once an attempt has failed, as the cause may be
// the new version.
func (p *Reducer) versions(f *inFlight) []rail.Version {
	picked, stable := p.picker.Pick(f.route, f.id()), f.route.Stable()
	switch {
	case picked == stable:
		return []rail.Version{stable}
	case f.failures > 0:
		return []rail.Version{stable, picked}
	default:
		return []rail.Version{picked, stable}
	}
}

func (p *Reducer) chooseVersion(in rail.Input, f *inFlight, v rail.Version) (rail.Instance, bool) {
	all := p.directory.Upstreams(f.route.Serves(), v)
	if len(all) == 0 {
		return rail.Instance{}, false
	}
	want := rail.NewCriteria(f.request, f.route, v, p.domain)
	if len(f.tried) > 0 {
		excluded := slices.Concat(f.avoided, f.tried)
		if u, ok := p.chooser.Choose(want.Excluding(excluded...), all, p.random(in)); ok {
			return u, true
		}
	}
	u, ok := p.chooser.Choose(want.Excluding(f.avoided...), all, p.random(in))
	return u, ok && !slices.Contains(f.avoided, u.ID())
}

// retry goes on after an attempt that ended without the whole answer.
func (p *Reducer) retry(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	p.clearUpstream(f)
	f.state = waiting
	detail := "attempt " + strconv.Itoa(f.attempt) + " at " + string(f.upstream.ID()) + ": " + string(kind)
	report := rail.NewReport(rail.EventAttemptFailed, string(f.id()), detail)
	failed := AttemptFailed{request: f.id(), attempt: f.attempt, kind: kind}
	return append([]rail.Effect{report, failed}, p.afterFailure(in, f, kind)...)
}

func (p *Reducer) afterFailure(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	switch kind {
	case rail.KindCancelled:
		// The store holds the whole answer already.
		return p.finish(in, f, kind, rail.ServiceReply{})
	case rail.KindLeaving:
		f.avoid(f.upstream.ID())
		return p.start(in, f)
	}
	f.try(f.upstream.ID())
	if kind.Reply().Run() == rail.NotRun {
		return p.wait(in, f, kind)
	}
	f.mayRun = true
	f.failures++
	if !f.repeatable() || f.failures >= p.settings.attempts || !p.allowed(f) {
		return p.finish(in, f, kind, rail.ServiceReply{})
	}
	f.lastError = kind
	f.startAt = in.At().Add(p.backOff(in, f.failures))
	return p.arm(in, f)
}

// wait tries again later after a refusal; a request is given up when it has waited too long.
func (p *Reducer) wait(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	now := in.At()
	if f.waitingSince.IsZero() {
		f.waitingSince = now
	}
	if now.Sub(f.waitingSince) >= p.settings.upstreamWait {
		return p.finish(in, f, kind, rail.ServiceReply{})
	}
	f.state, f.standby = waiting, false
	f.refusals++
	f.startAt = now.Add(p.backOff(in, f.refusals))
	return p.arm(in, f)
}

func (p *Reducer) allowed(f *inFlight) bool {
	return p.budget == nil || p.budget.Retry(f.request.Team())
}

// backOff doubles with each try and is drawn from its upper half.
func (p *Reducer) backOff(in rail.Input, tries int) time.Duration {
	d := min(p.settings.backOff<<min(tries-1, 10), maxBackOff)
	return d/2 + time.Duration(p.random(in)%uint64(d/2+1))
}

// move goes on at another upstream because this one is leaving.
func (p *Reducer) move(in rail.Input, f *inFlight) []rail.Effect {
	f.avoid(f.upstream.ID())
	effects := p.stop(f)
	detail := "off " + string(f.upstream.ID()) + " at token " + strconv.Itoa(f.offset)
	effects = append(effects, rail.NewReport(rail.EventAnswerResumed, string(f.id()), detail))
	return append(effects, p.start(in, f)...)
}

// stop ends the running attempt.
func (p *Reducer) stop(f *inFlight) []rail.Effect {
	if f.state != running {
		return nil
	}
	p.clearUpstream(f)
	f.state = waiting
	return []rail.Effect{rail.NewCancelAttempt(f.id(), f.attempt, f.upstream)}
}

// giveUp ends a request whose time is over.
func (p *Reducer) giveUp(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	f.mayRun = f.mayRun || f.state == running
	if kind == rail.KindDeadlinePassed && !f.mayRun {
		kind = rail.KindNoUpstream
	}
	var effects []rail.Effect
	if f.repeatable() {
		effects = p.stop(f)
	}
	return append(effects, p.finish(in, f, kind, rail.ServiceReply{})...)
}

// finish answers the caller and forgets the request.
func (p *Reducer) finish(in rail.Input, f *inFlight, kind rail.Kind, reply rail.ServiceReply) []rail.Effect {
	p.forget(f)
	e := NewFinished(f.id(), f.reportedKind(kind), reply)
	e.usage = f.usage
	effects := []rail.Effect{e}
	if f.copied {
		p.leave.ended = append(p.leave.ended, Transfer{request: f.request, attempt: f.attempt, ended: true})
	}
	return append(effects, p.drained(in)...)
}

// reportedKind replaces a kind that says not run if an earlier attempt may have run.
func (f *inFlight) reportedKind(kind rail.Kind) rail.Kind {
	if kind == rail.KindNone || !f.mayRun || kind.Reply().Run() != rail.NotRun {
		return kind
	}
	if f.lastError != rail.KindNone {
		return f.lastError
	}
	return rail.KindUpstreamFailed
}

func (p *Reducer) forget(f *inFlight) {
	p.clearUpstream(f)
	delete(p.requests, f.id())
}

// noteUpstream notes at which upstream the request runs.
func (p *Reducer) noteUpstream(f *inFlight) {
	id := f.upstream.ID()
	if p.byUpstream[id] == nil {
		p.byUpstream[id] = map[rail.RequestID]*inFlight{}
	}
	p.byUpstream[id][f.id()] = f
}

func (p *Reducer) clearUpstream(f *inFlight) {
	id := f.upstream.ID()
	delete(p.byUpstream[id], f.id())
	if len(p.byUpstream[id]) == 0 {
		delete(p.byUpstream, id)
	}
}

// instanceLeaving moves the requests of a leaving upstream, or the handover of a leaving successor.
func (p *Reducer) instanceLeaving(in rail.Input, id rail.InstanceID) []rail.Effect {
	effects := p.successorLeaving(in, id)
	allowance := in.At().Add(p.settings.notice / 2)
	for _, f := range sorted(p.byUpstream[id]) {
		effects = append(effects, p.leaveUpstream(in, f, allowance)...)
	}
	if len(p.byUpstream[id]) > 0 && p.leave.handsOver() {
		effects = append(effects, p.handOverSoon(in)...)
	}
	return effects
}

func (p *Reducer) leaveUpstream(in rail.Input, f *inFlight, allowance time.Time) []rail.Effect {
	// An attempt that may not be repeated has the rest of the notice to end.
	if !f.repeatable() || !f.moveAt.IsZero() {
		return nil
	}
	f.avoid(f.upstream.ID())
	f.moveAt = allowance
	if !f.endsBy(in.At(), allowance) {
		f.moveAt = in.At().Add(settleTime)
	}
	return p.arm(in, f)
}
