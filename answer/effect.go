package answer

import "dandelionrail.org/rail"

// Finished answers the caller of a request; the entry also finishes the answer in the store.
type Finished struct {
	request rail.RequestID
	kind    rail.Kind
	reply   rail.ServiceReply
	usage   rail.Usage
}

// NewFinished returns the effect; kind is KindNone for a complete answer.
func NewFinished(request rail.RequestID, kind rail.Kind, reply rail.ServiceReply) Finished {
	return Finished{request: request, kind: kind, reply: reply}
}

// Call implements rail.CallEffect.
func (e Finished) Call() rail.RequestID { return e.request }

// Kind returns why the answer is incomplete, KindNone if it is complete.
func (e Finished) Kind() rail.Kind { return e.kind }

// Reply returns a service's answer.
func (e Finished) Reply() rail.ServiceReply { return e.reply }

// Usage returns the usage that the engines reported, summed over the attempts that ended.
func (e Finished) Usage() rail.Usage { return e.usage }

// EffectName implements rail.Effect.
func (Finished) EffectName() string { return "finished" }

// Moved tells the caller of a request that another entry continues it; this entry also marks the answer in the store.
type Moved struct {
	request   rail.RequestID
	successor rail.Instance
}

// NewMoved returns the effect.
func NewMoved(request rail.RequestID, successor rail.Instance) Moved {
	return Moved{request: request, successor: successor}
}

// Call implements rail.CallEffect.
func (e Moved) Call() rail.RequestID { return e.request }

// Successor returns the entry that continues the request.
func (e Moved) Successor() rail.Instance { return e.successor }

// EffectName implements rail.Effect.
func (Moved) EffectName() string { return "moved" }

// AttemptFailed reports that an attempt ended without the complete answer because its upstream failed or timed out.
type AttemptFailed struct {
	request rail.RequestID
	attempt int
	kind    rail.Kind
}

// Request returns the request's id.
func (e AttemptFailed) Request() rail.RequestID { return e.request }

// Attempt returns the number of the attempt.
func (e AttemptFailed) Attempt() int { return e.attempt }

// Kind returns the kind of the failure.
func (e AttemptFailed) Kind() rail.Kind { return e.kind }

// EffectName implements rail.Effect.
func (AttemptFailed) EffectName() string { return "attemptFailed" }

// HandOver asks that requests be handed over to one entry; it may be repeated.
type HandOver struct {
	successor rail.Instance
	sequence  int
	transfers []Transfer
}

// NewHandOver returns the effect; HandoverSender adds the tokens from the store.
func NewHandOver(successor rail.Instance, sequence int, transfers []Transfer) HandOver {
	return HandOver{successor: successor, sequence: sequence, transfers: transfers}
}

// Successor returns the entry that is asked to finish the requests.
func (e HandOver) Successor() rail.Instance { return e.successor }

// Sequence returns the number of the handover.
func (e HandOver) Sequence() int { return e.sequence }

// Transfers returns the requests, the most urgent first.
func (e HandOver) Transfers() []Transfer { return e.transfers }

// EffectName implements rail.Effect.
func (HandOver) EffectName() string { return "handOver" }

// HandoverResponse answers the handover call of a leaving entry.
type HandoverResponse struct {
	call rail.RequestID
	kind rail.Kind
}

// NewHandoverResponse returns the effect; kind is KindNone if the requests were accepted.
func NewHandoverResponse(call rail.RequestID, kind rail.Kind) HandoverResponse {
	return HandoverResponse{call: call, kind: kind}
}

// Call implements rail.CallEffect.
func (e HandoverResponse) Call() rail.RequestID { return e.call }

// Kind returns why the requests were refused, KindNone if they were accepted.
func (e HandoverResponse) Kind() rail.Kind { return e.kind }

// EffectName implements rail.Effect.
func (HandoverResponse) EffectName() string { return "handoverTaken" }

// Drained reports that a leaving entry has no request in progress any more.
type Drained struct{}

// EffectName implements rail.Effect.
func (Drained) EffectName() string { return "drained" }
