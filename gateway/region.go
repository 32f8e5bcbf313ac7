package gateway

import "slices"

// inAllowedRegion reports whether the request may be sent to the failure domain by the regions of its route and of its team.
func (s *State) inAllowedRegion(domain string, p *pendingCall) bool {
	region := s.settings.regions[domain]
	return allowsRegion(p.route.regions, region) && (p.team == nil || allowsRegion(p.team.regions, region))
}

// allowsRegion reports whether the list is empty or has the region. A domain of an unknown region is in no list.
func allowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || (region != "" && slices.Contains(allowed, region))
}

// peerAllowed reports whether the body of the request may be sent to a peer in the failure domain: in an allowed region, or in that of
// this gateway, which the caller connected to.
func (s *State) peerAllowed(domain string, p *pendingCall) bool {
	own := s.settings.regions[s.settings.domain]
	return s.inAllowedRegion(domain, p) || domain == s.settings.domain || (own != "" && s.settings.regions[domain] == own)
}

// reachable reports whether the request may be sent to the upstream's failure domain: it is not evacuated, and in an allowed region.
func (s *State) reachable(t *target, p *pendingCall) bool {
	return !s.evacuations.Contains(t.domain) && s.inAllowedRegion(t.domain, p)
}
