package answer

import (
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	requestTimerPrefix = "answer.request/"
	drainTimer         = "answer.drain"
	handoverTimer      = "answer.handover"
)

// Budget decides whether a team may spend one more retry.
type Budget interface {
	// Retry reports whether the team may retry a request now; the retry counts as spent.
	Retry(team rail.TeamName) bool
}

// Reducer decides about the attempts and handovers of the requests in progress; it does no I/O and reads no clock.
type Reducer struct {
	settings  Settings
	domain    rail.Domain
	directory rail.Directory
	chooser   rail.Chooser
	picker    rail.VersionPicker
	budget    Budget
	backlog   Backlog
	members   Members

	requests         map[rail.RequestID]*inFlight
	byUpstream       map[rail.InstanceID]map[rail.RequestID]*inFlight
	document         rail.Document
	entries          []rail.Instance
	leavingInstances map[rail.InstanceID]bool
	leave            leaveState
	randomDraws      uint64
}

// New returns a reducer without requests.
func New(settings Settings, domain rail.Domain, directory rail.Directory, chooser rail.Chooser, picker rail.VersionPicker) *Reducer {
	return &Reducer{
		settings: settings, domain: domain, directory: directory, chooser: chooser, picker: picker,
		requests:         map[rail.RequestID]*inFlight{},
		byUpstream:       map[rail.InstanceID]map[rail.RequestID]*inFlight{},
		leavingInstances: map[rail.InstanceID]bool{},
	}
}

// Backlog counts the requests that the entry has accepted and not yet passed to the reducer.
type Backlog interface {
	// Waiting returns the number of such requests.
	Waiting() int
}

// UseBacklog makes a leaving entry wait until the backlog is empty too.
func (r *Reducer) UseBacklog(b Backlog) { r.backlog = b }

// Members lists the other entries, also while the platform's list cannot be read.
type Members interface {
	// Peers returns the other entries that are not leaving, in order of their ids.
	Peers() []rail.Instance
}

// UseMembers makes the reducer choose successors from the members instead of the list last read.
func (r *Reducer) UseMembers(m Members) { r.members = m }

// UseBudget makes retries after failures subject to the budget; moves away from a leaving upstream are not.
func (r *Reducer) UseBudget(b Budget) { r.budget = b }

// InProgress returns the number of requests in progress.
func (r *Reducer) InProgress() int { return len(r.requests) }

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case Accepted:
		return r.handleAccepted(in, e)
	case Marked:
		return r.handleMarked(in, e)
	case Ended:
		return r.handleEnded(in, e)
	case Replied:
		return r.handleReplied(in, e)
	case Failed:
		return r.handleFailed(in, e)
	case Cancelled:
		return r.handleCancelled(in, e)
	case Detached:
		return r.handleDetached(in, e)
	case Attached:
		return r.handleAttached(in, e)
	case HandoverReceived:
		return r.handleHandoverReceived(in, e)
	case HandoverAnswered:
		return r.handleHandoverAnswered(in, e)
	case HandoverLost:
		return r.handleHandoverLost(in, e)
	case rail.TimerFired:
		return r.handleTimerFired(in, e)
	case rail.InstanceLeaving:
		return r.handleInstanceLeaving(in, e.Instance())
	case rail.ListRead:
		return r.handleListRead(in, e)
	case rail.DocumentInForce:
		r.document = e.Document()
	case rail.ShutdownStarted:
		return r.handleShutdownStarted(in, e)
	}
	return nil
}

func (r *Reducer) handleAccepted(in rail.Input, e Accepted) []rail.Effect {
	id := e.request.ID()
	if _, ok := r.requests[id]; ok {
		return nil
	}
	// A request that arrived before the entry began to refuse may have waited in its team's queue since; it is still run.
	if r.leave.refusesRequests(e.request.At()) {
		return []rail.Effect{NewFinished(id, rail.KindLeaving, rail.ServiceReply{})}
	}
	r.leave.drained = false
	f := &inFlight{request: e.request, route: e.route}
	r.requests[id] = f
	if r.leave.reclaim && f.repeatable() {
		return append(r.stopForHandover(f), r.requestRound(in)...)
	}
	return r.startAttempt(in, f)
}

func (r *Reducer) handleMarked(in rail.Input, e Marked) []rail.Effect {
	f, ok := r.findRunning(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.offset = max(f.offset, e.offset)
	f.lastProgressAt = in.At()
	if f.firstMarkAt.IsZero() {
		f.firstMarkAt, f.firstMarkOffset = in.At(), f.offset
	}
	f.waitingSince, f.refusals = time.Time{}, 0
	return r.setRequestTimer(in, f)
}

func (r *Reducer) handleEnded(in rail.Input, e Ended) []rail.Effect {
	f, ok := r.findRunning(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.usage = addUsage(f.usage, e.usage)
	return r.finish(in, f, rail.KindNone, rail.ServiceReply{})
}

func (r *Reducer) handleReplied(in rail.Input, e Replied) []rail.Effect {
	f, ok := r.findRunning(e.request, e.attempt)
	if !ok {
		return nil
	}
	return r.finish(in, f, rail.KindNone, e.reply)
}

func (r *Reducer) handleFailed(in rail.Input, e Failed) []rail.Effect {
	f, ok := r.findRunning(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.offset = max(f.offset, e.offset)
	var effects []rail.Effect
	if f.route.Kind() == rail.RouteModel && e.kind.Reply().Run() != rail.NotRun {
		// The connection broke, but the engine may not have noticed and may still be generating.
		effects = append(effects, rail.NewCancelAttempt(f.id(), f.attempt, f.upstream))
	}
	return append(effects, r.failAttempt(in, f, e.kind)...)
}

func (r *Reducer) handleCancelled(in rail.Input, e Cancelled) []rail.Effect {
	f, ok := r.requests[e.request]
	// A request that may not be repeated runs to its end so that its outcome is known.
	if !ok || !f.repeatable() {
		return nil
	}
	effects := r.cancelAttempt(f)
	return append(effects, r.finish(in, f, rail.KindCancelled, rail.ServiceReply{})...)
}

func (r *Reducer) handleDetached(in rail.Input, e Detached) []rail.Effect {
	f, ok := r.requests[e.request]
	if !ok || !f.repeatable() {
		return nil
	}
	f.detachedAt = in.At()
	return r.setRequestTimer(in, f)
}

func (r *Reducer) handleAttached(in rail.Input, e Attached) []rail.Effect {
	f, ok := r.requests[e.request]
	if !ok {
		return nil
	}
	f.detachedAt = time.Time{}
	if !f.standby {
		return nil
	}
	// The caller reconnected here because its connection to the leaving entry broke.
	return r.startAttempt(in, f)
}

func (r *Reducer) handleTimerFired(in rail.Input, e rail.TimerFired) []rail.Effect {
	switch e.Name() {
	case drainTimer:
		return r.checkDrained(in)
	case handoverTimer:
		return r.startRound(in)
	}
	id, ok := strings.CutPrefix(string(e.Name()), requestTimerPrefix)
	if !ok {
		return nil
	}
	f, ok := r.requests[rail.RequestID(id)]
	if !ok {
		return nil
	}
	return r.handleRequestTimer(in, f)
}

// handleRequestTimer checks which of the request's times has been reached and acts on the first.
func (r *Reducer) handleRequestTimer(in rail.Input, f *inFlight) []rail.Effect {
	now, late := in.At(), time.Duration(0)
	if !f.timerDueAt.IsZero() {
		late = now.Sub(f.timerDueAt)
	}
	f.timerDueAt = time.Time{}
	// A late timer means that the process was paused and has not read the tokens that arrived meanwhile.
	if late > r.settings.interTokenTimeout/2 {
		f.lastProgressAt = now
	}
	switch {
	case isDue(f.request.Deadline(), now):
		return r.giveUp(in, f, rail.KindDeadlinePassed)
	case !f.detachedAt.IsZero() && isDue(f.detachedAt.Add(r.settings.reconnectTimeout), now):
		return r.giveUp(in, f, rail.KindCancelled)
	case f.state == waiting && isDue(f.startAt, now):
		return r.startAttempt(in, f)
	case f.state == running && isDue(f.moveAt, now):
		return r.moveAttempt(in, f)
	case f.state == running && isDue(f.silenceTimeoutAt(r.settings), now):
		return append(r.cancelAttempt(f), r.failAttempt(in, f, rail.KindUpstreamSilent)...)
	}
	return r.setRequestTimer(in, f)
}

// findRunning returns the request if the attempt is its running one.
func (r *Reducer) findRunning(id rail.RequestID, attempt int) (*inFlight, bool) {
	f, ok := r.requests[id]
	return f, ok && f.state == running && f.attempt == attempt
}

// setRequestTimer sets the request's timer unless one is set that fires early enough.
func (r *Reducer) setRequestTimer(in rail.Input, f *inFlight) []rail.Effect {
	due := f.nextCheckAt(r.settings)
	if due.IsZero() || (!f.timerDueAt.IsZero() && !due.Before(f.timerDueAt)) {
		return nil
	}
	f.timerDueAt = due
	name := rail.TimerName(requestTimerPrefix + string(f.id()))
	return []rail.Effect{rail.NewSetTimer(name, max(due.Sub(in.At()), 0))}
}

// nextRandom returns a different random number for each call within one input, mixed as in splitmix64.
func (r *Reducer) nextRandom(in rail.Input) uint64 {
	const goldenGamma = 0x9e3779b97f4a7c15
	r.randomDraws++
	x := in.Random() + r.randomDraws*goldenGamma
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// sortedByID returns the requests in order of their ids so that the same input always has the same effects.
func sortedByID(m map[rail.RequestID]*inFlight) []*inFlight {
	requests := make([]*inFlight, 0, len(m))
	for _, f := range m {
		requests = append(requests, f)
	}
	slices.SortFunc(requests, func(a, b *inFlight) int { return strings.Compare(string(a.id()), string(b.id())) })
	return requests
}

// isDue reports whether the time is set and has been reached.
func isDue(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

func addUsage(a, b rail.Usage) rail.Usage {
	return rail.NewUsage(a.Prompt()+b.Prompt(), a.Recomputed()+b.Recomputed(), a.Generated()+b.Generated())
}
