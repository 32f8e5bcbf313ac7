package rollout

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// maxHoldTime is the time after which a failure counts without a report of its upstream; a dead upstream leaves the instance list earlier.
	maxHoldTime = 8 * time.Second
	// maxHeldFailures is the maximum number of failures held for one upstream.
	maxHeldFailures = 256
	// maxLeaving is the maximum number of leaving upstreams kept.
	maxLeaving = 4096
)

// failure is a failed request that is not counted yet.
type failure struct {
	event Observed
	at    time.Time
}

// failureBuffer holds failures until their upstream is known to be alive: a
// crash or a reclaim fails all requests on an instance and is no evidence about
// the version.
type failureBuffer struct {
	waiting map[rail.InstanceID][]failure
	leaving map[rail.InstanceID]bool
}

func newFailureBuffer() failureBuffer {
	return failureBuffer{waiting: map[rail.InstanceID][]failure{}, leaving: map[rail.InstanceID]bool{}}
}

// observe returns the failures that the request's success confirms, and whether the request itself counts now.
func (b *failureBuffer) observe(e Observed, now time.Time) ([]failure, bool) {
	if e.upstream == "" {
		return nil, true
	}
	if e.ok {
		ready := b.waiting[e.upstream]
		delete(b.waiting, e.upstream)
		return ready, true
	}
	if fs := b.waiting[e.upstream]; !b.leaving[e.upstream] && len(fs) < maxHeldFailures {
		b.waiting[e.upstream] = append(fs, failure{event: e, at: now})
	}
	return nil, false
}

// release returns and removes the failures before asOf, a time at which the upstream was alive.
func (b *failureBuffer) release(id rail.InstanceID, asOf time.Time) []failure {
	fs := b.waiting[id]
	n := 0
	for n < len(fs) && fs[n].at.Before(asOf) {
		n++
	}
	if n == 0 {
		return nil
	}
	if n == len(fs) {
		delete(b.waiting, id)
	} else {
		b.waiting[id] = fs[n:]
	}
	return fs[:n]
}

// discardLeaving drops the failures of a leaving upstream, and those that follow.
func (b *failureBuffer) discardLeaving(id rail.InstanceID) {
	if len(b.leaving) >= maxLeaving {
		clear(b.leaving)
	}
	b.leaving[id] = true
	delete(b.waiting, id)
}

// discardUnlisted drops the failures of upstreams that are not listed or are leaving.
func (b *failureBuffer) discardUnlisted(instances []rail.Instance) {
	if len(b.waiting) == 0 {
		return
	}
	live := make(map[rail.InstanceID]bool, len(instances))
	for _, i := range instances {
		live[i.ID()] = !i.Leaving()
	}
	for id := range b.waiting {
		if !live[id] {
			delete(b.waiting, id)
		}
	}
}

// releaseExpired returns the failures held for maxHoldTime, in order of their upstreams' ids.
func (b *failureBuffer) releaseExpired(now time.Time) []failure {
	var ready []failure
	for _, id := range slices.Sorted(maps.Keys(b.waiting)) {
		ready = append(ready, b.release(id, now.Add(-maxHoldTime))...)
	}
	return ready
}
