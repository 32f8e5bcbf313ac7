package instance

import "dandelionrail.org/rail"

// Query requests the known instances for a waiting caller.
type Query struct{ call rail.RequestID }

// NewQuery returns the event; the call waits at the mailbox under its id.
func NewQuery(call rail.RequestID) Query { return Query{call: call} }

// EventName implements rail.Event.
func (Query) EventName() string { return "instancesWanted" }

// QueryResult returns the known instances to a waiting caller.
type QueryResult struct {
	call      rail.RequestID
	instances []rail.Instance
}

var _ rail.CallEffect = QueryResult{}

// Call implements rail.CallEffect.
func (e QueryResult) Call() rail.RequestID { return e.call }

// Instances returns the known instances, including this entry.
func (e QueryResult) Instances() []rail.Instance { return e.instances }

// EffectName implements rail.Effect.
func (QueryResult) EffectName() string { return "giveInstances" }
