package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"dandelionrail.org/rail/estimate"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/runend"
	"dandelionrail.org/rail/simtime"
)

// ratesOf returns observations of an upstream with the ratio.
func ratesOf(u Upstream, ratio float64, n int) map[rateKey]estimate.Histogram {
	var h estimate.Histogram
	h.Add(ratio, n)
	return map[rateKey]estimate.Histogram{{upstreamStart: u.start()}: h}
}

// Guards against observations that count twice when a digest arrives twice, or when a cell leader's digest covers it.
func TestRatesOfDigestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	receive := func(from string, sequence int64, full bool, rates map[rateKey]estimate.Histogram) {
		h.post(NewDigestReceived(Digest{gateway: from, incarnation: from, sequence: sequence, wall: h.now, covers: 1, full: full, rates: rates}))
	}
	merged := func() int {
		return h.state.composeDigest(h.now, func(string, *peer) bool { return true }).rates[rateKey{upstreamStart: testEngine("a", "north").start()}].Count()
	}
	for range 3 {
		receive("gateway-2", 1, false, ratesOf(testEngine("a", "north"), 1.6, 15))
	}
	is.Equal(merged(), 15)
	h.tick(TickInterval)
	is.True(!h.state.ServiceRates("models").Known()) // These are not enough.
	receive("gateway-3", 1, true, ratesOf(testEngine("a", "north"), 1.6, 25))
	is.Equal(merged(), 25) // It covers gateway-2.
	h.tick(TickInterval)
	is.True(h.state.ServiceRates("models").Known())
	h.tick(peerTimeout)
	is.Equal(merged(), 0) // The digest is too old.
	is.True(h.state.ServiceRates("models").Known())
}

// Guards against an older gateway that loses the rest of a message with rates, and a newer one that misreads a message without them.
func TestRatesOfOlderAndNewerBuilds(t *testing.T) {
	is := is.New(t)
	engine := testEngine("a", "north")
	d := Digest{gateway: "gateway-2", incarnation: "i", loads: map[string]Load{"a": {running: 3}}, rates: ratesOf(engine, 1.6, 5)}
	message, err := proto.Marshal(d.Message())
	is.NoErr(err)

	var newer railv1.GatewayDigest
	is.NoErr(proto.Unmarshal(message, &newer))
	is.Equal(DigestFrom(&newer).rates, d.rates)

	var older []byte // What a decoder keeps that does not know the field.
	for rest := message; len(rest) > 0; {
		number, _, n := protowire.ConsumeField(rest)
		is.True(n > 0)
		if number != 32 {
			older = append(older, rest[:n]...)
		}
		rest = rest[n:]
	}
	is.True(len(older) < len(message))
	var without railv1.GatewayDigest
	is.NoErr(proto.Unmarshal(older, &without))
	is.Equal(len(DigestFrom(&without).rates), 0)
	is.Equal(DigestFrom(&without).loads, d.loads)
}

// Guards against plain services whose requests take another time than the default, and a slow period that counts as their rate.
func TestServiceTimeOfPlainRequests(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"))
	serve := func(took time.Duration) {
		c := h.call("/orders/" + strconv.FormatInt(h.now.UnixNano(), 36))
		h.arrive(c)
		h.advance(took)
		h.end(c, Outcome{status: 200, answered: true})
		h.post(Ticked{})
	}
	is.Equal(h.state.ServiceRates("desk"), estimate.Default())
	for range 40 {
		serve(60 * time.Millisecond)
	}
	near := func() bool {
		d := h.state.ServiceRates("desk").Service()
		return d > 45*time.Millisecond && d < 75*time.Millisecond
	}
	is.True(h.state.ServiceRates("desk").Known())
	is.True(near())
	for range 4 { // 600 ms.
		serve(150 * time.Millisecond)
		is.True(near())
	}
	for range 20 {
		serve(60 * time.Millisecond)
		is.True(near())
	}
}

// Guards against a slower version that goes unnoticed because its engines are known to be slow.
func TestSlowEngineIsNotExpectedToBeSlow(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testEngine("a", "north"))
	h.list(UpstreamSet(testEngine("a", "north")), UpstreamSet(testEngine("b", "north")), UpstreamSet(testEngine("c", "north")))
	rates := map[rateKey]estimate.Histogram{}
	for id, ratio := range map[string]float64{"a": 2.5, "b": 1, "c": 1} {
		addRates(rates, ratesOf(testEngine(id, "north"), ratio, 30))
	}
	h.post(NewDigestReceived(Digest{gateway: "gateway-2", incarnation: "i", wall: h.now, covers: 1, rates: rates}))
	h.tick(TickInterval)
	targets := h.state.registry.targets
	is.True(h.state.rates(targets["a"]).Step(1) > 2*h.state.rates(targets["b"]).Step(1))
	c := h.call("/drafts/1")
	c.WithTokens(10_000, 100, nil)
	p := &pendingCall{service: h.state.config.services["models"], route: h.state.config.route("shop.example", "/drafts/1")}
	pl := placement{service: p.service, domain: "north", goal: time.Second, now: h.now, rates: h.state.rates}
	slow, _ := pl.cost(c, targets["a"], nil, false)
	typical, _ := pl.cost(c, targets["b"], nil, false)
	is.True(slow > 2*typical)
	h.state.expectAttempt(c, p, targets["a"], slow)
	is.True(p.expectedFirst < typical*11/10)
	is.Equal(p.expectedStep, estimate.Default().Step(1))

	is.True(h.state.uneven("models"))
	h.post(NewRolloutRead(NewRolloutOrder("models", "v2", 12*time.Second, RolloutRunning)))
	is.Equal(h.state.rates(targets["a"]), estimate.Default()) // Versions are compared at the same placement.
	is.True(!h.state.uneven("models"))
	is.True(h.state.ServiceRates("models").Known())
}

// pacedSender answers each attempt with a stream that has an event each gap.
type pacedSender struct {
	events int
	gap    time.Duration
}

func (s *pacedSender) Send(context.Context, Send) (*Answer, error) {
	r, w := io.Pipe()
	go func() {
		for n := range s.events {
			time.Sleep(s.gap)
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1) // The reader does not end before the stream.
		}
		_ = w.Close()
	}()
	return NewAnswer(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}, -1, r), nil
}

func (*pacedSender) Probe(Probe, func(bool)) {}

func (*pacedSender) Check(CheckEngine, func(runend.Check)) {}

// Guards against streams whose reports of progress lack the events or the time, so that the speed of their engine stays unknown.
func TestStreamShowsTheSpeedOfItsEngine(t *testing.T) {
	simtime.Run(t, func(t *testing.T) {
		is := is.New(t)
		step := estimate.Default().Step(1)
		now := time.Now()
		state := NewState(NewSettings("gateway-1", "north", "first", now))
		g := New(state, &pacedSender{events: 60, gap: 6 * step * 16 / 10}, discardLog{}, discardMetrics{})
		g.Post(NewConfigRead(testConfig(1), "store"))
		g.Post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testEngine("a", "north"))}, true, "store"))
		c := NewCall("r-1", "/drafts/1", "", NewMessage("POST", "/drafts/1", "shop.example", nil, nil), now, now.Add(10*time.Second))
		is.NoErr(g.Serve(t.Context(), c, httptest.NewRecorder()))
		g.Post(Ticked{})
		ratio := float64(state.ServiceRates("models").Step(1)) / float64(step)
		is.True(ratio > 1.4 && ratio < 1.8)
	})
}
