package team

import "dandelionrail.org/rail"

// Admitted allows a request to start.
type Admitted struct{ request rail.RequestID }

// Call implements rail.CallEffect.
func (e Admitted) Call() rail.RequestID { return e.request }

// EffectName implements rail.Effect.
func (Admitted) EffectName() string { return "teamAdmitted" }

// Refused rejects a request of which nothing was run.
type Refused struct {
	request rail.RequestID
	kind    rail.Kind
	message string
}

// Call implements rail.CallEffect.
func (e Refused) Call() rail.RequestID { return e.request }

// Kind returns the error kind.
func (e Refused) Kind() rail.Kind { return e.kind }

// Message returns the reason as text.
func (e Refused) Message() string { return e.message }

// EffectName implements rail.Effect.
func (Refused) EffectName() string { return "teamRefused" }

// Preempt asks to stop a running, resumable request so that its slot goes to the owner of a reserved share.
type Preempt struct{ request rail.RequestID }

// Request returns the request to stop, which must be admitted again to resume.
func (e Preempt) Request() rail.RequestID { return e.request }

// EffectName implements rail.Effect.
func (Preempt) EffectName() string { return "teamPreempt" }
