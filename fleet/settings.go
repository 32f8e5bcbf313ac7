package fleet

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the times of the lease and the parameters of the plan.
type Settings struct {
	tickInterval    time.Duration
	term            time.Duration
	margin          time.Duration
	refusalDelay    time.Duration
	scaleDownDelay  time.Duration
	replacementTime time.Duration
	startupTimeout  time.Duration
	minDrain        time.Duration
	utilisation     float64
	defaultSlots    int
	maxPurchases    int
}

// Defaults returns settings that suit the deployments of both users.
func Defaults() Settings {
	return Settings{
		tickInterval:    2 * time.Second,
		term:            15 * time.Second,
		margin:          3 * time.Second,
		refusalDelay:    2 * time.Minute,
		scaleDownDelay:  10 * time.Minute,
		replacementTime: 6 * time.Minute,
		startupTimeout:  10 * time.Minute,
		minDrain:        10 * time.Second,
		utilisation:     0.8,
		defaultSlots:    8,
		maxPurchases:    8,
	}
}

// WithTerm returns a copy with the term of the lease and the margin before its end in which the holder no longer acts.
func (s Settings) WithTerm(term, margin time.Duration) Settings {
	s.term, s.margin = term, margin
	return s
}

// WithScaleDownDelay returns a copy that releases instances only after demand has been lower for this time.
func (s Settings) WithScaleDownDelay(d time.Duration) Settings { s.scaleDownDelay = d; return s }

// WithStartupTimeout returns a copy that counts a bought instance that is not listed for at most this time.
func (s Settings) WithStartupTimeout(d time.Duration) Settings { s.startupTimeout = d; return s }

// WithUtilisation returns a copy that plans to use this fraction of the slots.
func (s Settings) WithUtilisation(u float64) Settings { s.utilisation = u; return s }

// Validate returns an error for the first invalid group of settings.
func (s Settings) Validate() error {
	switch {
	case s.tickInterval <= 0 || s.margin < s.tickInterval || s.term < 2*s.margin:
		return rail.NewError(rail.KindBadSettings, "fleet lease: tick %s, margin %s, term %s", s.tickInterval, s.margin, s.term)
	case s.refusalDelay <= 0 || s.scaleDownDelay <= 0 || s.replacementTime < 0 || s.startupTimeout <= 0 || s.minDrain <= 0:
		return rail.NewError(rail.KindBadSettings, "fleet times: refusal %s, calm %s, restart %s, startup %s, drain %s", s.refusalDelay, s.scaleDownDelay, s.replacementTime, s.startupTimeout, s.minDrain)
	case s.utilisation <= 0 || s.utilisation > 1 || s.defaultSlots < 1 || s.maxPurchases < 1:
		return rail.NewError(rail.KindBadSettings, "fleet plan: utilisation %g, slots %d, purchases %d", s.utilisation, s.defaultSlots, s.maxPurchases)
	}
	return nil
}
