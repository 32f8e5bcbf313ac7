package gateway

import (
	"maps"
	"time"
)

// abandonment is a request that was given up at an upstream without an answer.
type abandonment struct {
	key string
	at  time.Time
}

const (
	// endDelay is how long after a request was given up at an upstream the end of that counts as one under the request.
	endDelay = time.Second
	// endMemory is how long ends of upstreams are reported to peers, and requests that were given up are remembered.
	endMemory = 4 * time.Second
	// maxAbandonments bounds the requests that are remembered of an upstream.
	maxAbandonments = 16
)

// abandon remembers that the request was given up at the upstream.
func (t *target) abandon(key string, now time.Time) {
	t.abandoned = append(t.abandoned, abandonment{key, now})
	if n := len(t.abandoned); n > maxAbandonments {
		t.abandoned = t.abandoned[n-maxAbandonments:]
	}
}

// recordEnd records that an upstream was seen to have ended at the true time, for the requests that were given up at it shortly before.
func (s *State) recordEnd(t *target, at time.Time) {
	start := t.start()
	if _, known := s.ends[start]; !known {
		s.ends[start] = at
	}
	offset := s.trueTime().Sub(s.now)
	for _, a := range t.abandoned {
		if since := at.Sub(a.at.Add(offset)); since < endDelay && since > -endDelay {
			s.quarantine.recordRequestCrash(a.key, start, a.at.Add(offset))
		}
	}
	t.abandoned = nil
}

// applyEnds applies the ends of upstreams that a peer knows of.
func (s *State) applyEnds(ends map[upstreamStart]time.Time) {
	for start, at := range ends {
		if _, known := s.ends[start]; known || s.trueTime().Sub(at) >= endMemory {
			continue
		}
		s.ends[start] = at
		if t, ok := s.registry.targets[start.id]; ok && t.startedAtMs == start.startedAtMs {
			s.recordEnd(t, at)
		}
	}
}

// forgetEnds drops the ends that no request can have led to any more.
func (s *State) forgetEnds() {
	maps.DeleteFunc(s.ends, func(_ upstreamStart, at time.Time) bool { return s.trueTime().Sub(at) >= endMemory })
}
