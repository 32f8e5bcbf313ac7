package caller

import "time"

// Outcome is the outcome of a request as its caller observed it.
type Outcome string

// The outcomes that a caller observes.
const (
	// Complete is the complete answer.
	Complete Outcome = "complete"
	// Resent is the complete answer to a request that was sent again as a new one, because no reachable entry knew its answer.
	Resent Outcome = "resent"
	// Wrong is an answer that differs from the model's.
	Wrong Outcome = "wrong"
	// NotRun is a refusal which states that the request was not run.
	NotRun Outcome = "notRun"
	// Unknown is an order of which the caller does not know whether it ran.
	Unknown Outcome = "unknown"
	// Failed is an error response that a retry would not change.
	Failed Outcome = "failed"
	// TimedOut is no answer within the deadline.
	TimedOut Outcome = "timedOut"
)

// Result is the outcome of one request with its retries and times.
type Result struct {
	outcome         Outcome
	detail          string
	requestID       string
	reconnects      int
	retries         int
	tokens          int
	firstToken      time.Duration
	total           time.Duration
	interTokenTimes []time.Duration
}

// Outcome returns the outcome that the caller observed.
func (r Result) Outcome() Outcome { return r.outcome }

// Detail returns the last refusal or error, empty for none.
func (r Result) Detail() string { return r.detail }

// RequestID returns the request id that the entry assigned.
func (r Result) RequestID() string { return r.requestID }

// Reconnects returns how often the caller reconnected to resume a stream.
func (r Result) Reconnects() int { return r.reconnects }

// Retries returns how often the request was repeated.
func (r Result) Retries() int { return r.retries }

// Tokens returns the number of events that carried text.
func (r Result) Tokens() int { return r.tokens }

// FirstToken returns the time to the first token, or to the complete response of a service.
func (r Result) FirstToken() time.Duration { return r.firstToken }

// Total returns the time to the end of the request, with all its retries.
func (r Result) Total() time.Duration { return r.total }

// InterTokenTimes returns the times between tokens.
func (r Result) InterTokenTimes() []time.Duration { return r.interTokenTimes }
