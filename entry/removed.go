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
func (d *removedEntries) recordMissing(before, now []rail.Instance) {
	still := make(map[rail.Incarnation]bool, len(now))
	for _, i := range now {
		still[i.Incarnation()] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range before {
		if !still[i.Incarnation()] {
			d.add(i.Incarnation())
		}
	}
}

// add records one incarnation and drops the oldest beyond the bound; d.mu must be held.
func (d *removedEntries) add(n rail.Incarnation) {
	if d.set == nil {
		d.set = map[rail.Incarnation]bool{}
	}
	if d.set[n] {
		return
	}
	if len(d.order) == maxRemovedEntries {
		delete(d.set, d.order[0])
		d.order = d.order[1:]
	}
	d.set[n] = true
	d.order = append(d.order, n)
}

func (d *removedEntries) has(n rail.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set[n]
}

// requestListRead requests a read of the instance list before the interval ends.
func (r *EffectRunner) requestListRead() {
	select {
	case r.listReadRequests <- struct{}{}:
	default:
	}
}
