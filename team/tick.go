package team

import (
	"fmt"
	"time"

	"dandelionrail.org/rail"
)

func (r *Reducer) startTick() []rail.Effect {
	if r.timerSet {
		return nil
	}
	r.timerSet = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, r.settings.tickInterval)}
}

// tick refuses requests that have waited too long, admits others and publishes the demand.
func (r *Reducer) tick() []rail.Effect {
	r.timerSet = false
	var effects []rail.Effect
	publish := r.now.Sub(r.publishedAt) >= r.settings.publishInterval
	if publish {
		r.publishedAt = r.now
		r.removeSilentPeers()
	}
	idle := len(r.requests) == 0
	for _, pl := range r.sortedPools() {
		effects = append(effects, r.admit(pl)...)
		if publish {
			effects = append(effects, r.publishDemand(pl)...)
		}
		idle = idle && pl.publishedDemand == ""
	}
	if idle {
		return effects
	}
	return append(effects, r.startTick()...)
}

// expire refuses queued requests that have expired. It checks queues from the head only, because they are nearly sorted by expiry.
func (r *Reducer) expire(pl *pool) []rail.Effect {
	var effects []rail.Effect
	for _, m := range pl.members {
		for len(m.queue) > 0 && !r.now.Before(m.queue[0].expiresAt) {
			req := m.queue[0]
			m.queue = m.queue[1:]
			delete(r.requests, req.request.ID())
			waited := r.now.Sub(req.arrivedAt).Round(time.Millisecond)
			effects = append(effects, r.refuse(req.request, rail.KindOverloaded, fmt.Sprintf("waited %s", waited))...)
		}
	}
	return effects
}

// publishDemand publishes the local demand for the pool if it has changed.
func (r *Reducer) publishDemand(pl *pool) []rail.Effect {
	for _, m := range pl.members {
		m.arrivals.decay(r.now)
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
func (r *Reducer) removeSilentPeers() {
	for origin, at := range r.lastReceived {
		if r.now.Sub(at) <= demandTimeouts*r.settings.peerTimeout {
			continue
		}
		delete(r.lastReceived, origin)
		for _, pl := range r.pools {
			pl.setPeerRates(origin, nil)
		}
	}
}
