package order

import "dandelionrail.org/rail"

// TicketWanted requests a ticket.
type TicketWanted struct {
	call rail.RequestID
	team rail.TeamName
}

// NewTicketWanted returns the event of a call that waits for TicketIssued or Refused.
func NewTicketWanted(call rail.RequestID, team rail.TeamName) TicketWanted {
	return TicketWanted{call: call, team: team}
}

// EventName implements rail.Event.
func (TicketWanted) EventName() string { return "orderTicketWanted" }

// Submitted delivers an order with a ticket or a key, from a caller or forwarded by a peer.
type Submitted struct {
	request rail.Request
	hops    int
}

// NewSubmitted returns the event of a call that waits for Answered or Refused.
func NewSubmitted(request rail.Request) Submitted { return Submitted{request: request} }

// WithHops returns a copy for an order that peers have forwarded this number of times.
func (e Submitted) WithHops(hops int) Submitted { e.hops = hops; return e }

// EventName implements rail.Event.
func (Submitted) EventName() string { return "orderSubmitted" }

// Ended reports the final result of the dispatch that Proceed allowed.
type Ended struct {
	request rail.RequestID
	kind    rail.Kind
	reply   rail.ServiceReply
}

// NewEnded returns the event; with rail.KindNone the reply is the order's answer.
func NewEnded(request rail.RequestID, kind rail.Kind, reply rail.ServiceReply) Ended {
	return Ended{request: request, kind: kind, reply: reply}
}

// EventName implements rail.Event.
func (Ended) EventName() string { return "orderEnded" }

// ForwardEnded reports the result of a Forward.
type ForwardEnded struct {
	request rail.RequestID
	kind    rail.Kind
	reply   rail.ServiceReply
}

// NewForwardEnded returns the event; without an answer of the issuer the kind is issuerUnreachable or issuerGone.
func NewForwardEnded(request rail.RequestID, kind rail.Kind, reply rail.ServiceReply) ForwardEnded {
	return ForwardEnded{request: request, kind: kind, reply: reply}
}

// EventName implements rail.Event.
func (ForwardEnded) EventName() string { return "orderForwardEnded" }

// Sealed instructs this entry to dispatch no more tickets and to hand them over to the successor.
type Sealed struct{ successor rail.Incarnation }

// NewSealed returns the event; once a successor was named, another one is ignored, unless the first refused every message.
func NewSealed(successor rail.Incarnation) Sealed { return Sealed{successor: successor} }

// EventName implements rail.Event.
func (Sealed) EventName() string { return "orderSealed" }

// TicketsReceived delivers tickets that a sealed entry hands over.
type TicketsReceived struct {
	call    rail.RequestID
	from    rail.Incarnation
	number  int
	tickets []TicketState
}

// NewTicketsReceived returns the event of a call that waits for TicketsTaken or Refused; number is that of the sender's HandOver.
func NewTicketsReceived(call rail.RequestID, from rail.Incarnation, number int, tickets []TicketState) TicketsReceived {
	return TicketsReceived{call: call, from: from, number: number, tickets: tickets}
}

// EventName implements rail.Event.
func (TicketsReceived) EventName() string { return "orderTicketsReceived" }

// HandoverAnswered reports that the successor accepted a handover message.
type HandoverAnswered struct{ number int }

// NewHandoverAnswered returns the event for the number of the HandOver.
func NewHandoverAnswered(number int) HandoverAnswered { return HandoverAnswered{number: number} }

// EventName implements rail.Event.
func (HandoverAnswered) EventName() string { return "orderHandoverAnswered" }

// HandoverRefused reports that the successor itself refused a handover message and accepted none of its tickets.
type HandoverRefused struct{ number int }

// NewHandoverRefused returns the event for the number of the HandOver.
func NewHandoverRefused(number int) HandoverRefused { return HandoverRefused{number: number} }

// EventName implements rail.Event.
func (HandoverRefused) EventName() string { return "orderHandoverRefused" }

// HandoverLost reports that no answer to a handover message arrived; the successor may have accepted it.
type HandoverLost struct{ number int }

// NewHandoverLost returns the event for the number of the HandOver.
func NewHandoverLost(number int) HandoverLost { return HandoverLost{number: number} }

// EventName implements rail.Event.
func (HandoverLost) EventName() string { return "orderHandoverLost" }
