package instance

import "dandelionrail.org/rail"

// Unreachable tells that an upstream could not be reached.
type Unreachable struct{ instance rail.InstanceID }

// NewUnreachable returns the event for the upstream.
func NewUnreachable(instance rail.InstanceID) Unreachable { return Unreachable{instance: instance} }

// EventName implements rail.Event.
func (Unreachable) EventName() string { return "instanceUnreachable" }

// Reachable tells that an upstream answered.
type Reachable struct{ instance rail.InstanceID }

// NewReachable returns the event for the upstream.
func NewReachable(instance rail.InstanceID) Reachable { return Reachable{instance: instance} }

// EventName implements rail.Event.
func (Reachable) EventName() string { return "instanceReachable" }

// Fetched tells of the instances that a peer knows, for an entry that has no list yet.
type Fetched struct{ instances []rail.Instance }

// NewFetched returns the event with the peer's instances.
func NewFetched(instances []rail.Instance) Fetched { return Fetched{instances: instances} }

// EventName implements rail.Event.
func (Fetched) EventName() string { return "instancesOffered" }
