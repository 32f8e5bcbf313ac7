package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

// reachability tracks whether attempts reach a failure domain. It guards
// against a partitioned domain: without it each request would detect the
// partition by itself, trying one upstream after the other.
type reachability struct {
	lastSuccess time.Time
	lastFailure time.Time
	// failedUpstreams is the set of upstreams that failed since the last success.
	failedUpstreams map[string]bool
}

const (
	// domainEjection is how long a domain is avoided after a failure; then a request tries it again.
	domainEjection = 1500 * time.Millisecond
	// minFailedUpstreams is the number of failed upstreams of a domain that make it count as unreachable.
	minFailedUpstreams = 2
	// domainTimeout is the time without a digest from any gateway of a domain after which one failure makes it count as unreachable.
	domainTimeout = time.Second
)

func (s *State) reachabilityOf(domain string) *reachability {
	r, ok := s.reachability[domain]
	if !ok {
		r = &reachability{failedUpstreams: map[string]bool{}}
		s.reachability[domain] = r
	}
	return r
}

// recordReachability records whether an attempt reached the upstream.
func (s *State) recordReachability(t *target, kind rail.Kind, timedOut bool) {
	r := s.reachabilityOf(t.domain)
	switch {
	case timedOut:
		r.lastFailure = s.now
		r.failedUpstreams[t.id] = true
	case kind != rail.KindUpstreamUnreachable && kind != rail.KindUpstreamSilent && kind != rail.KindCancelled && kind != rail.KindDeadlinePassed:
		r.lastSuccess = s.now
		clear(r.failedUpstreams)
	}
}

// unreachable reports whether the domain is assumed to be partitioned from this gateway.
func (s *State) unreachable(domain string) bool {
	r, ok := s.reachability[domain]
	if !ok || domain == s.settings.domain || !r.lastFailure.After(r.lastSuccess) || s.now.Sub(r.lastFailure) >= domainEjection {
		return false
	}
	return len(r.failedUpstreams) >= minFailedUpstreams || s.peersSilent(domain)
}

// peersSilent reports whether the domain has known gateways, but no digest from any of them was received recently.
func (s *State) peersSilent(domain string) bool {
	receivedAt, known := s.domainDigestAt[domain]
	return known && s.now.Sub(receivedAt) >= domainTimeout
}
