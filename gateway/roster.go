package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

// target is an upstream with what this gateway knows of it.
type target struct {
	Upstream
	// own and peers are what this gateway and the others have under way there.
	own, peers Load
	health     health
	cache      cache
	// lapsed is when the entry expired while the store was away, zero otherwise.
	lapsed time.Time
}

// roster is the list of upstreams; what leaves stays so for one start.
type roster struct {
	targets map[string]*target
	byGroup map[string][]*target
	// storeLost and storeBack are the start and the end of the last outage of the store.
	storeLost, storeBack time.Time
	storeAway            bool
	// partial says that a peer read the store in the last outage.
	partial bool
}

func newRoster() *roster {
	return &roster{targets: map[string]*target{}, byGroup: map[string][]*target{}}
}

// group returns the upstreams of a service.
func (r *roster) group(service string) []*target { return r.byGroup[service] }

// storeReached notes whether the store answers, and reports whether that changed.
func (r *roster) storeReached(ok bool, now time.Time) bool {
	changed := ok == r.storeAway
	switch {
	case !ok && !r.storeAway:
		r.storeLost, r.partial = now, false
	case ok && r.storeAway:
		r.storeBack = now
	}
	r.storeAway = !ok
	return changed
}

const (
	// lapseHold is how long after the return of the store an upstream whose entry expired in its outage is still used: entries are back within two seconds.
	lapseHold = 2200 * time.Millisecond
	// shortestLapse is the shortest outage in which an entry may expire.
	shortestLapse = time.Second
)

// mayBeLapse reports whether a removal now may come from an outage of the
// store. If a peer read the store meanwhile, only this gateway was turned
// away, and what was removed has left.
func (r *roster) mayBeLapse(now time.Time) bool {
	if r.partial {
		return false
	}
	if r.storeAway {
		return now.Sub(r.storeLost) >= shortestLapse
	}
	return r.storeBack.Sub(r.storeLost) >= shortestLapse && now.Sub(r.storeBack) < lapseHold
}

// apply takes in the changes and returns the log lines.
func (r *roster) apply(e UpstreamsRead, now time.Time) []Effect {
	var effects []Effect
	named := make(map[string]bool, len(e.changes))
	for _, c := range e.changes {
		named[c.id] = !c.removed
		if c.removed {
			effects = append(effects, r.remove(c.id, e.source, now)...)
			continue
		}
		effects = append(effects, r.set(c.upstream, e.source)...)
	}
	if e.whole {
		for id := range r.targets {
			if !named[id] {
				effects = append(effects, r.remove(id, e.source, now)...)
			}
		}
	}
	return effects
}

func (r *roster) set(u Upstream, source string) []Effect {
	t, ok := r.targets[u.id]
	if ok && t.born > u.born {
		return nil // An entry of an earlier start.
	}
	if !ok || t.born != u.born {
		fresh := &target{Upstream: u, cache: newCache()}
		if ok {
			r.drop(t)
		}
		r.targets[u.id] = fresh
		r.byGroup[u.service] = append(r.byGroup[u.service], fresh)
		return []Effect{report(rail.EventUpstreamListed, upstreamFields(u, source)...)}
	}
	was := t.leaving
	if t.service != u.service {
		r.drop(t)
		r.byGroup[u.service] = append(r.byGroup[u.service], t)
	}
	t.Upstream, t.lapsed = u, time.Time{}
	t.leaving = was || u.leaving
	if t.leaving && !was {
		return []Effect{report(rail.EventUpstreamLeaving, upstreamFields(u, source)...)}
	}
	return nil
}

// remove takes an upstream out of use, or holds it while its entry may have lapsed in an outage.
func (r *roster) remove(id, source string, now time.Time) []Effect {
	t, ok := r.targets[id]
	if !ok || !t.lapsed.IsZero() {
		return nil
	}
	if r.mayBeLapse(now) && !t.leaving {
		t.lapsed = now
		return []Effect{report(rail.EventUpstreamExpired, upstreamFields(t.Upstream, source)...)}
	}
	r.forget(t)
	return []Effect{report(rail.EventUpstreamRemoved, upstreamFields(t.Upstream, source)...)}
}

// expire forgets the upstreams whose entries did not come back after an outage.
func (r *roster) expire(now time.Time) []Effect {
	var effects []Effect
	for _, t := range r.targets {
		if t.lapsed.IsZero() || r.storeAway {
			continue
		}
		if r.partial || now.Sub(r.storeBack) >= lapseHold {
			r.forget(t)
			effects = append(effects, report(rail.EventUpstreamRemoved, upstreamFields(t.Upstream, "lapse")...))
		}
	}
	return effects
}

// leave marks an upstream as leaving from another source than the store.
func (r *roster) leave(id, source string) []Effect {
	t, ok := r.targets[id]
	if !ok || t.leaving {
		return nil
	}
	t.leaving = true
	return []Effect{report(rail.EventUpstreamLeaving, upstreamFields(t.Upstream, source)...)}
}

func (r *roster) forget(t *target) {
	delete(r.targets, t.id)
	r.drop(t)
}

func (r *roster) drop(t *target) {
	for service, ts := range r.byGroup {
		for i, x := range ts {
			if x == t {
				r.byGroup[service] = append(ts[:i:i], ts[i+1:]...)
				return
			}
		}
	}
}

func upstreamFields(u Upstream, source string) []Field {
	return []Field{
		NewField("upstream", u.id), NewField("service", u.service), NewField("domain", u.domain), NewField("address", u.address),
		NewField("version", u.version), NewField("spot", u.spot), NewField("leaving", u.leaving), NewField("source", source),
	}
}
