package gateway

import (
	"math"
	"time"
)

// extraShares is the number of gateways that send to an upstream with a limit, in addition to one for each request a second. Each may
// send one request at any moment; the users allow five, and half of the limit in addition, above the limit.
const extraShares = 4

// sharedRate is this gateway's share of a rate that holds over all gateways. Of many gateways only some send, so that those that do may
// send a request at any moment.
type sharedRate struct {
	// shares is the number of gateways that send to the upstream, rank this one's place in their order.
	shares, rank int
	// revision is that of the list of gateways from which rank was computed.
	revision int
	// tokens is the number of requests that may be sent now, as of tokensAt.
	tokens   float64
	tokensAt time.Time
}

// limitShares returns the number of gateways that may send to an upstream with the limit.
func limitShares(perSecond float64, gateways int) int {
	return int(min(float64(gateways), math.Floor(perSecond)+extraShares))
}

// rate returns the requests a second that this gateway may send of those that all may.
func (r *sharedRate) rate(perSecond float64) float64 {
	if r.rank >= r.shares {
		return 0
	}
	return perSecond / float64(r.shares)
}

// advance adds the tokens since the last call.
func (r *sharedRate) advance(perSecond float64, now time.Time) {
	if elapsed := now.Sub(r.tokensAt).Seconds(); elapsed > 0 {
		r.tokens = min(1, r.tokens+elapsed*r.rate(perSecond))
	}
	r.tokensAt = now
}

// allows reports whether a request may be sent now.
func (r *sharedRate) allows(perSecond float64, now time.Time) bool {
	r.advance(perSecond, now)
	return r.tokens >= 1
}

// take counts a request.
func (r *sharedRate) take() { r.tokens = max(0, r.tokens-1) }

// reset begins with so many tokens.
func (r *sharedRate) reset(tokens float64, now time.Time) { r.tokens, r.tokensAt = tokens, now }

// wait returns the time until a request may be sent, false if this gateway sends none to the upstream.
func (r *sharedRate) wait(perSecond float64) (time.Duration, bool) {
	rate := r.rate(perSecond)
	if rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - r.tokens) / rate * float64(time.Second)), true
}

// updateRank updates this gateway's place in the order of those that send to the upstream, which is the same at all gateways, also at
// partitioned ones: it depends on the list of registered gateways only.
func (s *State) updateRank(r *sharedRate, upstream string, perSecond float64) {
	if r.revision != s.registeredRevision || r.shares == 0 {
		r.revision, r.rank = s.registeredRevision, s.hashRank(upstream)
	}
	r.shares = limitShares(perSecond, s.gateways())
}
