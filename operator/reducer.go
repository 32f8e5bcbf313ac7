package operator

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/rollout"
)

// Documents provides the versions in force.
type Documents interface {
	// Current returns the document in force here.
	Current() rail.Document
	// Numbers returns the version in force at each process that has published one.
	Numbers() map[rail.Incarnation]uint64
}

// Members provides the known entries.
type Members interface {
	// Me returns this entry.
	Me() rail.Instance
	// Peers returns the other entries that are not leaving.
	Peers() []rail.Instance
}

// PeerActivity reports when facts were last received from other processes.
type PeerActivity interface {
	// LastReceived returns when the last new fact of a process was received, the zero time for never.
	LastReceived(n rail.Incarnation) time.Time
}

// Rollouts provides the state of the rollouts.
type Rollouts interface {
	// Status returns the rollouts of the document in force.
	Status() []rollout.Status
}

// Reducer answers the queries of operators from the state of the other reducers; it has no state of its own.
type Reducer struct {
	documents Documents
	members   Members
	activity  PeerActivity
	rollouts  Rollouts
}

// New returns a reducer that reads the state of the other ones.
func New(documents Documents, members Members, activity PeerActivity, rollouts Rollouts) *Reducer {
	return &Reducer{documents: documents, members: members, activity: activity, rollouts: rollouts}
}

// Query reports that an operator waits for the status.
type Query struct{ call rail.RequestID }

// NewQuery returns the event for a call that waits at the mailbox under its id.
func NewQuery(call rail.RequestID) Query { return Query{call: call} }

// EventName implements rail.Event.
func (Query) EventName() string { return "operatorAsked" }

// EntryStatus is what this process knows about one entry.
type EntryStatus struct {
	instance      rail.Instance
	number        uint64
	sinceReceived time.Duration
}

// neverReceived marks an entry from which no fact was received.
const neverReceived = time.Duration(-1)

// QueryResult returns the status to a waiting operator.
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

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	e, ok := in.Event().(Query)
	if !ok {
		return nil
	}
	return []rail.Effect{QueryResult{
		call:     e.call,
		document: r.documents.Current(),
		entries:  r.entries(in.At()),
		rollouts: r.rollouts.Status(),
	}}
}

// entries returns all known entries, sorted by domain and id.
func (r *Reducer) entries(at time.Time) []EntryStatus {
	entries := []EntryStatus{{instance: r.members.Me(), number: r.documents.Current().Number()}}
	numbers := r.documents.Numbers()
	for _, i := range r.members.Peers() {
		sinceReceived := neverReceived
		if lastReceived := r.activity.LastReceived(i.Incarnation()); !lastReceived.IsZero() {
			sinceReceived = at.Sub(lastReceived)
		}
		entries = append(entries, EntryStatus{instance: i, number: numbers[i.Incarnation()], sinceReceived: sinceReceived})
	}
	slices.SortFunc(entries, func(a, b EntryStatus) int {
		byDomain := cmp.Compare(a.instance.Domain(), b.instance.Domain())
		return cmp.Or(byDomain, cmp.Compare(a.instance.ID(), b.instance.ID()))
	})
	return entries
}
