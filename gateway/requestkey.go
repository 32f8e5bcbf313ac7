package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

const (
	// requestKeyPrefix distinguishes the keys of whole requests from those of prompt parts, whose ids have no colon.
	requestKeyPrefix = "request:"
	// requestKeyBytes is the length of the digest in a key.
	requestKeyBytes = 12
	// suspendDelay is the time after the third crash from which a request that crashes upstreams close together is only tried out: a
	// sound one is answered within it if any upstream is left.
	suspendDelay = time.Second
	// minRequestBlockTime is how long a request is blocked; each further crash doubles the time up to maxBlockDoublings times.
	minRequestBlockTime = 5 * time.Minute
	// requestNewsTime is how long the first crash of a request is reported to peers.
	requestNewsTime = 5 * time.Second
	// requestSuspicionTime is how long the first crash of a request is remembered.
	requestSuspicionTime = time.Minute
	// trierDelay is the time after which one more gateway tries out a request, since the first may have no such request or be down.
	trierDelay = 10 * time.Second
	// pendingTrialRetryAfter is the Retry-After value while another call that tries out the same request or part is pending.
	pendingTrialRetryAfter = time.Second
)

// isRequestKey reports whether the key is that of a whole request.
func isRequestKey(key string) bool { return strings.HasPrefix(key, requestKeyPrefix) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// requestBlockTime returns how long a request is blocked after the last of the crashes, of which so many were spaced.
func requestBlockTime(spaced int) time.Duration {
	return minRequestBlockTime << min(max(0, spaced-minCrashes), maxBlockDoublings)
}

// blockRequestAfter returns the block of a request that crashes at the sorted times lead to, false if there are too few. Crashes that
// were close together may be ordinary ones of upstreams that ended together: the request is tried out then, one at a time.
func blockRequestAfter(times []time.Time, _ time.Time) (block, bool) {
	if len(times) < minCrashes {
		return block{}, false
	}
	last := times[len(times)-1]
	if spaced := countSpaced(times); spaced >= minCrashes {
		return block{until: last.Add(requestBlockTime(spaced))}, true
	}
	from := times[minCrashes-1].Add(suspendDelay)
	return block{from: from, until: last.Add(suspendDelay), trialOnly: true}, true
}

// requestKey returns the key of all requests with the same method, host, path, query and body of the same team. It does not reveal
// them, and nobody can make a request that has the key of another team's.
func (c *Call) requestKey(team string) string {
	if c.requestKeyCache == "" {
		h := sha256.New()
		for _, field := range []string{team, c.message.method, c.message.host, c.message.target} {
			h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
			h.Write([]byte(field))
		}
		h.Write(c.message.body)
		c.requestKeyCache = requestKeyPrefix + hex.EncodeToString(h.Sum(nil)[:requestKeyBytes])
	}
	return c.requestKeyCache
}

// recordRequestCrash records that an upstream ended while the request with the key was running.
func (q *quarantine) recordRequestCrash(key string, upstream upstreamStart, at time.Time) {
	q.observe(key, suspect{crashes: map[upstreamStart]time.Time{upstream: at.Truncate(time.Millisecond)}})
}

// suspectsRequest reports whether an upstream has ended under the call of the team since it was last answered.
func (q *quarantine) suspectsRequest(c *Call, team string) bool {
	if q.requests == 0 {
		return false
	}
	x, ok := q.suspects[c.requestKey(team)]
	return ok && x.crashCount() > 0
}

// recordRequestAnswer records that an upstream answered a call of the team.
func (q *quarantine) recordRequestAnswer(c *Call, team string, at time.Time) {
	if q.requests > 0 {
		q.clear(c.requestKey(team), at)
	}
}

// triesRequest reports whether this gateway may try out a blocked request so long after its time.
func (s *State) triesRequest(key string, since time.Duration) bool {
	return s.hashRank(key) <= int(since/trierDelay)
}
