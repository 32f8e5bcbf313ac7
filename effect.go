package rail

import "time"

// The effects that more than one part gives. Effects of one part only are
// declared beside that part.

// SetTimer asks the timer service to fire the name once; it replaces a running timer of that name.
type SetTimer struct {
	name  TimerName
	after time.Duration
}

// NewSetTimer returns the effect.
func NewSetTimer(name TimerName, after time.Duration) SetTimer {
	return SetTimer{name: name, after: after}
}

// Name returns the timer's name.
func (e SetTimer) Name() TimerName { return e.name }

// After returns the time until it fires.
func (e SetTimer) After() time.Duration { return e.after }

// EffectName implements Effect.
func (SetTimer) EffectName() string { return "setTimer" }

// Append asks for one append to the platform's log; it is repeated by its part, not by the runner.
type Append struct {
	kind RecordKind
	body []byte
}

// NewAppend returns the effect; body is JSON with camelCase names.
func NewAppend(kind RecordKind, body []byte) Append { return Append{kind: kind, body: body} }

// Kind returns the kind of the record.
func (e Append) Kind() RecordKind { return e.kind }

// Body returns the record's body.
func (e Append) Body() []byte { return e.body }

// EffectName implements Effect.
func (Append) EffectName() string { return "append" }

// Dispatch asks that one attempt of a request be sent to an upstream.
type Dispatch struct {
	request  Request
	attempt  int
	upstream Instance
	resume   int
}

// NewDispatch returns the effect; resume is the offset in tokens from which the stream goes on.
func NewDispatch(request Request, attempt int, upstream Instance, resume int) Dispatch {
	return Dispatch{request: request, attempt: attempt, upstream: upstream, resume: resume}
}

// Request returns the request.
func (e Dispatch) Request() Request { return e.request }

// Attempt returns the number of the attempt, from one.
func (e Dispatch) Attempt() int { return e.attempt }

// Upstream returns where the attempt goes.
func (e Dispatch) Upstream() Instance { return e.upstream }

// Resume returns the offset in tokens from which the stream goes on.
func (e Dispatch) Resume() int { return e.resume }

// EffectName implements Effect.
func (Dispatch) EffectName() string { return "dispatch" }

// CancelAttempt asks that an attempt be cancelled at its upstream.
type CancelAttempt struct {
	request  RequestID
	attempt  int
	upstream Instance
}

// NewCancelAttempt returns the effect.
func NewCancelAttempt(request RequestID, attempt int, upstream Instance) CancelAttempt {
	return CancelAttempt{request: request, attempt: attempt, upstream: upstream}
}

// Request returns the request's id.
func (e CancelAttempt) Request() RequestID { return e.request }

// Attempt returns the number of the attempt.
func (e CancelAttempt) Attempt() int { return e.attempt }

// Upstream returns where the attempt runs.
func (e CancelAttempt) Upstream() Instance { return e.upstream }

// EffectName implements Effect.
func (CancelAttempt) EffectName() string { return "cancelAttempt" }

// Publish asks that a fact of this entry be put into its digest; the digest numbers it.
type Publish struct {
	kind    FactKind
	subject string
	value   string
}

// NewPublish returns the effect.
func NewPublish(kind FactKind, subject, value string) Publish {
	return Publish{kind: kind, subject: subject, value: value}
}

// Kind returns which part the fact belongs to.
func (e Publish) Kind() FactKind { return e.kind }

// Subject returns what the fact is about.
func (e Publish) Subject() string { return e.subject }

// Value returns the value, in the text form of its part.
func (e Publish) Value() string { return e.value }

// EffectName implements Effect.
func (Publish) EffectName() string { return "publish" }

// Raise asks that an event be reduced next, before any other input.
type Raise struct{ event Event }

// NewRaise returns the effect.
func NewRaise(event Event) Raise { return Raise{event: event} }

// Event returns the event to reduce.
func (e Raise) Event() Event { return e.event }

// EffectName implements Effect.
func (Raise) EffectName() string { return "raise" }

// Report asks for a numbered log event and an entry in the time line.
type Report struct {
	number  EventNumber
	subject string
	detail  string
}

// NewReport returns the effect; subject is what the event is about, detail what happened to it.
func NewReport(number EventNumber, subject, detail string) Report {
	return Report{number: number, subject: subject, detail: detail}
}

// Number returns the event's number in the catalogue.
func (e Report) Number() EventNumber { return e.number }

// Subject returns what the event is about.
func (e Report) Subject() string { return e.subject }

// Detail returns what happened.
func (e Report) Detail() string { return e.detail }

// EffectName implements Effect.
func (Report) EffectName() string { return "report" }
