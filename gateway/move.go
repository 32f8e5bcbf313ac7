package gateway

import "dandelionrail.org/rail"

// moveCause is why a stream goes on at another upstream.
type moveCause string

const (
	// causeSilence is an upstream that sent no further events, causeFailover one that sent none within the failover timeout.
	causeSilence  moveCause = "silence"
	causeFailover moveCause = "failover"
	// causeConnection is a connection that ended before the stream did.
	causeConnection moveCause = "connection"
	// causeForward is an attempt of a peer, whatever ended it.
	causeForward moveCause = "forward"
	// causeFailure is any other failure.
	causeFailure moveCause = "failure"
)

// moveEnding is how the run at the upstream before was seen to end.
type moveEnding string

// endingUnseen is a run that may still be in progress when the stream goes on.
const endingUnseen moveEnding = "unseen"

// StreamMoved reports a stream that goes on at another upstream.
type StreamMoved struct {
	cause  moveCause
	ending moveEnding
}

func (StreamMoved) gatewayEffect() {}

// moveCause returns why the next attempt follows one that ended with the outcome.
func (p *pendingCall) moveCause(o Outcome) moveCause {
	switch {
	case p.peer != "":
		return causeForward
	case o.kind == rail.KindUpstreamSilent && p.gotFirstToken:
		return causeSilence
	case o.kind == rail.KindUpstreamSilent:
		return causeFailover
	case o.brokenOff() || o.timedOut:
		return causeConnection
	}
	return causeFailure
}

// reportMove reports that a stream goes on elsewhere after an attempt that ended with the outcome and may have run.
func (s *State) reportMove(c *Call, p *pendingCall, o Outcome) []Effect {
	if !p.route.streaming || o.answered || o.kind.Reply().Run() == rail.NotRun {
		return nil
	}
	moved := StreamMoved{cause: p.moveCause(o), ending: endingUnseen}
	return []Effect{moved, report(rail.EventStreamMoved, NewField("request", c.id), NewField("cause", string(moved.cause)), NewField("ending", string(moved.ending)),
		NewField("upstream", p.target.id), NewField("peer", p.peer), NewField("placement", o.placement), NewField("sinceEventMs", s.now.Sub(p.lastEventAt).Milliseconds()), NewField("leaving", p.target.leaving))}
}
