package answer

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the limits and timeouts of the package.
type Settings struct {
	instance            rail.InstanceID
	firstTokenTimeout   time.Duration
	interTokenTimeout   time.Duration
	replyTimeout        time.Duration
	maxFailures         int
	initialBackOff      time.Duration
	upstreamWait        time.Duration
	markInterval        time.Duration
	markTokens          int
	reconnectTimeout    time.Duration
	retention           time.Duration
	maxRetainedBytes    int
	linger              time.Duration
	defaultNotice       time.Duration
	handoverInterval    time.Duration
	maxHandoverRequests int
}

// Defaults returns the settings of a small entry.
func Defaults() Settings {
	return Settings{
		firstTokenTimeout:   10 * time.Second,
		interTokenTimeout:   2 * time.Second,
		replyTimeout:        10 * time.Second,
		maxFailures:         5,
		initialBackOff:      50 * time.Millisecond,
		upstreamWait:        15 * time.Second,
		markInterval:        250 * time.Millisecond,
		markTokens:          32,
		reconnectTimeout:    15 * time.Second,
		retention:           2 * time.Minute,
		maxRetainedBytes:    16 << 20,
		linger:              5 * time.Second,
		defaultNotice:       5 * time.Second,
		handoverInterval:    500 * time.Millisecond,
		maxHandoverRequests: 32,
	}
}

// Validate returns an error of kind badSettings that names the first wrong value.
func (s Settings) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"first token time-out", s.firstTokenTimeout > 0},
		{"time-out between tokens", s.interTokenTimeout > s.markInterval},
		{"reply time-out", s.replyTimeout > 0},
		{"attempts", s.maxFailures > 0},
		{"back-off", s.initialBackOff > 0},
		{"wait for an upstream", s.upstreamWait > 0},
		{"mark interval", s.markInterval > 0},
		{"mark tokens", s.markTokens > 0},
		{"reconnect time", s.reconnectTimeout > 0},
		{"time to keep finished answers", s.retention > 0},
		{"bytes of finished answers", s.maxRetainedBytes > 0},
		{"linger", s.linger >= 0},
		{"notice", s.defaultNotice > 0},
		{"handover interval", s.handoverInterval > 0},
		{"handover batch", s.maxHandoverRequests > 0},
	}
	for _, c := range checks {
		if !c.ok {
			return rail.NewError(rail.KindBadSettings, "answer: %s is out of range", c.name)
		}
	}
	return nil
}

// WithInstance returns a copy with the id of its own entry in the platform's list.
func (s Settings) WithInstance(id rail.InstanceID) Settings { s.instance = id; return s }

// WithTokenTimeouts returns a copy with the timeouts for the first token and between tokens.
func (s Settings) WithTokenTimeouts(firstToken, betweenTokens time.Duration) Settings {
	s.firstTokenTimeout, s.interTokenTimeout = firstToken, betweenTokens
	return s
}

// WithReplyTimeout returns a copy with the timeout for a service's reply.
func (s Settings) WithReplyTimeout(d time.Duration) Settings { s.replyTimeout = d; return s }

// WithAttempts returns a copy with the maximum of failed attempts of a request and the back-off after the first one.
func (s Settings) WithAttempts(maxFailures int, backOff time.Duration) Settings {
	s.maxFailures, s.initialBackOff = maxFailures, backOff
	return s
}

// WithUpstreamWait returns a copy with the time that a request waits for an upstream to become available.
func (s Settings) WithUpstreamWait(d time.Duration) Settings { s.upstreamWait = d; return s }

// WithMarkInterval returns a copy with the time and the number of tokens after which the next progress mark is due.
func (s Settings) WithMarkInterval(interval time.Duration, tokens int) Settings {
	s.markInterval, s.markTokens = interval, tokens
	return s
}

// WithReconnectTimeout returns a copy with the time within which a caller must reconnect.
func (s Settings) WithReconnectTimeout(d time.Duration) Settings { s.reconnectTimeout = d; return s }

// WithRetention returns a copy with the limits in time and bytes within which finished answers are kept.
func (s Settings) WithRetention(d time.Duration, bytes int) Settings {
	s.retention, s.maxRetainedBytes = d, bytes
	return s
}

// WithLinger returns a copy with the time for which a leaving entry still accepts requests.
func (s Settings) WithLinger(d time.Duration) Settings { s.linger = d; return s }

// WithDefaultNotice returns a copy with the notice that is assumed if a reclaim states no deadline.
func (s Settings) WithDefaultNotice(d time.Duration) Settings { s.defaultNotice = d; return s }

// WithHandover returns a copy with the time between two rounds of handovers and the maximum of requests in one handover.
func (s Settings) WithHandover(interval time.Duration, batch int) Settings {
	s.handoverInterval, s.maxHandoverRequests = interval, batch
	return s
}

// FirstTokenTimeout returns the timeout for the first token.
func (s Settings) FirstTokenTimeout() time.Duration { return s.firstTokenTimeout }

// InterTokenTimeout returns the timeout between two tokens.
func (s Settings) InterTokenTimeout() time.Duration { return s.interTokenTimeout }

// Linger returns how long a leaving entry still accepts requests.
func (s Settings) Linger() time.Duration { return s.linger }
