package gateway

// tier is how strictly upstreams are chosen; each one drops a condition of the one before.
type tier int

const (
	// preferred upstreams are healthy, reachable and of the version that the rollout selects.
	preferred tier = iota
	// anyHealth is any upstream of that version.
	anyHealth
	// fallback is any upstream whose version may serve if no other can.
	fallback
)

// condition is a condition under which an upstream gets a request of this gateway now.
type condition struct {
	name string
	// last is the last tier in which the condition holds.
	last tier
	met  func(s *State, t *target, p *pendingCall, v versionRule) bool
}

// conditions are all of them. What concerns a request and not an upstream is decided before: limits of teams, blocked requests and
// blocked parts of prompts.
var conditions = []condition{
	{"not leaving", fallback, func(_ *State, t *target, _ *pendingCall, _ versionRule) bool { return !t.leaving }},
	{"evacuation", fallback, func(s *State, t *target, _ *pendingCall, _ versionRule) bool {
		return !s.evacuations.Contains(t.domain)
	}},
	{"allowed region", fallback, func(s *State, t *target, p *pendingCall, _ versionRule) bool { return s.inAllowedRegion(t.domain, p) }},
	{"not tried by the request", fallback, func(_ *State, t *target, p *pendingCall, _ versionRule) bool { return !p.tried[t.start()] }},
	{"request limit", fallback, func(s *State, t *target, _ *pendingCall, _ versionRule) bool { return s.limitAllows(t) }},
	{"slow start", fallback, func(s *State, t *target, _ *pendingCall, _ versionRule) bool { return s.coldAllows(t) }},
	{"time of a refusal", fallback, func(s *State, t *target, _ *pendingCall, _ versionRule) bool { return t.refusal.allows(s.now) }},
	{"version may serve", fallback, func(_ *State, t *target, _ *pendingCall, v versionRule) bool {
		return v.allows(t) || v.allowsFallback(t)
	}},
	{"version of the rollout", anyHealth, func(_ *State, t *target, _ *pendingCall, v versionRule) bool { return v.allows(t) }},
	{"health", preferred, func(s *State, t *target, _ *pendingCall, _ versionRule) bool { return t.health.available(s.now) }},
	{"reachable domain", preferred, func(s *State, t *target, _ *pendingCall, _ versionRule) bool { return !s.unreachable(t.domain) }},
}

// allows reports whether the upstream meets the conditions of the tier.
func (s *State) allows(t *target, p *pendingCall, v versionRule, at tier) bool {
	for _, c := range conditions {
		if at <= c.last && !c.met(s, t, p, v) {
			return false
		}
	}
	return true
}
