package rail

// InstanceID identifies one machine of the cloud during its lifetime.
type InstanceID string

// Incarnation identifies one run of a process; it is random and never reused.
type Incarnation string

// Domain names a failure domain.
type Domain string

// TeamName names a team of the environment document.
type TeamName string

// RouteName names a route of the environment document.
type RouteName string

// Version names a model or service version of a route.
type Version string

// RequestID identifies one accepted request; it is also the id of its answer.
type RequestID string

// Ticket permits one order to run once; its form is domain-incarnation-sequence.
type Ticket string

// Key is an idempotency key that the caller chose, a UUID of version 7.
type Key string

// Offset is a position in the platform's log.
type Offset int64
