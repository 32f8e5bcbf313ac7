package digest

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	// maxTombstones bounds the number of forgotten processes with a tombstone.
	maxTombstones = 8192
	// expireAfter is how long a fact about a single instance is kept.
	expireAfter = time.Hour
)

// expires reports whether facts of the kind are about single instances; without expiry their number would grow with each new instance.
func expires(k rail.FactKind) bool { return k == rail.FactLeaving || k == rail.FactInstance }

// tombstones holds the last sequence numbers of forgotten processes, so that a peer that still holds their facts does not restore them.
type tombstones struct {
	last  map[rail.Incarnation][2]uint64
	order []rail.Incarnation
}

func newTombstones() tombstones { return tombstones{last: map[rail.Incarnation][2]uint64{}} }

// covers reports whether the batch is of a forgotten origin and holds no fact written after that.
func (t *tombstones) covers(batch Batch) bool {
	last, ok := t.last[batch.origin]
	if !ok {
		return false
	}
	for _, f := range batch.facts {
		if f.Sequence() > last[laneOf(batch.urgent)] {
			// Only the process itself can have written a new fact, so it is alive.
			delete(t.last, batch.origin)
			return false
		}
	}
	return true
}

func (t *tombstones) add(id rail.Incarnation, last [2]uint64) {
	if _, ok := t.last[id]; !ok {
		t.order = append(t.order, id)
	}
	t.last[id] = last
	if len(t.order) > maxTombstones {
		delete(t.last, t.order[0])
		t.order = t.order[1:]
	}
}

// Forget removes the facts of a process; they are accepted again only after it has written new ones.
func (s *State) Forget(id rail.Incarnation) {
	o, ok := s.origins[id]
	if !ok || id == s.self {
		return
	}
	var last [2]uint64
	for i, l := range o.lanes {
		last[i] = l.complete
		for _, f := range l.facts {
			last[i] = max(last[i], f.Sequence())
		}
	}
	s.tombstones.add(id, last)
	delete(s.origins, id)
	s.sortedCache = nil
}

// Drop removes a fact that no entry needs any more.
func (s *State) Drop(k rail.FactKey) {
	if o, ok := s.origins[k.Origin()]; ok {
		delete(o.lane(k.Kind()).facts, register{k.Kind(), k.Subject()})
	}
}
