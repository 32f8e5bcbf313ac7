package digest

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

// register identifies a fact within its origin.
type register struct {
	kind    rail.FactKind
	subject string
}

// lane holds the facts of one process that share a sequence counter.
type lane struct {
	// complete is the sequence number up to which all facts are held.
	complete uint64
	facts    map[register]rail.Fact
}

// origin holds the facts of one process. Frequent and urgent facts have
// separate sequence counters, so that an urgent fact is complete without the
// frequent ones that were written before it.
type origin struct {
	id    rail.Incarnation
	lanes [2]lane
}

const (
	frequentLane = 0
	urgentLane   = 1
)

// urgent reports whether facts of the kind are pushed at once; the others are overwritten often and go through the pacer.
func urgent(k rail.FactKind) bool {
	return k == rail.FactLeaving || k == rail.FactBrake || k == rail.FactDocument || k == rail.FactInstance
}

func laneOf(isUrgent bool) int {
	if isUrgent {
		return urgentLane
	}
	return frequentLane
}

// lane returns the lane of the fact's kind.
func (o *origin) lane(k rail.FactKind) *lane { return &o.lanes[laneOf(urgent(k))] }

// State holds the facts of all processes that one process has learnt.
type State struct {
	self    rail.Incarnation
	origins map[rail.Incarnation]*origin
	// tombstones holds the last sequence numbers of forgotten processes.
	tombstones tombstones
	// sortedCache, ids and setHash are rebuilt after an origin was added or removed.
	sortedCache []*origin
	ids         []rail.Incarnation
	setHash     uint64
}

// NewState returns the state of a process that knows no other one.
func NewState(self rail.Incarnation) *State {
	s := &State{self: self, origins: map[rail.Incarnation]*origin{}, tombstones: newTombstones()}
	s.origin(self)
	return s
}

// Put writes a fact of this process and returns it with its sequence number.
func (s *State) Put(kind rail.FactKind, subject, value string) rail.Fact {
	selfLane := s.origin(s.self).lane(kind)
	selfLane.complete++
	f := rail.NewFact(rail.NewFactKey(kind, subject, s.self), selfLane.complete, value)
	selfLane.facts[register{kind, subject}] = f
	return f
}

// Fact returns the value of a register.
func (s *State) Fact(k rail.FactKey) (rail.Fact, bool) {
	o, ok := s.origins[k.Origin()]
	if !ok {
		return rail.Fact{}, false
	}
	f, ok := o.lane(k.Kind()).facts[register{k.Kind(), k.Subject()}]
	return f, ok
}

// FactCount returns the number of facts held.
func (s *State) FactCount() int {
	n := 0
	for _, o := range s.origins {
		n += len(o.lanes[frequentLane].facts) + len(o.lanes[urgentLane].facts)
	}
	return n
}

// Merge applies a peer's batches and returns the facts that were new, in the order of the batches.
func (s *State) Merge(batches []Batch) []rail.Fact {
	var added []rail.Fact
	for _, b := range batches {
		if b.origin != s.self && !s.tombstones.covers(b) {
			added = append(added, s.merge(b)...)
		}
	}
	return added
}

func (s *State) merge(b Batch) []rail.Fact {
	var added []rail.Fact
	l := &s.origin(b.origin).lanes[laneOf(b.urgent)]
	for _, f := range b.facts {
		r := register{f.Key().Kind(), f.Key().Subject()}
		if current, ok := l.facts[r]; ok && current.Sequence() >= f.Sequence() {
			continue
		}
		l.facts[r] = f
		added = append(added, f)
	}
	if l.complete >= b.after {
		l.complete = max(l.complete, b.upTo)
	}
	return added
}

// origin returns the facts of a process and creates an empty origin if there is none.
func (s *State) origin(id rail.Incarnation) *origin {
	if o, ok := s.origins[id]; ok {
		return o
	}
	o := &origin{id: id}
	for i := range o.lanes {
		o.lanes[i].facts = map[register]rail.Fact{}
	}
	s.origins[id] = o
	s.sortedCache = nil
	return o
}

// sortedOrigins returns the origins sorted by incarnation, and the hash of that set.
func (s *State) sortedOrigins() ([]*origin, uint64) {
	if s.sortedCache != nil {
		return s.sortedCache, s.setHash
	}
	hash := xxhash.New()
	// Requests in flight keep the former slice.
	s.ids = make([]rail.Incarnation, 0, len(s.origins))
	for _, o := range s.origins {
		s.sortedCache = append(s.sortedCache, o)
	}
	slices.SortFunc(s.sortedCache, func(a, b *origin) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	for _, o := range s.sortedCache {
		s.ids = append(s.ids, o.id)
		_, _ = hash.WriteString(string(o.id))
		_, _ = hash.Write([]byte{0})
	}
	s.setHash = hash.Sum64()
	return s.sortedCache, s.setHash
}

// Origins returns the sorted processes of which facts are held; the slice must not be changed.
func (s *State) Origins() []rail.Incarnation {
	_, _ = s.sortedOrigins()
	return s.ids
}
