package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

// State is what a gateway knows and decides from; it is not safe for concurrent use.
type State struct {
	settings  Settings
	now       time.Time
	catalogue *Config
	roster    *roster
	clock     *clock
	quotas    map[string]*quota
	budgets   map[string]*budget
	calls     map[*Call]*progress
	peers     map[string]*peer
	// registered holds the other gateways that the store lists.
	registered map[string]Registration
	cells      *cells
	// domainsHeard is when a gateway of the failure domain was heard last.
	domainsHeard map[string]time.Time
	// share is this gateway's part of the callers of all gateways that are heard.
	share float64
	// outages are the gateways that are not heard, the first that fell silent first.
	outages  []*outage
	arrivals *arrivals
	usage    usage
	versions map[versionKey]tally
	rollouts map[string]*rollout
	reach    map[string]*reach
	demand   int64
	fence    int64
	sequence int64
	leaving  bool
	listed   bool
	// recalled waits for the first configuration.
	recalled *AdmittedRestored
}

// NewState returns the state of a gateway that knows nothing yet.
func NewState(s Settings) *State {
	return &State{
		settings: s, now: s.start, roster: newRoster(), clock: newClock(s.start), quotas: map[string]*quota{},
		budgets: map[string]*budget{}, calls: map[*Call]*progress{}, peers: map[string]*peer{}, registered: map[string]Registration{},
		domainsHeard: map[string]time.Time{}, share: 1, usage: usage{}, versions: map[versionKey]tally{}, rollouts: map[string]*rollout{}, reach: map[string]*reach{}, arrivals: newArrivals(s.start),
	}
}

// Reduce takes in one event and returns what shall be done.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	switch e := e.(type) {
	case CallArrived:
		return s.arrived(e.call)
	case AnswerStarted:
		s.began(e.call)
	case StreamProgressed:
		s.progressed(e.call)
	case AttemptEnded:
		return s.attemptEnded(e.call, e.outcome)
	case CallerDisconnected:
		return s.gone(e.call)
	case Ticked:
		return s.ticked()
	case ConfigRead:
		return s.catalogueRead(e)
	case UpstreamsRead:
		s.listed = true
		return s.roster.apply(e, now)
	case StoreReadFinished:
		return s.storeReached(e)
	case DigestReceived:
		return s.heard(e)
	case PeersRead:
		s.peersRead(e)
	case RolloutRead:
		return s.rolloutRead(e.order)
	case SettingsRead:
		fresh := e.settings
		fresh.name, fresh.domain, fresh.incarnation, fresh.start, fresh.firstStart = s.settings.name, s.settings.domain, s.settings.incarnation, s.settings.start, s.settings.firstStart
		s.settings = fresh
	case AdmittedRestored:
		return s.recall(e)
	case LeaseUpdated:
		s.fence = e.fence
	case ShutdownStarted:
		s.leaving = true
	}
	return nil
}

// Ready reports whether the gateway can serve: it knows the configuration and the upstreams and does not leave.
func (s *State) Ready() bool { return s.catalogue != nil && s.listed && !s.leaving }

// Config returns the configuration in force, nil before the first one.
func (s *State) Config() *Config { return s.catalogue }

// gateways returns how many gateways share the limits: those that the store lists, and this one.
func (s *State) gateways() int { return len(s.registered) + 1 }

func (s *State) steady() time.Duration { return s.now.Sub(s.settings.start) }

func (s *State) catalogueRead(e ConfigRead) []Effect {
	if s.catalogue != nil && e.catalogue.version <= s.catalogue.version {
		return nil
	}
	s.catalogue = e.catalogue
	effects := []Effect{report(rail.EventConfigurationInForce, NewField("version", e.catalogue.version), NewField("source", e.source),
		NewField("services", len(e.catalogue.services)), NewField("teams", len(e.catalogue.teams)))}
	if s.recalled != nil {
		effects = append(effects, s.recall(*s.recalled)...)
	}
	return effects
}

func (s *State) storeReached(e StoreReadFinished) []Effect {
	if !s.roster.storeReached(e.ok, s.now) {
		return nil
	}
	if e.ok {
		return []Effect{report(rail.EventPlatformAvailable)}
	}
	return []Effect{report(rail.EventPlatformUnavailable, NewField("error", e.err.Error()))}
}

// ticked does what is due by the time.
func (s *State) ticked() []Effect {
	effects := s.roster.expire(s.now)
	s.sumPeers()
	s.hearAdmitted()
	s.reserveSilent()
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
	b := newBound(t.rate, t.burst, s.settings.slack)
	q, ok := s.quotas[t.name]
	if !ok {
		q = newQuota(s.steady(), b, s.settings.firstStart)
		s.quotas[t.name] = q
	}
	q.advance(s.steady(), b)
	return q
}

// Admitted returns what the teams had admitted in each eighth of the last window, the latest first.
func (s *State) Admitted() map[string][]int64 {
	admitted := map[string][]int64{}
	if s.catalogue == nil {
		return admitted
	}
	for name, t := range s.catalogue.teams {
		if t.rate > 0 {
			admitted[name] = s.quota(t).record()
		}
	}
	return admitted
}

// recall takes in what the store kept of the time before this start.
func (s *State) recall(e AdmittedRestored) []Effect {
	if s.steady() > s.settings.slack.window {
		return nil
	}
	if s.catalogue == nil {
		s.recalled = &e
		return nil
	}
	s.recalled = nil
	shares := map[string]float64{}
	for name, kept := range e.admitted {
		if t := s.catalogue.teams[name]; t != nil && t.rate > 0 {
			q := s.quota(t)
			q.recall(kept, max(0, s.clock.now(s.now).Sub(e.at)))
			shares[name] = q.total / q.limit
		}
	}
	return []Effect{report(rail.EventQuotaRestored, NewField("used", shares), NewField("admitted", e.admitted), NewField("ageMs", s.clock.now(s.now).Sub(e.at).Milliseconds()))}
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

// Digest returns what this gateway tells of itself and of those for which it speaks.
func (s *State) Digest(now time.Time) Digest {
	return s.compose(now, func(_ string, p *peer) bool { return p.led })
}

// Reply returns what this gateway tells a peer that asks: all that it knows if it speaks for the peer.
func (s *State) Reply(now time.Time, asking string) Digest {
	if !s.relays(asking) {
		return s.Digest(now)
	}
	d := s.compose(now, func(name string, _ *peer) bool { return name != asking })
	d.whole, d.wall, d.members = true, s.clock.now(now), nil
	return d
}

// compose returns a digest of this gateway and of the peers that are picked.
func (s *State) compose(now time.Time, pick func(string, *peer) bool) Digest {
	s.now = now
	s.sequence++
	d := Digest{
		sequence: s.sequence, gateway: s.settings.name, incarnation: s.settings.incarnation, wall: now, storeAway: s.roster.storeAway,
		loads: map[string]Load{}, admitted: map[string]parts{}, usage: usage{}, demand: s.demand, idle: !s.Ready(), fence: s.fence,
		versions: make(map[versionKey]tally, len(s.versions)), domains: []string{s.settings.domain}, members: []string{s.settings.name}, covers: 1,
	}
	d.latest, d.usual = s.arrivals.sum()
	for id, t := range s.roster.targets {
		if t.own.running != 0 {
			d.loads[id] = t.own
		}
		if t.leaving {
			d.leaving = append(d.leaving, id)
		}
	}
	if s.catalogue != nil {
		for name, t := range s.catalogue.teams {
			if t.rate > 0 {
				p := s.quota(t).told()
				p.add(s.admittedBy(name, pick))
				if p != (parts{}) {
					d.admitted[name] = p
				}
			}
		}
	}
	d.usage.add(s.usage)
	for k, t := range s.versions {
		d.versions[k] = t
	}
	for name, p := range s.peers {
		if pick(name, p) {
			d.include(p, s.now.Sub(p.heard))
			if p.led && s.now.Sub(p.heard) < reserveSilence {
				d.members = append(d.members, name)
			}
		}
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
