package trace

import (
	"encoding/json"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	Stream Kind = "stream"
	Lookup Kind = "lookup"
	Order  Kind = "order"
)

// Claim is the mechanism that keeps an order from running twice.
type Claim string

// The ways to claim an order.
const (
	ByTicket Claim = "ticket"
	ByKey    Claim = "key"
)

// Outcome is the expected outcome of a request.
type Outcome string

// The outcomes that a trace can expect.
const (
	// Complete is the complete answer, without the request being sent again.
	Complete Outcome = "complete"
	// CompleteOrResent is the complete answer; the request may be sent again, as its entry may be terminated without notice.
	CompleteOrResent Outcome = "completeOrResent"
	// ExactlyOnce is an order that is answered and has run exactly once.
	ExactlyOnce Outcome = "landsOnce"
	// AtMostOnce is an order that ran at most once and whose answer agrees with that.
	AtMostOnce Outcome = "atMostOnce"
	// Refused is a request that is refused as not run and has not run.
	Refused Outcome = "refused"
)

// Caller is the team that sends a request, with its token.
type Caller struct {
	team  string
	token string
}

// NewCaller returns a caller of the team.
func NewCaller(team, token string) Caller { return Caller{team: team, token: token} }

// Team returns the team's name.
func (c Caller) Team() string { return c.team }

// Token returns the bearer token.
func (c Caller) Token() string { return c.token }

// Request is one recorded request.
type Request struct {
	offset    time.Duration
	caller    Caller
	kind      Kind
	route     string
	model     string
	prompt    Prompt
	maxTokens int
	path      string
	body      string
	claim     Claim
	copies    int
	hold      time.Duration
	outcome   Outcome
}

// NewStream returns a request for a streamed answer of a model.
func NewStream(offset time.Duration, caller Caller, model string, prompt Prompt, maxTokens int) Request {
	return Request{offset: offset, caller: caller, kind: Stream, model: model, prompt: prompt, maxTokens: maxTokens, outcome: Complete}
}

// NewLookup returns an idempotent request to a service; path is below the route.
func NewLookup(offset time.Duration, caller Caller, route, path string) Request {
	return Request{offset: offset, caller: caller, kind: Lookup, route: route, path: path, outcome: Complete}
}

// NewOrder returns a non-idempotent request to a service; path is below the route and unique to this order.
func NewOrder(offset time.Duration, caller Caller, route, path, body string, claim Claim) Request {
	return Request{
		offset: offset, caller: caller, kind: Order, route: route, path: path, body: body, claim: claim, outcome: ExactlyOnce,
	}
}

// WithOutcome returns a copy with the expected outcome.
func (r Request) WithOutcome(o Outcome) Request { r.outcome = o; return r }

// WithCopies returns a copy of an order that is sent n times concurrently, as by a load balancer that delivers it twice.
func (r Request) WithCopies(n int) Request { r.copies = n; return r }

// WithHold returns a copy of an order that is sent with a delay after its ticket was issued.
func (r Request) WithHold(d time.Duration) Request { r.hold = d; return r }

// Offset returns the offset from the start of the trace.
func (r Request) Offset() time.Duration { return r.offset }

// Caller returns the team that sends the request.
func (r Request) Caller() Caller { return r.caller }

// Kind returns the kind of the request.
func (r Request) Kind() Kind { return r.kind }

// Route returns the route of a lookup or order.
func (r Request) Route() string { return r.route }

// Model returns the model of a stream.
func (r Request) Model() string { return r.model }

// Prompt returns the prompt of a stream.
func (r Request) Prompt() Prompt { return r.prompt }

// MaxTokens returns the length of a stream in tokens.
func (r Request) MaxTokens() int { return r.maxTokens }

// Path returns the path below the route.
func (r Request) Path() string { return r.path }

// Body returns the body of an order.
func (r Request) Body() string { return r.body }

// Claim returns the mechanism that an order is claimed by.
func (r Request) Claim() Claim { return r.claim }

// Copies returns how many times an order is sent concurrently; zero means once.
func (r Request) Copies() int { return r.copies }

// Hold returns the delay between the issue of an order's ticket and the order.
func (r Request) Hold() time.Duration { return r.hold }

// Outcome returns the expected outcome.
func (r Request) Outcome() Outcome { return r.outcome }

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// Reclaim ends an instance after its notice.
	Reclaim FaultKind = "reclaim"
	// Kill kills a process at once.
	Kill FaultKind = "kill"
	// Terminate asks a process to shut down gracefully.
	Terminate FaultKind = "terminate"
	// Stop pauses a process.
	Stop FaultKind = "stop"
	// Continue resumes a paused process.
	Continue FaultKind = "continue"
	// ControlPlatform sends the control body to the platform.
	ControlPlatform FaultKind = "platform"
	// ControlInstance sends the control body to an upstream.
	ControlInstance FaultKind = "instance"
)

// Fault is a fault to inject.
type Fault struct {
	offset   time.Duration
	kind     FaultKind
	instance string
	notice   time.Duration
	control  json.RawMessage
}

// NewProcessFault returns a kill, terminate, stop or continue of the instance's process.
func NewProcessFault(offset time.Duration, kind FaultKind, instance string) Fault {
	return Fault{offset: offset, kind: kind, instance: instance}
}

// NewReclaimFault returns a reclaim of the instance with the notice.
func NewReclaimFault(offset time.Duration, instance string, notice time.Duration) Fault {
	return Fault{offset: offset, kind: Reclaim, instance: instance, notice: notice}
}

// NewControlFault returns a call to the control endpoint of an upstream or, without an instance, of the platform.
func NewControlFault(offset time.Duration, instance, control string) Fault {
	kind := ControlInstance
	if instance == "" {
		kind = ControlPlatform
	}
	return Fault{offset: offset, kind: kind, instance: instance, control: json.RawMessage(control)}
}

// Offset returns the offset from the start of the trace.
func (f Fault) Offset() time.Duration { return f.offset }

// Kind returns the kind of the fault.
func (f Fault) Kind() FaultKind { return f.kind }

// Instance returns the instance that the fault affects.
func (f Fault) Instance() string { return f.instance }

// Notice returns the notice of a reclaim.
func (f Fault) Notice() time.Duration { return f.notice }

// Control returns the control body.
func (f Fault) Control() []byte { return f.control }

// Trace is a complete recording.
type Trace struct {
	name     string
	user     string
	seed     uint64
	requests []Request
	faults   []Fault
}

// New returns a trace; requests and faults are in order of their offsets.
func New(name, user string, seed uint64, requests []Request, faults []Fault) Trace {
	return Trace{name: name, user: user, seed: seed, requests: requests, faults: faults}
}

// Name returns the trace's name.
func (t Trace) Name() string { return t.name }

// User returns the user whose traffic was recorded.
func (t Trace) User() string { return t.user }

// Seed returns the seed that the trace was generated from.
func (t Trace) Seed() uint64 { return t.seed }

// Requests returns the requests; the slice must not be changed.
func (t Trace) Requests() []Request { return t.requests }

// Faults returns the faults; the slice must not be changed.
func (t Trace) Faults() []Fault { return t.faults }
