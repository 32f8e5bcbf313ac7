package gateway

import (
	"math"
	"slices"
	"time"
)

// peer is what this gateway knows of another one.
type peer struct {
	digest Digest
	heard  time.Time
	// past names its earlier incarnations.
	past map[string]bool
	// ended holds the usage of its earlier incarnations, endedAdmitted what they admitted up to the time endedAt.
	ended         usage
	endedAdmitted map[string]parts
	endedAt       time.Time
	// led says that this gateway speaks for it.
	led bool
}

const (
	// reserveSilence is the time without a digest after which a peer's part of each limit is reserved for it: one exchange was lost.
	reserveSilence = 700 * time.Millisecond
	// noticeTime is how late a silence may be noticed: a tick.
	noticeTime = 100 * time.Millisecond
	// peerSilence is the time without a digest after which a peer counts no longer as one that reads the store or holds the lease.
	peerSilence = time.Second
	// peerForgotten is the time without a digest after which a peer that the store does not list is dropped.
	peerForgotten = 30 * time.Second
	// peerSettle is the time after the start of an outage in which a peer may not have noticed it.
	peerSettle = 900 * time.Millisecond
	// loadAge is how long a peer's load counts.
	loadAge = 3 * time.Second
)

func (s *State) heard(e DigestReceived) []Effect {
	d := e.digest
	if d.gateway == s.settings.name {
		return nil
	}
	p, ok := s.peers[d.gateway]
	if !ok {
		p = &peer{digest: Digest{incarnation: d.incarnation}, ended: usage{}, past: map[string]bool{}}
		s.peers[d.gateway] = p
	}
	if p.past[d.incarnation] || (p.digest.incarnation == d.incarnation && d.sequence < p.digest.sequence) {
		return nil // Held up on the way; a later one was heard.
	}
	s.clock.hear(d.gateway, d.wall, s.now, d.whole)
	if p.digest.incarnation != d.incarnation {
		p.past[p.digest.incarnation] = true
		if !p.digest.whole {
			p.endedAdmitted, p.endedAt = p.digest.admitted, p.heard
			p.ended.add(p.digest.usage)
		}
	}
	p.digest, p.heard, p.led = d, s.now, e.asks && s.relays(d.gateway)
	s.forgetCovered(d)
	for _, domain := range d.domains {
		s.domainsHeard[domain] = s.now
	}
	s.hearAdmitted()
	if s.roster.storeAway && !d.storeAway && s.now.Sub(s.roster.storeLost) > peerSettle {
		s.roster.partial = true
	}
	var effects []Effect
	for _, id := range d.leaving {
		effects = append(effects, s.roster.leave(id, d.gateway)...)
	}
	return effects
}

// forgetCovered drops the peers that the digest tells of, so that nothing counts twice.
func (s *State) forgetCovered(d Digest) {
	for name, p := range s.peers {
		silent := s.now.Sub(p.heard) >= peerSilence
		covered := d.whole && !p.led
		replaced := p.digest.whole && silent // The others tell themselves what it told of them.
		moved := silent && speaksFor(d, name, p.digest)
		if name != d.gateway && (covered || replaced || moved) {
			delete(s.peers, name)
		}
	}
}

// speaksFor reports whether the digest tells of the named peer, or of those for which that one spoke.
func speaksFor(d Digest, name string, last Digest) bool {
	return slices.ContainsFunc(d.members, func(member string) bool {
		return member == name || slices.Contains(last.members, member)
	})
}

// hearAdmitted takes what the other gateways admitted into the quotas.
func (s *State) hearAdmitted() {
	if s.catalogue == nil {
		return
	}
	for name, t := range s.catalogue.teams {
		if t.rate > 0 {
			s.quota(t).hear(s.admittedBy(name, func(string, *peer) bool { return true }))
		}
	}
}

// admittedBy returns what the gateways that are picked admitted of a team.
func (s *State) admittedBy(team string, pick func(string, *peer) bool) parts {
	var sum parts
	part := s.settings.slack.window / recallParts
	for name, p := range s.peers {
		if pick(name, p) {
			sum.add(p.digest.admitted[team].shifted(int(s.now.Sub(p.heard) / part)))
			sum.add(p.endedAdmitted[team].shifted(int(s.now.Sub(p.endedAt) / part)))
		}
	}
	return sum
}

// sumPeers adds up what the peers have under way at each upstream.
func (s *State) sumPeers() {
	for _, t := range s.roster.targets {
		t.peers = Load{}
	}
	for name, p := range s.peers {
		silent := s.now.Sub(p.heard)
		if (silent > peerForgotten && (p.led || s.registered[name].address == "")) || (p.digest.whole && silent > loadAge) {
			delete(s.peers, name)
			continue
		}
		if silent > loadAge {
			continue
		}
		for id, l := range p.digest.loads {
			if t, ok := s.roster.targets[id]; ok {
				t.peers.add(l)
			}
		}
	}
}

// outage is gateways of which nothing is heard since about the same time.
type outage struct {
	// share is their part of all callers.
	share float64
	since time.Time
	// left is what was left of each team's limit then.
	left map[string]float64
}

// noteOutages takes in the part of all callers whose gateways are not heard now.
func (s *State) noteOutages(share float64) {
	known := 0.0
	for _, x := range s.outages {
		known += x.share
	}
	switch {
	case share <= 0:
		s.outages = nil
	case share > known+leastShare:
		s.outages = append(s.outages, &outage{share: share - known, since: s.now.Add(-reserveSilence - noticeTime), left: map[string]float64{}})
	case share < known-leastShare:
		for _, x := range s.outages {
			x.share *= share / known // Which of them are heard again makes little difference.
		}
	}
}

// leastShare is the part of all callers below which a change is one of rounding.
const leastShare = 1e-6

// reserveSilent reserves the part of each limit that gateways which are not heard may use, so that the limit holds while they are cut off.
func (s *State) reserveSilent() {
	silent, own := s.shares()
	s.share = own
	s.arrivals.pass(s.now, silent > 0)
	s.noteOutages(silent)
	if s.catalogue == nil {
		return
	}
	kept := 1.0
	if silent > 0 {
		kept = math.Max(0, 1-s.growth()*(1-silent)) / silent
	}
	for _, t := range s.catalogue.teams {
		if t.rate <= 0 {
			continue
		}
		q := s.quota(t)
		reserved := 0.0
		for _, x := range s.outages {
			left, ok := x.left[t.name]
			if !ok {
				left = math.Max(0, q.limit-q.total-reserved)
				x.left[t.name] = left
			}
			reserved += q.silentPart(left, s.now.Sub(x.since), x.share*kept)
		}
		q.reserved = reserved
	}
}

// shares returns the part of all callers that belongs to gateways which the store lists and of which nothing was
// heard lately, and this gateway's part of the others. Callers come to the gateways of their failure domain.
func (s *State) shares() (silent, own float64) {
	if s.steady() < reserveSilence {
		return 0, 1 / float64(s.gateways()) // Not all had the time to answer.
	}
	if s.cells != nil { // The digests of a large fleet tell how many gateways are heard, and not which.
		heard := 1
		for _, p := range s.peers {
			if s.now.Sub(p.heard) < reserveSilence {
				heard += p.digest.covers
			}
		}
		heard = min(heard, s.gateways())
		return 1 - float64(heard)/float64(s.gateways()), 1 / float64(heard)
	}
	listed, unheard := map[string]int{s.settings.domain: 1}, map[string]int{}
	for name, l := range s.registered {
		listed[l.domain]++
		if p, ok := s.peers[name]; !ok || s.now.Sub(p.heard) >= reserveSilence {
			unheard[l.domain]++
		}
	}
	for domain, n := range unheard {
		silent += float64(n) / float64(listed[domain]*len(listed))
	}
	return silent, 1 / float64(listed[s.settings.domain]*len(listed)) / (1 - silent)
}

// growth returns how many times the usual comes to the gateways that are heard.
func (s *State) growth() float64 {
	latest, usual := s.arrivals.sum()
	for _, p := range s.peers {
		if s.now.Sub(p.heard) < reserveSilence {
			latest, usual = latest+p.digest.latest, usual+p.digest.usual
		}
	}
	return growth(latest, usual)
}

func (s *State) peersRead(e PeersRead) {
	if e.whole {
		clear(s.registered)
	}
	for name, l := range e.listings {
		switch {
		case name == s.settings.name:
		case l.address == "":
			delete(s.registered, name)
		default:
			s.registered[name] = l
		}
	}
	s.cells = newCells(NewRegistration("", s.settings.domain), s.settings.name, s.registered)
}

// Address returns the address of a peer, empty if the store does not list it.
func (s *State) Address(peer string) string { return s.registered[peer].address }

// HolderFence returns the fence of the peer that said lately that it holds the lease on the duties, zero if none did.
func (s *State) HolderFence() int64 {
	var fence int64
	for _, p := range s.peers {
		if s.now.Sub(p.heard) < peerSilence {
			fence = max(fence, p.digest.fence)
		}
	}
	return fence
}

// StoreReaders returns the names of the listed peers that said lately that they reach the store.
func (s *State) StoreReaders() []string {
	var names []string
	for name, p := range s.peers {
		if !p.digest.storeAway && s.registered[name].address != "" && s.now.Sub(p.heard) < loadAge {
			names = append(names, name)
		}
	}
	return names
}

const (
	// readers is the number of gateways that read the store for all.
	readers = 2
	// readersOfCells is that of a large fleet, where many gateways may end at once and word of it takes longer.
	readersOfCells = 4
	// readerSilence is the time without a digest after which another gateway reads in a peer's place: two exchanges were lost.
	readerSilence = 800 * time.Millisecond
)

// ReadsStore reports whether this gateway is one of those that read the store: the first by name of those that reach it.
func (s *State) ReadsStore() bool {
	if s.roster.storeAway {
		return true
	}
	before := 0
	for name, p := range s.peers {
		if s.registered[name].address == "" {
			continue // What it has read cannot be had from it.
		}
		if p.digest.whole && !p.digest.storeAway && s.now.Sub(p.heard) < readerSilence {
			return false
		}
		if name < s.settings.name && !p.led && !p.digest.storeAway && !p.digest.idle && s.now.Sub(p.heard) < readerSilence {
			before++
		}
	}
	if s.cells != nil {
		return before < readersOfCells
	}
	return before < readers
}
