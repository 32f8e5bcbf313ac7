package gateway

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/runend"
)

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

// Endings that are not found by checks of the engine.
const (
	// endingRestarted is a run at an engine that has started again since its request was sent.
	endingRestarted runend.Ending = "restarted"
	// endingAtPeer is a run whose end the peer that makes the next attempt awaits.
	endingAtPeer runend.Ending = "atPeer"
)

// StreamMoved reports a stream that goes on at another upstream.
type StreamMoved struct {
	cause  moveCause
	ending runend.Ending
}

func (StreamMoved) gatewayEffect() {}

// previousRun is an attempt of a stream that may have run, and may still run.
type previousRun struct {
	// upstreamID is empty if a peer made the attempt and did not say where.
	upstreamID string
	// upstream is the upstream's entry, known whether there is one.
	upstream Upstream
	known    bool
	run      runend.Run
	cause    moveCause
	eventAt  time.Time // Of the last event.
	endedAt  time.Time // When the attempt ended.
	ending   runend.Ending
}

// move is a call whose next attempt waits until its previous run has ended.
type move struct {
	// outcome is that of the previous attempt at this gateway.
	outcome Outcome
	since   time.Time
	// forwarded reports whether a peer made that attempt and forwarded the call, which has not been placed here yet.
	forwarded bool
}

// tracksRuns reports whether the call may run at one upstream at a time, and the upstreams list their runs.
func (s *State) tracksRuns(p *pendingCall) bool {
	return p.route.streaming && p.service.isEngine()
}

// previousRun describes the call's attempt that ended with the outcome.
func (s *State) previousRun(c *Call, p *pendingCall, o Outcome) *previousRun {
	x := &previousRun{cause: p.moveCause(o), eventAt: p.lastEventAt, endedAt: s.now, ending: runend.Unseen}
	if p.peer != "" {
		x.upstreamID = o.placement
		x.upstream, x.known = s.upstreamEntry(o.placement)
		x.run = p.currentRun(c).Aborted(s.now) // What ended is the connection to the peer.
		return x
	}
	x.upstreamID, x.upstream, x.known = p.target.id, p.target.Upstream, true
	x.run = p.currentRun(c)
	switch {
	case o.brokenOff():
		x.run = x.run.BrokenOff(s.now)
	case o.kind == rail.KindUpstreamFailed && o.timedOut:
		x.run = x.run.TimedOut(s.now)
	default:
		x.run = x.run.Aborted(s.now)
	}
	return x
}

// currentRun describes the call's attempt in progress.
func (p *pendingCall) currentRun(c *Call) runend.Run {
	run := runend.NewRun(c.id, p.sentAt)
	if p.gotFirstToken {
		run = run.WithEvent(p.firstTokenAt)
	}
	return run
}

// upstreamEntry returns the entry of an upstream that is listed or was lately, false if there is none.
func (s *State) upstreamEntry(id string) (Upstream, bool) {
	if t, ok := s.registry.targets[id]; ok {
		return t.Upstream, true
	}
	d, ok := s.registry.departed[id]
	return d.Upstream, ok
}

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

// endingOf returns how the call's previous run was seen to end.
func (s *State) endingOf(p *pendingCall) runend.Ending {
	x := p.previous
	if x == nil {
		return ""
	}
	if x.ending == runend.Unseen && x.known {
		x.ending = s.endingAt(x.upstream, x.run)
	}
	return x.ending
}

// endingAt returns how a run at the engine was seen to end. Entries are read late, so that a request that was sent to an earlier start may run
// at a later one that has its address.
func (s *State) endingAt(u Upstream, run runend.Run) runend.Ending {
	if t, ok := s.registry.targets[u.id]; ok && t.startedAtMs > u.startedAtMs && (t.address != u.address || s.sentBefore(run, t.startedAtMs)) {
		return endingRestarted
	}
	if k, ok := s.checks[u.start()]; ok {
		return k.history.Ending(run)
	}
	return runend.Unseen
}

// sentBefore reports whether the request of the run was sent before the start, by clocks that differ.
func (s *State) sentBefore(run runend.Run, startedAtMs int64) bool {
	return s.TrueTime(run.SentAt()).Add(bornMargin).Before(time.UnixMilli(startedAtMs))
}

// runningFor returns the id of the upstream whose run a peer must see end before it makes the next attempt of the call, empty if there is none,
// and whether that run is known to have begun.
func (s *State) runningFor(p *pendingCall) (upstreamID string, begun bool) {
	if s.endingOf(p) == runend.Unseen {
		return p.previous.upstreamID, s.hasBegun(p.previous)
	}
	return "", false
}

// reportMove reports that a stream goes on elsewhere after an attempt that ended with the outcome and may have run.
func (s *State) reportMove(c *Call, p *pendingCall, o Outcome) []Effect {
	x := p.previous
	if x == nil || o.kind.Reply().Run() == rail.NotRun {
		return nil
	}
	ending := s.endingOf(p)
	if ending == runend.Unseen {
		ending = endingAtPeer
	}
	return []Effect{
		StreamMoved{cause: x.cause, ending: ending},
		report(rail.EventStreamMoved, NewField("request", c.id), NewField("cause", string(x.cause)), NewField("ending", string(ending)), NewField("upstream", x.upstreamID),
			NewField("begun", s.hasBegun(x)), NewField("peer", p.peer), NewField("sinceEventMs", s.now.Sub(x.eventAt).Milliseconds())),
	}
}

// holdMove makes a call wait until its previous run has ended.
func (s *State) holdMove(c *Call, p *pendingCall, o Outcome) []Effect {
	if !p.previous.known {
		return nil
	}
	s.moves[c] = &move{outcome: o, since: s.now}
	return append(s.checkEngine(p.previous.upstream, moveCheckInterval), Hold{call: c})
}

// holdForwarded places a forwarded call once its run at the upstream has ended.
func (s *State) holdForwarded(c *Call, p *pendingCall, f Forwarded) []Effect {
	upstream, known := s.upstreamEntry(f.running)
	if !known {
		return s.refuse(c, p, rail.KindNotReady, notReadyRetryAfter)
	}
	run := runend.NewRun(c.id, s.now)
	if f.begun {
		run = run.WithEvent(s.now)
	}
	p.previous = &previousRun{upstreamID: f.running, upstream: upstream, known: true, run: run.Aborted(s.now), cause: causeForward, eventAt: s.now, endedAt: s.now, ending: runend.Unseen}
	s.calls[c] = p
	s.moves[c] = &move{since: s.now, forwarded: true}
	return append(s.checkEngine(upstream, moveCheckInterval), Hold{call: c})
}

// tickMoves continues the calls whose previous runs have ended, ends those that have waited for too long, and checks the engines of the
// others.
func (s *State) tickMoves() []Effect {
	effects := s.continueMoves()
	for c := range s.moves {
		effects = append(effects, s.checkEngine(s.calls[c].previous.upstream, moveCheckInterval)...)
	}
	s.forgetChecks()
	return effects
}

// continueMoves continues the calls whose previous runs have ended and ends those that have waited for too long.
func (s *State) continueMoves() []Effect {
	var effects []Effect
	for c, m := range s.moves {
		p := s.calls[c]
		ended := s.endingOf(p) != runend.Unseen
		if !ended && s.now.Before(s.moveTimeout(p)) && s.now.Add(deadlineMargin).Before(p.deadline) {
			continue
		}
		delete(s.moves, c)
		switch {
		case m.forwarded:
			delete(s.calls, c)
			effects = append(effects, s.placeForwarded(c, p, ended)...)
		case ended:
			effects = append(effects, s.continueCall(c, p, m.outcome)...)
		default:
			effects = append(effects, s.endMove(c, p, m)...)
		}
	}
	return effects
}

// moveTimeout returns when the wait for the end of the call's previous run ends. The request of a run that is not known to have begun may have
// been lost, which no report shows.
func (s *State) moveTimeout(p *pendingCall) time.Time {
	stalled := p.previous.eventAt.Add(p.route.stallTimeout())
	if s.hasBegun(p.previous) {
		return stalled
	}
	if unread := p.previous.endedAt.Add(p.route.abandonTimeout()); unread.Before(stalled) {
		return unread
	}
	return stalled
}

// hasBegun reports whether the run is known to have begun.
func (s *State) hasBegun(x *previousRun) bool {
	k, ok := s.checks[x.upstream.start()]
	if !ok {
		k = &engineCheck{}
	}
	return k.history.Begun(x.run)
}

// placeForwarded places a forwarded call that waited for its previous run, or refuses it.
func (s *State) placeForwarded(c *Call, p *pendingCall, ended bool) []Effect {
	if !ended {
		return s.refuse(c, p, rail.KindNotReady, notReadyRetryAfter)
	}
	return s.place(c, p)
}

// endMove ends a call whose previous run was not seen to end.
func (s *State) endMove(c *Call, p *pendingCall, m *move) []Effect {
	return append([]Effect{report(rail.EventMoveGivenUp, NewField("request", c.id), NewField("cause", string(p.previous.cause)), NewField("upstream", p.previous.upstreamID),
		NewField("begun", s.hasBegun(p.previous)), NewField("waitedMs", s.now.Sub(m.since).Milliseconds()))}, s.endCall(c, p, m.outcome)...)
}

// refuseForwardedMoves refuses the forwarded calls that wait for the ends of their previous runs, so that other peers can take them.
func (s *State) refuseForwardedMoves() []Effect {
	var effects []Effect
	for c, m := range s.moves {
		if m.forwarded {
			p := s.calls[c]
			delete(s.moves, c)
			delete(s.calls, c)
			effects = append(effects, s.refuse(c, p, rail.KindLeaving, 0)...)
		}
	}
	return effects
}

// endMoves ends all calls that wait for the ends of their previous runs.
func (s *State) endMoves() []Effect {
	effects := s.refuseForwardedMoves()
	for c, m := range s.moves {
		p := s.calls[c]
		delete(s.moves, c)
		effects = append(effects, s.endMove(c, p, m)...)
	}
	return effects
}
