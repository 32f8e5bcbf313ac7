package team

import "dandelionrail.org/rail"

// Arrived reports a request that asks for admission.
type Arrived struct {
	request rail.Request
	route   rail.Route
}

// NewArrived returns the event.
func NewArrived(request rail.Request, route rail.Route) Arrived {
	return Arrived{request: request, route: route}
}

// EventName implements rail.Event.
func (Arrived) EventName() string { return "teamArrived" }

// Ended reports that a request has ended or was cancelled before it was admitted.
type Ended struct{ request rail.RequestID }

// NewEnded returns the event.
func NewEnded(request rail.RequestID) Ended { return Ended{request: request} }

// EventName implements rail.Event.
func (Ended) EventName() string { return "teamEnded" }

// Capacity reports how many entries share the upstreams; the slots are taken from the instance list and the load reports.
type Capacity struct{ entries int }

// NewCapacity returns the event; entries is the number of live entries, this one included.
func NewCapacity(entries int) Capacity { return Capacity{entries: entries} }

// EventName implements rail.Event.
func (Capacity) EventName() string { return "teamCapacity" }
