package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/admission"
	"dandelionrail.org/rail/runend"
	"dandelionrail.org/rail/simtime"
)

// newQueueHarness returns a gateway with one engine of two slots, and routes of two priorities.
func newQueueHarness() *harness {
	h := newHarness()
	h.post(NewConfigRead(queueConfig(), "store"))
	h.post(NewPeersRead(map[string]Registration{}, true))
	h.list(UpstreamSet(testEngine("a", "north").WithSlots(2, 0)))
	return h
}

func queueConfig() *Config {
	b := NewBackend("models", 1)
	return NewConfig(1, []*Route{
		NewRoute("chat", "shop.example", "/chats/", b).WithTimes(4*time.Second, 500*time.Millisecond).WithStream(false, 600*time.Millisecond),
		NewRoute("tag", "shop.example", "/tags/", b).WithTimes(4*time.Second, 500*time.Millisecond).WithStream(false, 600*time.Millisecond).WithPriority(2),
	}, []*Service{NewService("models", 60).WithEngine(2, 500_000)}, []*Team{NewTeam("engravers", 0, []string{"key-1"})}, Limits{})
}

// queued returns a new call that found all slots taken.
func (h *harness) queued(is *is.I, path string) *Call {
	is.Helper()
	c := h.advance(time.Millisecond).call(path).WithTokens(100, 50, nil)
	_, held := holdOf(h.post(CallArrived{call: c}), c)
	is.True(held)
	return c
}

// fill takes the slots of the engine.
func (h *harness) fill(is *is.I) []*Call {
	is.Helper()
	var calls []*Call
	for range 2 {
		c := h.advance(time.Millisecond).call("/chats/1").WithTokens(100, 50, nil)
		_, sent := h.arrive(c).(Send)
		is.True(sent)
		calls = append(calls, c)
	}
	return calls
}

func holdOf(effects []Effect, c *Call) (Hold, bool) {
	for _, e := range effects {
		if x, ok := e.(Hold); ok && x.call == c {
			return x, effectFor(effects, c) == nil
		}
	}
	return Hold{}, false
}

// effectFor returns the effect of the call that ends its wait, nil if there is none.
func effectFor(effects []Effect, c *Call) Effect {
	for _, e := range effects {
		if _, held := e.(Hold); !held && effectCall(e) == c {
			return e
		}
	}
	return nil
}

// Guards against calls that wait longer than capacity is occupied, and an order that is not that of the priorities.
func TestQueuedCallsAreDispatchedWhenCapacityIsFree(t *testing.T) {
	is := is.New(t)
	h := newQueueHarness()
	running := h.fill(is)
	tag, chat := h.queued(is, "/tags/1"), h.queued(is, "/chats/1")
	is.Equal(len(h.state.calls), 2)
	h.tick(time.Second)
	is.Equal(len(h.state.queued.waiting), 2)
	effects := h.post(AttemptEnded{call: running[0], outcome: Outcome{status: 200, answered: true}})
	is.True(effectFor(effects, chat) != nil)
	is.Equal(effectFor(effects, tag), nil)
	_, sent := effectFor(effects, chat).(Send)
	is.True(sent)
	h.list(UpstreamSet(testEngine("b", "north")))
	is.Equal(len(h.state.queued.waiting), 0)
	is.Equal(len(h.state.calls), 3)
	_, sent = h.arrive(h.advance(time.Millisecond).call("/tags/2")).(Send)
	is.True(sent) // Nothing waits any more.
}

// Guards against calls that are held while there is capacity, and against plain requests, forwards and retries that wait.
func TestOnlyFirstAttemptsAtOccupiedEnginesWait(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"))
	h.state.registry.targets["a"].ownLoad.running = 100
	_, sent := h.arrive(h.call("/orders/1")).(Send)
	is.True(sent) // A plain request.
	h = newQueueHarness()
	running := h.fill(is)
	h.queued(is, "/tags/1")
	forwarded := h.call("/chats/1").WithForwarded(NewForwarded("gateway-2", "engravers", 1, nil, 1))
	_, sent = h.arrive(forwarded).(Send)
	is.True(sent)
	h.list(UpstreamSet(testEngine("b", "north").WithSlots(1, 0)), UpstreamSet(testEngine("c", "north").WithSlots(2, 0)))
	h.fill(is)
	h.queued(is, "/tags/1")
	retried, ok := h.end(running[0], Outcome{kind: rail.KindUpstreamFull}).(Send)
	is.True(ok)
	is.True(retried.upstream.id != "a")
}

// Guards against a queued call that ends otherwise than with the truth that it has not run.
func TestQueuedCallsEndWithATruthfulRefusal(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness) []Effect
		kind rail.Kind
	}{
		{"shutdown starts", func(h *harness) []Effect { return h.post(ShutdownStarted{}) }, rail.KindLeaving},
		{"shutdown ends", func(h *harness) []Effect { return h.post(ShutdownEnding{}) }, rail.KindLeaving},
		{"deadline passes", func(h *harness) []Effect { return h.tick(5 * time.Second) }, rail.KindOverloaded},
		{"upstreams are removed", func(h *harness) []Effect { return h.post(NewUpstreamsRead(nil, true, "store")) }, rail.KindNoUpstream},
		{"partition without peers begins", func(h *harness) []Effect {
			h.state.partitionOf("models").beganAt = h.now
			return h.tick(TickInterval)
		}, rail.KindNoUpstream},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newQueueHarness()
			h.fill(is)
			call := h.queued(is, "/tags/1")
			refusal, ok := effectFor(c.end(h), call).(Refuse)
			is.True(ok)
			is.Equal(refusal.kind, c.kind)
			is.Equal(refusal.kind.Reply().Run(), rail.NotRun)
			is.Equal(len(h.state.queued.waiting), 0)
			is.Equal(h.state.calls[call], nil)
		})
	}
}

// Guards against a call of which the caller disconnected and that is dispatched nevertheless, or keeps its place and its tokens.
func TestQueuedCallEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	h := newQueueHarness()
	running := h.fill(is)
	call := h.queued(is, "/tags/1")
	h.post(CallerDisconnected{call: call})
	is.Equal(h.state.queued.byService["models"].queue.Len(), 0)
	is.Equal(effectFor(h.post(AttemptEnded{call: running[0], outcome: Outcome{status: 200, answered: true}}), call), nil)
}

// Guards against less urgent calls that keep the places of more urgent ones, and against callers that all come back together.
func TestFullQueueRefusesTheLeastUrgentCalls(t *testing.T) {
	is := is.New(t)
	h := newQueueHarness()
	h.state.queued = newCallQueues(admission.NewLimits(3, 1000, 10*time.Second))
	h.fill(is)
	var tags []*Call
	for range 3 {
		tags = append(tags, h.queued(is, "/tags/1"))
	}
	refusal, ok := h.arrive(h.advance(time.Millisecond).call("/tags/1").WithTokens(100, 50, nil)).(Refuse)
	is.True(ok)
	is.Equal(refusal.kind, rail.KindOverloaded)
	chat := h.advance(time.Millisecond).call("/chats/1").WithTokens(100, 50, nil)
	effects := h.post(CallArrived{call: chat})
	_, held := holdOf(effects, chat)
	is.True(held)
	displaced, ok := effectFor(effects, tags[2]).(Refuse)
	is.True(ok)
	is.Equal(displaced.kind, rail.KindOverloaded)
	last := displaced.retryAfter
	for range 30 { // Refused in this order, each is to come back later than the one before.
		c := h.call("/tags/1").WithTokens(20_000, 50, nil)
		refusal, ok := h.arrive(c).(Refuse)
		is.True(ok)
		is.True(refusal.retryAfter >= last && refusal.retryAfter <= 10*time.Second)
		last = refusal.retryAfter
	}
	is.True(last > time.Second)
}

// Guards against a gateway that knows no others yet and uses the capacity of all.
func TestShareOfAStartingGateway(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.post(NewConfigRead(queueConfig(), "store"))
	h.list(UpstreamSet(testEngine("a", "north")))
	h.state.registry.targets["a"].ownLoad.waitingTokens = 1
	is.Equal(h.state.shareRate("models"), 55_000.0/unknownGateways)
	registrations := map[string]Registration{}
	for i := range 89 {
		registrations["gateway-"+strconv.Itoa(i+2)] = NewRegistration("127.0.0.1:1", "north")
	}
	h.post(NewPeersRead(registrations, true))
	is.Equal(h.state.shareRate("models"), 55_000.0/90)
}

// Guards against waiting tokens by priority that a peer of another build reports otherwise, or not at all.
func TestWaitingPromptsInDigests(t *testing.T) {
	is := is.New(t)
	h := newQueueHarness()
	h.arrive(h.call("/chats/1").WithTokens(100, 50, nil))
	h.arrive(h.advance(time.Millisecond).call("/tags/1").WithTokens(300, 50, nil))
	m := h.state.Digest(h.now).Message()
	l := DigestFrom(m).loads["a"]
	is.Equal(l, h.state.registry.targets["a"].ownLoad)
	is.Equal(l.waitingBefore(0), int64(100))
	is.Equal(l.waitingBefore(2), int64(400))
	m.WaitingPrompts = nil // An older build.
	l = DigestFrom(m).loads["a"]
	is.Equal(l.waitingBefore(0), int64(400))
	m = h.state.Digest(h.now).Message()
	m.WaitingPrompts[0].Tokens = append(m.WaitingPrompts[0].Tokens, make([]int64, 20)...) // A newer build with more priorities.
	is.Equal(DigestFrom(m).loads["a"].waitingTokens, int64(400))
}

// streamSender answers each attempt with one event once it may.
type streamSender struct {
	release chan struct{}
	sent    chan string
}

func (s *streamSender) Send(_ context.Context, e Send) (*Answer, error) {
	s.sent <- e.call.id
	<-s.release
	return NewAnswer(http.StatusOK, http.Header{}, -1, io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))), nil
}

func (*streamSender) Probe(Probe, func(bool)) {}

func (*streamSender) Check(CheckEngine, func(runend.Check)) {}

// Guards against a relay that misses the effect that ends its wait, or the end of its caller.
func TestRelayWaitsForCapacity(t *testing.T) {
	simtime.Run(t, func(t *testing.T) {
		is := is.New(t)
		sender := &streamSender{release: make(chan struct{}, 10), sent: make(chan string, 10)}
		g := New(NewState(NewSettings("gateway-1", "north", "first", time.Now())), sender, discardLog{}, discardMetrics{})
		g.Post(NewConfigRead(queueConfig(), "store"))
		g.Post(NewPeersRead(map[string]Registration{}, true))
		g.Post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testEngine("a", "north").WithSlots(1, 0))}, true, "store"))
		serve := func(ctx context.Context, id string) (*httptest.ResponseRecorder, chan error) {
			w, done := httptest.NewRecorder(), make(chan error, 1)
			c := NewCall(id, "/tags/1", "key-1", NewMessage("POST", "/tags/1", "shop.example", nil, nil), time.Now(), time.Now().Add(3*time.Second)).WithTokens(100, 50, nil)
			go func() { done <- g.Serve(ctx, c, w) }()
			time.Sleep(10 * time.Millisecond)
			return w, done
		}
		_, first := serve(t.Context(), "first")
		ctx, disconnect := context.WithCancel(t.Context())
		_, second := serve(ctx, "second")
		third, thirdDone := serve(t.Context(), "third")
		is.Equal(len(sender.sent), 1)
		disconnect()
		is.Equal(<-second, ErrAborted)
		sender.release <- struct{}{}
		is.NoErr(<-first)
		time.Sleep(10 * time.Millisecond)
		is.Equal(<-sender.sent, "first")
		is.Equal(<-sender.sent, "third")
		fourth, fourthDone := serve(t.Context(), "fourth")
		g.Post(ShutdownStarted{})
		is.NoErr(<-fourthDone)
		is.Equal(fourth.Code, http.StatusServiceUnavailable)
		sender.release <- struct{}{}
		is.NoErr(<-thirdDone)
		is.Equal(third.Code, http.StatusOK)
		is.Equal(len(g.waiting), 0)
		is.Equal(len(sender.sent), 0)
	})
}

// Guards against blocked calls that wait behind others until it is their turn.
func TestQueuedCallThatIsBlockedMeanwhileIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newQueueHarness()
	h.fill(is)
	h.queued(is, "/chats/1")
	c := h.advance(time.Millisecond).call("/tags/1").WithTokens(100, 50, prompt("p"))
	_, held := holdOf(h.post(CallArrived{call: c}), c)
	is.True(held)
	for i := range minCrashes {
		h.state.quarantine.recordCrash(prompt("p"), upstreamStart{"e" + strconv.Itoa(i), 1}, h.advance(crashSpacing).now)
	}
	is.Equal(effectFor(h.post(Ticked{}), c).(Refuse).kind, rail.KindQuarantined)
}
