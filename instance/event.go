package instance

import "dandelionrail.org/rail"

// Unreachable reports that an upstream could not be reached.
type Unreachable struct{ instance rail.InstanceID }

// NewUnreachable returns the event for the upstream.
func NewUnreachable(instance rail.InstanceID) Unreachable { return Unreachable{instance: instance} }

// EventName implements rail.Event.
func (Unreachable) EventName() string { return "instanceUnreachable" }

// Reachable reports that an upstream responded.
type Reachable struct{ instance rail.InstanceID }

// NewReachable returns the event for the upstream.
func NewReachable(instance rail.InstanceID) Reachable { return Reachable{instance: instance} }

// EventName implements rail.Event.
func (Reachable) EventName() string { return "instanceReachable" }

// Fetched reports the instances that a peer knows, for an entry that has read no list yet.
type Fetched struct{ instances []rail.Instance }

// NewFetched returns the event with the peer's instances.
func NewFetched(instances []rail.Instance) Fetched { return Fetched{instances: instances} }

// EventName implements rail.Event.
func (Fetched) EventName() string { return "instancesOffered" }
