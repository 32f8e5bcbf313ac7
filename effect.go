package rail

import "time"

// Effects that more than one reducer returns. An effect of one reducer is
// declared in its package.

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

// Append asks for one append to the platform's log; the reducer that returned it repeats it, not the runner.
type Append struct {
	kind RecordKind
	body []byte
}

// NewAppend returns the effect; body is JSON with camelCase names.
func NewAppend(kind RecordKind, body []byte) Append { return Append{kind: kind, body: body} }

// Kind returns the record's kind.
func (e Append) Kind() RecordKind { return e.kind }

// Body returns the record's body.
func (e Append) Body() []byte { return e.body }

// EffectName implements Effect.
func (Append) EffectName() string { return "append" }

// Dispatch asks to send one attempt of a request to an upstream.
type Dispatch struct {
	request  Request
	attempt  int
	upstream Instance
	resume   int
}

// NewDispatch returns the effect; resume is the offset in tokens at which the stream resumes.
func NewDispatch(request Request, attempt int, upstream Instance, resume int) Dispatch {
	return Dispatch{request: request, attempt: attempt, upstream: upstream, resume: resume}
}

// Request returns the request.
func (e Dispatch) Request() Request { return e.request }

// Attempt returns the number of the attempt, from one.
func (e Dispatch) Attempt() int { return e.attempt }

// Upstream returns the upstream that receives the attempt.
func (e Dispatch) Upstream() Instance { return e.upstream }

// Resume returns the offset in tokens at which the stream resumes.
func (e Dispatch) Resume() int { return e.resume }

// EffectName implements Effect.
func (Dispatch) EffectName() string { return "dispatch" }

// CancelAttempt asks to cancel an attempt at its upstream.
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

// Upstream returns the upstream that runs the attempt.
func (e CancelAttempt) Upstream() Instance { return e.upstream }

// EffectName implements Effect.
func (CancelAttempt) EffectName() string { return "cancelAttempt" }

// Publish asks to add a fact of this entry to its digest; the digest assigns the sequence number.
type Publish struct {
	kind    FactKind
	subject string
	value   string
}

// NewPublish returns the effect.
func NewPublish(kind FactKind, subject, value string) Publish {
	return Publish{kind: kind, subject: subject, value: value}
}

// Kind returns the fact's kind.
func (e Publish) Kind() FactKind { return e.kind }

// Subject returns what the fact is about.
func (e Publish) Subject() string { return e.subject }

// Value returns the value, in the text encoding of its reducer.
func (e Publish) Value() string { return e.value }

// EffectName implements Effect.
func (Publish) EffectName() string { return "publish" }

// Raise asks to process an event next, before any other input.
type Raise struct{ event Event }

// NewRaise returns the effect.
func NewRaise(event Event) Raise { return Raise{event: event} }

// Event returns the event to process.
func (e Raise) Event() Event { return e.event }

// EffectName implements Effect.
func (Raise) EffectName() string { return "raise" }

// Report asks to write a numbered log event and to add it to the timeline.
type Report struct {
	number  EventNumber
	subject string
	detail  string
}

// NewReport returns the effect; subject identifies what the event is about, detail describes what happened to it.
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
