package team

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the limits of admission.
type Settings struct {
	tick       time.Duration
	publish    time.Duration
	silence    time.Duration
	wait       time.Duration
	queue      int
	slots      int
	retryShare float64
	retryBurst float64
	burst      time.Duration
	preemption bool
}

// Defaults returns the settings for both users' sizes.
func Defaults() Settings {
	return Settings{
		tick:       250 * time.Millisecond,
		publish:    time.Second,
		silence:    30 * time.Second,
		wait:       5 * time.Second,
		queue:      1000,
		slots:      8,
		retryShare: 0.1,
		retryBurst: 10,
		burst:      time.Second,
	}
}

// WithPeerTimeout returns a copy that takes a peer for cut off after this time.
func (s Settings) WithPeerTimeout(d time.Duration) Settings { s.silence = d; return s }

// WithMaxWait returns a copy that refuses what would wait longer, on routes without a target or deadline.
func (s Settings) WithMaxWait(d time.Duration) Settings { s.wait = d; return s }

// WithMaxQueue returns a copy that queues so many requests of a team at most.
func (s Settings) WithMaxQueue(n int) Settings { s.queue = n; return s }

// WithDefaultSlots returns a copy that expects so many slots of an upstream until it reports.
func (s Settings) WithDefaultSlots(n int) Settings { s.slots = n; return s }

// WithRetryBudget returns a copy in which a team may spend the share of its requests on retries, and so many at once, where its document says nothing.
func (s Settings) WithRetryBudget(share, burst float64) Settings {
	s.retryShare, s.retryBurst = share, burst
	return s
}

// WithPreemption returns a copy that also asks to stop borrowed work that can resume.
func (s Settings) WithPreemption(on bool) Settings { s.preemption = on; return s }

// Validate reports the first setting that can't work.
func (s Settings) Validate() error {
	switch {
	case s.tick <= 0 || s.publish < s.tick || s.silence <= s.publish || s.wait <= 0 || s.burst <= 0:
		return rail.NewError(rail.KindBadSettings, "team times: tick %s, publish %s, silence %s, wait %s, burst %s", s.tick, s.publish, s.silence, s.wait, s.burst)
	case s.queue < 1 || s.slots < 1:
		return rail.NewError(rail.KindBadSettings, "team queue %d, slots %d", s.queue, s.slots)
	case s.retryShare < 0 || s.retryShare > 1 || s.retryBurst < 0:
		return rail.NewError(rail.KindBadSettings, "team retries: share %g, burst %g", s.retryShare, s.retryBurst)
	}
	return nil
}
