package slowstart

import "time"

const (
	// rampSteps is the number of steps in which the rate rises after a cold period, each to rampFactor times the one before: upstreams
	// that return together would be filled together otherwise.
	rampSteps  = 2
	rampFactor = 2
	// StepTime is the duration of a step.
	StepTime = time.Second
)

// Limits are what a service's upstreams tolerate while they are cold; the zero value is no limit.
type Limits struct {
	perSecond float64
	duration  time.Duration
}

// NewLimits returns the requests a second that an upstream tolerates while it is cold, and for how long it is cold after its start.
func NewLimits(perSecond float64, duration time.Duration) Limits {
	return Limits{perSecond: perSecond, duration: duration}
}

// Enabled reports whether upstreams are cold at times.
func (l Limits) Enabled() bool { return l.perSecond > 0 }

// Duration returns for how long an upstream is cold after its start.
func (l Limits) Duration() time.Duration { return l.duration }

// Period is the time in which an upstream is cold; the zero value is none.
type Period struct{ until time.Time }

// Extend returns the period with the later of the two ends.
func (p Period) Extend(until time.Time) Period {
	if until.After(p.until) {
		p.until = until
	}
	return p
}

// Until returns the end of the period.
func (p Period) Until() time.Time { return p.until }

// PerSecond returns the requests a second that the upstream may get from all gateways together, false if there is no limit.
func (p Period) PerSecond(l Limits, now time.Time) (float64, bool) {
	if !l.Enabled() || p.until.IsZero() || now.Sub(p.until) >= rampSteps*StepTime {
		return 0, false
	}
	rate := l.perSecond
	for past := now.Sub(p.until); past >= 0; past -= StepTime {
		rate *= rampFactor
	}
	return rate, true
}
