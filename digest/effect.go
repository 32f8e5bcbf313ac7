package digest

import "dandelionrail.org/rail"

// Exchange asks to send a request to a peer; the result is a ResponseReceived or ExchangeFailed event.
type Exchange struct {
	peer    rail.Instance
	request Request
}

// Peer returns the entry to send the request to.
func (e Exchange) Peer() rail.Instance { return e.peer }

// Request returns the request to send.
func (e Exchange) Request() Request { return e.request }

// EffectName implements rail.Effect.
func (Exchange) EffectName() string { return "exchangeDigest" }

// SendResponse asks to send the response to a peer's request.
type SendResponse struct {
	call     rail.RequestID
	response Response
}

var _ rail.CallEffect = SendResponse{}

// Call implements rail.CallEffect.
func (e SendResponse) Call() rail.RequestID { return e.call }

// Response returns the response to send.
func (e SendResponse) Response() Response { return e.response }

// EffectName implements rail.Effect.
func (SendResponse) EffectName() string { return "answerDigest" }
