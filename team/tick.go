package team

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
)

func (p *Reducer) startTick() []rail.Effect {
	if p.timerSet {
		return nil
	}
	p.timerSet = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tickInterval)}
}

// tick refuses requests that have waited too long, admits others and publishes the demand.
func (p *Reducer) tick() []rail.Effect {
	p.timerSet = false
	var effects []rail.Effect
	publish := p.now.Sub(p.publishedAt) >= p.settings.publishInterval
	if publish {
		p.publishedAt = p.now
		p.removeSilentPeers()
	}
	idle := len(p.requests) == 0
	for _, pl := range p.sortedPools() {
		effects = append(effects, p.admit(pl)...)
		if publish {
			effects = append(effects, p.publishDemand(pl)...)
		}
		idle = idle && pl.publishedDemand == ""
	}
	if idle {
		return effects
	}
	return append(effects, p.startTick()...)
}

// expire refuses queued requests that have expired. It checks queues from the head only, because they are nearly sorted by expiry.
func (p *Reducer) expire(pl *pool) []rail.Effect {
	var effects []rail.Effect
	for _, m := range pl.members {
		for len(m.queue) > 0 && !p.now.Before(m.queue[0].expiresAt) {
			r := m.queue[0]
			m.queue = m.queue[1:]
			delete(p.requests, r.request.ID())
			waited := p.now.Sub(r.arrivedAt).Round(time.Millisecond)
			effects = append(effects, p.refuse(r.request, rail.KindOverloaded, fmt.Sprintf("waited %s", waited))...)
		}
	}
	return effects
}

// publishDemand publishes the local demand for the pool if it has changed.
func (p *Reducer) publishDemand(pl *pool) []rail.Effect {
	for _, m := range pl.members {
		m.arrivals.decay(p.now)
	}
	text := formatDemand(pl.members)
	if text == pl.publishedDemand {
		return nil
	}
	pl.publishedDemand = text
	return []rail.Effect{rail.NewPublish(rail.FactDemand, pl.serves, text)}
}

// demandTimeouts is the number of peer timeouts after which the demand of a silent peer is dropped.
const demandTimeouts = 2

// removeSilentPeers drops the demand of peers from which no fact was received for demandTimeouts peer timeouts.
func (p *Reducer) removeSilentPeers() {
	for origin, at := range p.lastReceived {
		if p.now.Sub(at) <= demandTimeouts*p.settings.peerTimeout {
			continue
		}
		delete(p.lastReceived, origin)
		for _, pl := range p.pools {
			pl.setPeerRates(origin, nil)
		}
	}
}
