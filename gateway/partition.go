package gateway

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/concurrency"
)

// partition tracks whether this gateway reaches the upstreams of a service. What attempts seem to tell of upstreams is kept back while
// it may tell of a partition of this gateway only.
type partition struct {
	// failed holds when upstreams were last not reached, since one was.
	failed map[string]failure
	// failingSince is when the first of them was not reached, beganAt when the partition began, zero if there is none.
	failingSince, beganAt time.Time
	// confirmed reports whether a probe has failed since then, too.
	confirmed bool
	// kept are the records to make once an upstream is reached.
	kept []func()
	// asked holds since when upstreams are asked that have not answered yet; probedAt is when the last probe began.
	asked    map[string]time.Time
	probedAt time.Time
	// probes holds when upstreams were last asked, reached those that answered since the partition began.
	probes  map[string]time.Time
	reached map[string]bool
	// recovery limits the attempts on new connections, nil if there is no limit.
	recovery *concurrency.Limit
}

// failure is an upstream that was not reached.
type failure struct {
	domain string
	at     time.Time
}

const (
	// partitionEvidenceTime is how long an upstream that was not reached counts as evidence of a partition.
	partitionEvidenceTime = 5 * time.Second
	// minSuspicion is the number of upstreams from which a partition is suspected, minPartition that from which it is assumed.
	minSuspicion = 2
	minPartition = 5
	// minFailingTime is how long no upstream was reached before a partition is assumed, unless all of them have failed.
	minFailingTime = 250 * time.Millisecond
	// minReached is the number of upstreams that must be reached to end a partition.
	minReached = 2
	// minProbeInterval is the time between two probes if few gateways are partitioned; suspicionProbes is the number of those that a suspicion
	// begins with.
	minProbeInterval = 500 * time.Millisecond
	suspicionProbes  = minPartition - minSuspicion
	// probeSpacing is the time between two probes of an upstream by all partitioned gateways together.
	probeSpacing = time.Second
	// probeTimeout is the time without a result after which a probe is given up; it is no evidence.
	probeTimeout = 2 * time.Second
	// minSilentWait is how long a caller that disconnects must have waited for the upstream to count as not reached.
	minSilentWait = 500 * time.Millisecond
	// maxKeptRecords bounds the records that are kept back; older ones are dropped.
	maxKeptRecords = 256
)

func (s *State) partitionOf(service string) *partition {
	x, ok := s.partitions[service]
	if !ok {
		x = &partition{failed: map[string]failure{}, asked: map[string]time.Time{}, probes: map[string]time.Time{}, reached: map[string]bool{}}
		s.partitions[service] = x
	}
	return x
}

// partitioned reports whether this gateway is assumed to be partitioned from the service.
func (s *State) partitioned(service string) bool {
	x, ok := s.partitions[service]
	return ok && !x.beganAt.IsZero()
}

// suspectsPartition reports whether this gateway may be partitioned from the service.
func (s *State) suspectsPartition(service string) bool {
	x, ok := s.partitions[service]
	return ok && (!x.beganAt.IsZero() || s.suspicious(service, x))
}

// suspicious reports whether enough upstreams were not reached for a partition to be suspected: two, or the only one.
func (s *State) suspicious(service string, x *partition) bool {
	return len(x.failed) >= minSuspicion || (len(x.failed) > 0 && len(s.registry.ofService(service)) == 1)
}

// notReached reports whether the outcome is that of an upstream that gave no sign of being reached.
func (p *pendingCall) notReached(o Outcome) bool {
	switch o.kind {
	case rail.KindUpstreamUnreachable, rail.KindUpstreamSilent:
		return true
	case rail.KindDeadlinePassed:
		return !p.gotFirstToken && !o.answered
	case rail.KindUpstreamFailed:
		return !o.answered && !o.headRead && (o.brokenOff() || o.timedOut)
	default:
		return false
	}
}

// reached reports whether the outcome shows that the upstream was reached.
func (o Outcome) reached() bool { return o.answered || o.refused || o.kind == rail.KindNone }

// recordAttemptReach records whether an attempt reached its upstream, and makes the record of the outcome now or once the service is
// known to be reached.
func (s *State) recordAttemptReach(p *pendingCall, o Outcome, record func()) []Effect {
	if o.reached() {
		s.serviceReached(p.service.name)
		s.recordAnswered(p)
	}
	var effects []Effect
	if p.notReached(o) {
		effects = s.recordNotReached(p.service.name, p.target)
		effects = append(effects, s.recordUnanswered(p, o)...)
	}
	if !o.reached() && s.suspectsPartition(p.service.name) {
		s.partitions[p.service.name].keep(record)
		return effects
	}
	record()
	return effects
}

// keep keeps a record back; during a partition it is dropped.
func (x *partition) keep(record func()) {
	if x.beganAt.IsZero() {
		x.kept = append(x.kept, record)
		x.kept = x.kept[max(0, len(x.kept)-maxKeptRecords):]
	}
}

// serviceReached ends a suspicion: the upstreams that were not reached are to blame.
func (s *State) serviceReached(service string) {
	x, ok := s.partitions[service]
	if !ok || !x.beganAt.IsZero() || len(x.failed) == 0 {
		return
	}
	clear(x.failed)
	clear(x.probes)
	x.release()
}

// release makes the records that were kept back.
func (x *partition) release() {
	kept := x.kept
	x.kept = nil
	for _, record := range kept {
		record()
	}
}

// recordNotReached records an upstream that was not reached, and begins a partition if there is enough evidence.
func (s *State) recordNotReached(service string, t *target) []Effect {
	x := s.partitionOf(service)
	if len(x.failed) == 0 {
		x.failingSince, x.confirmed = s.now, false
	}
	x.failed[t.id] = failure{domain: t.domain, at: s.now}
	switch {
	case !x.beganAt.IsZero():
		return nil
	case s.cutFrom(service, x):
		return s.beginPartition(service, x)
	default:
		return s.probeSuspicion(service, x)
	}
}

// beginPartition begins a partition.
func (s *State) beginPartition(service string, x *partition) []Effect {
	x.beganAt, x.kept = s.now, nil
	clear(x.reached)
	return []Effect{report(rail.EventPartitionBegan, NewField("service", service), NewField("upstreams", len(x.failed)), NewField("peers", len(s.forwardPeers(service))))}
}

// cutFrom reports whether the upstreams that were not reached show that none of the service is: several, or all, in more than one
// failure domain if the service has upstreams in others.
func (s *State) cutFrom(service string, x *partition) bool {
	usable, failed, domains, failedDomains := 0, 0, map[string]bool{}, map[string]bool{}
	for _, t := range s.registry.ofService(service) {
		if t.leaving || s.evacuations.Contains(t.domain) {
			continue
		}
		usable++
		domains[t.domain] = true
		if f, ok := x.failed[t.id]; ok && s.now.Sub(f.at) < partitionEvidenceTime {
			failed++
			failedDomains[t.domain] = true
		}
	}
	if !x.confirmed || (s.now.Sub(x.failingSince) < minFailingTime && failed < usable) {
		return false
	}
	return failed > 0 && failed >= min(minPartition, usable) && len(failedDomains) >= min(minSuspicion, len(domains))
}

// tickPartitions drops old evidence and starts the probes that are due.
func (s *State) tickPartitions() []Effect {
	s.updatePartitionedPeers()
	var effects []Effect
	for service, x := range s.partitions {
		if x.beganAt.IsZero() {
			for id, f := range x.failed {
				if s.now.Sub(f.at) >= partitionEvidenceTime {
					delete(x.failed, id)
				}
			}
			if !s.suspicious(service, x) {
				x.release()
				continue
			}
			if s.cutFrom(service, x) {
				effects = append(effects, s.beginPartition(service, x)...)
			}
		}
		for id, at := range x.asked {
			if s.now.Sub(at) >= probeTimeout {
				delete(x.asked, id)
			}
		}
		if len(x.asked) == 0 && s.probeDue(service, x) {
			effects = append(effects, s.probeNext(service, x)...)
		}
	}
	return effects
}

// probeDue reports whether the next probe is due. While many gateways are partitioned the time between two grows, since upstreams that answer
// new connections slowly would be kept busy with probes, and the gateways take turns.
func (s *State) probeDue(service string, x *partition) bool {
	if s.now.Sub(x.probedAt) < minProbeInterval {
		return false
	}
	gateways := 1 + len(s.partitionedPeers[service])
	interval := probeSpacing * time.Duration(gateways) / time.Duration(max(1, len(s.registry.ofService(service))))
	if x.beganAt.IsZero() || interval <= minProbeInterval {
		return true
	}
	phase := time.Duration(hashWeight(service, s.settings.name) % uint64(interval)) //nolint:gosec // The interval is positive.
	turn := func(at time.Time) int64 { return at.Add(phase).UnixNano() / int64(interval) }
	return turn(s.now) != turn(x.probedAt)
}

// probeSuspicion asks several upstreams at once when a partition begins to be suspected.
func (s *State) probeSuspicion(service string, x *partition) []Effect {
	var effects []Effect
	if s.suspicious(service, x) && s.now.Sub(x.probedAt) >= minProbeInterval {
		for range suspicionProbes {
			effects = append(effects, s.probeNext(service, x)...)
		}
	}
	return effects
}

// probeNext starts a probe of the upstream that was not asked for longest.
func (s *State) probeNext(service string, x *partition) []Effect {
	var next *target
	for _, t := range s.registry.ofService(service) {
		if _, asked := x.asked[t.id]; !t.leaving && !asked && !s.evacuations.Contains(t.domain) && (next == nil || x.probesBefore(t, next, s.settings.name)) {
			next = t
		}
	}
	if next == nil {
		return nil
	}
	x.asked[next.id], x.probedAt, x.probes[next.id] = s.now, s.now, s.now
	maxConns := 0
	if config := s.config.services[service]; config != nil {
		maxConns = s.connectionLimit(config)
	}
	return []Effect{NewProbe(next.Upstream, maxConns)}
}

// probesBefore reports whether the first upstream is asked before the second one.
func (x *partition) probesBefore(a, b *target, gateway string) bool {
	_, aFailed := x.failed[a.id]
	_, bFailed := x.failed[b.id]
	if x.beganAt.IsZero() && aFailed != bFailed {
		return bFailed
	}
	if c := x.probes[a.id].Compare(x.probes[b.id]); c != 0 {
		return c < 0
	}
	return hashWeight(gateway, a.id) > hashWeight(gateway, b.id)
}

// probeEnded applies the result of a probe.
func (s *State) probeEnded(e ProbeEnded) []Effect {
	for service, x := range s.partitions {
		if _, asked := x.asked[e.upstreamID]; !asked {
			continue
		}
		delete(x.asked, e.upstreamID)
		switch {
		case x.beganAt.IsZero() && e.ok:
			s.serviceReached(service)
			return nil
		case x.beganAt.IsZero():
			t, ok := s.registry.targets[e.upstreamID]
			if !ok || !s.suspicious(service, x) {
				return nil // The suspicion has ended meanwhile.
			}
			x.confirmed = true
			return s.recordNotReached(service, t)
		case !e.ok:
			delete(x.reached, e.upstreamID)
			return nil
		}
		return s.upstreamReached(service, x, e.upstreamID)
	}
	if t, ok := s.registry.targets[e.upstreamID]; ok && e.ok && s.partitioned(t.service) {
		return s.upstreamReached(t.service, s.partitions[t.service], t.id) // Late, but it is reached.
	}
	return nil
}

// upstreamReached ends the partition if enough upstreams are reached, and asks the next one otherwise.
func (s *State) upstreamReached(service string, x *partition, id string) []Effect {
	x.reached[id] = true
	usable := 0
	for _, t := range s.registry.ofService(service) {
		if t.id == id {
			t.answeredAt = s.now
		}
		if !t.leaving && !s.evacuations.Contains(t.domain) {
			usable++
		}
	}
	if len(x.reached) >= min(minReached, usable) || len(s.forwardPeers(service)) == 0 {
		return s.endPartition(service, x)
	}
	return s.probeNext(service, x)
}

// endPartition ends a partition; what attempts told of the upstreams meanwhile is forgotten.
func (s *State) endPartition(service string, x *partition) []Effect {
	lasted := s.now.Sub(x.beganAt)
	x.beganAt, x.kept = time.Time{}, nil
	clear(x.failed)
	clear(x.reached)
	clear(x.probes)
	x.recovery = concurrency.New(1, s.now)
	for _, t := range s.registry.ofService(service) {
		t.health = health{}
		delete(s.reachability, t.domain)
	}
	return []Effect{report(rail.EventPartitionEnded, NewField("service", service), NewField("lastedMs", lasted.Milliseconds()))}
}

// ownPartitions returns this gateway's name by the services that it is partitioned from.
func (s *State) ownPartitions() map[string][]string {
	own := map[string][]string{}
	for service, x := range s.partitions {
		if !x.beganAt.IsZero() {
			own[service] = []string{s.settings.name}
		}
	}
	return own
}

// updatePartitionedPeers updates which gateways are partitioned from which services, as the digests say.
func (s *State) updatePartitionedPeers() {
	clear(s.partitionedPeers)
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) >= peerTimeout {
			continue
		}
		for service, names := range p.digest.partitions {
			if s.partitionedPeers[service] == nil {
				s.partitionedPeers[service] = map[string]bool{}
			}
			for _, name := range names {
				s.partitionedPeers[service][name] = true
			}
		}
	}
}

// mergePartitions adds the names of a digest; a name may come twice.
func mergePartitions(to, from map[string][]string) {
	for service, names := range from {
		to[service] = append(to[service], names...)
	}
}
