package admission

import "time"

// maxRetryAfter bounds the time that a refusal names: capacity may come earlier than predicted.
const maxRetryAfter = 10 * time.Second

// Retries assigns the times at which refused requests find capacity, in the order of the refusals.
type Retries struct{ next time.Time }

// After returns the time after which a refused request of so many tokens may be sent again, if capacity is available after the
// wait, and tokensPerSecond of it from then on.
func (r *Retries) After(wait time.Duration, tokens int64, tokensPerSecond float64, now time.Time) time.Duration {
	at := now.Add(wait)
	if r.next.After(at) {
		at = r.next
	}
	if limit := now.Add(maxRetryAfter); at.After(limit) {
		at = limit
	}
	r.next = at.Add(min(TimeFor(tokens, tokensPerSecond), maxRetryAfter))
	return at.Sub(now)
}
