package gateway

import "time"

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
}

// NewRolloutOrder returns the order; state is the verdict for this target in the store, or running.
func NewRolloutOrder(service, target string, period time.Duration, state RolloutState) RolloutOrder {
	return RolloutOrder{service: service, target: target, period: period, state: state}
}

// Service returns the service whose traffic moves.
func (o RolloutOrder) Service() string { return o.service }

// Target returns the version that the traffic moves to.
func (o RolloutOrder) Target() string { return o.target }

// State returns the state of the rollout.
func (o RolloutOrder) State() RolloutState { return o.state }
