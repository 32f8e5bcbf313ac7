package rollout

import (
	"time"

	"dandelionrail.org/rail"
)

// Observed reports the result of one request on a version.
type Observed struct {
	route    rail.RouteName
	version  rail.Version
	ok       bool
	latency  time.Duration
	upstream rail.InstanceID
}

// NewObserved returns the event; latency is the time to the first token, or to the complete answer of a service.
func NewObserved(route rail.RouteName, version rail.Version, ok bool, latency time.Duration) Observed {
	return Observed{route: route, version: version, ok: ok, latency: latency}
}

// WithUpstream returns a copy with the upstream, so that a failure counts only if the upstream is alive after it.
func (e Observed) WithUpstream(id rail.InstanceID) Observed { e.upstream = id; return e }

// EventName implements rail.Event.
func (Observed) EventName() string { return "rolloutObserved" }
