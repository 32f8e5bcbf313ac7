package gateway

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/concurrency"
)

// overloadedRetryAfter is the Retry-After value while a service recovers and no peer takes its calls.
const overloadedRetryAfter = time.Second

// keptTime is how long after an answer a connection to the upstream is assumed to be kept.
const keptTime = 5 * time.Second

// kept reports whether this gateway should have an idle connection to the upstream.
func (t *target) kept(now time.Time) bool {
	return t.ownLoad.running == 0 && !t.answeredAt.IsZero() && now.Sub(t.answeredAt) < keptTime
}

// recovery returns the limit of the attempts on new connections to a service whose upstreams did not answer lately, nil if there is none.
func (s *State) recovery(service string) *concurrency.Limit {
	x, ok := s.partitions[service]
	if !ok || x.recovery == nil {
		return nil
	}
	if x.recovery.Lifted(s.now) {
		x.recovery = nil
	}
	return x.recovery
}

// limitsNewConnections reports whether the call must not be sent on a new connection, since others wait for answers on theirs.
func (s *State) limitsNewConnections(service string, c *Call) bool {
	r := s.recovery(service)
	return r != nil && !r.Allows(s.unprovenAttempts(service, c))
}

// unprovenAttempts returns the number of attempts, besides that of the call, that wait for the first answer on a new connection.
func (s *State) unprovenAttempts(service string, but *Call) int {
	n := 0
	for c, p := range s.calls {
		if c != but && p.unproven && p.peer == "" && !p.gotFirstToken && p.service.name == service {
			n++
		}
	}
	return n
}

// recordAnswered records that the upstream of an attempt answers.
func (s *State) recordAnswered(p *pendingCall) {
	p.target.answeredAt = s.now
	if r := s.recovery(p.service.name); r != nil && p.unproven {
		r.Answered()
	}
	p.unproven = false
}

// recordUnanswered records that the upstream of an attempt did not answer, and limits new connections if others do not either. Connections that
// are refused or broken cost an upstream nothing.
func (s *State) recordUnanswered(p *pendingCall, o Outcome) []Effect {
	p.target.answeredAt = time.Time{}
	if o.kind != rail.KindUpstreamSilent && o.kind != rail.KindDeadlinePassed {
		return nil
	}
	service := p.service.name
	if r := s.recovery(service); r != nil {
		r.Failed(s.now)
		return nil
	}
	x := s.partitionOf(service)
	if !s.suspicious(service, x) {
		return nil
	}
	x.recovery = concurrency.New(s.unprovenAttempts(service, nil)/2, s.now)
	return []Effect{report(rail.EventConnectionsLimited, NewField("service", service), NewField("limit", x.recovery.Most()))}
}

// placeElsewhere forwards a call that may not be sent on a new connection to a peer, or refuses it if there is none.
func (s *State) placeElsewhere(c *Call, p *pendingCall) []Effect {
	if !p.forwarded {
		if peer, ok := s.choosePeer(c, p); ok {
			s.accept(c, p)
			return s.forward(c, p, peer)
		}
	}
	s.refund(p)
	return s.refuse(c, p, rail.KindOverloaded, overloadedRetryAfter)
}
