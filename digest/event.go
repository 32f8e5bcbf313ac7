package digest

import "dandelionrail.org/rail"

// FactPublished tells of a fact that a part of this process publishes.
type FactPublished struct{ fact rail.Publish }

// NewFactPublished returns the event for the effect of the part.
func NewFactPublished(p rail.Publish) FactPublished { return FactPublished{fact: p} }

// EventName implements rail.Event.
func (FactPublished) EventName() string { return "factPut" }

// Asked tells of a peer's request that waits for its Answered.
type Asked struct {
	call    rail.RequestID
	request Request
}

// NewAsked returns the event; the call waits at the desk under its id.
func NewAsked(call rail.RequestID, r Request) Asked { return Asked{call: call, request: r} }

// EventName implements rail.Event.
func (Asked) EventName() string { return "digestAsked" }

// Replied tells of a peer's response to an Exchange.
type Replied struct {
	peer     rail.Instance
	response Response
}

// NewReplied returns the event.
func NewReplied(peer rail.Instance, r Response) Replied { return Replied{peer: peer, response: r} }

// EventName implements rail.Event.
func (Replied) EventName() string { return "digestReplied" }

// ExchangeFailed tells that a peer did not answer an Exchange in time.
type ExchangeFailed struct{ peer rail.Instance }

// NewExchangeFailed returns the event.
func NewExchangeFailed(peer rail.Instance) ExchangeFailed { return ExchangeFailed{peer: peer} }

// EventName implements rail.Event.
func (ExchangeFailed) EventName() string { return "digestExchangeFailed" }
