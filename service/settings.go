package service

import (
	"time"

	"github.com/pkg/errors"
)

const (
	defaultDialTimeout     = time.Second
	defaultCallTimeout     = 30 * time.Second
	defaultIdleConnections = 32
	defaultBodyBytes       = 4 << 20
)

// Settings holds the timeouts and limits of a client of plain services.
type Settings struct {
	dialTimeout    time.Duration
	callTimeout    time.Duration
	maxIdlePerHost int
	maxBodyBytes   int64
}

// Defaults returns the settings for services in the same region.
func Defaults() Settings {
	return Settings{dialTimeout: defaultDialTimeout, callTimeout: defaultCallTimeout, maxIdlePerHost: defaultIdleConnections, maxBodyBytes: defaultBodyBytes}
}

// WithDialTimeout returns a copy with the timeout for connection establishment.
func (s Settings) WithDialTimeout(d time.Duration) Settings { s.dialTimeout = d; return s }

// WithCallTimeout returns a copy with the time after which a call without a complete answer is reported as upstreamSilent.
func (s Settings) WithCallTimeout(d time.Duration) Settings { s.callTimeout = d; return s }

// WithIdleConnections returns a copy with the maximum number of idle connections to each upstream, which serve idempotent calls.
func (s Settings) WithIdleConnections(n int) Settings { s.maxIdlePerHost = n; return s }

// WithBodyBytes returns a copy with the maximum size of an answer.
func (s Settings) WithBodyBytes(n int64) Settings { s.maxBodyBytes = n; return s }

// Validate returns an error for the first invalid value.
func (s Settings) Validate() error {
	switch {
	case s.dialTimeout <= 0:
		return errors.New("dial timeout must be above zero")
	case s.callTimeout <= s.dialTimeout:
		return errors.Errorf("call timeout %v must be above the dial timeout %v", s.callTimeout, s.dialTimeout)
	case s.maxIdlePerHost < 0:
		return errors.New("idle connections must not be below zero")
	case s.maxBodyBytes <= 0:
		return errors.New("largest answer must be above zero")
	}
	return nil
}
