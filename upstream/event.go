package upstream

import "dandelionrail.org/rail"

// Sent reports that this entry dispatched an attempt to an upstream.
type Sent struct {
	request  rail.Request
	upstream rail.InstanceID
}

// NewSent returns the event.
func NewSent(request rail.Request, upstream rail.InstanceID) Sent {
	return Sent{request: request, upstream: upstream}
}

// EventName implements rail.Event.
func (Sent) EventName() string { return "upstreamSent" }

// Ended reports that an attempt at an upstream ended, successfully or not.
type Ended struct {
	request  rail.Request
	upstream rail.InstanceID
}

// NewEnded returns the event.
func NewEnded(request rail.Request, upstream rail.InstanceID) Ended {
	return Ended{request: request, upstream: upstream}
}

// EventName implements rail.Event.
func (Ended) EventName() string { return "upstreamEnded" }

// CacheRead carries cache events read from an engine, which may be delayed or incomplete.
type CacheRead struct{ events []rail.CacheEvent }

// NewCacheRead returns the event.
func NewCacheRead(events []rail.CacheEvent) CacheRead { return CacheRead{events: events} }

// EventName implements rail.Event.
func (CacheRead) EventName() string { return "cacheRead" }
