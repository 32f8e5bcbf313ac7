package instance

import (
	"time"

	"dandelionrail.org/rail"
)

// unreachable passes an upstream over for a while.
func (p *Reducer) unreachable(id rail.InstanceID, at time.Time) []rail.Effect {
	m, ok := p.members[id]
	if !ok {
		return nil
	}
	m.passedOver = at.Add(passOver)
	p.upstreams.invalidate(m.instance)
	return []rail.Effect{rail.NewSetTimer(timerPassOver, passOver)}
}

func (p *Reducer) reachable(id rail.InstanceID) {
	m, ok := p.members[id]
	if ok && !m.passedOver.IsZero() {
		m.passedOver = time.Time{}
		p.upstreams.invalidate(m.instance)
	}
}

// retry lets the upstreams be tried again whose time has passed, and waits for the next.
func (p *Reducer) retry(at time.Time) []rail.Effect {
	next := time.Duration(0)
	for id, m := range p.members {
		if m.passedOver.IsZero() {
			continue
		}
		left := m.passedOver.Sub(at)
		if left <= 0 {
			p.reachable(id)
			continue
		}
		if next == 0 || left < next {
			next = left
		}
	}
	if next == 0 {
		return nil
	}
	return []rail.Effect{rail.NewSetTimer(timerPassOver, next)}
}
