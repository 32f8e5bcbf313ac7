package gateway

import (
	"maps"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/estimate"
)

// target is an upstream with its load, health and cache estimate at this gateway.
type target struct {
	Upstream
	// ownLoad and peerLoad are the loads of this gateway and of the others.
	ownLoad, peerLoad Load
	health            health
	// slowness estimates the ratio of the times of this start to the default ones.
	slowness estimate.Estimator
	limit    requestLimit
	cold     coldStart
	refusal  refusalTime
	// answeredAt is when it last answered this gateway, zero if the last attempt since was not answered.
	answeredAt time.Time
	// abandoned holds the requests that were given up here shortly ago.
	abandoned []abandonment
	// unconfirmed holds answers that ended with their connections shortly ago.
	unconfirmed []unconfirmedAnswer
	cache       cacheEstimate
	// expiredAt is the time when the entry's removal during or after a store outage, or its absence after a restore, was seen, zero
	// otherwise.
	expiredAt time.Time
	// absentAfterRestore reports that the entry is absent because the store was restored from an older copy.
	absentAfterRestore bool
}

// registry is the list of upstreams. An upstream that is leaving stays so until its next start.
type registry struct {
	targets   map[string]*target
	byService map[string][]*target
	// departed holds the upstreams that were removed, as their last entries described them.
	departed map[string]departure
	// returned holds the entries of departed upstreams that a restore of the store brought back, and when it did.
	returned map[string]departure
	// storeLostAt and storeBackAt are the start and the end of the last store outage.
	storeLostAt, storeBackAt time.Time
	storeUnavailable         bool
	// storeRestoredAt is when the store was last seen to be restored from a copy.
	storeRestoredAt time.Time
	// peerReadStore reports whether a peer could read the store during the last outage.
	peerReadStore bool
	// peerReadSince and peerReadAt are the first and the last time at which a peer reported that it could, while this gateway could not.
	peerReadSince, peerReadAt time.Time
}

func newRegistry() *registry {
	return &registry{targets: map[string]*target{}, byService: map[string][]*target{}, departed: map[string]departure{}, returned: map[string]departure{}}
}

// departure is the last entry of an upstream and the time at which it was removed, or brought back.
type departure struct {
	Upstream
	at time.Time
}

// ofService returns the upstreams of a service.
func (r *registry) ofService(service string) []*target { return r.byService[service] }

// recordStoreRead records whether the store is available, and reports whether that changed.
func (r *registry) recordStoreRead(ok bool, now time.Time) bool {
	changed := ok == r.storeUnavailable
	switch {
	case !ok && !r.storeUnavailable:
		r.storeLostAt, r.peerReadStore = now, false
	case ok && r.storeUnavailable:
		r.storeBackAt = now
	}
	r.storeUnavailable = !ok
	return changed
}

const (
	// expiryHold is how long after a store outage an upstream whose entry expired in the outage is still used: entries are back within two seconds.
	expiryHold = 2200 * time.Millisecond
	// returnedEntryHold is how long an entry of a departed upstream that a restore brought back is not used: the store removes entries of
	// silent upstreams after three of their reports.
	returnedEntryHold = 8 * time.Second
	// departureMemory is how long removed upstreams are remembered. A store may be restored from a copy that is some seconds old.
	departureMemory = time.Minute
	// minExpiryOutage is the minimum length of an outage in which an entry may expire.
	minExpiryOutage = time.Second
)

// mayBeExpiry reports whether a removal now may be caused by a store outage. If
// a peer could read the store during the outage, the store was unavailable to
// this gateway only, and removed upstreams have really left.
func (r *registry) mayBeExpiry(now time.Time) bool {
	if r.peerReadStore {
		return false
	}
	if r.storeUnavailable {
		return now.Sub(r.storeLostAt) >= minExpiryOutage
	}
	return r.storeBackAt.Sub(r.storeLostAt) >= minExpiryOutage && now.Sub(r.storeBackAt) < expiryHold
}

// apply applies the changes and returns the log lines.
func (r *registry) apply(e UpstreamsRead, now time.Time) []Effect {
	var effects []Effect
	named := make(map[string]bool, len(e.changes))
	for _, c := range e.changes {
		named[c.id] = !c.removed
		if c.removed {
			delete(r.returned, c.id)
			effects = append(effects, r.remove(c.id, e.source, now)...)
			continue
		}
		if r.holdReturned(c.upstream, now) {
			continue
		}
		effects = append(effects, r.upsert(c.upstream, e.source)...)
	}
	if e.full {
		maps.DeleteFunc(r.returned, func(id string, _ departure) bool { return !named[id] })
		for id, t := range r.targets {
			switch {
			case named[id]:
			case now.Sub(r.storeRestoredAt) < expiryHold && !t.leaving && t.expiredAt.IsZero():
				t.expiredAt, t.absentAfterRestore = now, true
				effects = append(effects, report(rail.EventUpstreamExpired, upstreamFields(t.Upstream, e.source)...))
			default:
				effects = append(effects, r.remove(id, e.source, now)...)
			}
		}
	}
	return effects
}

// holdReturned reports whether the entry is one of a departed upstream that a restore of the store brought back.
func (r *registry) holdReturned(u Upstream, now time.Time) bool {
	d, ok := r.departed[u.id]
	if !ok || now.Sub(r.storeRestoredAt) >= returnedEntryHold || u.startedAtMs > d.startedAtMs || (u.startedAtMs == d.startedAtMs && u.sequence > d.sequence) {
		delete(r.returned, u.id)
		return false
	}
	r.returned[u.id] = departure{u, now}
	return true
}

// releaseReturned uses the entries that a restore brought back and the store did not remove again, and forgets old departures.
func (r *registry) releaseReturned(now time.Time) []Effect {
	var effects []Effect
	for id, d := range r.returned {
		if now.Sub(d.at) >= returnedEntryHold && !r.storeUnavailable {
			delete(r.returned, id)
			delete(r.departed, id)
			effects = append(effects, r.upsert(d.Upstream, "restore")...)
		}
	}
	for id, d := range r.departed {
		if now.Sub(d.at) >= departureMemory {
			delete(r.departed, id)
		}
	}
	return effects
}

func (r *registry) upsert(u Upstream, source string) []Effect {
	t, ok := r.targets[u.id]
	if ok && t.startedAtMs > u.startedAtMs {
		return nil // The entry belongs to an earlier start.
	}
	delete(r.departed, u.id)
	if !ok || t.startedAtMs != u.startedAtMs {
		fresh := &target{Upstream: u, cache: newCache()}
		if ok {
			r.removeFromService(t)
		}
		r.targets[u.id] = fresh
		r.byService[u.service] = append(r.byService[u.service], fresh)
		return []Effect{report(rail.EventUpstreamListed, upstreamFields(u, source)...)}
	}
	wasLeaving := t.leaving
	if t.service != u.service {
		r.removeFromService(t)
		r.byService[u.service] = append(r.byService[u.service], t)
	}
	t.Upstream, t.expiredAt, t.absentAfterRestore = u, time.Time{}, false
	t.leaving = wasLeaving || u.leaving
	if t.leaving && !wasLeaving {
		return []Effect{report(rail.EventUpstreamLeaving, upstreamFields(u, source)...)}
	}
	return nil
}

// remove removes an upstream, or marks it as expired if the removal may be caused by a store outage.
func (r *registry) remove(id, source string, now time.Time) []Effect {
	t, ok := r.targets[id]
	if !ok || (!t.expiredAt.IsZero() && !t.absentAfterRestore) {
		return nil
	}
	if r.mayBeExpiry(now) && !t.leaving {
		t.expiredAt = now
		return []Effect{report(rail.EventUpstreamExpired, upstreamFields(t.Upstream, source)...)}
	}
	r.depart(t, now)
	return []Effect{report(rail.EventUpstreamRemoved, upstreamFields(t.Upstream, source)...)}
}

// dropExpired removes the expired upstreams whose entries did not come back after an outage.
func (r *registry) dropExpired(now time.Time) []Effect {
	var effects []Effect
	for _, t := range r.targets {
		if t.expiredAt.IsZero() || (r.storeUnavailable && !r.peerReadStore) {
			continue
		}
		over := r.peerReadStore || now.Sub(r.storeBackAt) >= expiryHold
		if t.absentAfterRestore {
			over = now.Sub(t.expiredAt) >= expiryHold && now.Sub(r.storeBackAt) >= expiryHold
		}
		if over {
			r.depart(t, now)
			effects = append(effects, report(rail.EventUpstreamRemoved, upstreamFields(t.Upstream, "lapse")...))
		}
	}
	return effects
}

// markLeaving marks the start of an upstream as leaving, as reported by a peer or by the upstream itself.
func (r *registry) markLeaving(start upstreamStart, source string) []Effect {
	t, ok := r.targets[start.id]
	if !ok || t.leaving || t.startedAtMs > start.startedAtMs {
		return nil
	}
	t.leaving = true
	return []Effect{report(rail.EventUpstreamLeaving, upstreamFields(t.Upstream, source)...)}
}

// depart removes an upstream that has left.
func (r *registry) depart(t *target, now time.Time) {
	delete(r.targets, t.id)
	r.removeFromService(t)
	r.departed[t.id] = departure{t.Upstream, now}
}

func (r *registry) removeFromService(t *target) {
	for service, ts := range r.byService {
		for i, x := range ts {
			if x == t {
				r.byService[service] = append(ts[:i:i], ts[i+1:]...)
				return
			}
		}
	}
}

func upstreamFields(u Upstream, source string) []Field {
	return []Field{
		NewField("upstream", u.id), NewField("service", u.service), NewField("domain", u.domain), NewField("address", u.address),
		NewField("version", u.version), NewField("spot", u.spot), NewField("leaving", u.leaving), NewField("leftMs", u.timeLeft.Milliseconds()), NewField("source", source),
	}
}
