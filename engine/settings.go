package engine

import (
	"time"

	"dandelionrail.org/rail"
)

// Settings are the time-outs and limits of the client.
type Settings struct {
	dial          time.Duration
	firstToken    time.Duration
	betweenTokens time.Duration
	call          time.Duration
	lineBytes     int
	bodyBytes     int64
	idlePerHost   int
}

// Defaults returns the settings of a small entry.
func Defaults() Settings {
	return Settings{
		dial:          time.Second,
		firstToken:    10 * time.Second,
		betweenTokens: 2 * time.Second,
		call:          2 * time.Second,
		lineBytes:     256 << 10,
		bodyBytes:     1 << 20,
		idlePerHost:   64,
	}
}

// Validate returns an error of kind badSettings that names the first wrong value.
func (s Settings) Validate() error {
	checks := []struct {
		name string
		ok   bool
	}{
		{"dial time-out", s.dial > 0},
		{"first token time-out", s.firstToken > 0},
		{"time-out between tokens", s.betweenTokens > 0},
		{"call time-out", s.call > 0},
		{"line bytes", s.lineBytes > 0},
		{"body bytes", s.bodyBytes > 0},
		{"idle connections", s.idlePerHost > 0},
	}
	for _, c := range checks {
		if !c.ok {
			return rail.NewError(rail.KindBadSettings, "engine: %s is out of range", c.name)
		}
	}
	return nil
}

// WithTokenTimeouts returns a copy with the time-outs for the first token and between tokens.
func (s Settings) WithTokenTimeouts(firstToken, betweenTokens time.Duration) Settings {
	s.firstToken, s.betweenTokens = firstToken, betweenTokens
	return s
}

// WithTimeouts returns a copy with the time-outs of dialling and of a call that is no stream.
func (s Settings) WithTimeouts(dial, call time.Duration) Settings {
	s.dial, s.call = dial, call
	return s
}

// WithLineBytes returns a copy with the longest line of a stream.
func (s Settings) WithLineBytes(n int) Settings { s.lineBytes = n; return s }
