package engine

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings holds the timeouts and limits of the client.
type Settings struct {
	dialTimeout       time.Duration
	firstTokenTimeout time.Duration
	interTokenTimeout time.Duration
	callTimeout       time.Duration
	maxLineBytes      int
	maxBodyBytes      int64
	maxIdlePerHost    int
}

// Defaults returns the settings for a small entry.
func Defaults() Settings {
	return Settings{
		dialTimeout:       time.Second,
		firstTokenTimeout: 10 * time.Second,
		interTokenTimeout: 2 * time.Second,
		callTimeout:       2 * time.Second,
		maxLineBytes:      256 << 10,
		maxBodyBytes:      1 << 20,
		maxIdlePerHost:    64,
	}
}

// Validate returns an error of kind badSettings that names the first value out of range.
func (s Settings) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"dial time-out", s.dialTimeout > 0},
		{"first token time-out", s.firstTokenTimeout > 0},
		{"time-out between tokens", s.interTokenTimeout > 0},
		{"call time-out", s.callTimeout > 0},
		{"line bytes", s.maxLineBytes > 0},
		{"body bytes", s.maxBodyBytes > 0},
		{"idle connections", s.maxIdlePerHost > 0},
	}
	for _, c := range checks {
		if !c.ok {
			return rail.NewError(rail.KindBadSettings, "engine: %s is out of range", c.name)
		}
	}
	return nil
}

// WithTokenTimeouts returns a copy with the timeouts for the first token and between tokens.
func (s Settings) WithTokenTimeouts(firstToken, betweenTokens time.Duration) Settings {
	s.firstTokenTimeout, s.interTokenTimeout = firstToken, betweenTokens
	return s
}

// WithTimeouts returns a copy with the timeouts of dialling and of a unary call.
func (s Settings) WithTimeouts(dial, call time.Duration) Settings {
	s.dialTimeout, s.callTimeout = dial, call
	return s
}

// WithLineBytes returns a copy with the maximum length of a line in a stream.
func (s Settings) WithLineBytes(n int) Settings { s.maxLineBytes = n; return s }
