package rollout

import (
	"time"

	"dandelionrail.org/rail"
)

// Step is one rung of the share ladder.
type Step struct {
	share  float64
	effect float64
}

// NewStep returns a step: the part of the requests from 0 to 1, and the rise in the fault rate that evidence must rule out before the next step.
func NewStep(share, effect float64) Step { return Step{share: share, effect: effect} }

// Share returns the part of the requests that the new version receives.
func (s Step) Share() float64 { return s.share }

// EffectSize returns the rise in the fault rate that evidence must rule out.
func (s Step) EffectSize() float64 { return s.effect }

// Settings are the ladder of shares and the strictness of the tests.
type Settings struct {
	steps         []Step
	falseRate     float64
	missRate      float64
	tick          time.Duration
	minDwell      time.Duration
	maxDwell      time.Duration
	settle        time.Duration
	silence       time.Duration
	domainSilence time.Duration
	keep          time.Duration
}

// Defaults returns the settings for both users' sizes.
func Defaults() Settings {
	return Settings{
		steps: []Step{
			NewStep(0.05, 0.30),
			NewStep(0.10, 0.20),
			NewStep(0.25, 0.15),
			NewStep(0.50, 0.10),
			NewStep(0.80, 0.10),
		},
		falseRate:     1e-4,
		missRate:      0.01,
		tick:          time.Second,
		minDwell:      10 * time.Second,
		maxDwell:      10 * time.Minute,
		settle:        2 * time.Second,
		silence:       5 * time.Second,
		domainSilence: 30 * time.Second,
		keep:          30 * time.Minute,
	}
}

// WithSteps returns a copy with another share ladder.
func (s Settings) WithSteps(steps ...Step) Settings { s.steps = steps; return s }

// WithFalseAlarmRate returns a copy that brakes a version at the limit of the tolerance about once in 1/rate requests, and a good one far less often.
func (s Settings) WithFalseAlarmRate(rate float64) Settings { s.falseRate = rate; return s }

// WithMissRate returns a copy that takes a step up on a bad version with this probability at most.
func (s Settings) WithMissRate(rate float64) Settings { s.missRate = rate; return s }

// WithDwell returns a copy that stays on each step within these times.
func (s Settings) WithDwell(least, most time.Duration) Settings {
	s.minDwell, s.maxDwell = least, most
	return s
}

// WithTimeouts returns a copy that takes the log for cut off after the first time, and a domain of which nothing was heard after the second.
func (s Settings) WithTimeouts(log, domain time.Duration) Settings {
	s.silence, s.domainSilence = log, domain
	return s
}

// WithVerdictRenewal returns a copy that appends a standing verdict again after this time; it must be well below the log's retention.
func (s Settings) WithVerdictRenewal(d time.Duration) Settings { s.keep = d; return s }

// Validate reports the first setting that can't work.
func (s Settings) Validate() error {
	if len(s.steps) == 0 || len(s.steps) > maxSteps {
		return rail.NewError(rail.KindBadSettings, "rollout steps: %d, need 1 to %d", len(s.steps), maxSteps)
	}
	last := 0.0
	for i, t := range s.steps {
		if t.share <= last || t.share >= 1 {
			return rail.NewError(rail.KindBadSettings, "rollout step %d: share %g is not between %g and 1", i+1, t.share, last)
		}
		if t.effect <= 0 || t.effect >= 1 {
			return rail.NewError(rail.KindBadSettings, "rollout step %d: effect %g is not between 0 and 1", i+1, t.effect)
		}
		last = t.share
	}
	if s.falseRate <= 0 || s.falseRate >= 1 || s.missRate <= 0 || s.missRate >= 1 {
		return rail.NewError(rail.KindBadSettings, "rollout rates: %g and %g are not between 0 and 1", s.falseRate, s.missRate)
	}
	if s.tick <= 0 || s.minDwell <= 0 || s.maxDwell < s.minDwell || s.silence <= s.tick || s.domainSilence < s.silence || s.keep <= s.silence {
		return rail.NewError(rail.KindBadSettings, "rollout times: tick %s, dwell %s to %s, silence %s and %s, keep %s", s.tick, s.minDwell, s.maxDwell, s.silence, s.domainSilence, s.keep)
	}
	return nil
}
