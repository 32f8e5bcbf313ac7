// Package instance keeps the membership: which upstreams may receive new work
// and which entries are peers.
//
// Guarantees: after any source (the list, a reclaim notice, a peer, the
// upstream's own response) has reported that an instance is leaving, this
// incarnation of it never receives new work again, even if a lagging list shows
// it as live later; a new incarnation of the same instance is not affected. This
// holds until 10 minutes after the instance was forgotten. An instance that is
// missing from the list stays known for a while, because registrations expire
// when the platform is unavailable. An unreachable upstream is skipped while
// others are reachable; this has no irreversible effect. See docs/membership.md.
package instance
