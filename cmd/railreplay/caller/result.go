package caller

import "time"

// Outcome is what a caller saw of its request.
type Outcome string

// What a caller can see.
const (
	// Complete is the whole answer.
	Complete Outcome = "complete"
	// Resent is the whole answer after the request was sent a second time, because no entry knew the first.
	Resent Outcome = "resent"
	// Wrong is an answer with other bytes than the model's.
	Wrong Outcome = "wrong"
	// NotRun is a refusal that says that the request was not run.
	NotRun Outcome = "notRun"
	// Unknown is an order that may have run or not.
	Unknown Outcome = "unknown"
	// Failed is an error answer that more tries would not change.
	Failed Outcome = "failed"
	// TimedOut is no answer within the deadline.
	TimedOut Outcome = "timedOut"
)

// Result is what became of one request.
type Result struct {
	seen       Outcome
	detail     string
	request    string
	reconnects int
	retries    int
	tokens     int
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
}

// Outcome returns what the caller saw.
func (r Result) Outcome() Outcome { return r.seen }

// Detail returns the last refusal or error, empty for none.
func (r Result) Detail() string { return r.detail }

// RequestID returns the request id that the entry gave.
func (r Result) RequestID() string { return r.request }

// Reconnects returns how often a broken stream was taken up again.
func (r Result) Reconnects() int { return r.reconnects }

// Retries returns how often the request was repeated.
func (r Result) Retries() int { return r.retries }

// Tokens returns the number of events that carried text.
func (r Result) Tokens() int { return r.tokens }

// FirstToken returns the time to the first token, or to the whole answer of a service.
func (r Result) FirstToken() time.Duration { return r.firstToken }

// Total returns the time to the whole answer.
func (r Result) Total() time.Duration { return r.total }

// InterTokenTimes returns the times between tokens.
func (r Result) InterTokenTimes() []time.Duration { return r.gaps }
