package digest

import "dandelionrail.org/rail"

// Exchange asks that a request be sent to a peer; the answer comes back as Replied or ExchangeFailed.
type Exchange struct {
	peer    rail.Instance
	request Request
}

// Peer returns the entry to ask.
func (e Exchange) Peer() rail.Instance { return e.peer }

// Request returns what to send.
func (e Exchange) Request() Request { return e.request }

// EffectName implements rail.Effect.
func (Exchange) EffectName() string { return "exchangeDigest" }

// SendResponse answers a peer's request.
type SendResponse struct {
	call     rail.RequestID
	response Response
}

var _ rail.CallEffect = SendResponse{}

// Call implements rail.CallEffect.
func (e SendResponse) Call() rail.RequestID { return e.call }

// Response returns what to answer.
func (e SendResponse) Response() Response { return e.response }

// EffectName implements rail.Effect.
func (SendResponse) EffectName() string { return "answerDigest" }
