package rollout

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// holdTime is how long a failure waits for a sign of life of its upstream; the instance list drops a dead one earlier.
	holdTime = 8 * time.Second
	// holdMost is the number of failures that wait for one upstream.
	holdMost = 256
	// goneMost is the number of leaving upstreams that are remembered.
	goneMost = 4096
)

// failure is a failed request that does not count yet.
type failure struct {
	event Observed
	at    time.Time
}

// hold keeps failures until their upstream has shown that it lives on: a crash
// or a reclaim fails all that runs on an instance, and says nothing of the
// version.
type hold struct {
	waiting map[rail.InstanceID][]failure
	gone    map[rail.InstanceID]bool
}

func newHold() hold {
	return hold{waiting: map[rail.InstanceID][]failure{}, gone: map[rail.InstanceID]bool{}}
}

// take returns the failures that count now because of the request, and whether the request itself does.
func (h *hold) take(e Observed, now time.Time) ([]failure, bool) {
	if e.upstream == "" {
		return nil, true
	}
	if e.ok {
		ready := h.waiting[e.upstream]
		delete(h.waiting, e.upstream)
		return ready, true
	}
	if fs := h.waiting[e.upstream]; !h.gone[e.upstream] && len(fs) < holdMost {
		h.waiting[e.upstream] = append(fs, failure{event: e, at: now})
	}
	return nil, false
}

// alive returns the failures that the upstream has outlived.
func (h *hold) alive(id rail.InstanceID, asOf time.Time) []failure {
	fs := h.waiting[id]
	n := 0
	for n < len(fs) && fs[n].at.Before(asOf) {
		n++
	}
	if n == 0 {
		return nil
	}
	if n == len(fs) {
		delete(h.waiting, id)
	} else {
		h.waiting[id] = fs[n:]
	}
	return fs[:n]
}

// leave drops the failures of an upstream that is leaving, now and from now on.
func (h *hold) leave(id rail.InstanceID) {
	if len(h.gone) >= goneMost {
		clear(h.gone)
	}
	h.gone[id] = true
	delete(h.waiting, id)
}

// list drops the failures of upstreams that are not listed or are leaving.
func (h *hold) list(instances []rail.Instance) {
	if len(h.waiting) == 0 {
		return
	}
	live := make(map[rail.InstanceID]bool, len(instances))
	for _, i := range instances {
		live[i.ID()] = !i.Leaving()
	}
	for id := range h.waiting {
		if !live[id] {
			delete(h.waiting, id)
		}
	}
}

// due returns the failures that have waited long enough, in order of their upstreams' ids.
func (h *hold) due(now time.Time) []failure {
	var ready []failure
	for _, id := range slices.Sorted(maps.Keys(h.waiting)) {
		ready = append(ready, h.alive(id, now.Add(-holdTime))...)
	}
	return ready
}
