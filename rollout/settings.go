package rollout

import (
	"time"

	"dandelionrail.org/rail"
)

// Step is one step of the share ladder.
type Step struct {
	share      float64
	effectSize float64
}

// NewStep returns a step with the new version's share of the requests, from 0 to 1, and the increase in the fault rate that the evidence must rule out before the next step.
func NewStep(share, effectSize float64) Step { return Step{share: share, effectSize: effectSize} }

// Share returns the fraction of the requests that the new version receives.
func (s Step) Share() float64 { return s.share }

// EffectSize returns the increase in the fault rate that the evidence must rule out.
func (s Step) EffectSize() float64 { return s.effectSize }

// Settings are the share ladder, the error rates of the statistical tests, and the intervals.
type Settings struct {
	steps          []Step
	falseAlarmRate float64
	missRate       float64
	tickInterval   time.Duration
	minDwell       time.Duration
	maxDwell       time.Duration
	settleTime     time.Duration
	logTimeout     time.Duration
	domainTimeout  time.Duration
	renewAfter     time.Duration
}

// Defaults returns settings that suit the deployments of both users.
func Defaults() Settings {
	return Settings{
		steps: []Step{
			NewStep(0.05, 0.30),
			NewStep(0.10, 0.20),
			NewStep(0.25, 0.15),
			NewStep(0.50, 0.10),
			NewStep(0.80, 0.10),
		},
		falseAlarmRate: 1e-4,
		missRate:       0.01,
		tickInterval:   time.Second,
		minDwell:       10 * time.Second,
		maxDwell:       10 * time.Minute,
		settleTime:     2 * time.Second,
		logTimeout:     5 * time.Second,
		domainTimeout:  30 * time.Second,
		renewAfter:     30 * time.Minute,
	}
}

// WithSteps returns a copy with another share ladder.
func (s Settings) WithSteps(steps ...Step) Settings { s.steps = steps; return s }

// WithFalseAlarmRate returns a copy that brakes a version exactly at the tolerance limit about once in 1/rate requests, and a good one far less often.
func (s Settings) WithFalseAlarmRate(rate float64) Settings { s.falseAlarmRate = rate; return s }

// WithMissRate returns a copy that moves a bad version to the next step with at most this probability.
func (s Settings) WithMissRate(rate float64) Settings { s.missRate = rate; return s }

// WithDwell returns a copy with the minimum and maximum time on a step.
func (s Settings) WithDwell(minDwell, maxDwell time.Duration) Settings {
	s.minDwell, s.maxDwell = minDwell, maxDwell
	return s
}

// WithTimeouts returns a copy that treats the log as unavailable after log without a read, and a failure domain as unreachable after domain without a fact from it.
func (s Settings) WithTimeouts(log, domain time.Duration) Settings {
	s.logTimeout, s.domainTimeout = log, domain
	return s
}

// WithVerdictRenewal returns a copy that appends a standing verdict again after d, which must be well below the log's retention.
func (s Settings) WithVerdictRenewal(d time.Duration) Settings { s.renewAfter = d; return s }

// Validate returns an error for the first invalid group of settings.
func (s Settings) Validate() error {
	if len(s.steps) == 0 || len(s.steps) > maxSteps {
		return rail.NewError(rail.KindBadSettings, "rollout steps: %d, need 1 to %d", len(s.steps), maxSteps)
	}
	last := 0.0
	for i, step := range s.steps {
		if step.share <= last || step.share >= 1 {
			return rail.NewError(rail.KindBadSettings, "rollout step %d: share %g is not between %g and 1", i+1, step.share, last)
		}
		if step.effectSize <= 0 || step.effectSize >= 1 {
			return rail.NewError(rail.KindBadSettings, "rollout step %d: effect %g is not between 0 and 1", i+1, step.effectSize)
		}
		last = step.share
	}
	if s.falseAlarmRate <= 0 || s.falseAlarmRate >= 1 || s.missRate <= 0 || s.missRate >= 1 {
		return rail.NewError(rail.KindBadSettings, "rollout rates: %g and %g are not between 0 and 1", s.falseAlarmRate, s.missRate)
	}
	if s.tickInterval <= 0 || s.minDwell <= 0 || s.maxDwell < s.minDwell || s.logTimeout <= s.tickInterval || s.domainTimeout < s.logTimeout || s.renewAfter <= s.logTimeout {
		return rail.NewError(rail.KindBadSettings, "rollout times: tick %s, dwell %s to %s, silence %s and %s, keep %s", s.tickInterval, s.minDwell, s.maxDwell, s.logTimeout, s.domainTimeout, s.renewAfter)
	}
	return nil
}
