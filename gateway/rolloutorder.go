package gateway

import (
	"cmp"
	"time"
)

// OrderID identifies an order; the zero value is that of an order from a source that does not tell it.
type OrderID struct{ era, number int64 }

// NewOrderID returns the id of the order whose record is at the position.
func NewOrderID(p Position) OrderID { return OrderID{era: p.era, number: p.offset + 1} }

// OrderIDFrom returns the id with the numbers that Era and Number return.
func OrderIDFrom(era, number int64) OrderID { return OrderID{era: era, number: number} }

// Era returns the era of the store that holds the order's record.
func (id OrderID) Era() int64 { return id.era }

// Number returns the offset of the order's record plus one, zero if it is not known.
func (id OrderID) Number() int64 { return id.number }

// Known reports whether the id identifies an order.
func (id OrderID) Known() bool { return id.number > 0 }

// compare orders ids by the time of their orders; unknown ones come first.
func (id OrderID) compare(o OrderID) int {
	return cmp.Or(cmp.Compare(id.era, o.era), cmp.Compare(id.number, o.number))
}

// RolloutState is the state of a rollout.
type RolloutState string

// The values of RolloutState.
const (
	RolloutRunning    RolloutState = "running"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "rolledBack"
)

// RolloutOrder requests that a service's traffic move to a version within a period.
type RolloutOrder struct {
	service string
	target  string
	period  time.Duration
	state   RolloutState
	id      OrderID
}

// NewRolloutOrder returns the order; state is the verdict for this target in the store, or running.
func NewRolloutOrder(service, target string, period time.Duration, state RolloutState) RolloutOrder {
	return RolloutOrder{service: service, target: target, period: period, state: state}
}

// WithID sets the id.
func (o RolloutOrder) WithID(id OrderID) RolloutOrder { o.id = id; return o }

// ID returns the id.
func (o RolloutOrder) ID() OrderID { return o.id }

// Service returns the service whose traffic moves.
func (o RolloutOrder) Service() string { return o.service }

// Target returns the version that the traffic moves to.
func (o RolloutOrder) Target() string { return o.target }

// State returns the state of the rollout.
func (o RolloutOrder) State() RolloutState { return o.state }
