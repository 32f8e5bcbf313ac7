package gateway

import (
	"math"
	"time"
)

// quota is a token bucket that all gateways draw on: what peers say they
// admitted is taken out as well. It answers one team that sends many times
// its usual.
type quota struct {
	level   float64
	updated time.Time
}

// startShare is the part of the burst that a fresh gateway grants, since it does not know what was admitted before its start.
const startShare = 0.4

// newQuota returns the bucket of a team as a fresh gateway may use it.
func newQuota(t *Team, now time.Time) *quota {
	return &quota{level: startShare * t.burst, updated: now}
}

// refill adds what the rate gives since the last call; slack is added to the burst.
func (q *quota) refill(t *Team, slack float64, now time.Time) {
	passed := now.Sub(q.updated).Seconds()
	q.updated = now
	q.level = math.Min(q.level+passed*t.rate, t.burst+slack)
}

// take draws the cost and reports whether it was there; otherwise it returns how long until it is.
func (q *quota) take(t *Team, cost float64) (bool, time.Duration) {
	if q.level >= math.Min(cost, t.burst) {
		q.level -= cost
		return true, 0
	}
	missing := (math.Min(cost, t.burst) - q.level) / math.Max(t.rate, 1)
	return false, time.Duration(missing * float64(time.Second))
}

// drain takes out what peers admitted; the bucket may be overdrawn by a burst.
func (q *quota) drain(t *Team, cost float64) {
	q.level = math.Max(q.level-cost, -t.burst)
}

// refund gives back the cost of a call that did not run.
func (q *quota) refund(cost float64) { q.level += cost }
