package gateway

import (
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/runend"
)

var (
	brokenOff = Outcome{kind: rail.KindUpstreamFailed, err: rail.WrapError(io.ErrUnexpectedEOF, rail.KindUpstreamFailed, "read")}
	timedOut  = Outcome{kind: rail.KindUpstreamFailed, timedOut: true, err: rail.WrapError(os.NewSyscallError("read", syscall.ETIMEDOUT), rail.KindUpstreamFailed, "read")}
	aborted   = Outcome{kind: rail.KindUpstreamSilent, timedOut: true}
)

// movesOf returns the moves of streams among the effects.
func movesOf(effects []Effect) []StreamMoved {
	var moves []StreamMoved
	for _, e := range effects {
		if m, ok := e.(StreamMoved); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

// checksOf returns the ids of the engines that are asked for their reports.
func checksOf(effects []Effect) map[string]bool {
	ids := map[string]bool{}
	for _, e := range effects {
		if x, ok := e.(CheckEngine); ok {
			ids[x.upstream.id] = true
		}
	}
	return ids
}

// checked receives the answer of an engine that is asked now and lists the runs.
func (h *harness) checked(engine string, runs ...string) []Effect {
	return h.post(NewEngineChecked(CheckEngine{upstream: testEngine(engine, "north")}, runend.NewReport(h.now, runend.NewRuns(runs, 0))))
}

// unanswered receives the failure of a check that begins now.
func (h *harness) unanswered(engine string, a runend.Answer) []Effect {
	return h.post(NewEngineChecked(CheckEngine{upstream: testEngine(engine, "north")}, runend.NewCheck(h.now, a)))
}

// stream starts a stream at the engine, and returns it after some events.
func (h *harness) stream(is *is.I, engine string) *Call {
	c := h.call("/drafts/1")
	is.Equal(h.arrive(c).(Send).upstream.id, engine)
	h.advance(50 * time.Millisecond).post(AnswerStarted{call: c})
	h.advance(time.Second).post(StreamProgressed{call: c})
	return c
}

// Guards against a stream that goes on elsewhere without a trace of why.
func TestMovedStreamIsReportedWithItsCause(t *testing.T) {
	for _, c := range []struct {
		name, path string
		started    bool
		outcome    Outcome
		want       moveCause
	}{
		{"silence", "/drafts/1", true, aborted, causeSilence},
		{"no first event", "/drafts/1", false, aborted, causeFailover},
		{"connection", "/drafts/1", true, brokenOff, causeConnection},
		{"failure", "/drafts/1", true, Outcome{kind: rail.KindUpstreamFailed}, causeFailure},
		{"refusal", "/drafts/1", false, Outcome{kind: rail.KindUpstreamFull, refused: true}, ""},
		{"stream that may not go on", "/chats/1", true, brokenOff, ""},
		{"plain request", "/orders/lookup/1", false, brokenOff, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"), testEngine("b", "north"), testUpstream("c"), testUpstream("d"))
			call := h.call(c.path)
			engine := h.arrive(call).(Send).upstream.id
			if c.started {
				h.post(AnswerStarted{call: call})
			}
			moves := movesOf(h.advance(100 * time.Millisecond).post(AttemptEnded{call: call, outcome: c.outcome}))
			is.Equal(len(moves), 0)
			is.Equal(len(movesOf(h.advance(100*time.Millisecond).checked(engine, call.id))), 0)
			moves = movesOf(h.advance(time.Second).checked(engine))
			if c.want == "" {
				is.Equal(len(moves), 0)
				return
			}
			is.Equal(moves, []StreamMoved{{cause: c.want, ending: runend.Unlisted}})
		})
	}
}

// Guards against a stream that runs at two engines, since it goes on before its run at the first one has ended (TWICE).
func TestStreamGoesOnOnlyOnceItsRunHasEnded(t *testing.T) {
	listed := func(h *harness, c *Call) { h.checked("a", c.id) }
	unlisted := func(h *harness, _ *Call) { h.checked("a", "another") }
	answer := func(a runend.Answer) func(*harness, *Call) {
		return func(h *harness, _ *Call) { h.unanswered("a", a) }
	}
	withoutRuns := func(h *harness, _ *Call) {
		h.post(NewEngineChecked(CheckEngine{upstream: testEngine("a", "north")}, runend.NewReport(h.now, runend.Report{})))
	}
	restarted := func(h *harness, _ *Call) {
		again := testEngine("a", "north")
		again.startedAtMs = h.now.UnixMilli()
		h.list(UpstreamSet(again))
		h.post(Ticked{})
	}
	type step = func(*harness, *Call)
	for _, c := range []struct {
		name    string
		outcome Outcome
		steps   []step
		moved   bool
	}{
		{"no answer yet", brokenOff, nil, false},
		{"connected without an answer", brokenOff, []step{answer(runend.NoAnswer), answer(runend.NoAnswer), answer(runend.NoAnswer)}, false},
		{"run is listed", brokenOff, []step{listed, listed}, false},
		{"run is not listed any more", brokenOff, []step{listed, unlisted}, true},
		{"aborted, run is listed", aborted, []step{listed}, false},
		{"aborted, run is not listed any more", aborted, []step{listed, unlisted}, true},
		{"connection refused", brokenOff, []step{answer(runend.Refused)}, true},
		{"aborted, connection refused", aborted, []step{answer(runend.Refused), answer(runend.Refused)}, false},
		{"one connection timed out", brokenOff, []step{answer(runend.TimedOut)}, false},
		{"connections timed out", brokenOff, []step{answer(runend.TimedOut), answer(runend.TimedOut)}, true},
		{"an answer between timeouts", brokenOff, []step{answer(runend.TimedOut), answer(runend.NoAnswer), answer(runend.TimedOut)}, false},
		{"aborted, connections timed out", aborted, []step{answer(runend.TimedOut), answer(runend.TimedOut), answer(runend.TimedOut)}, false},
		{"connection timed out as that of the stream", timedOut, []step{answer(runend.TimedOut)}, true},
		{"engine does not list its runs", brokenOff, []step{withoutRuns}, true},
		{"aborted, engine does not list its runs", aborted, []step{withoutRuns, withoutRuns}, false},
		{"timed out, engine does not list its runs", timedOut, []step{withoutRuns}, false},
		{"engine has started again", aborted, []step{restarted}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			call := h.stream(is, "a")
			h.list(UpstreamSet(testEngine("b", "north")))
			outcome := c.outcome
			outcome.events, outcome.lastEventID = 3, "3"
			is.True(holds(h.post(AttemptEnded{call: call, outcome: outcome})))
			for i, do := range c.steps {
				is.Equal(h.state.calls[call].attempts, 1)
				h.advance(200 * time.Millisecond)
				if do(h, call); !c.moved || i < len(c.steps)-1 {
					is.Equal(h.state.calls[call].attempts, 1)
				}
			}
			p := h.state.calls[call]
			is.Equal(p.attempts == 2, c.moved)
			if c.moved {
				is.True(p.target.start() != upstreamStart{"a", 1})
				is.Equal(p.resume, "3")
			}
		})
	}
}

// Guards against a stream that goes on elsewhere while the later start of its engine, whose entry is read late, runs it (TWICE).
func TestRunAtALaterStartOfTheEngineIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name, address string
		moved         bool
	}{
		{"same address", "127.0.0.1:1", false},
		{"another address", "127.0.0.1:2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			again := NewUpstream("a", "models", c.address, "north", h.now.UnixMilli()).WithSlots(64, 0)
			call := h.advance(100*time.Millisecond).stream(is, "a")
			h.list(UpstreamSet(again), UpstreamSet(testEngine("b", "north")))
			h.end(call, brokenOff)
			is.Equal(h.state.calls[call].attempts == 2, c.moved)
			h.advance(500*time.Millisecond).checked("a", call.id)
			is.Equal(h.state.calls[call].attempts == 2, c.moved)
			h.advance(500 * time.Millisecond).checked("a")
			is.Equal(h.state.calls[call].attempts, 2)
		})
	}
}

// Guards against a report that is older than the run: it lists the run neither before it began nor after it ended.
func TestReportThatMayBeOlderThanTheRunIsNoEnd(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.call("/drafts/1")
	h.arrive(call)
	h.advance(10 * time.Millisecond).post(AnswerStarted{call: call})
	h.list(UpstreamSet(testEngine("b", "north")))
	h.advance(10*time.Millisecond).end(call, brokenOff)
	h.advance(100 * time.Millisecond).checked("a")
	is.Equal(h.state.calls[call].attempts, 1)
	h.advance(time.Second).checked("a")
	is.Equal(h.state.calls[call].attempts, 1) // The engine may have been paused until it answered.
	h.advance(time.Second).checked("a")
	is.Equal(h.state.calls[call].attempts, 2)
}

// Guards against a stream whose request waited at the engine when its attempt ended, and runs there later.
func TestRequestThatMayHaveWaitedIsNotSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.call("/drafts/1")
	h.arrive(call)
	h.list(UpstreamSet(testEngine("b", "north")))
	h.advance(2*time.Second).end(call, brokenOff)
	h.checked("a")
	is.Equal(h.state.calls[call].attempts, 1)
	h.advance(time.Second).checked("a")
	is.Equal(h.state.calls[call].attempts, 1)
	h.advance(100*time.Millisecond).checked("a", call.id)
	is.Equal(h.state.calls[call].attempts, 1)
	h.advance(100 * time.Millisecond).checked("a")
	is.Equal(h.state.calls[call].attempts, 2)
}

// Guards against a stream that waits as long as callers do for the run of a request that its engine never reads.
func TestWaitForARequestThatIsNotReadIsBounded(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.call("/drafts/1")
	h.arrive(call)
	h.list(UpstreamSet(testEngine("b", "north")))
	h.advance(10*time.Millisecond).end(call, brokenOff)
	ended := h.now
	for range 60 {
		h.checked("a")
		if r, ok := callEffect(h.advance(TickInterval).post(Ticked{})).(Refuse); ok {
			is.Equal(r.kind, rail.KindUpstreamFailed)
			break
		}
		is.Equal(h.state.calls[call].attempts, 1)
	}
	route := h.state.config.route("shop.example", "/drafts/1")
	is.True(h.now.Sub(ended)-route.abandonTimeout() <= TickInterval)
	is.True(route.abandonTimeout() < route.patience())
}

// Guards against calls that wait for good for the end of a run that is never seen.
func TestWaitForTheEndOfARunIsBounded(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness, c *Call) rail.Kind
	}{
		{"caller's patience", func(h *harness, _ *Call) rail.Kind {
			for range 60 {
				if r, ok := callEffect(h.advance(TickInterval).post(Ticked{})).(Refuse); ok {
					return r.kind
				}
			}
			return rail.KindNone
		}},
		{"shutdown", func(h *harness, _ *Call) rail.Kind { return callEffect(h.post(ShutdownEnding{})).(Refuse).kind }},
		{"caller leaves", func(h *harness, c *Call) rail.Kind {
			h.post(CallerDisconnected{call: c})
			return rail.KindUpstreamFailed
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("a", "north"))
			call := h.stream(is, "a")
			h.list(UpstreamSet(testEngine("b", "north")))
			h.end(call, brokenOff)
			is.Equal(c.end(h, call), rail.KindUpstreamFailed)
			is.Equal(len(h.state.calls), 0)
			is.Equal(len(h.state.moves), 0)
		})
	}
}

// Guards against a wait for the end of a run though no other engine can go on with the stream.
func TestStreamThatCannotGoOnEndsAtOnce(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.stream(is, "a")
	is.Equal(h.end(call, brokenOff).(Refuse).kind, rail.KindUpstreamFailed)
}

// Guards against checks that fill the queue of an engine that accepts connections and answers nothing.
func TestOneCheckOfAnEngineAtATime(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	first, second := h.stream(is, "a"), h.stream(is, "a")
	h.list(UpstreamSet(testEngine("b", "north")))
	is.Equal(checksOf(h.post(AttemptEnded{call: first, outcome: brokenOff})), map[string]bool{"a": true})
	is.Equal(len(checksOf(h.post(AttemptEnded{call: second, outcome: brokenOff}))), 0)
	is.Equal(len(checksOf(h.tick(TickInterval))), 0)
	h.unanswered("a", runend.NoAnswer)
	is.Equal(checksOf(h.tick(moveCheckInterval)), map[string]bool{"a": true})
}

// Guards against a stream that runs at two engines, since the peer that makes the next attempt does not know where it ran (TWICE).
func TestPeerAwaitsTheEndOfTheRun(t *testing.T) {
	is := is.New(t)
	origin := newPartitionedHarness(t, "gateway-2", "gateway-3")
	call := origin.call("/drafts/1")
	origin.arrive(call)
	failed := Outcome{kind: rail.KindUpstreamFailed, events: 3, lastEventID: "3", placement: "e"}
	forward, ok := origin.end(call, failed).(Send).Forward()
	is.True(ok)
	is.Equal(forward.Running(), "e")

	peer := newServingHarness(testEngine("e", "north"), testEngine("f", "north"))
	forwarded := NewCall(call.id, "/drafts/1", "", call.message, peer.now, peer.now.Add(5*time.Second)).WithResume("3").
		WithForwarded(NewForwarded("gateway-1", "", 1, forward.Tried(), 1).WithRunning(forward.Running(), forward.Begun()))
	is.True(holds(peer.post(CallArrived{call: forwarded})))
	peer.advance(100*time.Millisecond).checked("e", call.id)
	is.Equal(len(peer.state.moves), 1)
	sent, ok := callEffect(peer.advance(time.Second).checked("e")).(Send)
	is.True(ok)
	is.Equal(sent.upstream.id, "f")
}

// Guards against a stream that goes on at another engine at once after a refusal that a peer of an older build may have taken from a copy (TWICE).
func TestPeerAwaitsARunThatAnOlderPeerReportsAsRefused(t *testing.T) {
	for _, idsOnce := range []bool{false, true} {
		is := is.New(t)
		h := newPartitionedHarness(t, "gateway-2", "gateway-3")
		call := h.call("/drafts/1")
		h.arrive(call)
		forward, ok := h.end(call, Outcome{kind: rail.KindUpstreamFull, placement: "e", idsOnce: idsOnce}).(Send).Forward()
		is.True(ok)
		is.Equal(forward.Running(), map[bool]string{false: "e"}[idsOnce])
		is.True(!forward.Begun())
		is.Equal(forward.AttemptsLeft(), map[bool]int{false: 1, true: 2}[idsOnce])
	}
}

// Guards against a stream that is sent again after a peer was lost that had not said where it sent it.
func TestStreamOfALostPeerIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	h := newPartitionedHarness(t, "gateway-2", "gateway-3")
	call := h.call("/drafts/1")
	h.arrive(call)
	is.Equal(h.end(call, brokenOff).(Refuse).kind, rail.KindUpstreamFailed)
}

// Guards against a stream that runs at two engines, since the peer that makes the next attempt and reaches both is not told of the first (TWICE).
func TestPeerAwaitsTheEndOfARunOfAPartitionedGateway(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"), testEngine("e", "north"))
	call := h.stream(is, "e")
	h.list(UpstreamSet(testEngine("f", "north")))
	h.peers("gateway-2")
	h.unreach("a", "b", "e", "f")
	is.True(h.state.partitioned("models"))
	outcome := timedOut
	outcome.events, outcome.lastEventID = 3, "3"
	send, ok := h.end(call, outcome).(Send)
	is.True(ok)
	forward, ok := send.Forward()
	is.True(ok)
	is.Equal(forward.Running(), "e")
}

// Guards against the end of a connection to a peer that is taken for the end of the peer's connection to the engine (TWICE).
func TestEndOfTheConnectionToAPeerIsNotThatToTheEngine(t *testing.T) {
	for _, c := range []struct {
		name string
		seen func(h *harness)
	}{
		{"engine that drains accepts no connections", func(h *harness) { h.unanswered("e", runend.Refused) }},
		{"engine does not list its runs", func(h *harness) {
			h.post(NewEngineChecked(CheckEngine{upstream: testEngine("e", "north")}, runend.NewReport(h.now, runend.Report{})))
		}},
		{"connections time out at a full queue", func(h *harness) {
			h.unanswered("e", runend.TimedOut)
			h.advance(300*time.Millisecond).unanswered("e", runend.TimedOut)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(testEngine("e", "north"), testEngine("f", "north"))
			call := NewCall("r-1", "/drafts/1", "", h.call("/drafts/1").message, h.now, h.now.Add(5*time.Second)).WithResume("3").
				WithForwarded(NewForwarded("gateway-1", "", 1, []string{"e"}, 1).WithRunning("e", true))
			is.True(holds(h.post(CallArrived{call: call})))
			h.advance(100 * time.Millisecond)
			c.seen(h)
			is.Equal(len(h.state.moves), 1)
		})
	}
}

// Guards against retries that are charged to the fleet's budget for streams that are never sent again.
func TestRetryOfAStreamThatIsGivenUpIsNotCharged(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.stream(is, "a")
	h.list(UpstreamSet(testEngine("b", "north")))
	h.end(call, brokenOff)
	spent := func() int {
		n := 0
		for _, x := range h.state.retryBudget("models").seconds {
			n += x.extra
		}
		return n
	}
	var refused bool
	for range 60 {
		effects := h.advance(TickInterval).post(Ticked{})
		if r, ok := callEffect(effects).(Refuse); ok {
			is.Equal(r.kind, rail.KindUpstreamFailed)
			refused = true
			break
		}
	}
	is.True(refused)
	is.Equal(spent(), 0)
}

// Guards against a stream that waits and is given up at once when its gateway was paused.
func TestPausedGatewayKeepsTheStreamsThatWait(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	call := h.stream(is, "a")
	h.list(UpstreamSet(testEngine("b", "north")))
	h.post(Ticked{})
	h.end(call, brokenOff)
	h.advance(TickInterval).post(Ticked{})
	h.advance(6 * time.Second).post(Ticked{})
	_, waits := h.state.moves[call]
	is.True(waits)
}

// Guards against a leaving gateway that keeps the forwarded calls that it has not placed, although other peers could take them.
func TestLeavingGatewayRefusesForwardedCallsThatWait(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("e", "north"), testEngine("f", "north"))
	call := NewCall("r-1", "/drafts/1", "", h.call("/drafts/1").message, h.now, h.now.Add(5*time.Second)).WithResume("3").
		WithForwarded(NewForwarded("gateway-1", "", 1, []string{"e"}, 1).WithRunning("e", true))
	is.True(holds(h.post(CallArrived{call: call})))
	refused, ok := callEffect(h.post(ShutdownStarted{})).(Refuse)
	is.True(ok)
	is.Equal(refused.kind, rail.KindLeaving)
}
