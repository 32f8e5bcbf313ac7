package order

import "dandelionrail.org/rail"

// TicketIssued answers a call with a new ticket.
type TicketIssued struct {
	call   rail.RequestID
	ticket rail.Ticket
}

// Call implements rail.CallEffect.
func (e TicketIssued) Call() rail.RequestID { return e.call }

// Ticket returns the ticket.
func (e TicketIssued) Ticket() rail.Ticket { return e.ticket }

// EffectName implements rail.Effect.
func (TicketIssued) EffectName() string { return "orderTicketIssued" }

// Proceed allows one dispatch of the order now; an Ended event must always follow.
type Proceed struct{ request rail.Request }

// Request returns the order.
func (e Proceed) Request() rail.Request { return e.request }

// EffectName implements rail.Effect.
func (Proceed) EffectName() string { return "orderProceed" }

// Refused answers a call with an error kind.
type Refused struct {
	call    rail.RequestID
	kind    rail.Kind
	message string
}

// Call implements rail.CallEffect.
func (e Refused) Call() rail.RequestID { return e.call }

// Kind returns the error kind.
func (e Refused) Kind() rail.Kind { return e.kind }

// Message returns the error message.
func (e Refused) Message() string { return e.message }

// EffectName implements rail.Effect.
func (Refused) EffectName() string { return "orderRefused" }

// Answered answers a call with the order's outcome.
type Answered struct {
	call  rail.RequestID
	reply rail.ServiceReply
}

// Call implements rail.CallEffect.
func (e Answered) Call() rail.RequestID { return e.call }

// Reply returns the service's answer.
func (e Answered) Reply() rail.ServiceReply { return e.reply }

// EffectName implements rail.Effect.
func (Answered) EffectName() string { return "orderAnswered" }

// Forward requests that the order be sent to the incarnation that holds its ticket; a ForwardEnded event must always follow.
type Forward struct {
	request rail.Request
	issuer  rail.Incarnation
	hops    int
}

// Request returns the order.
func (e Forward) Request() rail.Request { return e.request }

// Issuer returns the incarnation that holds the ticket.
func (e Forward) Issuer() rail.Incarnation { return e.issuer }

// Hops returns how many times the order has been forwarded, this time included.
func (e Forward) Hops() int { return e.hops }

// EffectName implements rail.Effect.
func (Forward) EffectName() string { return "orderForward" }

// HandOver requests that tickets be sent to the successor; HandoverAnswered, HandoverRefused or HandoverLost must follow.
type HandOver struct {
	number    int
	successor rail.Incarnation
	tickets   []TicketState
}

// Number returns the message's number, which the event for its answer carries; the successor processes each number once.
func (e HandOver) Number() int { return e.number }

// Successor returns the only incarnation that may receive the tickets.
func (e HandOver) Successor() rail.Incarnation { return e.successor }

// Tickets returns the tickets to hand over; the slice must not be changed.
func (e HandOver) Tickets() []TicketState { return e.tickets }

// EffectName implements rail.Effect.
func (HandOver) EffectName() string { return "orderHandOver" }

// TicketsTaken answers a call that handed over tickets.
type TicketsTaken struct{ call rail.RequestID }

// Call implements rail.CallEffect.
func (e TicketsTaken) Call() rail.RequestID { return e.call }

// EffectName implements rail.Effect.
func (TicketsTaken) EffectName() string { return "orderTicketsTaken" }
