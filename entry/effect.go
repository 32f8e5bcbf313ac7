package entry

import "dandelionrail.org/rail"

// InForce tells the process outside of the reducer which document is in force.
type InForce struct{ document rail.Document }

// Document returns the document.
func (e InForce) Document() rail.Document { return e.document }

// EffectName implements rail.Effect.
func (InForce) EffectName() string { return "inForce" }

// PollTargets says whose load reports this entry asks for, and which peers there are.
type PollTargets struct {
	upstreams []rail.Instance
	peers     []rail.Instance
	known     []rail.Instance
}

// Upstreams returns the upstreams to ask.
func (e PollTargets) Upstreams() []rail.Instance { return e.upstreams }

// Peers returns the other entries that are not leaving.
func (e PollTargets) Peers() []rail.Instance { return e.peers }

// Known returns the other entries, leaving or not.
func (e PollTargets) Known() []rail.Instance { return e.known }

// EffectName implements rail.Effect.
func (PollTargets) EffectName() string { return "polls" }

// ShutdownFinished tells that this entry has nothing left to do.
type ShutdownFinished struct{}

// EffectName implements rail.Effect.
func (ShutdownFinished) EffectName() string { return "left" }

// refused answers a call with an error kind.
type refused struct {
	call    rail.RequestID
	kind    rail.Kind
	message string
}

// Call implements rail.CallEffect.
func (e refused) Call() rail.RequestID { return e.call }

// Kind returns the error kind.
func (e refused) Kind() rail.Kind { return e.kind }

// Message returns what went wrong.
func (e refused) Message() string { return e.message }

// EffectName implements rail.Effect.
func (refused) EffectName() string { return "refused" }

// settled ends an order in the store; the order part answers its callers.
type settled struct {
	id    rail.RequestID
	kind  rail.Kind
	reply rail.ServiceReply
}

// EffectName implements rail.Effect.
func (settled) EffectName() string { return "settled" }
