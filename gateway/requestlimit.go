package gateway

import (
	"math"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// RequestLimit is the number of requests a second that an upstream accepts from all gateways together; the zero value is no limit.
type RequestLimit struct {
	perSecond float64
	named     bool
}

// ParseRequestLimit returns the limit in an answer's header, none if the header is empty or not a decimal number that is at least zero.
func ParseRequestLimit(header string) RequestLimit {
	n, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return RequestLimit{}
	}
	return RequestLimit{perSecond: n, named: true}
}

const (
	// limitBias is how much later an answer without a limit must be than one with a limit to end it: the clocks of gateways differ.
	limitBias = time.Second
	// limitRecheck is the time without an answer after which the next request goes to an upstream with a limit, to learn whether it still has one.
	limitRecheck = 5 * time.Second
	// limitMemory is how long a gateway reports that an upstream has no limit any more.
	limitMemory = 30 * time.Second
	// minSharedLimit is the rate in requests a second that gateways share at least, so that they learn when the limit ends.
	minSharedLimit = 0.1
)

// limitNews is what an upstream's answers said of its limit, as the gateways know it.
type limitNews struct {
	RequestLimit
	startedAtMs int64
	// at is the estimated true time of the answer.
	at time.Time
}

// newerThan reports whether the news is later. It is an order over all news, so that all gateways settle on the same.
func (n limitNews) newerThan(o limitNews) bool {
	if n.startedAtMs != o.startedAtMs {
		return n.startedAtMs > o.startedAtMs
	}
	return n.rankTime().After(o.rankTime())
}

func (n limitNews) rankTime() time.Time {
	if n.named {
		return n.at.Add(limitBias)
	}
	return n.at
}

// requestLimit enforces this gateway's share of an upstream's request limit.
type requestLimit struct {
	limitNews
	sharedRate
}

// sharedPerSecond returns the rate that the gateways share.
func (l *requestLimit) sharedPerSecond() float64 { return max(l.perSecond, minSharedLimit) }

// limitAllows reports whether the upstream's request limit allows a request of this gateway now.
func (s *State) limitAllows(t *target) bool {
	if !t.limit.named {
		return true
	}
	s.updateLimitRank(t)
	return t.limit.allows(t.limit.sharedPerSecond(), s.now)
}

// updateLimitRank updates this gateway's place in the order of those that send to the upstream.
func (s *State) updateLimitRank(t *target) {
	s.updateRank(&t.limit.sharedRate, t.id, t.limit.perSecond)
}

// limitWait returns the time until the limits of the upstreams that accept accepts allow a request, false if none of them has a limit.
func (s *State) limitWait(targets []*target, accept func(*target) bool) (time.Duration, bool) {
	wait, limited := noUpstreamRetryAfter, false
	for _, t := range targets {
		if !t.limit.named || !accept(t) {
			continue
		}
		limited = true
		if w, ok := t.limit.wait(t.limit.sharedPerSecond()); ok {
			wait = min(wait, w)
		}
	}
	return wait, limited
}

// recheckLimit returns an upstream among those that allow accepts whose limit is due to be checked, nil if there is none.
func (s *State) recheckLimit(targets []*target, allow func(*target) bool) *target {
	for _, t := range targets {
		if t.limit.named && s.trueTime().Sub(t.limit.at) >= limitRecheck && allow(t) {
			return t
		}
	}
	return nil
}

// limitRead records the limit that the answer to the call's current attempt named.
func (s *State) limitRead(c *Call, limit RequestLimit) []Effect {
	p, ok := s.calls[c]
	if !ok || p.peer != "" {
		return nil
	}
	return s.applyLimitNews(p.target, limitNews{RequestLimit: limit, startedAtMs: p.target.startedAtMs, at: s.trueTime().Truncate(time.Millisecond)}, "upstream")
}

// applyLimitNews records news of an upstream's limit.
func (s *State) applyLimitNews(t *target, n limitNews, source string) []Effect {
	if n.startedAtMs != t.startedAtMs || !n.newerThan(t.limit.limitNews) {
		return nil
	}
	before := t.limit.RequestLimit
	t.limit.limitNews = n
	if before == n.RequestLimit {
		return nil
	}
	if !before.named {
		t.limit.reset(0, s.now)
	}
	if !n.named {
		return []Effect{report(rail.EventRequestLimitEnded, NewField("upstream", t.id), NewField("perSecond", before.perSecond), NewField("source", source))}
	}
	s.updateLimitRank(t)
	return []Effect{report(rail.EventRequestLimitNamed, NewField("upstream", t.id), NewField("perSecond", n.perSecond), NewField("share", t.limit.rate(t.limit.sharedPerSecond())), NewField("source", source))}
}

// limitDigest returns the news of limits for the digest.
func (s *State) limitDigest() map[string]limitNews {
	news := map[string]limitNews{}
	for id, t := range s.registry.targets {
		if t.limit.named || (!t.limit.at.IsZero() && s.trueTime().Sub(t.limit.at) < limitMemory) {
			news[id] = t.limit.limitNews
		}
	}
	return news
}
