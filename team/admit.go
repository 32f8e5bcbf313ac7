package team

import (
	"fmt"
	"math"
	"time"

	"dandelionrail.org/rail"
)

func (p *Reducer) arrived(e Arrived) []rail.Effect {
	pl := p.pool(e.route.Serves())
	m := pl.member(e.request.Team())
	m.arrivals.add(1, p.now)
	b := p.bucketsOf(e.request.Team())
	b.retries.fill(0, p.settings.retryBurst, p.now)
	b.retries.tokens = math.Min(b.retries.maxTokens, b.retries.tokens+p.retryShare(m.team))
	if !p.withinLimit(b, m.team) {
		return p.refuse(e.request, rail.KindLimited, fmt.Sprintf("over %g requests a second", m.team.Limit()))
	}
	maxWait := p.maxWait(e)
	r := &activeRequest{
		request: e.request, pool: pl, member: m, arrivedAt: p.now, expiresAt: p.now.Add(time.Duration(queueShare * float64(maxWait))),
		resumable: e.route.Kind() == rail.RouteModel && e.route.Idempotent(),
	}
	m.queue = append(m.queue, r)
	pl.allocate(p.reachableShare(), p.now)
	if wait := pl.expectedWait(m); pl.slots > 0 && (wait > maxWait || len(m.queue) > p.settings.maxQueue) {
		m.remove(r)
		return p.refuse(e.request, rail.KindOverloaded, fmt.Sprintf("would wait %s, more than %s", wait.Round(time.Millisecond), maxWait))
	}
	p.requests[e.request.ID()] = r
	effects := append(p.startTick(), p.admit(pl)...)
	return append(effects, p.preempt(r)...)
}

// queueShare is the fraction of its maximum wait that a request may spend in this queue; the rest is left for the upstream's queue.
const queueShare = 0.9

// maxWait returns how long a request may wait for a slot. It is the route's
// target where there is one, because under sustained overload a longer queue
// only makes every answer late.
func (p *Reducer) maxWait(e Arrived) time.Duration {
	wait := p.settings.maxWait
	switch {
	case e.route.FirstToken() > 0:
		wait = e.route.FirstToken()
	case e.route.Deadline() > 0:
		wait = e.route.Deadline() / 2
	}
	if d := e.request.Deadline(); !d.IsZero() {
		wait = min(wait, d.Sub(p.now))
	}
	return wait
}

func (p *Reducer) retryShare(t rail.Team) float64 {
	if t.RetryShare() > 0 {
		return t.RetryShare()
	}
	return p.settings.retryShare
}

// withinLimit takes a token from this entry's share of the team's rate limit.
// The share follows the demand at this entry and at the reachable peers.
func (p *Reducer) withinLimit(b *teamBuckets, t rail.Team) bool {
	if t.Limit() <= 0 {
		return true
	}
	local, peers := 0.0, 0.0
	for _, pl := range p.pools {
		if m, ok := pl.byName[t.Name()]; ok {
			m.arrivals.decay(p.now)
			local += m.arrivals.rate
			peers += m.peerRate
		}
	}
	rate := t.Limit() * p.reachableShare() * local / math.Max(local+peers, minRate)
	b.limit.fill(rate, math.Max(1, rate*p.settings.limitBurst.Seconds()), p.now)
	return b.limit.take()
}

func (p *Reducer) refuse(r rail.Request, kind rail.Kind, message string) []rail.Effect {
	return []rail.Effect{
		Refused{request: r.ID(), kind: kind, message: message},
		rail.NewReport(rail.EventTeamRefused, string(r.ID()), string(r.Team())+": "+message),
	}
}

// admit starts queued requests while slots are free.
func (p *Reducer) admit(pl *pool) []rail.Effect {
	effects := p.expire(pl)
	pl.allocate(p.reachableShare(), p.now)
	for pl.slots == 0 || pl.running < pl.maxRunning {
		m := pl.nextMember()
		if m == nil {
			break
		}
		r := m.queue[0]
		m.queue = m.queue[1:]
		r.startedAt = p.now
		m.running++
		pl.running++
		effects = append(effects, Admitted{request: r.request.ID()})
	}
	return effects
}

// preempt reclaims a borrowed slot for a queued request of a team below its reserved share.
func (p *Reducer) preempt(r *activeRequest) []rail.Effect {
	if !p.settings.preemption || !r.startedAt.IsZero() || !r.member.belowReserved() {
		return nil
	}
	borrowed := r.pool.preemptible(p.requests)
	if borrowed == nil {
		return nil
	}
	borrowed.preempted = true
	return []rail.Effect{Preempt{request: borrowed.request.ID()}}
}

func (p *Reducer) ended(id rail.RequestID) []rail.Effect {
	r, ok := p.requests[id]
	if !ok {
		return nil
	}
	delete(p.requests, id)
	if r.startedAt.IsZero() {
		r.member.remove(r)
		return nil
	}
	r.member.running--
	r.pool.running--
	if !r.preempted {
		r.pool.serviceTime += serviceTimeGain * (p.now.Sub(r.startedAt).Seconds() - r.pool.serviceTime)
	}
	return p.admit(r.pool)
}
