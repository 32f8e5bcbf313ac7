package gateway

import (
	"math"
	"time"

	"dandelionrail.org/rail"
)

// health is the evidence that an upstream's answers give; what it says of
// itself does not count.
type health struct {
	// failing is the moving share of attempts that failed.
	failing float64
	updated time.Time
	// strikes counts the attempts in a row that did not get through.
	strikes int
	barred  time.Time
}

const (
	// healthGain is the weight of one attempt in the share of failures.
	healthGain = 0.15
	// healthRecovery is the time in which the share of failures falls to a third without new evidence.
	healthRecovery = 3 * time.Second
	// firstBar is how long an upstream is passed over after an attempt that did not get through; it doubles up to longestBar.
	firstBar   = 250 * time.Millisecond
	longestBar = 2 * time.Second
)

// note takes in how an attempt ended.
func (h *health) note(kind rail.Kind, now time.Time) {
	h.failing = h.share(now)
	h.updated = now
	bad := 0.0
	switch kind {
	case rail.KindNone, rail.KindCancelled, rail.KindDeadlinePassed:
		h.strikes = 0
	case rail.KindUpstreamUnreachable, rail.KindUpstreamSilent:
		bad = 1
		h.bar(now)
	case rail.KindUpstreamFull:
		h.barred = now.Add(firstBar)
	default:
		bad = 1
	}
	h.failing += healthGain * (bad - h.failing)
}

func (h *health) bar(now time.Time) {
	wait := firstBar << min(h.strikes, 3)
	h.strikes++
	h.barred = now.Add(min(wait, longestBar))
}

// share returns the share of attempts that fail, decayed to now.
func (h *health) share(now time.Time) float64 {
	return h.failing * math.Exp(-now.Sub(h.updated).Seconds()/healthRecovery.Seconds())
}

// open reports whether the upstream may be tried.
func (h *health) open(now time.Time) bool { return !now.Before(h.barred) }
