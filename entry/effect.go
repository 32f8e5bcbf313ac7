package entry

import "dandelionrail.org/rail"

// InForce passes the document in force to the code outside of the reducers.
type InForce struct{ document rail.Document }

// Document returns the document.
func (e InForce) Document() rail.Document { return e.document }

// EffectName implements rail.Effect.
func (InForce) EffectName() string { return "inForce" }

// PollTargets lists the upstreams that this entry polls for load reports, and the other entries.
type PollTargets struct {
	upstreams []rail.Instance
	peers     []rail.Instance
	known     []rail.Instance
}

// Upstreams returns the upstreams to poll.
func (e PollTargets) Upstreams() []rail.Instance { return e.upstreams }

// Peers returns the other entries that are not leaving.
func (e PollTargets) Peers() []rail.Instance { return e.peers }

// Known returns the other entries, leaving or not.
func (e PollTargets) Known() []rail.Instance { return e.known }

// EffectName implements rail.Effect.
func (PollTargets) EffectName() string { return "polls" }

// ShutdownFinished reports that a leaving entry has no work left and may exit.
type ShutdownFinished struct{}

// EffectName implements rail.Effect.
func (ShutdownFinished) EffectName() string { return "left" }

// refused rejects a call with an error kind.
type refused struct {
	call    rail.RequestID
	kind    rail.Kind
	message string
}

// Call implements rail.CallEffect.
func (e refused) Call() rail.RequestID { return e.call }

// Kind returns the error kind.
func (e refused) Kind() rail.Kind { return e.kind }

// Message returns the error message.
func (e refused) Message() string { return e.message }

// EffectName implements rail.Effect.
func (refused) EffectName() string { return "refused" }

// orderSettled ends an order in the answer store; the order reducer answers its callers.
type orderSettled struct {
	id    rail.RequestID
	kind  rail.Kind
	reply rail.ServiceReply
}

// EffectName implements rail.Effect.
func (orderSettled) EffectName() string { return "settled" }
