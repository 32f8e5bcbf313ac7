package digest

import "dandelionrail.org/rail"

// FactPublished reports a fact that a reducer of this process publishes.
type FactPublished struct{ fact rail.Publish }

// NewFactPublished returns the event for the reducer's effect.
func NewFactPublished(p rail.Publish) FactPublished { return FactPublished{fact: p} }

// EventName implements rail.Event.
func (FactPublished) EventName() string { return "factPut" }

// RequestReceived reports a peer's request, which waits for a SendResponse effect.
type RequestReceived struct {
	call    rail.RequestID
	request Request
}

// NewRequestReceived returns the event; the call waits at the mailbox under its id.
func NewRequestReceived(call rail.RequestID, r Request) RequestReceived {
	return RequestReceived{call: call, request: r}
}

// EventName implements rail.Event.
func (RequestReceived) EventName() string { return "digestAsked" }

// ResponseReceived reports a peer's response to an Exchange.
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

// ExchangeFailed reports that a peer did not respond to an Exchange in time.
type ExchangeFailed struct{ peer rail.Instance }

// NewExchangeFailed returns the event.
func NewExchangeFailed(peer rail.Instance) ExchangeFailed { return ExchangeFailed{peer: peer} }

// EventName implements rail.Event.
func (ExchangeFailed) EventName() string { return "digestExchangeFailed" }
