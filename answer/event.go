package answer

import "dandelionrail.org/rail"

// Accepted reports that the entry has accepted a request.
type Accepted struct {
	request rail.Request
	route   rail.Route
}

// NewAccepted returns the event for a request on its route.
func NewAccepted(request rail.Request, route rail.Route) Accepted {
	return Accepted{request: request, route: route}
}

// EventName implements rail.Event.
func (Accepted) EventName() string { return "accepted" }

// Marked reports the progress of an attempt's stream.
type Marked struct {
	request rail.RequestID
	attempt int
	offset  int
}

// NewMarked returns the event; offset is the number of tokens in the store.
func NewMarked(request rail.RequestID, attempt, offset int) Marked {
	return Marked{request: request, attempt: attempt, offset: offset}
}

// Request returns the request's id.
func (e Marked) Request() rail.RequestID { return e.request }

// Attempt returns the number of the attempt.
func (e Marked) Attempt() int { return e.attempt }

// EventName implements rail.Event.
func (Marked) EventName() string { return "marked" }

// Ended reports that an attempt's stream is complete.
type Ended struct {
	request rail.RequestID
	attempt int
	usage   rail.Usage
}

// NewEnded returns the event with the usage that the engine reported.
func NewEnded(request rail.RequestID, attempt int, usage rail.Usage) Ended {
	return Ended{request: request, attempt: attempt, usage: usage}
}

// Request returns the request's id.
func (e Ended) Request() rail.RequestID { return e.request }

// Attempt returns the number of the attempt.
func (e Ended) Attempt() int { return e.attempt }

// EventName implements rail.Event.
func (Ended) EventName() string { return "ended" }

// Replied reports that a service answered an attempt.
type Replied struct {
	request rail.RequestID
	attempt int
	reply   rail.ServiceReply
}

// NewReplied returns the event with the service's answer.
func NewReplied(request rail.RequestID, attempt int, reply rail.ServiceReply) Replied {
	return Replied{request: request, attempt: attempt, reply: reply}
}

// Request returns the request's id.
func (e Replied) Request() rail.RequestID { return e.request }

// Attempt returns the number of the attempt.
func (e Replied) Attempt() int { return e.attempt }

// Reply returns the service's answer.
func (e Replied) Reply() rail.ServiceReply { return e.reply }

// EventName implements rail.Event.
func (Replied) EventName() string { return "replied" }

// Failed reports that an attempt ended without the complete answer.
type Failed struct {
	request rail.RequestID
	attempt int
	kind    rail.Kind
	offset  int
}

// NewFailed returns the event; offset is the number of tokens in the store.
func NewFailed(request rail.RequestID, attempt int, kind rail.Kind, offset int) Failed {
	return Failed{request: request, attempt: attempt, kind: kind, offset: offset}
}

// EventName implements rail.Event.
func (Failed) EventName() string { return "failed" }

// Cancelled reports that the caller cancelled the request.
type Cancelled struct{ request rail.RequestID }

// NewCancelled returns the event.
func NewCancelled(request rail.RequestID) Cancelled { return Cancelled{request: request} }

// EventName implements rail.Event.
func (Cancelled) EventName() string { return "cancelled" }

// Detached reports that a streaming caller disconnected; it may reconnect.
type Detached struct{ request rail.RequestID }

// NewDetached returns the event.
func NewDetached(request rail.RequestID) Detached { return Detached{request: request} }

// EventName implements rail.Event.
func (Detached) EventName() string { return "detached" }

// Attached reports that a caller reads the answer, here or through another entry.
type Attached struct{ request rail.RequestID }

// NewAttached returns the event.
func NewAttached(request rail.RequestID) Attached { return Attached{request: request} }

// EventName implements rail.Event.
func (Attached) EventName() string { return "attached" }

// HandoverReceived reports that a leaving entry asks this one to finish its requests.
type HandoverReceived struct {
	call      rail.RequestID
	transfers []Transfer
}

// NewHandoverReceived returns the event; call is the id of the waiting peer call.
func NewHandoverReceived(call rail.RequestID, transfers []Transfer) HandoverReceived {
	return HandoverReceived{call: call, transfers: transfers}
}

// EventName implements rail.Event.
func (HandoverReceived) EventName() string { return "handedIn" }

// HandoverAnswered reports that the successor has accepted the requests.
type HandoverAnswered struct {
	successor rail.InstanceID
	sequence  int
}

// NewHandoverAnswered returns the event for the handover of the sequence number.
func NewHandoverAnswered(successor rail.InstanceID, sequence int) HandoverAnswered {
	return HandoverAnswered{successor: successor, sequence: sequence}
}

// EventName implements rail.Event.
func (HandoverAnswered) EventName() string { return "handoverAnswered" }

// HandoverLost reports that a handover failed or that its answer was lost.
type HandoverLost struct {
	successor rail.InstanceID
	sequence  int
	kind      rail.Kind
}

// NewHandoverLost returns the event with the kind of the failure.
func NewHandoverLost(successor rail.InstanceID, sequence int, kind rail.Kind) HandoverLost {
	return HandoverLost{successor: successor, sequence: sequence, kind: kind}
}

// EventName implements rail.Event.
func (HandoverLost) EventName() string { return "handoverLost" }
