package entry

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

const (
	// shutdownFinishedTimer fires when a drained entry has waited for its last handovers.
	shutdownFinishedTimer rail.TimerName = "entry.left"
	// finalHandoverDelay is how long a drained entry waits for its last handovers.
	finalHandoverDelay = time.Second
)

// leavingState records the steps that this entry's own leaving has reached.
type leavingState struct {
	started         bool
	reclaim         bool
	refusesRequests bool
	sealed          bool
}

// handleShutdown starts the leaving; an instance that is being reclaimed seals its tickets at once.
func (c *Composite) handleShutdown(e rail.ShutdownStarted) []rail.Effect {
	first := !c.leaving.started
	c.leaving.started = true
	if !e.Reclaim() {
		if first {
			return []rail.Effect{rail.NewReport(rail.EventShutdown, string(c.me.ID()), "shutdown")}
		}
		return nil
	}
	if c.leaving.reclaim {
		return nil
	}
	c.leaving.reclaim = true
	report := rail.NewReport(rail.EventShutdown, string(c.me.ID()), "reclaim at "+e.Deadline().UTC().Format(time.RFC3339))
	return append(raise(c.seal()), report)
}

// handleDrained seals the tickets of a leaving entry that has no more requests in progress.
func (c *Composite) handleDrained() ([]rail.Event, rail.Effect) {
	c.leaving.refusesRequests = true
	return c.seal(), rail.NewSetTimer(shutdownFinishedTimer, finalHandoverDelay)
}

// seal instructs the order reducer to hand the open tickets over to one entry, in another failure domain if there is one.
func (c *Composite) seal() []rail.Event {
	if c.leaving.sealed {
		return nil
	}
	c.leaving.sealed = true
	var successor rail.Incarnation
	for _, p := range c.reducers.instances.Peers() {
		if successor == "" || p.Domain() != c.me.Domain() {
			successor = p.Incarnation()
		}
		if p.Domain() != c.me.Domain() {
			break
		}
	}
	return []rail.Event{order.NewSealed(successor)}
}
