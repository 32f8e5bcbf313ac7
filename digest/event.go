package digest

import "dandelionrail.org/rail"

// FactPublished tells of a fact that a part of this process publishes.
type FactPublished struct{ fact rail.Publish }

// NewFactPublished returns the event for the effect of the part.
func NewFactPublished(p rail.Publish) FactPublished { return FactPublished{fact: p} }

// EventName implements rail.Event.
func (FactPublished) EventName() string { return "factPut" }

// RequestReceived tells of a peer's request that waits for its Answered.
type RequestReceived struct {
	call    rail.RequestID
	request Request
}

// NewRequestReceived returns the event; the call waits at the desk under its id.
func NewRequestReceived(call rail.RequestID, r Request) RequestReceived {
	return RequestReceived{call: call, request: r}
}

// EventName implements rail.Event.
func (RequestReceived) EventName() string { return "digestAsked" }

// ResponseReceived tells of a peer's response to an Exchange.
type ResponseReceived struct {
	peer     rail.Instance
	response Response
}

// NewResponseReceived returns the event.
func NewResponseReceived(peer rail.Instance, r Response) ResponseReceived {
	return ResponseReceived{peer: peer, response: r}
}

// EventName implements rail.Event.
func (ResponseReceived) EventName() string { return "digestReplied" }

// ExchangeFailed tells that a peer did not answer an Exchange in time.
type ExchangeFailed struct{ peer rail.Instance }

// NewExchangeFailed returns the event.
func NewExchangeFailed(peer rail.Instance) ExchangeFailed { return ExchangeFailed{peer: peer} }

// EventName implements rail.Event.
func (ExchangeFailed) EventName() string { return "digestExchangeFailed" }
