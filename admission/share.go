package admission

import (
	"math"
	"time"
)

const (
	// shareBurst is the time for which an unused share of the capacity is kept.
	shareBurst = 2 * time.Second
	// shareDebt is the time for which a gateway that has used more than its share dispatches no waiting requests at most. Loads of
	// peers are known after one second.
	shareDebt = time.Second
	// urgentMemory is the time over which the tokens of more urgent requests are averaged: a gateway dispatches a few requests a second.
	urgentMemory = 3 * time.Second
	// minLeft bounds the part of the capacity that more urgent requests are taken to leave: the requests that wait have deadlines of their own.
	minLeft = 0.25
)

// Share is what a gateway may use of the capacity of a service that all gateways share, in tokens. Upstreams process the more urgent
// requests first, so that those of a priority find what the ones of this priority and of the more urgent ones leave.
type Share struct {
	// available is by priority.
	available []float64
	// urgent is the tokens a second that requests more urgent than the priority took lately.
	urgent []float64
	rate   float64
	at     time.Time
}

// NewShare returns the share for so many priorities.
func NewShare(priorities int) *Share {
	return &Share{available: make([]float64, priorities), urgent: make([]float64, priorities)}
}

// Advance adds the share since the last call.
func (s *Share) Advance(tokensPerSecond float64, now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	elapsed := max(0, now.Sub(s.at).Seconds())
	for i := range s.urgent {
		s.urgent[i] *= math.Exp(-elapsed / urgentMemory.Seconds())
	}
	s.rate = tokensPerSecond
	for i, n := range s.available {
		s.available[i] = max(-shareDebt.Seconds()*tokensPerSecond, min(shareBurst.Seconds()*tokensPerSecond, n+elapsed*tokensPerSecond))
	}
	s.at = now
}

// Take charges the tokens of a dispatched request of the priority.
func (s *Share) Take(priority int, tokens int64) {
	for i := priority; i < len(s.available); i++ {
		s.available[i] -= float64(tokens)
		if i > priority {
			s.urgent[i] += float64(tokens) / urgentMemory.Seconds()
		}
	}
}

// Left returns the part of the capacity that more urgent requests leave to those of the priority, as far as this gateway sees it.
func (s *Share) Left(priority int) float64 {
	if s.rate <= 0 {
		return 1
	}
	return max(minLeft, 1-s.urgent[priority]/s.rate)
}

// Free reports whether a waiting request of the priority may be dispatched.
func (s *Share) Free(priority int) bool { return s.available[priority] >= 0 }
