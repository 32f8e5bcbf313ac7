package trace

import (
	"encoding/json"
	"time"
)

// Kind says what a request asks for.
type Kind string

// The kinds of requests.
const (
	Stream Kind = "stream"
	Lookup Kind = "lookup"
	Order  Kind = "order"
)

// Claim says how an order is kept from running twice.
type Claim string

// The ways to claim an order.
const (
	ByTicket Claim = "ticket"
	ByKey    Claim = "key"
)

// Outcome is what is stated for a request.
type Outcome string

// The outcomes that a trace can state.
const (
	// Complete is the whole answer, without the request sent a second time.
	Complete Outcome = "complete"
	// CompleteOrResent is the whole answer, with the request sent again if its entry died without notice.
	CompleteOrResent Outcome = "completeOrResent"
	// ExactlyOnce is an order that is answered and has run once.
	ExactlyOnce Outcome = "landsOnce"
	// AtMostOnce is an order that ran at most once and was answered accordingly.
	AtMostOnce Outcome = "atMostOnce"
	// Refused is a request that is refused as not run, and has not run.
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
	at        time.Duration
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
func NewStream(at time.Duration, caller Caller, model string, prompt Prompt, maxTokens int) Request {
	return Request{at: at, caller: caller, kind: Stream, model: model, prompt: prompt, maxTokens: maxTokens, outcome: Complete}
}

// NewLookup returns an idempotent request to a service; path is below the route.
func NewLookup(at time.Duration, caller Caller, route, path string) Request {
	return Request{at: at, caller: caller, kind: Lookup, route: route, path: path, outcome: Complete}
}

// NewOrder returns a non-idempotent request to a service; path is below the route and belongs to this order alone.
func NewOrder(at time.Duration, caller Caller, route, path, body string, claim Claim) Request {
	return Request{
		at: at, caller: caller, kind: Order, route: route, path: path, body: body, claim: claim, outcome: ExactlyOnce,
	}
}

// WithOutcome returns a copy for which the outcome is stated.
func (r Request) WithOutcome(o Outcome) Request { r.outcome = o; return r }

// WithCopies returns a copy of an order that is sent so many times at once, as by a balancer that delivers it twice.
func (r Request) WithCopies(n int) Request { r.copies = n; return r }

// WithHold returns a copy of an order that is sent so long after its ticket was issued.
func (r Request) WithHold(d time.Duration) Request { r.hold = d; return r }

// Offset returns the offset from the start of the trace.
func (r Request) Offset() time.Duration { return r.at }

// Caller returns who sends the request.
func (r Request) Caller() Caller { return r.caller }

// Kind returns what the request asks for.
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

// Claim returns how an order is claimed.
func (r Request) Claim() Claim { return r.claim }

// Copies returns how often an order is sent at once, zero for once.
func (r Request) Copies() int { return r.copies }

// Hold returns the time between the ticket of an order and the order.
func (r Request) Hold() time.Duration { return r.hold }

// Outcome returns what is stated for the request.
func (r Request) Outcome() Outcome { return r.outcome }

// FaultKind says what a fault does.
type FaultKind string

// The kinds of faults.
const (
	// Reclaim takes an instance after its notice.
	Reclaim FaultKind = "reclaim"
	// Kill ends a process at once.
	Kill FaultKind = "kill"
	// Terminate asks a process to shut down gracefully.
	Terminate FaultKind = "terminate"
	// Stop freezes a process.
	Stop FaultKind = "stop"
	// Continue thaws a frozen process.
	Continue FaultKind = "continue"
	// ControlPlatform sends the control body to the platform.
	ControlPlatform FaultKind = "platform"
	// ControlInstance sends the control body to an upstream.
	ControlInstance FaultKind = "instance"
)

// Fault is a disturbance to bring about.
type Fault struct {
	at       time.Duration
	kind     FaultKind
	instance string
	notice   time.Duration
	control  json.RawMessage
}

// NewProcessFault returns a kill, terminate, stop or continue of the instance's process.
func NewProcessFault(at time.Duration, kind FaultKind, instance string) Fault {
	return Fault{at: at, kind: kind, instance: instance}
}

// NewReclaimFault returns a reclaim of the instance with the notice.
func NewReclaimFault(at time.Duration, instance string, notice time.Duration) Fault {
	return Fault{at: at, kind: Reclaim, instance: instance, notice: notice}
}

// NewControlFault returns a call of the control of an upstream or, without an instance, of the platform.
func NewControlFault(at time.Duration, instance, control string) Fault {
	kind := ControlInstance
	if instance == "" {
		kind = ControlPlatform
	}
	return Fault{at: at, kind: kind, instance: instance, control: json.RawMessage(control)}
}

// Offset returns the offset from the start of the trace.
func (f Fault) Offset() time.Duration { return f.at }

// Kind returns what the fault does.
func (f Fault) Kind() FaultKind { return f.kind }

// Instance returns the instance that is struck.
func (f Fault) Instance() string { return f.instance }

// Notice returns the notice of a reclaim.
func (f Fault) Notice() time.Duration { return f.notice }

// Control returns the control body.
func (f Fault) Control() []byte { return f.control }

// Trace is a whole recording.
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

// User returns whose traffic it is.
func (t Trace) User() string { return t.user }

// Seed returns the seed that it was made from.
func (t Trace) Seed() uint64 { return t.seed }

// Requests returns the requests; the slice must not be changed.
func (t Trace) Requests() []Request { return t.requests }

// Faults returns the faults; the slice must not be changed.
func (t Trace) Faults() []Fault { return t.faults }
