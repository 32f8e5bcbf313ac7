package team

import (
	"math"
	"time"
)

// bucket is a token bucket with a variable rate.
type bucket struct {
	tokens    float64
	maxTokens float64
	filledAt  time.Time
}

// fill adds the tokens for the time since the last call.
func (b *bucket) fill(rate, maxTokens float64, now time.Time) {
	if b.filledAt.IsZero() {
		b.tokens = maxTokens
	} else if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens = math.Min(maxTokens, b.tokens+rate*elapsed)
	}
	b.maxTokens, b.filledAt = maxTokens, now
}

// take takes a token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
