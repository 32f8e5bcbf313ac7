package answer

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// cutoffDivisor sets the last 1/5 of the notice, in which no request that can be handed over keeps running here.
	cutoffDivisor = 5
	// backlogPollInterval is the time between two checks of the backlog.
	backlogPollInterval = 200 * time.Millisecond
	// maxTriesPerSuccessor is how many handovers to one successor may fail in a row before another is chosen.
	maxTriesPerSuccessor = 2
)

// leaveState is the state of an entry's own shutdown or reclaim.
type leaveState struct {
	started          bool
	reclaim          bool
	acceptUntil      time.Time
	cutoff           time.Time
	drained          bool
	successor        rail.Instance
	failedSuccessors []rail.InstanceID
	tries            int
	// successorConfirmed is whether the successor has accepted a handover; running requests are stopped here only then.
	successorConfirmed bool
	// roundRequested is whether another round must follow at once.
	roundRequested bool
	sequence       int
	// pending are the requests of this round that have not been sent yet.
	pending []rail.RequestID
	// ended are requests that ended here after a copy of them was sent.
	ended []Transfer
	// batches are the unanswered handovers by sequence number.
	batches map[int]batch
}

// refusesRequests reports whether new requests are refused.
func (l *leaveState) refusesRequests(now time.Time) bool {
	return l.started && !now.Before(l.acceptUntil)
}

// handsOver reports whether requests are stopped here and moved to the successor.
func (l *leaveState) handsOver() bool { return l.reclaim && l.successorConfirmed }

// handleShutdownStarted starts to leave; a reclaim may follow during a graceful shutdown.
func (r *Reducer) handleShutdownStarted(in rail.Input, e rail.ShutdownStarted) []rail.Effect {
	l, now := &r.leave, in.At()
	var effects []rail.Effect
	if !l.started {
		l.started, l.acceptUntil = true, now.Add(r.settings.linger)
		effects = append(effects, rail.NewSetTimer(drainTimer, r.settings.linger))
	}
	if !e.Reclaim() || l.reclaim {
		return effects
	}
	deadline := e.Deadline()
	if deadline.IsZero() {
		deadline = now.Add(r.settings.defaultNotice)
	}
	notice := max(deadline.Sub(now), 0)
	l.reclaim, l.cutoff = true, deadline.Add(-notice/cutoffDivisor)
	l.acceptUntil = earliest(l.acceptUntil, now.Add(notice/2))
	effects = append(effects, rail.NewSetTimer(drainTimer, max(l.acceptUntil.Sub(now), 0)))
	return append(effects, r.startRound(in)...)
}

// checkDrained reports once that nothing is in progress any more.
func (r *Reducer) checkDrained(in rail.Input) []rail.Effect {
	l := &r.leave
	if l.drained || !l.refusesRequests(in.At()) || len(r.requests)+len(l.ended)+len(l.batches) > 0 {
		return nil
	}
	if r.backlog != nil && r.backlog.Waiting() > 0 {
		return []rail.Effect{rail.NewSetTimer(drainTimer, backlogPollInterval)}
	}
	l.drained = true
	return []rail.Effect{Drained{}, rail.NewReport(rail.EventDrained, "entry", "nothing in progress")}
}

func (r *Reducer) handleListRead(in rail.Input, e rail.ListRead) []rail.Effect {
	var effects []rail.Effect
	r.entries = r.entries[:0]
	listed := make(map[rail.InstanceID]bool, len(r.leavingInstances))
	for _, i := range e.Instances() {
		if r.leavingInstances[i.ID()] {
			listed[i.ID()] = true
		}
		switch {
		case i.Leaving():
			effects = append(effects, r.handleInstanceLeaving(in, i.ID())...)
		case i.Role() == rail.RoleEntry:
			r.entries = append(r.entries, i)
		}
	}
	maps.DeleteFunc(r.leavingInstances, func(id rail.InstanceID, _ bool) bool { return !listed[id] })
	return effects
}

// recordLeavingInstance records a leaving instance and chooses another successor if it was the successor.
func (r *Reducer) recordLeavingInstance(in rail.Input, id rail.InstanceID) []rail.Effect {
	r.leavingInstances[id] = true
	if r.leave.successor.ID() != id {
		return nil
	}
	r.leave.dropSuccessor()
	return r.restartRound(in)
}

func (l *leaveState) dropSuccessor() { l.successor, l.successorConfirmed = rail.Instance{}, false }

// chooseSuccessor chooses a random entry of another failure domain, of its own only if there is no other.
func (r *Reducer) chooseSuccessor(in rail.Input) bool {
	l := &r.leave
	l.tries = 0
	candidates, ownDomain := r.successorCandidates(l.failedSuccessors)
	if len(candidates) == 0 {
		candidates = ownDomain
	}
	if len(candidates) == 0 {
		// The next round tries all of them again.
		l.failedSuccessors = nil
		return false
	}
	l.successor = candidates[r.nextRandom(in)%uint64(len(candidates))]
	return true
}

func (r *Reducer) successorCandidates(failed []rail.InstanceID) (otherDomains, ownDomain []rail.Instance) {
	entries := r.entries
	if r.members != nil {
		entries = r.members.Peers()
	}
	for _, i := range entries {
		switch {
		case r.leavingInstances[i.ID()] || i.ID() == r.settings.instance || slices.Contains(failed, i.ID()):
		case i.Domain() != r.domain:
			otherDomains = append(otherDomains, i)
		default:
			ownDomain = append(ownDomain, i)
		}
	}
	return otherDomains, ownDomain
}
