package gateway

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// maxForwards bounds the forwards of one call that reached no upstream.
	maxForwards = 3
	// peerEjection is how long a peer gets no forwards after it was not reached, or none of a service that it refused.
	peerEjection = time.Second
	// minUnreachable is the number of upstreams that a call must have found unreachable before it is forwarded.
	minUnreachable = 2
	// hopGoals and hopMargin are added to the time that a peer waits for an upstream: the peer decides first.
	hopGoals  = 1
	hopMargin = 200 * time.Millisecond
)

// hop is what this gateway knows of a peer from forwards.
type hop struct {
	// target stands for the peer in the attempts that it makes; it is in no list of upstreams.
	target *target
	// refusedUntil holds until when the peer gets no calls of a service, by the service's name.
	refusedUntil map[string]time.Time
}

// accepts reports whether the peer may get calls of the service.
func (h *hop) accepts(service string, now time.Time) bool {
	return h.target.health.available(now) && !now.Before(h.refusedUntil[service])
}

// hop returns what is known of the peer.
func (s *State) hop(peer string, r Registration) *hop {
	h, ok := s.hops[peer]
	if !ok || h.target.address != r.forwardAddress {
		h = &hop{target: &target{Upstream: NewUpstream("", "", r.forwardAddress, r.domain, 0), cache: newCache()}, refusedUntil: map[string]time.Time{}}
		s.hops[peer] = h
	}
	return h
}

// refusalScope is what a peer's refusal tells of.
type refusalScope int

const (
	// ofPeer is a refusal of a peer that accepts no call.
	ofPeer refusalScope = iota
	// ofService is a refusal of a peer that has no room for the service, or does not reach it.
	ofService
	// ofCall is a refusal that tells nothing of other calls, or only until both gateways have the same configuration.
	ofCall
)

// refusalScopes holds the scopes of the kinds with which a peer refuses a call as not run. Those that are not listed are of the peer.
var refusalScopes = map[rail.Kind]refusalScope{
	rail.KindPeerUnreachable:     ofPeer,
	rail.KindLeaving:             ofPeer,
	rail.KindOverloaded:          ofService,
	rail.KindNoUpstream:          ofService,
	rail.KindUpstreamUnreachable: ofService,
	rail.KindNotReady:            ofCall,
	rail.KindUnknownRoute:        ofCall,
	rail.KindUnknownTeam:         ofCall,
	rail.KindQuarantined:         ofCall,
	rail.KindUpstreamFull:        ofCall, // The upstream's; its load tells the peer.
	rail.KindUpstreamReplaced:    ofCall,
}

// forwardPeers returns the names of the peers that accept forwarded calls and may reach the service, in order.
func (s *State) forwardPeers(service string) []string {
	var names []string
	for name, r := range s.registrations.byName {
		if r.forwardAddress == "" || s.partitionedPeers[service][name] || !s.peerAlive(name, r) {
			continue
		}
		if h, ok := s.hops[name]; ok && h.target.address == r.forwardAddress && !h.accepts(service, s.now) {
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// peerAlive reports whether the digests say that the peer runs and is ready. In cells they say it of domains, and of some peers; an old
// digest of another leader's follower says nothing.
func (s *State) peerAlive(name string, r Registration) bool {
	if p, ok := s.peers[name]; ok && (s.cells == nil || p.follower || s.now.Sub(p.receivedAt) < peerTimeout) {
		return s.now.Sub(p.receivedAt) < peerTimeout && (p.digest.full || !p.digest.notReady)
	}
	receivedAt, known := s.domainDigestAt[r.domain]
	return s.cells != nil && known && s.now.Sub(receivedAt) < domainTimeout
}

// choosePeer selects a peer that has not refused the call, false if there is none. Those of this gateway's domain come first unless
// one of them has refused the service or was not reached lately.
func (s *State) choosePeer(c *Call, p *pendingCall) (string, bool) {
	if p.hops >= maxForwards {
		return "", false
	}
	candidates := s.peersFor(p)
	near := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return s.registrations.byName[name].domain != s.settings.domain })
	if len(near) > 0 && !s.nearPeersFail(p.service.name) {
		candidates = near
	}
	best := ""
	for _, name := range candidates {
		if best == "" || hashWeight(c.id, name) > hashWeight(c.id, best) {
			best = name
		}
	}
	return best, best != ""
}

// peersFor returns the names of the peers that may get the call next.
func (s *State) peersFor(p *pendingCall) []string {
	return slices.DeleteFunc(s.forwardPeers(p.service.name), func(name string) bool {
		return slices.Contains(p.refusedBy, name) || !s.peerAllowed(s.registrations.byName[name].domain, p)
	})
}

// nearPeersFail reports whether a peer of this gateway's domain gets no calls of the service.
func (s *State) nearPeersFail(service string) bool {
	for name, h := range s.hops {
		if h.target.domain == s.settings.domain && !h.accepts(service, s.now) && s.registrations.byName[name].forwardAddress == h.target.address {
			return true
		}
	}
	return false
}

// forward lets the peer make the next attempt of the call.
func (s *State) forward(c *Call, p *pendingCall, peer string) []Effect {
	r := s.registrations.byName[peer]
	running, begun := s.runningFor(p)
	f := NewForward(peer, r.forwardAddress, r.accessKey, p.teamName(), s.config.version, slices.Clone(p.triedIDs), p.runsLeft()).WithRunning(running, begun).WithDefinitions(s.config.definitions(p.route, p.team))
	p.attempts++
	p.target, p.peer, p.version = s.hop(peer, r).target, peer, versionKey{}
	p.gotFirstToken, p.promptCleared, p.retryReserved, p.sentAt, p.lastEventAt = false, false, false, s.now, s.now
	p.load = Load{running: 1}
	p.target.ownLoad.add(p.load)
	return []Effect{
		report(rail.EventAttemptSent, NewField("request", c.id), NewField("attempt", p.attempts), NewField("route", p.route.name), NewField("team", p.teamName()),
			NewField("peer", peer), NewField("domain", r.domain), NewField("running", p.target.ownLoad.running),
			NewField("config", s.config.version), NewField("leftMs", p.deadline.Sub(s.now).Milliseconds()), NewField("resume", p.resume)),
		Send{
			call: c, upstream: p.target.Upstream, route: p.route, team: p.teamName(), attempt: p.attempts, priority: p.priority(), resume: p.resume, deadline: p.deadline,
			failoverTimeout: s.hopTimeout(c, p),
			forward:         &f,
		},
	}
}

// hopTimeout returns how long a forward may take to be answered; zero means no such timeout.
func (s *State) hopTimeout(c *Call, p *pendingCall) time.Duration {
	wait := s.failoverTimeout(c, p, 0)
	if wait == 0 {
		return 0
	}
	return wait + hopGoals*p.route.goal + hopMargin
}

// runsLeft returns how many attempts may still run.
func (p *pendingCall) runsLeft() int {
	if p.forwarded {
		return p.attemptsLeft
	}
	return p.route.attempts - p.possibleRuns
}

// refusedByPeer reports whether the attempt was a forward that reached no upstream.
func (p *pendingCall) refusedByPeer(o Outcome) bool {
	return p.peer != "" && o.placement == "" && o.kind.Reply().Run() == rail.NotRun
}

// mayBeCopied reports whether a peer may have taken the copy of an earlier refusal for the upstream's answer to a call that must not run twice,
// or at two upstreams at a time. What a peer refuses before it sends the call to an upstream, or because it reaches none, does not come from an
// answer.
func (s *State) mayBeCopied(p *pendingCall, o Outcome) bool {
	notRun := o.kind != rail.KindUpstreamUnreachable && o.kind.Reply().Run() == rail.NotRun
	return o.placement != "" && notRun && !o.idsOnce && (!p.route.mayRunAgain() || s.tracksRuns(p))
}

// unknownToPeer reports whether a peer refused the call for its route or its team. Its configuration is not older than the one that
// admitted the call, so that it is a newer one, without them.
func (p *pendingCall) unknownToPeer(o Outcome) bool {
	return p.refusedByPeer(o) && (o.kind == rail.KindUnknownRoute || o.kind == rail.KindUnknownTeam)
}

// recordHop records what the outcome of a forward tells of the peer; what it tells of the upstream is recorded there.
func (s *State) recordHop(c *Call, p *pendingCall, o Outcome) []Effect {
	if o.placement != "" && o.kind != rail.KindUpstreamUnreachable {
		p.triedIDs = append(p.triedIDs, o.placement)
		if t, ok := s.registry.targets[o.placement]; ok {
			p.tried[t.start()] = true
		}
	}
	h := s.hops[p.peer]
	if h == nil || h.target != p.target {
		return nil // The peer was removed, or has started again at another address.
	}
	refused := o.kind.Reply().Run() == rail.NotRun
	switch broken := o.placement == "" && (o.kind == rail.KindUpstreamFailed || o.kind == rail.KindUpstreamSilent); {
	case broken, refused && refusalScopes[o.kind] == ofPeer:
		h.target.health.ejectedUntil = s.now.Add(peerEjection)
	case refused && refusalScopes[o.kind] == ofService:
		h.refusedUntil[p.service.name] = s.now.Add(peerEjection)
	}
	if !p.refusedByPeer(o) {
		return nil
	}
	p.refusedBy = append(p.refusedBy, p.peer)
	return []Effect{report(rail.EventForwardRefused, NewField("request", c.id), NewField("service", p.service.name), NewField("peer", p.peer), NewField("kind", string(o.kind)))}
}

// forwardedArrived decides to which upstream a call that a peer forwarded is sent. The peer has charged it to its team and counts it.
func (s *State) forwardedArrived(c *Call) []Effect {
	f := *c.forwarded
	if s.leaving {
		return s.refuse(c, nil, rail.KindLeaving, 0)
	}
	route, team := s.config.route(c.message.host, c.path), s.config.teams[f.team]
	if f.configVersion > s.config.version && (f.definitions == "" || f.definitions != s.config.definitions(route, team)) {
		return s.awaitVersion(c, route)
	}
	if route == nil {
		return s.refuse(c, nil, rail.KindUnknownRoute, 0)
	}
	if team == nil && (f.team != "" || (len(s.config.teams) > 0 && !route.public)) {
		return s.refuse(c, nil, rail.KindUnknownTeam, 0)
	}
	p := &pendingCall{route: route, team: team, forwarded: true, attemptsLeft: f.attemptsLeft, triedIDs: f.tried, usageCounted: true, tried: map[upstreamStart]bool{}, resume: c.resume}
	p.limitDeadline(c)
	if wait, refused := s.quarantineVerdict(c, p.teamName()).Refused(); refused {
		return s.refuse(c, p, rail.KindQuarantined, wait)
	}
	p.service = s.pickService(c, p)
	if s.partitioned(p.service.name) {
		return s.refuse(c, p, rail.KindNoUpstream, noUpstreamRetryAfter)
	}
	for _, id := range f.tried {
		if t, ok := s.registry.targets[id]; ok {
			p.tried[t.start()] = true
		}
	}
	if f.running != "" && s.tracksRuns(p) {
		return s.holdForwarded(c, p, f)
	}
	return s.place(c, p)
}
