package entry

import (
	"sync"

	"dandelionrail.org/rail"
)

// maxDeparted bounds the incarnations that are remembered as gone.
const maxDeparted = 10_000

// departed remembers the entries that the list no longer shows.
type departed struct {
	mu    sync.Mutex
	set   map[rail.Incarnation]bool
	order []rail.Incarnation
}

// compare notes the entries that were known before and are not now.
func (d *departed) compare(before, now []rail.Instance) {
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

// add notes one incarnation; d.mu must be held.
func (d *departed) add(n rail.Incarnation) {
	if d.set == nil {
		d.set = map[rail.Incarnation]bool{}
	}
	if d.set[n] {
		return
	}
	if len(d.order) == maxDeparted {
		delete(d.set, d.order[0])
		d.order = d.order[1:]
	}
	d.set[n] = true
	d.order = append(d.order, n)
}

func (d *departed) has(n rail.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.set[n]
}

// listWanted asks for a read of the instance list before its time.
func (f *EffectRunner) listWanted() {
	select {
	case f.wanted <- struct{}{}:
	default:
	}
}
