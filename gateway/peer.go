package gateway

import "time"

// peer is what this gateway knows of another one.
type peer struct {
	digest Digest
	heard  time.Time
	// assumed is what the peer is taken to have admitted since it was last heard, by team.
	assumed map[string]float64
	// past names its earlier incarnations.
	past map[string]bool
	// ended holds the usage of its earlier incarnations.
	ended usage
}

const (
	// peerSilence is the time without a digest after which a peer's part of each limit is taken as used.
	peerSilence = time.Second
	// peerForgotten is the time without a digest after which a peer that the store does not list is dropped.
	peerForgotten = 30 * time.Second
	// peerSettle is the time after the start of an outage in which a peer may not have noticed it.
	peerSettle = 900 * time.Millisecond
	// loadAge is how long a peer's load counts.
	loadAge = 3 * time.Second
)

func (s *State) heard(d Digest) []Effect {
	if d.gateway == s.settings.name {
		return nil
	}
	p, ok := s.peers[d.gateway]
	if !ok {
		p = &peer{digest: Digest{tokens: d.tokens, incarnation: d.incarnation}, assumed: map[string]float64{}, ended: usage{}, past: map[string]bool{}}
		s.peers[d.gateway] = p
	}
	if p.past[d.incarnation] || (p.digest.incarnation == d.incarnation && d.sequence < p.digest.sequence) {
		return nil // Held up on the way; a later one was heard.
	}
	s.clock.hear(d.gateway, d.wall, s.now)
	before := p.digest.tokens
	if p.digest.incarnation != d.incarnation {
		before = nil
		p.past[p.digest.incarnation] = true
		for w, counts := range p.digest.usage {
			for team, n := range counts {
				p.ended.count(w, team, n)
			}
		}
	}
	if s.catalogue != nil {
		for name, total := range d.tokens {
			if t := s.catalogue.teams[name]; t != nil {
				spent := float64(total-before[name]) - p.assumed[name]
				if spent > 0 {
					s.quota(t).add(spent)
				}
			}
		}
	}
	clear(p.assumed)
	p.digest, p.heard = d, s.now
	if s.roster.storeAway && !d.storeAway && s.now.Sub(s.roster.storeLost) > peerSettle {
		s.roster.partial = true
	}
	var effects []Effect
	for _, id := range d.leaving {
		effects = append(effects, s.roster.leave(id, d.gateway, s.now)...)
	}
	return effects
}

// sumPeers adds up what the peers have under way at each upstream.
func (s *State) sumPeers() {
	for _, t := range s.roster.targets {
		t.peers = Load{}
	}
	for name, p := range s.peers {
		if s.now.Sub(p.heard) > peerForgotten && s.registered[name] == "" {
			delete(s.peers, name)
			continue
		}
		if s.now.Sub(p.heard) > loadAge {
			continue
		}
		for id, l := range p.digest.loads {
			if t, ok := s.roster.targets[id]; ok {
				t.peers.add(l)
			}
		}
	}
}

// assumePeers draws the part of each limit that gateways which are not heard may use, so that the limit holds while they are cut off.
func (s *State) assumePeers() {
	if s.catalogue == nil {
		return
	}
	part := 1 / float64(s.gateways())
	for name := range s.registered {
		p, ok := s.peers[name]
		if !ok {
			continue // Not heard since this start: its part is small beside the slack.
		}
		silent := s.now.Sub(p.heard)
		if silent < peerSilence || silent > peerForgotten {
			continue
		}
		for _, t := range s.catalogue.teams {
			if t.rate <= 0 {
				continue
			}
			due := part*t.rate*(silent-peerSilence).Seconds() - p.assumed[t.name]
			if due > 0 {
				p.assumed[t.name] += due
				s.quota(t).add(due)
			}
		}
	}
}

func (s *State) peersRead(e PeersRead) {
	if e.whole {
		clear(s.registered)
	}
	for name, address := range e.addresses {
		switch {
		case name == s.settings.name:
		case address == "":
			delete(s.registered, name)
		default:
			s.registered[name] = address
		}
	}
}

// Peers returns the addresses of the other gateways by name.
func (s *State) Peers() map[string]string {
	peers := make(map[string]string, len(s.registered))
	for name, address := range s.registered {
		peers[name] = address
	}
	return peers
}

// Holder returns the fence of the peer that said lately that it holds the lease on the duties, zero if none did.
func (s *State) Holder() int64 {
	var fence int64
	for _, p := range s.peers {
		if s.now.Sub(p.heard) < peerSilence {
			fence = max(fence, p.digest.fence)
		}
	}
	return fence
}

// Readers returns the names of the peers that said lately that they reach the store.
func (s *State) Readers() []string {
	var names []string
	for name, p := range s.peers {
		if !p.digest.storeAway && s.now.Sub(p.heard) < loadAge {
			names = append(names, name)
		}
	}
	return names
}

// readers is the number of gateways that read the store for all.
const readers = 2

// Reads reports whether this gateway is one of those that read the store: the first by name of those that reach it.
func (s *State) Reads() bool {
	if s.roster.storeAway {
		return true
	}
	before := 0
	for name, p := range s.peers {
		if name < s.settings.name && !p.digest.storeAway && !p.digest.idle && s.now.Sub(p.heard) < peerSilence {
			before++
		}
	}
	return before < readers
}
