package admission

import "time"

// Request is a request that waits, or asks to.
type Request struct {
	id, team        string
	priority        int
	weight          float64
	tokens, bytes   int64
	arrived         time.Time
	goal, deadline  time.Time
	firstTokenAfter time.Duration
	number          int64
}

// NewRequest returns a request of the team; priority zero is the most urgent, and tokens is what it uses of the capacity.
func NewRequest(id, team string, priority int, tokens, bytes int64) *Request {
	return &Request{id: id, team: team, priority: priority, weight: 1, tokens: max(1, tokens), bytes: bytes}
}

// WithWeight returns the request with the weight of its team among those of the same priority.
func (r *Request) WithWeight(weight float64) *Request {
	if weight > 0 {
		r.weight = weight
	}
	return r
}

// WithTimes returns the request with its arrival, the time by which it should and that by which it must be answered, and the time
// from its dispatch to its first token at an upstream without other requests.
func (r *Request) WithTimes(arrived, goal, deadline time.Time, firstTokenAfter time.Duration) *Request {
	r.arrived, r.goal, r.deadline, r.firstTokenAfter = arrived, goal, deadline, firstTokenAfter
	return r
}

// ID returns the id.
func (r *Request) ID() string { return r.id }

// Tokens returns what the request uses of the capacity.
func (r *Request) Tokens() int64 { return r.tokens }

// Priority returns the priority, zero for the most urgent.
func (r *Request) Priority() int { return r.priority }

// Waited returns for how long the request has waited.
func (r *Request) Waited(now time.Time) time.Duration { return now.Sub(r.arrived) }

// MeetsGoal reports whether the request meets its latency goal if it is dispatched at the time.
func (r *Request) MeetsGoal(at time.Time) bool { return !at.Add(r.firstTokenAfter).After(r.goal) }

// MeetsDeadline reports whether the request meets its deadline if it is dispatched at the time.
func (r *Request) MeetsDeadline(at time.Time) bool {
	return !at.Add(r.firstTokenAfter).After(r.deadline)
}

// aged reports whether a request that missed its goal has used half of the time in which it can be dispatched.
func (r *Request) aged(now time.Time) bool {
	left := r.deadline.Add(-r.firstTokenAfter).Sub(now)
	return !r.MeetsGoal(now) && left < now.Sub(r.arrived)
}

// latestStart returns the latest time of dispatch for the goal, or for the deadline if the goal cannot be met any more.
func (r *Request) latestStart(now time.Time) time.Time {
	if r.MeetsGoal(now) {
		return r.goal.Add(-r.firstTokenAfter)
	}
	return r.deadline.Add(-r.firstTokenAfter)
}
