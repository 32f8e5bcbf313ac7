package digest

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

// register names a fact within its origin.
type register struct {
	kind    rail.FactKind
	subject string
}

// lane holds the facts of one process that share a sequence.
type lane struct {
	// complete is the sequence up to which everything is held.
	complete uint64
	facts    map[register]rail.Fact
}

// origin is what is held of one process: the frequent and the urgent facts
// have sequences of their own, so that an urgent one is complete without the
// frequent ones that were written before it.
type origin struct {
	id    rail.Incarnation
	lanes [2]lane
}

const (
	frequentLane = 0
	urgentLane   = 1
)

// urgent reports whether facts of the kind are told at once; the others are overwritten often and wait for their turn.
func urgent(k rail.FactKind) bool {
	return k == rail.FactLeaving || k == rail.FactBrake || k == rail.FactDocument || k == rail.FactInstance
}

func laneOf(isUrgent bool) int {
	if isUrgent {
		return urgentLane
	}
	return frequentLane
}

// lane returns the lane of a kind.
func (o *origin) lane(k rail.FactKind) *lane { return &o.lanes[laneOf(urgent(k))] }

// State holds the facts of all processes as one of them knows them.
type State struct {
	self    rail.Incarnation
	origins map[rail.Incarnation]*origin
	// tombstones holds the last sequence of processes that were forgotten.
	tombstones tombstones
	// sorted and set are made anew when an origin comes or goes.
	sorted []*origin
	ids    []rail.Incarnation
	set    uint64
}

// NewState returns the state of a process that knows of nobody else.
func NewState(self rail.Incarnation) *State {
	s := &State{self: self, origins: map[rail.Incarnation]*origin{}, tombstones: newTombstones()}
	s.origin(self)
	return s
}

// Put writes an own fact and returns it with its sequence.
func (s *State) Put(kind rail.FactKind, subject, value string) rail.Fact {
	own := s.origin(s.self).lane(kind)
	own.complete++
	f := rail.NewFact(rail.NewFactKey(kind, subject, s.self), own.complete, value)
	own.facts[register{kind, subject}] = f
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

// Merge takes a peer's batches and returns the facts that were new, in the order of the batches.
func (s *State) Merge(batches []Batch) []rail.Fact {
	var news []rail.Fact
	for _, b := range batches {
		if b.origin != s.self && !s.tombstones.holds(b) {
			news = append(news, s.merge(b)...)
		}
	}
	return news
}

func (s *State) merge(b Batch) []rail.Fact {
	var news []rail.Fact
	l := &s.origin(b.origin).lanes[laneOf(b.urgent)]
	for _, f := range b.facts {
		r := register{f.Key().Kind(), f.Key().Subject()}
		if held, ok := l.facts[r]; ok && held.Sequence() >= f.Sequence() {
			continue
		}
		l.facts[r] = f
		news = append(news, f)
	}
	if l.complete >= b.after {
		l.complete = max(l.complete, b.upTo)
	}
	return news
}

// origin returns what is held of a process, empty at first.
func (s *State) origin(id rail.Incarnation) *origin {
	if o, ok := s.origins[id]; ok {
		return o
	}
	o := &origin{id: id}
	for i := range o.lanes {
		o.lanes[i].facts = map[register]rail.Fact{}
	}
	s.origins[id] = o
	s.sorted = nil
	return o
}

// order returns the origins by their incarnations and the hash of that set.
func (s *State) order() ([]*origin, uint64) {
	if s.sorted != nil {
		return s.sorted, s.set
	}
	hash := xxhash.New()
	// Requests on their way keep the former slice.
	s.ids = make([]rail.Incarnation, 0, len(s.origins))
	for _, o := range s.origins {
		s.sorted = append(s.sorted, o)
	}
	slices.SortFunc(s.sorted, func(a, b *origin) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	for _, o := range s.sorted {
		s.ids = append(s.ids, o.id)
		_, _ = hash.WriteString(string(o.id))
		_, _ = hash.Write([]byte{0})
	}
	s.set = hash.Sum64()
	return s.sorted, s.set
}

// Origins returns the processes of which facts are held, in order; the slice must not be changed.
func (s *State) Origins() []rail.Incarnation {
	_, _ = s.order()
	return s.ids
}
