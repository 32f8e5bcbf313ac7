package gateway

// RolloutStatus is the state of a rollout that was reported to the operator last.
type RolloutStatus struct {
	service, target string
	state           RolloutState
}

// NewRolloutStatus returns the status of the service's rollout to the target.
func NewRolloutStatus(service, target string, state RolloutState) RolloutStatus {
	return RolloutStatus{service: service, target: target, state: state}
}

// Service returns the service.
func (s RolloutStatus) Service() string { return s.service }

// Target returns the version that the traffic moves to.
func (s RolloutStatus) Target() string { return s.target }

// State returns the state.
func (s RolloutStatus) State() RolloutState { return s.state }

// concerns reports whether the status is that of the order.
func (s RolloutStatus) concerns(o RolloutOrder) bool {
	return s.service == o.service && s.target == o.target
}

// RolloutStatusRead reports the state of a rollout in the store, which a restarted gateway has no evidence for.
type RolloutStatusRead struct{ status RolloutStatus }

// NewRolloutStatusRead returns the event.
func NewRolloutStatusRead(s RolloutStatus) RolloutStatusRead { return RolloutStatusRead{status: s} }

func (RolloutStatusRead) gatewayEvent() {}
