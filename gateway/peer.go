package gateway

import (
	"maps"
	"math"
	"slices"
	"time"
)

// peer is the state of another gateway as this one knows it.
type peer struct {
	digest     Digest
	receivedAt time.Time
	// pastIncarnations is the set of its earlier incarnations.
	pastIncarnations map[string]bool
	// pastUsage is the usage of its earlier incarnations; pastAdmitted is what they had admitted at pastAdmittedAt.
	pastUsage      usage
	pastAdmitted   map[string]buckets
	pastAdmittedAt time.Time
	// follower reports whether this gateway is its cell leader.
	follower bool
}

const (
	// reserveTimeout is the time without a digest after which a peer's share of each limit is reserved for it: one exchange was lost.
	reserveTimeout = 700 * time.Millisecond
	// silenceDetectionDelay is the maximum delay in detecting a silent peer: one tick.
	silenceDetectionDelay = 100 * time.Millisecond
	// peerTimeout is the time without a digest after which a peer no longer counts as a cell leader or as the holder of the lease.
	peerTimeout = time.Second
	// peerExpiry is the time without a digest after which a follower, or a peer that is not registered, is dropped.
	peerExpiry = 30 * time.Second
	// outageSettleTime is the time after the start of an outage in which a peer may not have detected it yet.
	outageSettleTime = 900 * time.Millisecond
	// peerReadSettleTime is how long a peer of a large fleet must read a store that is unavailable to this gateway before that
	// counts as an outage of this gateway only; peerReadGap is the longest time between two such digests.
	peerReadSettleTime = 1300 * time.Millisecond
	peerReadGap        = time.Second
	// maxLoadAge is how long a peer's reported load is used, and a cell leader's digest is kept.
	maxLoadAge = 3 * time.Second
)

func (s *State) digestReceived(e DigestReceived) []Effect {
	d := e.digest
	if d.gateway == s.settings.name {
		return nil
	}
	p, ok := s.peers[d.gateway]
	if !ok {
		p = &peer{digest: Digest{incarnation: d.incarnation}, pastUsage: usage{}, pastIncarnations: map[string]bool{}}
		s.peers[d.gateway] = p
	}
	if p.pastIncarnations[d.incarnation] || (p.digest.incarnation == d.incarnation && d.sequence < p.digest.sequence) {
		return nil // The digest was delayed; a later one was received before.
	}
	s.clock.record(d.gateway, d.wall, s.now, d.full)
	if p.digest.incarnation != d.incarnation {
		p.pastIncarnations[p.digest.incarnation] = true
		if !p.digest.full {
			p.pastAdmitted, p.pastAdmittedAt = p.digest.admitted, p.receivedAt
			p.pastUsage.add(p.digest.usage)
		}
	}
	p.digest, p.receivedAt, p.follower = d, s.now, e.replyRequested && s.leads(d.gateway)
	s.dropCoveredPeers(d)
	for _, domain := range d.domains {
		s.domainDigestAt[domain] = s.now
	}
	s.updatePeerAdmitted()
	s.notePeerRead(d)
	for key, x := range d.suspects {
		s.quarantine.learn(key, x)
	}
	effects := s.applyVerdicts(d)
	for id, n := range d.limits {
		if t, ok := s.registry.targets[id]; ok {
			effects = append(effects, s.applyLimitNews(t, n, d.gateway)...)
		}
	}
	s.applyEnds(d.ends)
	for _, start := range d.leaving {
		effects = append(effects, s.registry.markLeaving(start, d.gateway)...)
	}
	return effects
}

// notePeerRead records that a peer can read the store while this gateway cannot. In a large fleet the gateways that probe the
// store find the end of an outage before the others, so that a peer must have read it for longer than that takes.
func (s *State) notePeerRead(d Digest) {
	r := s.registry
	switch {
	case !r.storeUnavailable || d.storeUnavailable || s.now.Sub(r.storeLostAt) <= outageSettleTime:
		return
	case s.cells == nil:
		r.peerReadStore = true
	case r.peerReadSince.Before(r.storeLostAt) || s.now.Sub(r.peerReadAt) > peerReadGap:
		r.peerReadSince = s.now
	case s.now.Sub(r.peerReadSince) >= peerReadSettleTime:
		r.peerReadStore = true
	}
	r.peerReadAt = s.now
}

// dropCoveredPeers removes the peers that the digest covers, so that nothing is counted twice.
func (s *State) dropCoveredPeers(d Digest) {
	for name, p := range s.peers {
		silent := s.now.Sub(p.receivedAt) >= peerTimeout
		covered := d.full && !p.follower
		replaced := p.digest.full && silent // The gateways that its full digest covered now report for themselves.
		moved := silent && aggregates(d, name, p.digest)
		if name != d.gateway && (covered || replaced || moved) {
			delete(s.peers, name)
		}
	}
}

// aggregates reports whether the digest covers the named peer, or members that the peer's last digest covered.
func aggregates(d Digest, name string, last Digest) bool {
	return slices.ContainsFunc(d.members, func(member string) bool {
		return member == name || slices.Contains(last.members, member)
	})
}

// updatePeerAdmitted updates the quotas with what the other gateways admitted.
func (s *State) updatePeerAdmitted() {
	if s.config == nil {
		return
	}
	for name, t := range s.config.teams {
		if t.rate > 0 {
			q := s.quota(t)
			q.setOthers(s.admittedBy(name, func(string, *peer) bool { return true }), s.uptime())
		}
	}
}

// admittedBy returns what the picked gateways admitted for a team.
func (s *State) admittedBy(team string, pick func(string, *peer) bool) buckets {
	var sum buckets
	bucketLength := s.settings.slack.window / quotaBuckets
	for name, p := range s.peers {
		if pick(name, p) {
			sum.add(p.digest.admitted[team].shifted(int(s.now.Sub(p.receivedAt) / bucketLength)))
			sum.add(p.pastAdmitted[team].shifted(int(s.now.Sub(p.pastAdmittedAt) / bucketLength)))
		}
	}
	return sum
}

// sumPeerLoads sums the peers' loads at each upstream, and drops peers that have expired.
func (s *State) sumPeerLoads() {
	for _, t := range s.registry.targets {
		t.peerLoad = Load{}
	}
	for name, p := range s.peers {
		age := s.now.Sub(p.receivedAt)
		if (age > peerExpiry && (p.follower || s.registrations.byName[name].address == "")) || (p.digest.full && age > maxLoadAge) {
			delete(s.peers, name)
			continue
		}
		if age > maxLoadAge {
			continue
		}
		for id, l := range p.digest.loads {
			if t, ok := s.registry.targets[id]; ok {
				t.peerLoad.add(l)
			}
		}
	}
}

// outage is a group of gateways that became silent at about the same time.
type outage struct {
	// share is their share of all callers.
	share float64
	since time.Time
	// remaining is what remained of each team's limit at that time.
	remaining map[string]float64
}

// updateOutages updates the outages by the share of all callers whose gateways are silent now.
func (s *State) updateOutages(share float64) {
	previous := 0.0
	for _, x := range s.outages {
		previous += x.share
	}
	switch {
	case share <= 0:
		s.outages = nil
	case share > previous+minShareChange:
		s.outages = append(s.outages, &outage{share: share - previous, since: s.now.Add(-reserveTimeout - silenceDetectionDelay), remaining: map[string]float64{}})
	case share < previous-minShareChange:
		for _, x := range s.outages {
			x.share *= share / previous // Scaled in proportion: which of the gateways are back makes little difference.
		}
	}
}

// minShareChange is the share of all callers below which a change is a rounding error.
const minShareChange = 1e-6

// reserveForSilent reserves the share of each limit that silent gateways may use, so that the limit holds while they are partitioned.
func (s *State) reserveForSilent() {
	silent, own := s.shares()
	s.callerShare = own
	s.arrivals.update(s.now, silent > 0)
	s.updateOutages(silent)
	if s.config == nil {
		return
	}
	// stillServed is the share of the silent gateways' callers that did not reconnect to the other gateways.
	stillServed := 1.0
	if silent > 0 {
		stillServed = math.Max(0, 1-s.arrivalGrowth()*(1-silent)) / silent
	}
	for _, t := range s.config.teams {
		if t.rate <= 0 {
			continue
		}
		q := s.quota(t)
		reserved := 0.0
		for _, x := range s.outages {
			remaining, ok := x.remaining[t.name]
			if !ok {
				remaining = math.Max(0, q.limit-q.total-reserved)
				x.remaining[t.name] = remaining
			}
			reserved += q.silentAllowance(remaining, s.now.Sub(x.since), x.share*stillServed)
		}
		q.reserved = reserved
	}
}

// shares returns the share of all callers that belongs to registered gateways without a recent digest, and this
// gateway's share of the other callers. Callers connect to the gateways of their failure domain.
func (s *State) shares() (silent, own float64) {
	if s.uptime() < reserveTimeout {
		return 0, 1 / float64(s.gateways()) // Not all peers have had time to answer yet.
	}
	if s.cells != nil { // In a large fleet the digests report how many gateways are reachable, but not which.
		reachable := 1
		for _, p := range s.peers {
			if s.now.Sub(p.receivedAt) < reserveTimeout {
				reachable += p.digest.covers
			}
		}
		reachable = min(reachable, s.gateways())
		return 1 - float64(reachable)/float64(s.gateways()), 1 / float64(reachable)
	}
	registeredByDomain, silentByDomain := map[string]int{s.settings.domain: 1}, map[string]int{}
	for name, r := range s.registrations.byName {
		registeredByDomain[r.domain]++
		if p, ok := s.peers[name]; !ok || s.now.Sub(p.receivedAt) >= reserveTimeout {
			silentByDomain[r.domain]++
		}
	}
	for domain, n := range silentByDomain {
		silent += float64(n) / float64(registeredByDomain[domain]*len(registeredByDomain))
	}
	return silent, 1 / float64(registeredByDomain[s.settings.domain]*len(registeredByDomain)) / (1 - silent)
}

// arrivalGrowth returns the growth of the arrival rate over this gateway and all peers with recent digests.
func (s *State) arrivalGrowth() float64 {
	recent, baseline := s.arrivals.ratesWithoutTopTeam()
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) < reserveTimeout {
			recent, baseline = recent+p.digest.recentRate, baseline+p.digest.baselineRate
		}
	}
	return growth(recent, baseline)
}

func (s *State) peersRead(e PeersRead) {
	s.registrations.apply(e, s.settings.name, s.now.Sub(s.registry.storeRestoredAt) < restoredListTime, s.now)
	s.registrationsChanged()
}

// registrationsChanged updates what is derived from the registered gateways.
func (s *State) registrationsChanged() {
	s.registeredRevision++
	maps.DeleteFunc(s.hops, func(name string, _ *hop) bool {
		_, registered := s.registrations.byName[name]
		return !registered
	})
	s.cells = newCells(NewRegistration("", s.settings.domain), s.settings.name, s.registrations.byName)
}

// RegistrationLost reports whether this gateway must register in the store again.
func (s *State) RegistrationLost() bool { return s.registrations.ownLost && !s.leaving }

// Address returns the address of a peer, empty if it is not registered.
func (s *State) Address(peer string) string { return s.registrations.byName[peer].address }

// LargeFleet reports whether so many gateways are registered that they exchange digests in cells.
func (s *State) LargeFleet() bool { return s.cells != nil }

// HolderFence returns the fencing number of the peer that recently reported holding the duty lease, zero if none did.
func (s *State) HolderFence() int64 {
	var fence int64
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) < peerTimeout {
			fence = max(fence, p.digest.fence)
		}
	}
	return fence
}

// StoreReaders returns the names of the registered peers that recently reported that they can read the store.
func (s *State) StoreReaders() []string {
	var names []string
	for name, p := range s.peers {
		if !p.digest.storeUnavailable && s.registrations.byName[name].address != "" && s.now.Sub(p.receivedAt) < maxLoadAge {
			names = append(names, name)
		}
	}
	return names
}

// recentPeers returns the names of the peers with recent digests, that of the cell leader alone if there is one.
func (s *State) recentPeers() []string {
	var names []string
	for name, p := range s.peers {
		switch {
		case s.now.Sub(p.receivedAt) >= peerTimeout:
		case p.digest.full:
			return []string{name}
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

const (
	// meshReaders is the number of gateways that read the store on behalf of all.
	meshReaders = 2
	// cellReaders is that number in a large fleet, where many gateways may fail at once and their failure takes longer to detect.
	cellReaders = 4
	// readerStartDelay is how long a gateway without digests waits after its start before it follows the store: in a start of
	// all gateways none of them knows yet which ones will be the readers.
	readerStartDelay = 1500 * time.Millisecond
	// readerTimeout is the time without a digest after which another gateway replaces a peer as a reader: two exchanges were lost.
	readerTimeout = 800 * time.Millisecond
)

// ReadsStore reports whether this gateway is one of the readers of the store: the first by name of those that can reach it.
func (s *State) ReadsStore() bool {
	if s.registry.storeUnavailable {
		return true
	}
	if len(s.peers) == 0 && s.uptime() < readerStartDelay {
		return false // It has read all topics once; peers that follow them will answer soon, if there are any.
	}
	preceding := 0
	for name, p := range s.peers {
		if s.registrations.byName[name].address == "" {
			continue // Without an address its records cannot be fetched.
		}
		if p.digest.full && !p.digest.storeUnavailable && s.now.Sub(p.receivedAt) < readerTimeout {
			return false
		}
		if name < s.settings.name && !p.follower && !p.digest.storeUnavailable && !p.digest.notReady && s.now.Sub(p.receivedAt) < readerTimeout {
			preceding++
		}
	}
	if s.cells != nil {
		return preceding < cellReaders
	}
	return preceding < meshReaders
}

// ProbesStore reports whether this gateway is one of those that check often whether the store is available again. In a
// large fleet they are the first leaders by name: the others learn it from their digests.
func (s *State) ProbesStore() bool {
	if s.cells == nil {
		return true
	}
	preceding := 0
	for name, p := range s.peers {
		if s.now.Sub(p.receivedAt) >= peerTimeout {
			continue
		}
		if p.digest.full {
			return false // Its leader does.
		}
		if name < s.settings.name && !p.follower && s.registrations.byName[name].address != "" {
			preceding++
		}
	}
	return preceding < cellReaders
}

// StoreReadElsewhere reports whether a peer that this gateway hears can read the store while this gateway cannot.
func (s *State) StoreReadElsewhere() bool {
	if !s.registry.storeUnavailable || s.cells == nil {
		return false // A small fleet reads it often enough.
	}
	for _, p := range s.peers {
		if !p.digest.storeUnavailable && s.now.Sub(p.receivedAt) < peerTimeout {
			return true
		}
	}
	return false
}
