package runend

import "time"

// Answer is what a check of an engine showed.
type Answer int

const (
	// NoAnswer is a check that brought no report and does not tell why: the engine may be busy, or gone.
	NoAnswer Answer = iota
	// Refused is an address that accepts no connections.
	Refused
	// TimedOut is a connection that was not established in time.
	TimedOut
	// Reported is a report of the engine.
	Reported
)

// Check is one request to an engine for its report, and the answer.
type Check struct {
	startedAt time.Time
	// endedAt is when the report had arrived.
	endedAt time.Time
	answer  Answer
	report  Report
}

// NewCheck returns a check without a report that began at the time.
func NewCheck(startedAt time.Time, answer Answer) Check {
	return Check{startedAt: startedAt, answer: answer}
}

// NewReport returns a check that began at the time and brought the report at once.
func NewReport(startedAt time.Time, r Report) Check {
	return Check{startedAt: startedAt, endedAt: startedAt, answer: Reported, report: r}
}

// Answer returns what the check showed.
func (c Check) Answer() Answer { return c.answer }

// StartedAt returns when the check began.
func (c Check) StartedAt() time.Time { return c.startedAt }

// Report returns the report, one without a list of runs if there was none.
func (c Check) Report() Report { return c.report }

// WithEnd returns the check with the time by which its answer had arrived.
func (c Check) WithEnd(at time.Time) Check {
	c.endedAt = at
	return c
}

// Report is what an engine says of its runs.
type Report struct {
	// runs holds the ids of the requests that run, nil if the engine does not list them.
	runs map[string]bool
	// waiting is the number of requests that wait; preempted ones may be among them.
	waiting int
	// partial reports whether the engine runs others that it does not list.
	partial bool
}

// NewRuns returns the report of an engine that lists its runs, with the number of requests that wait.
func NewRuns(ids []string, waiting int) Report {
	r := Report{runs: make(map[string]bool, len(ids)), waiting: waiting}
	for _, id := range ids {
		r.runs[id] = true
	}
	return r
}

// Partial returns the report of an engine that runs more requests than it lists.
func (r Report) Partial() Report {
	r.partial = true
	return r
}

// lists reports whether the engine lists its runs, complete whether it lists all of them.
func (r Report) lists() bool { return r.runs != nil }

func (r Report) complete() bool { return r.lists() && !r.partial }
