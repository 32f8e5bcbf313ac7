package answer

import (
	"slices"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// moveDelay is the wait before streams are moved, because the leaving notices of one reclaim arrive one by one.
const moveDelay = 100 * time.Millisecond

// maxBackOff is the longest wait between two attempts.
const maxBackOff = 2 * time.Second

// startAttempt dispatches the next attempt, or waits if no upstream is available.
func (r *Reducer) startAttempt(in rail.Input, f *inFlight) []rail.Effect {
	if r.leave.handsOver() && f.repeatable() {
		return append(r.stopForHandover(f), r.requestRound(in)...)
	}
	upstream, ok := r.chooseUpstream(in, f)
	if !ok {
		return r.waitForUpstream(in, f, rail.KindNoUpstream)
	}
	f.state, f.standby = running, false
	f.attempt++
	f.upstream, f.resumeOffset = upstream, f.offset
	f.lastProgressAt, f.moveAt, f.firstMarkAt = in.At(), time.Time{}, time.Time{}
	r.indexByUpstream(f)
	detail := "attempt " + strconv.Itoa(f.attempt) + " at " + string(upstream.ID()) + " from token " + strconv.Itoa(f.offset)
	effects := []rail.Effect{
		rail.NewDispatch(f.request, f.attempt, upstream, f.offset),
		rail.NewReport(rail.EventAttemptStarted, string(f.id()), detail),
	}
	return append(effects, r.setRequestTimer(in, f)...)
}

// chooseUpstream tries the versions in order and prefers upstreams where the request has not failed.
func (r *Reducer) chooseUpstream(in rail.Input, f *inFlight) (rail.Instance, bool) {
	if u, ok := r.takePreferredUpstream(f); ok {
		return u, true
	}
	for _, v := range r.candidateVersions(f) {
		if u, ok := r.chooseUpstreamOfVersion(in, f, v); ok {
			return u, true
		}
	}
	return rail.Instance{}, false
}

// takePreferredUpstream returns, once only, the upstream that ran the request before the handover,
// as that one may still have the prompt cached.
func (r *Reducer) takePreferredUpstream(f *inFlight) (rail.Instance, bool) {
	id := f.preferredUpstream
	f.preferredUpstream = ""
	if id == "" || slices.Contains(f.excludedUpstreams, id) {
		return rail.Instance{}, false
	}
	for _, v := range r.candidateVersions(f) {
		for _, u := range r.directory.Upstreams(f.route.Serves(), v) {
			if u.ID() == id {
				return u, true
			}
		}
	}
	return rail.Instance{}, false
}

// candidateVersions returns the versions to try in order: the picked one first,
// but the stable one first once an attempt has failed, as the new version may
// be the cause.
func (r *Reducer) candidateVersions(f *inFlight) []rail.Version {
	picked, stable := r.picker.Pick(f.route, f.id()), f.route.Stable()
	switch {
	case picked == stable:
		return []rail.Version{stable}
	case f.failures > 0:
		return []rail.Version{stable, picked}
	default:
		return []rail.Version{picked, stable}
	}
}

func (r *Reducer) chooseUpstreamOfVersion(in rail.Input, f *inFlight, v rail.Version) (rail.Instance, bool) {
	candidates := r.directory.Upstreams(f.route.Serves(), v)
	if len(candidates) == 0 {
		return rail.Instance{}, false
	}
	criteria := rail.NewCriteria(f.request, f.route, v, r.domain)
	if len(f.failedUpstreams) > 0 {
		excluded := slices.Concat(f.excludedUpstreams, f.failedUpstreams)
		if u, ok := r.chooser.Choose(criteria.Excluding(excluded...), candidates, r.nextRandom(in)); ok {
			return u, true
		}
	}
	u, ok := r.chooser.Choose(criteria.Excluding(f.excludedUpstreams...), candidates, r.nextRandom(in))
	return u, ok && !slices.Contains(f.excludedUpstreams, u.ID())
}

// failAttempt reports an attempt that ended without the complete answer and retries or finishes the request.
func (r *Reducer) failAttempt(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	r.removeFromUpstreamIndex(f)
	f.state = waiting
	detail := "attempt " + strconv.Itoa(f.attempt) + " at " + string(f.upstream.ID()) + ": " + string(kind)
	report := rail.NewReport(rail.EventAttemptFailed, string(f.id()), detail)
	failed := AttemptFailed{request: f.id(), attempt: f.attempt, kind: kind}
	return append([]rail.Effect{report, failed}, r.retryOrFinish(in, f, kind)...)
}

func (r *Reducer) retryOrFinish(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	switch kind {
	case rail.KindCancelled:
		// The store already holds the complete answer.
		return r.finish(in, f, kind, rail.ServiceReply{})
	case rail.KindLeaving:
		f.excludeUpstream(f.upstream.ID())
		return r.startAttempt(in, f)
	}
	f.recordFailedUpstream(f.upstream.ID())
	if kind.Reply().Run() == rail.NotRun {
		return r.waitForUpstream(in, f, kind)
	}
	f.mayHaveRun = true
	f.failures++
	if !f.repeatable() || f.failures >= r.settings.maxFailures || !r.retryAllowed(f) {
		return r.finish(in, f, kind, rail.ServiceReply{})
	}
	f.lastFailure = kind
	f.startAt = in.At().Add(r.backOff(in, f.failures))
	return r.setRequestTimer(in, f)
}

// waitForUpstream schedules another try after a refusal, and finishes the request once it has waited for upstreamWait.
func (r *Reducer) waitForUpstream(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	now := in.At()
	if f.waitingSince.IsZero() {
		f.waitingSince = now
	}
	if now.Sub(f.waitingSince) >= r.settings.upstreamWait {
		return r.finish(in, f, kind, rail.ServiceReply{})
	}
	f.state, f.standby = waiting, false
	f.refusals++
	f.startAt = now.Add(r.backOff(in, f.refusals))
	return r.setRequestTimer(in, f)
}

func (r *Reducer) retryAllowed(f *inFlight) bool {
	return r.budget == nil || r.budget.Retry(f.request.Team())
}

// backOff returns a random wait from the upper half of a limit that doubles with each attempt.
func (r *Reducer) backOff(in rail.Input, tries int) time.Duration {
	d := min(r.settings.initialBackOff<<min(tries-1, 10), maxBackOff)
	return d/2 + time.Duration(r.nextRandom(in)%uint64(d/2+1))
}

// moveAttempt resumes the request at another upstream because its own is leaving.
func (r *Reducer) moveAttempt(in rail.Input, f *inFlight) []rail.Effect {
	f.excludeUpstream(f.upstream.ID())
	effects := r.cancelAttempt(f)
	detail := "off " + string(f.upstream.ID()) + " at token " + strconv.Itoa(f.offset)
	effects = append(effects, rail.NewReport(rail.EventAnswerResumed, string(f.id()), detail))
	return append(effects, r.startAttempt(in, f)...)
}

// cancelAttempt cancels the running attempt, if any.
func (r *Reducer) cancelAttempt(f *inFlight) []rail.Effect {
	if f.state != running {
		return nil
	}
	r.removeFromUpstreamIndex(f)
	f.state = waiting
	return []rail.Effect{rail.NewCancelAttempt(f.id(), f.attempt, f.upstream)}
}

// giveUp finishes a request whose deadline or reconnect time has passed.
func (r *Reducer) giveUp(in rail.Input, f *inFlight, kind rail.Kind) []rail.Effect {
	f.mayHaveRun = f.mayHaveRun || f.state == running
	if kind == rail.KindDeadlinePassed && !f.mayHaveRun {
		kind = rail.KindNoUpstream
	}
	var effects []rail.Effect
	if f.repeatable() {
		effects = r.cancelAttempt(f)
	}
	return append(effects, r.finish(in, f, kind, rail.ServiceReply{})...)
}

// finish answers the caller and removes the request.
func (r *Reducer) finish(in rail.Input, f *inFlight, kind rail.Kind, reply rail.ServiceReply) []rail.Effect {
	r.removeRequest(f)
	e := NewFinished(f.id(), f.reportedKind(kind), reply)
	e.usage = f.usage
	effects := []rail.Effect{e}
	if f.copySent {
		r.leave.ended = append(r.leave.ended, Transfer{request: f.request, attempt: f.attempt, ended: true})
	}
	return append(effects, r.checkDrained(in)...)
}

// reportedKind replaces a kind that stands for NotRun if an earlier attempt may have run.
func (f *inFlight) reportedKind(kind rail.Kind) rail.Kind {
	if kind == rail.KindNone || !f.mayHaveRun || kind.Reply().Run() != rail.NotRun {
		return kind
	}
	if f.lastFailure != rail.KindNone {
		return f.lastFailure
	}
	return rail.KindUpstreamFailed
}

func (r *Reducer) removeRequest(f *inFlight) {
	r.removeFromUpstreamIndex(f)
	delete(r.requests, f.id())
}

// indexByUpstream adds the request to those that run at its upstream.
func (r *Reducer) indexByUpstream(f *inFlight) {
	id := f.upstream.ID()
	if r.byUpstream[id] == nil {
		r.byUpstream[id] = map[rail.RequestID]*inFlight{}
	}
	r.byUpstream[id][f.id()] = f
}

func (r *Reducer) removeFromUpstreamIndex(f *inFlight) {
	id := f.upstream.ID()
	delete(r.byUpstream[id], f.id())
	if len(r.byUpstream[id]) == 0 {
		delete(r.byUpstream, id)
	}
}

// handleInstanceLeaving moves the requests of a leaving upstream, or replaces a leaving successor.
func (r *Reducer) handleInstanceLeaving(in rail.Input, id rail.InstanceID) []rail.Effect {
	effects := r.recordLeavingInstance(in, id)
	moveDeadline := in.At().Add(r.settings.defaultNotice / 2)
	for _, f := range sortedByID(r.byUpstream[id]) {
		effects = append(effects, r.scheduleMove(in, f, moveDeadline)...)
	}
	if len(r.byUpstream[id]) > 0 && r.leave.handsOver() {
		effects = append(effects, r.requestRound(in)...)
	}
	return effects
}

func (r *Reducer) scheduleMove(in rail.Input, f *inFlight, moveDeadline time.Time) []rail.Effect {
	// An attempt that may not be repeated keeps running and may use the rest of the notice.
	if !f.repeatable() || !f.moveAt.IsZero() {
		return nil
	}
	f.excludeUpstream(f.upstream.ID())
	f.moveAt = moveDeadline
	if !f.expectedToEndBy(in.At(), moveDeadline) {
		f.moveAt = in.At().Add(moveDelay)
	}
	return r.setRequestTimer(in, f)
}
