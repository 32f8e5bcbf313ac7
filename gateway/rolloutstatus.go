package gateway

// RolloutStatus is the state of a rollout that was reported to the operator last.
type RolloutStatus struct {
	service, target string
	state           RolloutState
	order           OrderID
}

// NewRolloutStatus returns the status of the service's rollout to the target; the order's id is not known for reports of older gateways.
func NewRolloutStatus(service, target string, state RolloutState, order OrderID) RolloutStatus {
	return RolloutStatus{service: service, target: target, state: state, order: order}
}

// Service returns the service.
func (s RolloutStatus) Service() string { return s.service }

// Target returns the version that the traffic moves to.
func (s RolloutStatus) Target() string { return s.target }

// State returns the state.
func (s RolloutStatus) State() RolloutState { return s.state }

// concerns reports whether the status is that of the order. After a restore of the store the operator writes a lost order again, so
// that a status of an earlier era is taken for that of the same version's order.
func (s RolloutStatus) concerns(o RolloutOrder) bool {
	same := !s.order.Known() || !o.id.Known() || s.order == o.id || s.order.era < o.id.era
	return same && s.service == o.service && s.target == o.target
}

// RolloutStatusRead reports the state of a rollout in the store, which a restarted gateway has no evidence for.
type RolloutStatusRead struct{ status RolloutStatus }

// NewRolloutStatusRead returns the event.
func NewRolloutStatusRead(s RolloutStatus) RolloutStatusRead { return RolloutStatusRead{status: s} }

func (RolloutStatusRead) gatewayEvent() {}
