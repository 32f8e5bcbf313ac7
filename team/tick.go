package team

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
)

func (p *Reducer) startTick() []rail.Effect {
	if p.ticking {
		return nil
	}
	p.ticking = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tick)}
}

// tick refuses what has waited too long, admits anew and tells peers of the demand.
func (p *Reducer) tick() []rail.Effect {
	p.ticking = false
	var effects []rail.Effect
	told := p.now.Sub(p.published) >= p.settings.publish
	if told {
		p.published = p.now
		p.forget()
	}
	idle := len(p.tickets) == 0
	for _, l := range p.ordered() {
		effects = append(effects, p.admit(l)...)
		if told {
			effects = append(effects, p.tell(l)...)
		}
		idle = idle && l.published == ""
	}
	if idle {
		return effects
	}
	return append(effects, p.startTick()...)
}

// expire refuses queued requests that have waited as long as they may; a queue is nearly in order of that time.
func (p *Reducer) expire(l *pool) []rail.Effect {
	var effects []rail.Effect
	for _, m := range l.members {
		for len(m.queue) > 0 && !p.now.Before(m.queue[0].until) {
			t := m.queue[0]
			m.queue = m.queue[1:]
			delete(p.tickets, t.request.ID())
			waited := p.now.Sub(t.at).Round(time.Millisecond)
			effects = append(effects, p.refuse(t.request, rail.KindOverloaded, fmt.Sprintf("waited %s", waited))...)
		}
	}
	return effects
}

// tell publishes the demand on the pool if it has changed.
func (p *Reducer) tell(l *pool) []rail.Effect {
	for _, m := range l.members {
		m.arrivals.fade(p.now)
	}
	text := formatDemand(l.members)
	if text == l.published {
		return nil
	}
	l.published = text
	return []rail.Effect{rail.NewPublish(rail.FactDemand, l.serves, text)}
}

// forgottenAfter is how many times the silence a peer's demand is counted after it was last heard of.
const forgottenAfter = 2

// forget drops the demand of peers that have not been heard of for long.
func (p *Reducer) forget() {
	for origin, at := range p.heard {
		if p.now.Sub(at) <= forgottenAfter*p.settings.silence {
			continue
		}
		delete(p.heard, origin)
		for _, l := range p.pools {
			l.learn(origin, nil)
		}
	}
}
