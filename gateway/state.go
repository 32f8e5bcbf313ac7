package gateway

import (
	"math"
	"time"

	"dandelionrail.org/rail"
)

// State is what a gateway knows and decides from; it is not safe for concurrent use.
type State struct {
	settings  Settings
	now       time.Time
	catalogue *Catalogue
	roster    *roster
	clock     *clock
	quotas    map[string]*quota
	budgets   map[string]*budget
	calls     map[*Call]*progress
	peers     map[string]*peer
	// registered holds the addresses of the other gateways that the store lists.
	registered map[string]string
	tokens     map[string]int64
	usage      usage
	versions   map[versionKey]tally
	rollouts   map[string]*rollout
	reach      map[string]*reach
	demand     int64
	fence      int64
	sequence   int64
	leaving    bool
	listed     bool
	// recalled waits for the first configuration.
	recalled *AdmittedRecalled
}

// NewState returns the state of a gateway that knows nothing yet.
func NewState(s Settings) *State {
	return &State{
		settings: s, now: s.start, roster: newRoster(), clock: newClock(s.start), quotas: map[string]*quota{},
		budgets: map[string]*budget{}, calls: map[*Call]*progress{}, peers: map[string]*peer{}, registered: map[string]string{},
		tokens: map[string]int64{}, usage: usage{}, versions: map[versionKey]tally{}, rollouts: map[string]*rollout{}, reach: map[string]*reach{},
	}
}

// Reduce takes in one event and returns what shall be done.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	switch e := e.(type) {
	case Arrived:
		return s.arrived(e.call)
	case Began:
		s.began(e.call)
	case Progressed:
		s.progressed(e.call)
	case AttemptEnded:
		return s.attemptEnded(e.call, e.outcome)
	case Gone:
		return s.gone(e.call)
	case Ticked:
		return s.ticked()
	case CatalogueRead:
		return s.catalogueRead(e)
	case UpstreamsRead:
		s.listed = true
		return s.roster.apply(e, now)
	case StoreReached:
		return s.storeReached(e)
	case DigestHeard:
		return s.heard(e.digest)
	case PeersRead:
		s.peersRead(e)
	case RolloutRead:
		return s.rolloutRead(e.order)
	case SettingsRead:
		fresh := e.settings
		fresh.name, fresh.domain, fresh.incarnation, fresh.start, fresh.firstStart = s.settings.name, s.settings.domain, s.settings.incarnation, s.settings.start, s.settings.firstStart
		s.settings = fresh
	case AdmittedRecalled:
		return s.recall(e)
	case LeaseHeld:
		s.fence = e.fence
	case LeaveStarted:
		s.leaving = true
	}
	return nil
}

// Ready reports whether the gateway can serve: it knows the configuration and the upstreams and does not leave.
func (s *State) Ready() bool { return s.catalogue != nil && s.listed && !s.leaving }

// Catalogue returns the configuration in force, nil before the first one.
func (s *State) Catalogue() *Catalogue { return s.catalogue }

// Calls returns the number of calls under way.
func (s *State) Calls() int { return len(s.calls) }

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

// gateways returns how many gateways share the limits: those that the store lists, and this one.
func (s *State) gateways() int { return len(s.registered) + 1 }

func (s *State) steady() time.Duration { return s.now.Sub(s.settings.start) }

func (s *State) catalogueRead(e CatalogueRead) []Effect {
	if s.catalogue != nil && e.catalogue.version <= s.catalogue.version {
		return nil
	}
	s.catalogue = e.catalogue
	effects := []Effect{report(rail.EventCatalogueInForce, NewField("version", e.catalogue.version), NewField("source", e.source),
		NewField("services", len(e.catalogue.services)), NewField("teams", len(e.catalogue.teams)))}
	if s.recalled != nil {
		effects = append(effects, s.recall(*s.recalled)...)
	}
	return effects
}

func (s *State) storeReached(e StoreReached) []Effect {
	if !s.roster.storeReached(e.ok, s.now) {
		return nil
	}
	if e.ok {
		return []Effect{report(rail.EventPlatformBack)}
	}
	return []Effect{report(rail.EventPlatformAway, NewField("error", e.err.Error()))}
}

// ticked does what is due by the time.
func (s *State) ticked() []Effect {
	effects := s.roster.expire(s.now)
	s.sumPeers()
	s.assumePeers()
	for w := range s.usage {
		if s.window()-w > usageWindowsKept {
			delete(s.usage, w)
		}
	}
	effects = append(effects, s.tickRollouts()...)
	return append(effects, s.breakSilent()...)
}

// usageWindowsKept is how many windows of usage are kept after their end.
const usageWindowsKept = 8

// window returns the number of the usage window of now.
func (s *State) window() int64 {
	return s.clock.now(s.now).UnixNano() / int64(s.settings.usageWindow)
}

// quota returns the team's quota as of now.
func (s *State) quota(t *Team) *quota {
	limit := quotaWindow.Seconds()*t.rate + t.burst
	limit += quotaSlackShare*s.settings.quotaSlack + quotaOverShare*limit
	q, ok := s.quotas[t.name]
	if !ok {
		q = newQuota(s.steady(), limit, s.settings.firstStart)
		s.quotas[t.name] = q
	}
	q.advance(s.steady(), limit)
	return q
}

// Admitted returns what the teams had admitted in each second of the last window, the oldest first.
func (s *State) Admitted() map[string][]int64 {
	admitted := map[string][]int64{}
	if s.catalogue == nil {
		return admitted
	}
	for name, t := range s.catalogue.teams {
		if t.rate > 0 {
			admitted[name] = s.quota(t).bySecond()
		}
	}
	return admitted
}

// recall takes in what the store kept of the time before this start.
func (s *State) recall(e AdmittedRecalled) []Effect {
	if s.steady() > quotaWindow {
		return nil
	}
	if s.catalogue == nil {
		s.recalled = &e
		return nil
	}
	s.recalled = nil
	shares := map[string]float64{}
	for name, seconds := range e.admitted {
		if t := s.catalogue.teams[name]; t != nil && t.rate > 0 {
			q := s.quota(t)
			q.recall(seconds, max(0, s.clock.now(s.now).Sub(e.at)))
			shares[name] = q.total / q.limit
		}
	}
	return []Effect{report(rail.EventQuotaRecalled, NewField("used", shares), NewField("admitted", e.admitted), NewField("ageMs", s.clock.now(s.now).Sub(e.at).Milliseconds()))}
}

// TrueTime returns the time of day by the clocks of all gateways.
func (s *State) TrueTime(now time.Time) time.Time { return s.clock.now(now) }

func (s *State) budget(service string) *budget {
	b, ok := s.budgets[service]
	if !ok {
		b = &budget{}
		s.budgets[service] = b
	}
	return b
}

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

// Digest returns what this gateway tells its peers.
func (s *State) Digest(now time.Time) Digest {
	s.sequence++
	d := Digest{
		sequence: s.sequence, gateway: s.settings.name, incarnation: s.settings.incarnation, wall: now, storeAway: s.roster.storeAway,
		loads: map[string]Load{}, tokens: make(map[string]int64, len(s.tokens)), usage: usage{}, demand: s.demand, domain: s.settings.domain, idle: !s.Ready(), fence: s.fence,
		versions: make(map[versionKey]tally, len(s.versions)),
	}
	for id, t := range s.roster.targets {
		if t.own.running != 0 {
			d.loads[id] = t.own
		}
		if t.leaving {
			d.leaving = append(d.leaving, id)
		}
	}
	for name, n := range s.tokens {
		d.tokens[name] = n
	}
	for w, counts := range s.usage {
		for team, n := range counts {
			d.usage.count(w, team, n)
		}
	}
	for k, t := range s.versions {
		d.versions[k] = t
	}
	return d
}

// Usage returns the requests that began in the window at all gateways, by team.
func (s *State) Usage(window int64) map[string]int64 {
	sum := map[string]int64{}
	add := func(u usage) {
		for team, n := range u[window] {
			sum[team] += n
		}
	}
	add(s.usage)
	for _, p := range s.peers {
		add(p.digest.usage)
		add(p.ended)
	}
	return sum
}

// Window returns the number of the usage window of now by true time, and how far now is into it.
func (s *State) Window(now time.Time) (int64, time.Duration) {
	t := s.clock.now(now).UnixNano()
	w := int64(s.settings.usageWindow)
	return t / w, time.Duration(t % w)
}

// Retry reports how long a caller shall wait where no upstream takes its request.
func (s *State) retryAfter(d time.Duration) time.Duration {
	return time.Duration(math.Max(float64(d), float64(shortestRetry)))
}

// shortestRetry is the least wait that a caller is told.
const shortestRetry = 100 * time.Millisecond
