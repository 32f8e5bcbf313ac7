package answer

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// cutoffShare is the last part of the notice, in which nothing is left to end here.
	cutoffShare = 5
	// backlogInterval is the time between two looks at the backlog.
	backlogInterval = 200 * time.Millisecond
	// triesOfSuccessor is how often one successor is tried before another is taken.
	triesOfSuccessor = 2
)

// leave is what a leaving entry knows of its own end.
type leave struct {
	started   bool
	reclaim   bool
	linger    time.Time
	cutoff    time.Time
	drained   bool
	successor rail.Instance
	failed    []rail.InstanceID
	tries     int
	// proven says that the successor has taken something; only then is a request stopped here.
	proven bool
	// again says that another round must follow at once.
	again    bool
	sequence int
	// pending are the requests of this round that are still to be sent.
	pending []rail.RequestID
	// ended are requests that ended here after their copy was sent.
	ended []Transfer
	// batches are the handovers that are not answered yet, by their sequence numbers.
	batches map[int]batch
}

// refuses reports whether new requests are refused.
func (l *leave) refuses(now time.Time) bool { return l.started && !now.Before(l.linger) }

// handsOver reports whether requests go to a successor.
func (l *leave) handsOver() bool { return l.reclaim && l.proven }

// shutdown starts to leave; a reclaim may come during a graceful shutdown.
func (p *Reducer) shutdown(in rail.Input, e rail.ShutdownStarted) []rail.Effect {
	l, now := &p.leave, in.At()
	var effects []rail.Effect
	if !l.started {
		l.started, l.linger = true, now.Add(p.settings.linger)
		effects = append(effects, rail.NewSetTimer(drainTimer, p.settings.linger))
	}
	if !e.Reclaim() || l.reclaim {
		return effects
	}
	deadline := e.Deadline()
	if deadline.IsZero() {
		deadline = now.Add(p.settings.notice)
	}
	notice := max(deadline.Sub(now), 0)
	l.reclaim, l.cutoff = true, deadline.Add(-notice/cutoffShare)
	l.linger = earliest(l.linger, now.Add(notice/2))
	effects = append(effects, rail.NewSetTimer(drainTimer, max(l.linger.Sub(now), 0)))
	return append(effects, p.handOver(in)...)
}

// drained tells once that nothing is in progress any more.
func (p *Reducer) drained(in rail.Input) []rail.Effect {
	l := &p.leave
	if l.drained || !l.refuses(in.At()) || len(p.requests)+len(l.ended)+len(l.batches) > 0 {
		return nil
	}
	if p.backlog != nil && p.backlog.Waiting() > 0 {
		return []rail.Effect{rail.NewSetTimer(drainTimer, backlogInterval)}
	}
	l.drained = true
	return []rail.Effect{Drained{}, rail.NewReport(rail.EventDrained, "entry", "nothing in progress")}
}

func (p *Reducer) listRead(in rail.Input, e rail.ListRead) []rail.Effect {
	var effects []rail.Effect
	p.entries = p.entries[:0]
	listed := make(map[rail.InstanceID]bool, len(p.gone))
	for _, i := range e.Instances() {
		if p.gone[i.ID()] {
			listed[i.ID()] = true
		}
		switch {
		case i.Leaving():
			effects = append(effects, p.instanceLeaving(in, i.ID())...)
		case i.Role() == rail.RoleEntry:
			p.entries = append(p.entries, i)
		}
	}
	maps.DeleteFunc(p.gone, func(id rail.InstanceID, _ bool) bool { return !listed[id] })
	return effects
}

// successorLeaving notes a leaving instance and takes another successor if it was that.
func (p *Reducer) successorLeaving(in rail.Input, id rail.InstanceID) []rail.Effect {
	p.gone[id] = true
	if p.leave.successor.ID() != id {
		return nil
	}
	p.leave.drop()
	return p.restart(in)
}

// drop gives up the successor.
func (l *leave) drop() { l.successor, l.proven = rail.Instance{}, false }

// chooseSuccessor takes one entry of another failure domain, of its own only if there is no other.
func (p *Reducer) chooseSuccessor(in rail.Input) bool {
	l := &p.leave
	l.tries = 0
	far, near := p.successors(l.failed)
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		// All are tried once more after a pause.
		l.failed = nil
		return false
	}
	l.successor = far[p.random(in)%uint64(len(far))]
	return true
}

func (p *Reducer) successors(failed []rail.InstanceID) (far, near []rail.Instance) {
	entries := p.entries
	if p.members != nil {
		entries = p.members.Peers()
	}
	for _, i := range entries {
		switch {
		case p.gone[i.ID()] || i.ID() == p.settings.instance || slices.Contains(failed, i.ID()):
		case i.Domain() != p.domain:
			far = append(far, i)
		default:
			near = append(near, i)
		}
	}
	return far, near
}
