package team

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the limits and intervals of admission.
type Settings struct {
	tickInterval    time.Duration
	publishInterval time.Duration
	peerTimeout     time.Duration
	maxWait         time.Duration
	maxQueue        int
	defaultSlots    int
	retryShare      float64
	retryBurst      float64
	limitBurst      time.Duration
	preemption      bool
}

// Defaults returns settings that suit the deployments of both users.
func Defaults() Settings {
	return Settings{
		tickInterval:    250 * time.Millisecond,
		publishInterval: time.Second,
		peerTimeout:     30 * time.Second,
		maxWait:         5 * time.Second,
		maxQueue:        1000,
		defaultSlots:    8,
		retryShare:      0.1,
		retryBurst:      10,
		limitBurst:      time.Second,
	}
}

// WithPeerTimeout returns a copy that treats a peer as unreachable after d without a digest from it.
func (s Settings) WithPeerTimeout(d time.Duration) Settings { s.peerTimeout = d; return s }

// WithMaxWait returns a copy that refuses requests that would wait longer than d, on routes without a target or deadline.
func (s Settings) WithMaxWait(d time.Duration) Settings { s.maxWait = d; return s }

// WithMaxQueue returns a copy that queues at most n requests of a team.
func (s Settings) WithMaxQueue(n int) Settings { s.maxQueue = n; return s }

// WithDefaultSlots returns a copy that assumes n slots for an upstream without a load report.
func (s Settings) WithDefaultSlots(n int) Settings { s.defaultSlots = n; return s }

// WithRetryBudget returns a copy that limits a team's retries to a share of its requests, with a burst; the share of the team in the document takes precedence.
func (s Settings) WithRetryBudget(share, burst float64) Settings {
	s.retryShare, s.retryBurst = share, burst
	return s
}

// WithPreemption returns a copy that also preempts resumable requests that run in slots reserved for another team.
func (s Settings) WithPreemption(on bool) Settings { s.preemption = on; return s }

// Validate returns an error for the first invalid group of settings.
func (s Settings) Validate() error {
	switch {
	case s.tickInterval <= 0 || s.publishInterval < s.tickInterval || s.peerTimeout <= s.publishInterval || s.maxWait <= 0 || s.limitBurst <= 0:
		return rail.NewError(rail.KindBadSettings, "team times: tick %s, publish %s, silence %s, wait %s, burst %s", s.tickInterval, s.publishInterval, s.peerTimeout, s.maxWait, s.limitBurst)
	case s.maxQueue < 1 || s.defaultSlots < 1:
		return rail.NewError(rail.KindBadSettings, "team queue %d, slots %d", s.maxQueue, s.defaultSlots)
	case s.retryShare < 0 || s.retryShare > 1 || s.retryBurst < 0:
		return rail.NewError(rail.KindBadSettings, "team retries: share %g, burst %g", s.retryShare, s.retryBurst)
	}
	return nil
}
