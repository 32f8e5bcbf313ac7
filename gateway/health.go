package gateway

import (
	"math"
	"time"

	"dandelionrail.org/rail"
)

// health tracks an upstream's health by the outcomes of attempts; the health
// that an upstream reports about itself is not used.
type health struct {
	// failureShare is the moving average of the share of failed attempts.
	failureShare float64
	updatedAt    time.Time
	// consecutiveFailures counts the attempts since the last success at which the upstream was unreachable or silent.
	consecutiveFailures int
	ejectedUntil        time.Time
}

const (
	// healthGain is the weight of one attempt in the moving average.
	healthGain = 0.15
	// healthRecovery is the time constant of the decay of the failure share: without attempts it falls to about a third in this time.
	healthRecovery = 3 * time.Second
	// minEjection is how long an upstream is avoided after an attempt at which it was full, unreachable or silent; in the
	// last two cases it doubles up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
)

// record updates the health by the outcome of an attempt.
func (h *health) record(kind rail.Kind, now time.Time) {
	h.failureShare = h.decayedShare(now)
	h.updatedAt = now
	failure := 0.0
	switch kind {
	case rail.KindNone, rail.KindCancelled, rail.KindDeadlinePassed:
		h.consecutiveFailures = 0
	case rail.KindUpstreamUnreachable, rail.KindUpstreamSilent:
		failure = 1
		h.eject(now)
	case rail.KindUpstreamFull:
		h.ejectedUntil = now.Add(minEjection)
	default:
		failure = 1
	}
	h.failureShare += healthGain * (failure - h.failureShare)
}

func (h *health) eject(now time.Time) {
	wait := minEjection << min(h.consecutiveFailures, 3)
	h.consecutiveFailures++
	h.ejectedUntil = now.Add(min(wait, maxEjection))
}

// decayedShare returns the failure share, decayed to now.
func (h *health) decayedShare(now time.Time) float64 {
	return h.failureShare * math.Exp(-now.Sub(h.updatedAt).Seconds()/healthRecovery.Seconds())
}

// available reports whether the upstream is not ejected.
func (h *health) available(now time.Time) bool { return !now.Before(h.ejectedUntil) }
