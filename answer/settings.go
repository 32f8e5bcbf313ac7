package answer

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the limits and time-outs of the part.
type Settings struct {
	instance      rail.InstanceID
	firstToken    time.Duration
	betweenTokens time.Duration
	reply         time.Duration
	attempts      int
	backOff       time.Duration
	upstreamWait  time.Duration
	markEvery     time.Duration
	markTokens    int
	reconnect     time.Duration
	keepFor       time.Duration
	keepBytes     int
	linger        time.Duration
	notice        time.Duration
	handoverEvery time.Duration
	handoverBatch int
}

// Defaults returns the settings of a small entry.
func Defaults() Settings {
	return Settings{
		firstToken:    10 * time.Second,
		betweenTokens: 2 * time.Second,
		reply:         10 * time.Second,
		attempts:      5,
		backOff:       50 * time.Millisecond,
		upstreamWait:  15 * time.Second,
		markEvery:     250 * time.Millisecond,
		markTokens:    32,
		reconnect:     15 * time.Second,
		keepFor:       2 * time.Minute,
		keepBytes:     16 << 20,
		linger:        5 * time.Second,
		notice:        5 * time.Second,
		handoverEvery: 500 * time.Millisecond,
		handoverBatch: 32,
	}
}

// Validate returns an error of kind badSettings that names the first wrong value.
func (s Settings) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"first token time-out", s.firstToken > 0},
		{"time-out between tokens", s.betweenTokens > s.markEvery},
		{"reply time-out", s.reply > 0},
		{"attempts", s.attempts > 0},
		{"back-off", s.backOff > 0},
		{"wait for an upstream", s.upstreamWait > 0},
		{"mark interval", s.markEvery > 0},
		{"mark tokens", s.markTokens > 0},
		{"reconnect time", s.reconnect > 0},
		{"time to keep finished answers", s.keepFor > 0},
		{"bytes of finished answers", s.keepBytes > 0},
		{"linger", s.linger >= 0},
		{"notice", s.notice > 0},
		{"handover interval", s.handoverEvery > 0},
		{"handover batch", s.handoverBatch > 0},
	}
	for _, c := range checks {
		if !c.ok {
			return rail.NewError(rail.KindBadSettings, "answer: %s is out of range", c.name)
		}
	}
	return nil
}

// WithInstance returns a copy that knows its own entry's name in the platform's list.
func (s Settings) WithInstance(id rail.InstanceID) Settings { s.instance = id; return s }

// WithTokenTimeouts returns a copy with the time-outs for the first token and between tokens.
func (s Settings) WithTokenTimeouts(firstToken, betweenTokens time.Duration) Settings {
	s.firstToken, s.betweenTokens = firstToken, betweenTokens
	return s
}

// WithReplyTimeout returns a copy with the time-out of a service's reply.
func (s Settings) WithReplyTimeout(d time.Duration) Settings { s.reply = d; return s }

// WithAttempts returns a copy with the most failed attempts of a request and the first back-off between them.
func (s Settings) WithAttempts(most int, backOff time.Duration) Settings {
	s.attempts, s.backOff = most, backOff
	return s
}

// WithUpstreamWait returns a copy with the time that a request waits for an upstream.
func (s Settings) WithUpstreamWait(d time.Duration) Settings { s.upstreamWait = d; return s }

// WithMarkInterval returns a copy with the time and the tokens between two progress marks.
func (s Settings) WithMarkInterval(every time.Duration, tokens int) Settings {
	s.markEvery, s.markTokens = every, tokens
	return s
}

// WithReconnectTimeout returns a copy with the time that a caller has to reconnect.
func (s Settings) WithReconnectTimeout(d time.Duration) Settings { s.reconnect = d; return s }

// WithRetention returns a copy with the time and the bytes that finished answers are kept.
func (s Settings) WithRetention(d time.Duration, bytes int) Settings {
	s.keepFor, s.keepBytes = d, bytes
	return s
}

// WithLinger returns a copy with the time that a leaving entry goes on accepting.
func (s Settings) WithLinger(d time.Duration) Settings { s.linger = d; return s }

// WithDefaultNotice returns a copy with the notice that is assumed where a reclaim states no time.
func (s Settings) WithDefaultNotice(d time.Duration) Settings { s.notice = d; return s }

// WithHandover returns a copy with the time between two handovers and the most requests in one.
func (s Settings) WithHandover(every time.Duration, batch int) Settings {
	s.handoverEvery, s.handoverBatch = every, batch
	return s
}

// FirstTokenTimeout returns the time-out for the first token.
func (s Settings) FirstTokenTimeout() time.Duration { return s.firstToken }

// InterTokenTimeout returns the time-out between two tokens.
func (s Settings) InterTokenTimeout() time.Duration { return s.betweenTokens }

// Linger returns how long a leaving entry goes on accepting.
func (s Settings) Linger() time.Duration { return s.linger }
