package team

import (
	"fmt"
	"math"
	"time"

	"dandelionrail.org/rail"
)

func (p *Reducer) arrived(e Arrived) []rail.Effect {
	l := p.pool(e.route.Serves())
	m := l.member(e.request.Team())
	m.arrivals.add(1, p.now)
	a := p.account(e.request.Team())
	a.retries.fill(0, p.settings.retryBurst, p.now)
	a.retries.tokens = math.Min(a.retries.most, a.retries.tokens+p.retryShare(m.team))
	if !p.withinLimit(a, m.team) {
		return p.refuse(e.request, rail.KindLimited, fmt.Sprintf("over %g requests a second", m.team.Limit()))
	}
	patience := p.patience(e)
	t := &ticket{
		request: e.request, pool: l, member: m, at: p.now, until: p.now.Add(time.Duration(queuePart * float64(patience))),
		resumable: e.route.Kind() == rail.RouteModel && e.route.Idempotent(),
	}
	m.queue = append(m.queue, t)
	l.share(p.reach(), p.now)
	if wait := l.expected(m); l.slots > 0 && (wait > patience || len(m.queue) > p.settings.queue) {
		m.remove(t)
		return p.refuse(e.request, rail.KindOverloaded, fmt.Sprintf("would wait %s, more than %s", wait.Round(time.Millisecond), patience))
	}
	p.tickets[e.request.ID()] = t
	effects := append(p.startTick(), p.admit(l)...)
	return append(effects, p.preempt(t)...)
}

// queuePart is the part of its patience that a request may spend in the queue; the rest is for the upstream's own.
const queuePart = 0.9

// patience returns how long a request may wait for its slot: the route's
// target, because a longer queue under a lasting overload only makes every
// answer late.
func (p *Reducer) patience(e Arrived) time.Duration {
	wait := p.settings.wait
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

// withinLimit spends from this entry's part of the team's limit, which goes by
// demand as far as peers are heard of.
func (p *Reducer) withinLimit(a *account, t rail.Team) bool {
	if t.Limit() <= 0 {
		return true
	}
	here, others := 0.0, 0.0
	for _, l := range p.pools {
		if m, ok := l.byName[t.Name()]; ok {
			m.arrivals.fade(p.now)
			here += m.arrivals.rate
			others += m.others
		}
	}
	rate := t.Limit() * p.reach() * here / math.Max(here+others, leastRate)
	a.limit.fill(rate, math.Max(1, rate*p.settings.burst.Seconds()), p.now)
	return a.limit.take()
}

func (p *Reducer) refuse(r rail.Request, kind rail.Kind, message string) []rail.Effect {
	return []rail.Effect{
		Refused{request: r.ID(), kind: kind, message: message},
		rail.NewReport(rail.EventTeamRefused, string(r.ID()), string(r.Team())+": "+message),
	}
}

// admit starts queued requests while there is room.
func (p *Reducer) admit(l *pool) []rail.Effect {
	effects := p.expire(l)
	l.share(p.reach(), p.now)
	for l.slots == 0 || l.running < l.room {
		m := l.next()
		if m == nil {
			break
		}
		t := m.queue[0]
		m.queue = m.queue[1:]
		t.started = p.now
		m.running++
		l.running++
		effects = append(effects, Admitted{request: t.request.ID()})
	}
	return effects
}

// preempt asks for a borrowed slot back for a request that is owed one.
func (p *Reducer) preempt(t *ticket) []rail.Effect {
	if !p.settings.preemption || !t.started.IsZero() || !t.member.owed() {
		return nil
	}
	b := t.pool.borrower(p.tickets)
	if b == nil {
		return nil
	}
	b.preempted = true
	return []rail.Effect{Preempt{request: b.request.ID()}}
}

func (p *Reducer) ended(id rail.RequestID) []rail.Effect {
	t, ok := p.tickets[id]
	if !ok {
		return nil
	}
	delete(p.tickets, id)
	if t.started.IsZero() {
		t.member.remove(t)
		return nil
	}
	t.member.running--
	t.pool.running--
	if !t.preempted {
		t.pool.service += serviceGain * (p.now.Sub(t.started).Seconds() - t.pool.service)
	}
	return p.admit(t.pool)
}
