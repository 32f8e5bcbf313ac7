package fleet

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the times of the lease and the aims of the plan.
type Settings struct {
	tick        time.Duration
	term        time.Duration
	margin      time.Duration
	refusal     time.Duration
	calm        time.Duration
	restart     time.Duration
	startup     time.Duration
	drain       time.Duration
	utilisation float64
	slots       int
	purchases   int
}

// Defaults returns the settings for both users' sizes.
func Defaults() Settings {
	return Settings{
		tick:        2 * time.Second,
		term:        15 * time.Second,
		margin:      3 * time.Second,
		refusal:     2 * time.Minute,
		calm:        10 * time.Minute,
		restart:     6 * time.Minute,
		startup:     10 * time.Minute,
		drain:       10 * time.Second,
		utilisation: 0.8,
		slots:       8,
		purchases:   8,
	}
}

// WithTerm returns a copy whose lease lasts so long, of which the holder leaves the margin unused.
func (s Settings) WithTerm(term, margin time.Duration) Settings {
	s.term, s.margin = term, margin
	return s
}

// WithScaleDownDelay returns a copy that releases instances only after demand has been lower for so long.
func (s Settings) WithScaleDownDelay(d time.Duration) Settings { s.calm = d; return s }

// WithStartupTimeout returns a copy that counts a bought instance for so long before it is listed.
func (s Settings) WithStartupTimeout(d time.Duration) Settings { s.startup = d; return s }

// WithUtilisation returns a copy that plans to use this part of the slots.
func (s Settings) WithUtilisation(u float64) Settings { s.utilisation = u; return s }

// Validate reports the first setting that can't work.
func (s Settings) Validate() error {
	switch {
	case s.tick <= 0 || s.margin < s.tick || s.term < 2*s.margin:
		return rail.NewError(rail.KindBadSettings, "fleet lease: tick %s, margin %s, term %s", s.tick, s.margin, s.term)
	case s.refusal <= 0 || s.calm <= 0 || s.restart < 0 || s.startup <= 0 || s.drain <= 0:
		return rail.NewError(rail.KindBadSettings, "fleet times: refusal %s, calm %s, restart %s, startup %s, drain %s", s.refusal, s.calm, s.restart, s.startup, s.drain)
	case s.utilisation <= 0 || s.utilisation > 1 || s.slots < 1 || s.purchases < 1:
		return rail.NewError(rail.KindBadSettings, "fleet plan: utilisation %g, slots %d, purchases %d", s.utilisation, s.slots, s.purchases)
	}
	return nil
}
