package operator

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/rollout"
)

// Documents knows the versions in force.
type Documents interface {
	// Current returns the document in force here.
	Current() rail.Document
	// Numbers returns the version in force at each process that told of one.
	Numbers() map[rail.Incarnation]uint64
}

// Members knows the entries.
type Members interface {
	// Me returns this entry.
	Me() rail.Instance
	// Peers returns the other entries that are not leaving.
	Peers() []rail.Instance
}

// PeerActivity knows when a process was heard of.
type PeerActivity interface {
	// LastReceived returns when something new of a process came last, the zero time for never.
	LastReceived(n rail.Incarnation) time.Time
}

// Rollouts knows how far the rollouts are.
type Rollouts interface {
	// Status returns the rollouts of the document in force.
	Status() []rollout.Status
}

// Reducer answers operators from the state of the other parts; it has none of its own.
type Reducer struct {
	documents Documents
	members   Members
	heard     PeerActivity
	rollouts  Rollouts
}

// New returns a part that reads the other ones.
func New(documents Documents, members Members, heard PeerActivity, rollouts Rollouts) *Reducer {
	return &Reducer{documents: documents, members: members, heard: heard, rollouts: rollouts}
}

// Query tells that an operator waits for the status.
type Query struct{ call rail.RequestID }

// NewQuery returns the event; the call waits at the desk under its id.
func NewQuery(call rail.RequestID) Query { return Query{call: call} }

// EventName implements rail.Event.
func (Query) EventName() string { return "operatorAsked" }

// EntryStatus is what is known of one entry.
type EntryStatus struct {
	instance rail.Instance
	number   uint64
	silent   time.Duration
}

// never stands for an entry that was not heard of.
const never = time.Duration(-1)

// QueryResult gives an operator the status.
type QueryResult struct {
	call     rail.RequestID
	document rail.Document
	entries  []EntryStatus
	rollouts []rollout.Status
}

var _ rail.CallEffect = QueryResult{}

// Call implements rail.CallEffect.
func (e QueryResult) Call() rail.RequestID { return e.call }

// EffectName implements rail.Effect.
func (QueryResult) EffectName() string { return "answerOperator" }

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	e, ok := in.Event().(Query)
	if !ok {
		return nil
	}
	return []rail.Effect{QueryResult{
		call:     e.call,
		document: p.documents.Current(),
		entries:  p.entries(in.At()),
		rollouts: p.rollouts.Status(),
	}}
}

// entries returns all entries in order of their domains and ids.
func (p *Reducer) entries(at time.Time) []EntryStatus {
	entries := []EntryStatus{{instance: p.members.Me(), number: p.documents.Current().Number()}}
	numbers := p.documents.Numbers()
	for _, i := range p.members.Peers() {
		silent := never
		if heard := p.heard.LastReceived(i.Incarnation()); !heard.IsZero() {
			silent = at.Sub(heard)
		}
		entries = append(entries, EntryStatus{instance: i, number: numbers[i.Incarnation()], silent: silent})
	}
	slices.SortFunc(entries, func(a, b EntryStatus) int {
		byDomain := cmp.Compare(a.instance.Domain(), b.instance.Domain())
		return cmp.Or(byDomain, cmp.Compare(a.instance.ID(), b.instance.ID()))
	})
	return entries
}
