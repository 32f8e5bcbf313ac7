package gateway

import "time"

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	id      string
	service string
	address string
	domain  string
	version string
	slots   int
	cold    time.Duration
	born    int64
	leaving bool
	spot    bool
	leaves  time.Duration
}

// NewUpstream returns an upstream that takes requests; born tells the starts under one id apart.
func NewUpstream(id, service, address, domain string, born int64) Upstream {
	return Upstream{id: id, service: service, address: address, domain: domain, born: born}
}

// WithVersion returns a copy with the version of the software.
func (u Upstream) WithVersion(version string) Upstream { u.version = version; return u }

// WithSlots returns a copy with the requests that run at one time, and how long it stays slow after its start.
func (u Upstream) WithSlots(slots int, cold time.Duration) Upstream {
	u.slots, u.cold = slots, cold
	return u
}

// WithLeaving returns a copy that takes no new requests; left is the time until it stops, zero if not known.
func (u Upstream) WithLeaving(left time.Duration) Upstream {
	u.leaving, u.leaves = true, left
	return u
}

// WithSpot returns a copy that the cloud may reclaim.
func (u Upstream) WithSpot() Upstream { u.spot = true; return u }

// ID returns the upstream's id.
func (u Upstream) ID() string { return u.id }

// Address returns host:port.
func (u Upstream) Address() string { return u.address }

// Service returns the name of its service.
func (u Upstream) Service() string { return u.service }

// UpstreamChange is one change of the list: an upstream, or the removal of one.
type UpstreamChange struct {
	id       string
	upstream Upstream
	removed  bool
}

// UpstreamSet returns the change that adds or replaces the upstream.
func UpstreamSet(u Upstream) UpstreamChange { return UpstreamChange{id: u.id, upstream: u} }

// UpstreamRemoved returns the change that removes the upstream.
func UpstreamRemoved(id string) UpstreamChange { return UpstreamChange{id: id, removed: true} }
