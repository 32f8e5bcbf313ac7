package gateway

import "time"

// Upstream is an upstream as its entry in the store describes it.
type Upstream struct {
	id          string
	service     string
	address     string
	domain      string
	version     string
	slots       int
	warmUp      time.Duration
	startedAtMs int64
	leaving     bool
	spot        bool
	timeLeft    time.Duration
	sequence    int64
}

// NewUpstream returns an upstream that accepts requests; startedAtMs is its start time in Unix milliseconds and distinguishes starts with the same id.
func NewUpstream(id, service, address, domain string, startedAtMs int64) Upstream {
	return Upstream{id: id, service: service, address: address, domain: domain, startedAtMs: startedAtMs}
}

// WithVersion returns a copy with the software version.
func (u Upstream) WithVersion(version string) Upstream { u.version = version; return u }

// WithSlots returns a copy with the number of concurrent requests and the time for which the upstream stays slow after its start.
func (u Upstream) WithSlots(slots int, warmUp time.Duration) Upstream {
	u.slots, u.warmUp = slots, warmUp
	return u
}

// WithLeaving returns a copy that accepts no new requests; timeLeft is the time until it stops, zero if unknown.
func (u Upstream) WithLeaving(timeLeft time.Duration) Upstream {
	u.leaving, u.timeLeft = true, timeLeft
	return u
}

// WithSequence returns a copy with the number of times that the upstream had reported itself since its start.
func (u Upstream) WithSequence(n int64) Upstream { u.sequence = n; return u }

// WithSpot returns a copy that runs on an instance that the cloud may reclaim.
func (u Upstream) WithSpot() Upstream { u.spot = true; return u }

// start returns the upstream's start.
func (u Upstream) start() upstreamStart { return upstreamStart{u.id, u.startedAtMs} }

// ID returns the upstream's id.
func (u Upstream) ID() string { return u.id }

// Address returns host:port.
func (u Upstream) Address() string { return u.address }

// Service returns the name of its service.
func (u Upstream) Service() string { return u.service }

// UpstreamChange is a change of the list: an upstream that is added or replaced, or a removal.
type UpstreamChange struct {
	id       string
	upstream Upstream
	removed  bool
}

// UpstreamSet returns the change that adds or replaces the upstream.
func UpstreamSet(u Upstream) UpstreamChange { return UpstreamChange{id: u.id, upstream: u} }

// UpstreamRemoved returns the change that removes the upstream.
func UpstreamRemoved(id string) UpstreamChange { return UpstreamChange{id: id, removed: true} }
