package document

import "dandelionrail.org/rail"

// Query requests the document in force for a waiting caller.
type Query struct{ call rail.RequestID }

// NewQuery returns the event; the call waits at the mailbox under its id.
func NewQuery(call rail.RequestID) Query { return Query{call: call} }

// EventName implements rail.Event.
func (Query) EventName() string { return "documentWanted" }

// QueryResult returns the document in force to a waiting caller.
type QueryResult struct {
	call     rail.RequestID
	document rail.Document
	known    bool
}

var _ rail.CallEffect = QueryResult{}

// Call implements rail.CallEffect.
func (e QueryResult) Call() rail.RequestID { return e.call }

// Document returns the document in force, number zero for none.
func (e QueryResult) Document() rail.Document { return e.document }

// Known reports whether the process has read the log to its end and knows the version accepted last.
func (e QueryResult) Known() bool { return e.known }

// EffectName implements rail.Effect.
func (QueryResult) EffectName() string { return "giveDocument" }
