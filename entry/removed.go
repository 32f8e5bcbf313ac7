package entry

import (
	"sync"

	"dandelionrail.org/rail"
)

// maxRemovedEntries bounds the incarnations that are remembered as removed.
const maxRemovedEntries = 10_000

// removedEntries remembers the entries that were listed before and no longer are.
type removedEntries struct {
	mu    sync.Mutex
	set   map[rail.Incarnation]bool
	order []rail.Incarnation
}

// recordMissing records the entries that were known before and are not now.
func (r *removedEntries) recordMissing(before, now []rail.Instance) {
	still := make(map[rail.Incarnation]bool, len(now))
	for _, i := range now {
		still[i.Incarnation()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range before {
		if !still[i.Incarnation()] {
			r.add(i.Incarnation())
		}
	}
}

// add records one incarnation and drops the oldest beyond the bound; d.mu must be held.
func (r *removedEntries) add(n rail.Incarnation) {
	if r.set == nil {
		r.set = map[rail.Incarnation]bool{}
	}
	if r.set[n] {
		return
	}
	if len(r.order) == maxRemovedEntries {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
	r.set[n] = true
	r.order = append(r.order, n)
}

func (r *removedEntries) has(n rail.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set[n]
}

// requestListRead requests a read of the instance list before the interval ends.
func (r *EffectRunner) requestListRead() {
	select {
	case r.listReadRequests <- struct{}{}:
	default:
	}
}
