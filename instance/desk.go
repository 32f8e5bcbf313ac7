package instance

import "dandelionrail.org/rail"

// Query tells that a caller waits for the known instances.
type Query struct{ call rail.RequestID }

// NewQuery returns the event; the call waits at the desk under its id.
func NewQuery(call rail.RequestID) Query { return Query{call: call} }

// EventName implements rail.Event.
func (Query) EventName() string { return "instancesWanted" }

// QueryResult hands the known instances to a waiting caller.
type QueryResult struct {
	call      rail.RequestID
	instances []rail.Instance
}

var _ rail.CallEffect = QueryResult{}

// Call implements rail.CallEffect.
func (e QueryResult) Call() rail.RequestID { return e.call }

// Instances returns the known instances, this entry among them.
func (e QueryResult) Instances() []rail.Instance { return e.instances }

// EffectName implements rail.Effect.
func (QueryResult) EffectName() string { return "giveInstances" }
