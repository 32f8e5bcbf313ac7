package team

import (
	"fmt"
	"math"
	"time"

	"dandelionrail.org/rail"
)

func (r *Reducer) arrived(e Arrived) []rail.Effect {
	pl := r.pool(e.route.Serves())
	m := pl.member(e.request.Team())
	m.arrivals.add(1, r.now)
	b := r.bucketsOf(e.request.Team())
	b.retries.fill(0, r.settings.retryBurst, r.now)
	b.retries.tokens = math.Min(b.retries.maxTokens, b.retries.tokens+r.retryShare(m.team))
	if !r.withinLimit(b, m.team) {
		return r.refuse(e.request, rail.KindLimited, fmt.Sprintf("over %g requests a second", m.team.Limit()))
	}
	maxWait := r.maxWait(e)
	req := &activeRequest{
		request: e.request, pool: pl, member: m, arrivedAt: r.now, expiresAt: r.now.Add(time.Duration(queueShare * float64(maxWait))),
		resumable: e.route.Kind() == rail.RouteModel && e.route.Idempotent(),
	}
	m.queue = append(m.queue, req)
	pl.allocate(r.reachableShare(), r.now)
	if wait := pl.expectedWait(m); pl.slots > 0 && (wait > maxWait || len(m.queue) > r.settings.maxQueue) {
		m.remove(req)
		return r.refuse(e.request, rail.KindOverloaded, fmt.Sprintf("would wait %s, more than %s", wait.Round(time.Millisecond), maxWait))
	}
	r.requests[e.request.ID()] = req
	effects := append(r.startTick(), r.admit(pl)...)
	return append(effects, r.preempt(req)...)
}

// queueShare is the fraction of its maximum wait that a request may spend in this queue; the rest is left for the upstream's queue.
const queueShare = 0.9

// maxWait returns how long a request may wait for a slot. It is the route's
// target where there is one, because under sustained overload a longer queue
// only makes every answer late.
func (r *Reducer) maxWait(e Arrived) time.Duration {
	wait := r.settings.maxWait
	switch {
	case e.route.FirstToken() > 0:
		wait = e.route.FirstToken()
	case e.route.Deadline() > 0:
		wait = e.route.Deadline() / 2
	}
	if d := e.request.Deadline(); !d.IsZero() {
		wait = min(wait, d.Sub(r.now))
	}
	return wait
}

func (r *Reducer) retryShare(t rail.Team) float64 {
	if t.RetryShare() > 0 {
		return t.RetryShare()
	}
	return r.settings.retryShare
}

// withinLimit takes a token from this entry's share of the team's rate limit.
// The share follows the demand at this entry and at the reachable peers.
func (r *Reducer) withinLimit(b *teamBuckets, t rail.Team) bool {
	if t.Limit() <= 0 {
		return true
	}
	local, peers := 0.0, 0.0
	for _, pl := range r.pools {
		if m, ok := pl.byName[t.Name()]; ok {
			m.arrivals.decay(r.now)
			local += m.arrivals.rate
			peers += m.peerRate
		}
	}
	rate := t.Limit() * r.reachableShare() * local / math.Max(local+peers, minRate)
	b.limit.fill(rate, math.Max(1, rate*r.settings.limitBurst.Seconds()), r.now)
	return b.limit.take()
}

func (r *Reducer) refuse(request rail.Request, kind rail.Kind, message string) []rail.Effect {
	return []rail.Effect{
		Refused{request: request.ID(), kind: kind, message: message},
		rail.NewReport(rail.EventTeamRefused, string(request.ID()), string(request.Team())+": "+message),
	}
}

// admit starts queued requests while slots are free.
func (r *Reducer) admit(pl *pool) []rail.Effect {
	effects := r.expire(pl)
	pl.allocate(r.reachableShare(), r.now)
	for pl.slots == 0 || pl.running < pl.maxRunning {
		m := pl.nextMember()
		if m == nil {
			break
		}
		req := m.queue[0]
		m.queue = m.queue[1:]
		req.startedAt = r.now
		m.running++
		pl.running++
		effects = append(effects, Admitted{request: req.request.ID()})
	}
	return effects
}

// preempt asks to stop a request in a borrowed slot for a queued request of a team below its reserved share.
func (r *Reducer) preempt(req *activeRequest) []rail.Effect {
	if !r.settings.preemption || !req.startedAt.IsZero() || !req.member.belowReserved() {
		return nil
	}
	borrowed := req.pool.preemptible(r.requests)
	if borrowed == nil {
		return nil
	}
	borrowed.preempted = true
	return []rail.Effect{Preempt{request: borrowed.request.ID()}}
}

func (r *Reducer) ended(id rail.RequestID) []rail.Effect {
	req, ok := r.requests[id]
	if !ok {
		return nil
	}
	delete(r.requests, id)
	if req.startedAt.IsZero() {
		req.member.remove(req)
		return nil
	}
	req.member.running--
	req.pool.running--
	if !req.preempted {
		req.pool.serviceTime += serviceTimeGain * (r.now.Sub(req.startedAt).Seconds() - req.pool.serviceTime)
	}
	return r.admit(req.pool)
}
