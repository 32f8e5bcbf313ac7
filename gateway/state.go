package gateway

import (
	"maps"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/evacuation"
)

// State is the reducer of a gateway; it is not safe for concurrent use.
type State struct {
	settings     Settings
	now          time.Time
	config       *Config
	registry     *registry
	clock        *clock
	quotas       map[string]*quota
	retryBudgets map[string]*retryBudget
	calls        map[*Call]*pendingCall
	// moves are the calls in progress that wait until their last runs have ended, checks what is known of the engines of these.
	moves         map[*Call]*move
	checks        map[upstreamStart]*engineCheck
	queued        *callQueues
	peers         map[string]*peer
	registrations registrations
	// registeredRevision increases with each change of the registered gateways.
	registeredRevision int
	cells              *cells
	// domainDigestAt is the time of the last digest that covered a gateway of the failure domain.
	domainDigestAt map[string]time.Time
	// callerShare is this gateway's share of the callers of all gateways with recent digests.
	callerShare float64
	// outages are the silent gateways, those that became silent first come first.
	outages  []*outage
	arrivals *arrivals
	usage    usage
	versions map[versionKey]tally
	speeds   map[speedKey]speed
	// serviceRates are the estimates that hold for all upstreams of a service, by service.
	serviceRates map[string]*serviceRate
	rollouts     map[string]*rollout
	// rolloutStatuses are those that were read from the store, by service.
	rolloutStatuses map[string]RolloutStatus
	// superseded marks the versions whose rollouts were superseded by others.
	superseded map[versionKey]bool
	// verdicts are those that peers reported.
	verdicts     verdicts
	reachability map[string]*reachability
	quarantine   *quarantine
	// configWaits holds until when forwarded calls wait for the configuration that admitted them.
	configWaits map[*Call]time.Time
	evacuations *evacuation.Domains
	// ends holds when upstreams were seen to have ended lately.
	ends map[upstreamStart]time.Time
	// partitions are those of this gateway by service, partitionedPeers those of others by service and name.
	partitions       map[string]*partition
	partitionedPeers map[string]map[string]bool
	// hops holds what is known of the peers from forwards, by name.
	hops map[string]*hop
	// spillovers holds the share of requests that leaves this gateway's failure domain, by service.
	spillovers map[string]*spilloverState
	partUses   partUses
	// domainGateways is the number of registered gateways in this failure domain, this one included.
	domainGateways int
	demand         int64
	workMeter      *workMeter
	fence          int64
	sequence       int64
	leaving        bool
	upstreamsRead  bool
	// tickedAt is the time of the last Ticked event, delayReportedAt that of the last report of one that was late.
	tickedAt, delayReportedAt time.Time
	// pendingRestore is kept until the first configuration is read.
	pendingRestore *AdmittedRestored
}

// NewState returns the initial state of a gateway.
func NewState(s Settings) *State {
	return &State{
		settings: s, now: s.startedAt, registry: newRegistry(), clock: newClock(s.startedAt), quotas: map[string]*quota{},
		retryBudgets: map[string]*retryBudget{}, calls: map[*Call]*pendingCall{}, moves: map[*Call]*move{}, checks: map[upstreamStart]*engineCheck{}, queued: newCallQueues(queueLimits(s.messageMemory)), peers: map[string]*peer{}, registrations: newRegistrations(),
		domainDigestAt: map[string]time.Time{}, callerShare: 1, usage: usage{}, versions: map[versionKey]tally{}, speeds: map[speedKey]speed{}, serviceRates: map[string]*serviceRate{}, rollouts: map[string]*rollout{}, rolloutStatuses: map[string]RolloutStatus{}, superseded: map[versionKey]bool{}, verdicts: verdicts{}, reachability: map[string]*reachability{}, quarantine: newQuarantine(), configWaits: map[*Call]time.Time{}, evacuations: evacuation.New(), ends: map[upstreamStart]time.Time{}, partitions: map[string]*partition{}, partitionedPeers: map[string]map[string]bool{}, hops: map[string]*hop{}, spillovers: map[string]*spilloverState{}, partUses: partUses{}, domainGateways: 1, arrivals: newArrivals(s.startedAt), workMeter: newWorkMeter(s.startedAt),
	}
}

// Reduce applies an event and returns the effects to carry out.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	effects := s.apply(now, e)
	return append(effects, s.releaseQueues(e)...)
}

func (s *State) apply(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case CallArrived:
		return s.callArrived(e.call)
	case AnswerStarted:
		s.answerStarted(e.call)
	case LimitRead:
		return s.limitRead(e.call, e.limit)
	case NoticeRead:
		return s.noticeRead(e.call, e.notice)
	case StreamProgressed:
		s.streamProgressed(e)
	case AttemptEnded:
		return s.attemptEnded(e.call, e.outcome)
	case FailoverDue:
		return s.failOver(e.call)
	case ProbeEnded:
		return s.probeEnded(e)
	case EngineChecked:
		return s.engineChecked(e)
	case CallerDisconnected:
		return s.callerDisconnected(e.call)
	case Ticked:
		return s.ticked()
	case ConfigRead:
		return s.configRead(e)
	case UpstreamsRead:
		s.upstreamsRead = true
		return s.applyUpstreams(e)
	case StoreReadFinished:
		return s.storeReadFinished(e)
	case StoreRestored:
		s.registry.storeRestoredAt = now
	case DigestReceived:
		return s.digestReceived(e)
	case PeersRead:
		s.peersRead(e)
	case EvacuationsRead:
		return s.evacuationsRead(e)
	case RolloutRead:
		return s.rolloutRead(e.order)
	case RolloutStatusRead:
		return s.rolloutStatusRead(e.status)
	case SuspectsRead:
		s.quarantine.applyStored(e.suspects, e.full)
	case SettingsRead:
		updated := e.settings
		updated.name, updated.domain, updated.incarnation, updated.startedAt, updated.firstStart = s.settings.name, s.settings.domain, s.settings.incarnation, s.settings.startedAt, s.settings.firstStart
		s.settings = updated
	case AdmittedRestored:
		return s.restoreAdmitted(e)
	case LeaseUpdated:
		s.fence = e.fence
	case ShutdownStarted:
		s.leaving = true
		return append(append(s.refuseAllQueued(leftShutdown, rail.KindLeaving), s.refuseForwardedMoves()...), s.refuseConfigWaits()...)
	case ShutdownEnding:
		return s.abortAll()
	}
	return nil
}

// Ready reports whether the gateway can serve: it has read the configuration and the upstreams and is not shutting down.
func (s *State) Ready() bool { return s.config != nil && s.upstreamsRead && !s.leaving }

// FirstStart reports whether this is the first start of the whole system.
func (s *State) FirstStart() bool { return s.settings.firstStart }

// Config returns the configuration in force, nil before the first one.
func (s *State) Config() *Config { return s.config }

// gateways returns how many gateways share the limits: the registered ones and this one.
func (s *State) gateways() int { return len(s.registrations.byName) + 1 }

// hashRank returns this gateway's place in the order of the registered gateways that the key gives, which is the same at all of them.
func (s *State) hashRank(key string) int {
	rank, own := 0, hashWeight(key, s.settings.name)
	for name := range s.registrations.byName {
		if hashWeight(key, name) > own {
			rank++
		}
	}
	return rank
}

func (s *State) uptime() time.Duration { return s.now.Sub(s.settings.startedAt) }

func (s *State) configRead(e ConfigRead) []Effect {
	if s.config != nil && e.config.version <= s.config.version {
		return nil
	}
	s.config = e.config
	effects := []Effect{report(rail.EventConfigurationInForce, NewField("version", e.config.version), NewField("source", e.source),
		NewField("services", len(e.config.services)), NewField("teams", len(e.config.teams)))}
	for _, t := range s.registry.targets {
		effects = append(effects, s.updateColdByAge(t)...)
	}
	if s.pendingRestore != nil {
		effects = append(effects, s.restoreAdmitted(*s.pendingRestore)...)
	}
	return append(effects, s.continueConfigWaits()...)
}

func (s *State) storeReadFinished(e StoreReadFinished) []Effect {
	if !s.registry.recordStoreRead(e.ok, s.now) {
		return nil
	}
	if e.ok {
		return []Effect{report(rail.EventPlatformAvailable)}
	}
	return []Effect{report(rail.EventPlatformUnavailable, NewField("error", e.err.Error()))}
}

// ticked performs the periodic work.
func (s *State) ticked() []Effect {
	effects := append(s.excusePause(), s.registry.dropExpired(s.now)...)
	effects = append(effects, s.registry.releaseReturned(s.now)...)
	effects = append(effects, s.reportEvacuations(s.evacuations.Tick(s.now), "restore")...)
	if s.registrations.tick(s.now) {
		s.registrationsChanged()
	}
	s.sumPeerLoads()
	effects = append(effects, s.updateRates()...)
	s.updatePeerAdmitted()
	s.reserveForSilent()
	s.workMeter.update(s.now)
	for w := range s.usage {
		if s.window()-w > usageWindowsKept {
			delete(s.usage, w)
		}
	}
	effects = append(effects, s.tickSpillover()...)
	effects = append(effects, s.tickRollouts()...)
	s.forgetEnds()
	effects = append(effects, s.tickPartitions()...)
	effects = append(effects, s.quarantine.tick(s.trueTime())...)
	effects = append(effects, s.tickMoves()...)
	effects = append(effects, s.continueConfigWaits()...)
	return append(effects, s.abortSilent()...)
}

// usageWindowsKept is the number of past usage windows that are kept.
const usageWindowsKept = 8

// window returns the number of the current usage window.
func (s *State) window() int64 {
	return s.clock.now(s.now).UnixNano() / int64(s.settings.usageWindow)
}

// quota returns the team's quota, advanced to now.
func (s *State) quota(t *Team) *quota {
	b := newBound(t.rate, t.burst, s.settings.slack, s.pacing())
	q, ok := s.quotas[t.name]
	if !ok {
		q = newQuota(s.uptime(), b, s.settings.firstStart)
		s.quotas[t.name] = q
	}
	q.advance(s.uptime(), b)
	return q
}

// pacing returns the pacing of the fleet's size.
func (s *State) pacing() pacing {
	if s.cells != nil {
		return cellPacing
	}
	return meshPacing
}

// KnowsAdmitted reports whether this gateway has run for long enough to have received what its peers admitted.
func (s *State) KnowsAdmitted(now time.Time) bool {
	slots := time.Duration(s.pacing().undetectedSlots)
	return now.Sub(s.settings.startedAt) >= slots*s.settings.slack.window/quotaSlots
}

// Admitted returns what was admitted for each team in each eighth of the last window, latest first.
func (s *State) Admitted() map[string][]int64 {
	admitted := map[string][]int64{}
	if s.config == nil {
		return admitted
	}
	for name, t := range s.config.teams {
		if t.rate > 0 {
			admitted[name] = s.quota(t).snapshot()
		}
	}
	return admitted
}

// restoreAdmitted restores the quotas from the store's record of the time before this start.
func (s *State) restoreAdmitted(e AdmittedRestored) []Effect {
	if s.uptime() > s.settings.slack.window {
		return nil
	}
	if s.config == nil {
		s.pendingRestore = &e
		return nil
	}
	s.pendingRestore = nil
	shares := map[string]float64{}
	for name, stored := range e.admitted {
		if t := s.config.teams[name]; t != nil && t.rate > 0 {
			q := s.quota(t)
			q.restore(stored, max(0, s.clock.now(s.now).Sub(e.at)))
			shares[name] = q.total / q.limit
		}
	}
	return []Effect{report(rail.EventQuotaRestored, NewField("used", shares), NewField("admitted", e.admitted), NewField("ageMs", s.clock.now(s.now).Sub(e.at).Milliseconds()))}
}

// trueTime returns the time of day at the current event.
func (s *State) trueTime() time.Time { return s.clock.now(s.now) }

// TrueTime returns the time of day, estimated from the clocks of all gateways.
func (s *State) TrueTime(now time.Time) time.Time { return s.clock.now(now) }

func (s *State) retryBudget(service string) *retryBudget {
	b, ok := s.retryBudgets[service]
	if !ok {
		b = &retryBudget{}
		s.retryBudgets[service] = b
	}
	return b
}

// Digest returns the digest of this gateway and of those that it leads.
func (s *State) Digest(now time.Time) Digest {
	return s.composeDigest(now, func(_ string, p *peer) bool { return p.follower })
}

// Reply returns the digest for a peer that requested it: a full one if this gateway is the peer's cell leader.
func (s *State) Reply(now time.Time, requester string) Digest {
	if !s.leads(requester) {
		return s.Digest(now)
	}
	d := s.composeDigest(now, func(name string, _ *peer) bool { return name != requester })
	d.full, d.wall, d.members = true, s.clock.now(now), nil
	return d
}

// composeDigest returns a digest of this gateway and of the picked peers.
func (s *State) composeDigest(now time.Time, pick func(string, *peer) bool) Digest {
	s.now = now
	s.sequence++
	d := Digest{
		sequence: s.sequence, gateway: s.settings.name, incarnation: s.settings.incarnation, wall: now, storeUnavailable: s.registry.storeUnavailable,
		loads: map[string]Load{}, admitted: map[string]buckets{}, usage: usage{}, demand: s.demand, notReady: !s.Ready(), fence: s.fence,
		versions: make(map[versionKey]tally, len(s.versions)), verdicts: s.knownVerdicts(), domains: []string{s.settings.domain}, members: []string{s.settings.name}, covers: 1,
		work: s.workMeter.work(), workCovers: 1,
		speeds: s.currentSpeeds(), rates: s.recentRates(), ends: maps.Clone(s.ends), suspects: s.quarantine.news(s.clock.now(now), s.sequence), limits: s.limitDigest(), partitions: s.ownPartitions(),
	}
	d.recentRate, d.baselineRate = s.arrivals.ratesWithoutTopTeam()
	for id, t := range s.registry.targets {
		if t.ownLoad.running != 0 {
			d.loads[id] = t.ownLoad
		}
		if t.leaving {
			d.leaving = append(d.leaving, t.start())
		}
	}
	if s.config != nil {
		for name, t := range s.config.teams {
			if t.rate > 0 {
				b := s.quota(t).ownBuckets()
				b.add(s.admittedBy(name, pick))
				if b != (buckets{}) {
					d.admitted[name] = b
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
			d.merge(p, s.now.Sub(p.receivedAt))
			if p.follower && s.now.Sub(p.receivedAt) < reserveTimeout {
				d.members = append(d.members, name)
			}
		}
	}
	return d
}

// Usage returns the number of requests that started in the window at all gateways, by team.
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
		add(p.pastUsage)
	}
	return sum
}

// Window returns the number of the usage window at the true time, and the time since its start.
func (s *State) Window(now time.Time) (int64, time.Duration) {
	t := s.clock.now(now).UnixNano()
	w := int64(s.settings.usageWindow)
	return t / w, time.Duration(t % w)
}
