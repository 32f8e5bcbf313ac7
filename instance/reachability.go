package instance

import (
	"time"

	"dandelionrail.org/rail"
)

// markUnreachable excludes an upstream for unreachableDuration while others are reachable.
func (r *Reducer) markUnreachable(id rail.InstanceID, at time.Time) []rail.Effect {
	m, ok := r.members[id]
	if !ok {
		return nil
	}
	m.unreachableUntil = at.Add(unreachableDuration)
	r.upstreams.invalidate(m.instance)
	return []rail.Effect{rail.NewSetTimer(retryTimer, unreachableDuration)}
}

func (r *Reducer) markReachable(id rail.InstanceID) {
	m, ok := r.members[id]
	if ok && !m.unreachableUntil.IsZero() {
		m.unreachableUntil = time.Time{}
		r.upstreams.invalidate(m.instance)
	}
}

// expireUnreachable marks the upstreams whose time has passed as reachable and sets the timer for the next one.
func (r *Reducer) expireUnreachable(at time.Time) []rail.Effect {
	next := time.Duration(0)
	for id, m := range r.members {
		if m.unreachableUntil.IsZero() {
			continue
		}
		left := m.unreachableUntil.Sub(at)
		if left <= 0 {
			r.markReachable(id)
			continue
		}
		if next == 0 || left < next {
			next = left
		}
	}
	if next == 0 {
		return nil
	}
	return []rail.Effect{rail.NewSetTimer(retryTimer, next)}
}
