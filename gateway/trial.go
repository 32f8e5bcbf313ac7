package gateway

import (
	"slices"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/blocklist"
)

// quarantineVerdict decides whether a call of the team is refused because upstreams crash under it or under parts of its prompt, or tries
// them out.
func (s *State) quarantineVerdict(c *Call, team string) blocklist.Verdict {
	onTrial := func(key string) bool {
		trial := s.quarantine.trials[key]
		_, pending := s.calls[trial]
		return pending && trial != c
	}
	return s.quarantine.check(c, team, s.trueTime(), onTrial, s.triesRequest)
}

// retryQuarantined reports whether a call gets no further attempt because upstreams may crash under it. One that tries out blocked parts
// may go on at another upstream if it has not run and this gateway makes its attempts.
func (s *State) retryQuarantined(c *Call, p *pendingCall, notRun bool) bool {
	v := s.quarantineVerdict(c, p.teamName())
	_, refused := v.Refused()
	return refused || (len(v.Trials()) > 0 && (!notRun || p.peer != ""))
}

// trialGateway returns the gateway that tries out an entry with calls of the service; the others forward their calls to it, so that one call
// at a time shows whether upstreams still crash. ok is false if it is not reached.
func (s *State) trialGateway(t blocklist.Trial, service string) (name string, ok bool) {
	key := t.Entry().Key()
	if onlyRequest(t.Entry()) {
		return s.settings.name, true // Gateways take turns, see triesRequest.
	}
	if !s.partitioned(service) {
		name, ok = s.settings.name, true
	}
	reached := s.forwardPeers(service)
	for peer, r := range s.registrations.byName {
		alive := s.peerAlive(peer, r) && !s.partitionedPeers[service][peer]
		if (alive || t.Expired()) && (name == "" || hashWeight(key, peer) > hashWeight(key, name)) {
			name, ok = peer, slices.Contains(reached, peer)
		}
	}
	return name, ok
}

// tryElsewhere forwards a call that tries out blocked parts to the gateway that may do so, or refuses it if that one is not reached. It
// returns false if this gateway goes on with the call.
func (s *State) tryElsewhere(c *Call, p *pendingCall, v blocklist.Verdict) ([]Effect, bool) {
	switch name, reached := s.trialPeer(p, v); {
	case name == "":
		return nil, false
	case !reached:
		s.refund(p)
		return s.refuse(c, p, rail.KindQuarantined, unreachedTrialRetryAfter), true
	default:
		s.accept(c, p)
		return s.forward(c, p, name), true
	}
}

// trialPeer returns the peer that tries out the call's blocked parts, empty if this gateway goes on with the call, and whether it is
// reached.
func (s *State) trialPeer(p *pendingCall, v blocklist.Verdict) (name string, reached bool) {
	if len(v.Trials()) == 0 || p.forwarded {
		return "", false
	}
	if name, reached = s.trialGateway(v.Trials()[0], p.service.name); name == s.settings.name {
		return "", false
	}
	return name, reached
}
