package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// endPartition makes the upstream answer the gateway's probe.
func (h *harness) endPartition(id string) {
	h.state.partitions["desk"].asked[id] = h.now
	h.post(NewProbeEnded(id, true))
}

// Guards against a gateway that sends all its requests on new connections at once when a service is reached again.
func TestNewConnectionsAreLimitedAfterAPartition(t *testing.T) {
	is := is.New(t)
	h := newPartitionedHarness(t)
	h.endPartition("a")
	is.True(!h.state.partitioned("desk"))
	first, second, third := h.call("/orders/1"), h.call("/orders/2"), h.call("/orders/3")
	sent, ok := h.arrive(first).(Send)
	is.True(ok)
	is.Equal(sent.upstream.id, "a") // It has answered.
	_, ok = h.arrive(second).(Send)
	is.True(ok)
	refused, ok := h.arrive(third).(Refuse) // One waits on a new connection.
	is.True(ok)
	is.Equal(refused.kind, rail.KindOverloaded)
	is.True(refused.retryAfter > 0)
	h.end(second, Outcome{status: 200, answered: true})
	for _, path := range []string{"/orders/4", "/orders/5", "/orders/6"} {
		_, ok = h.arrive(h.call(path)).(Send)
		is.True(ok)
	}
	_, ok = h.arrive(h.call("/orders/7")).(Refuse)
	is.True(ok)
}

// Guards against requests that are refused although a peer could send them on.
func TestRequestsBeyondTheLimitOfNewConnectionsAreForwarded(t *testing.T) {
	is := is.New(t)
	h := newPartitionedHarness(t, "gateway-2")
	for _, id := range []string{"a", "b"} {
		h.endPartition(id)
	}
	h.digest("gateway-2", func(*Digest) {})
	for _, path := range []string{"/orders/1", "/orders/2", "/orders/3"} { // On two kept connections and a new one.
		sent, ok := h.arrive(h.call(path)).(Send)
		is.True(ok)
		_, forwarded := sent.Forward()
		is.True(!forwarded)
	}
	sent, ok := h.arrive(h.call("/orders/4")).(Send)
	is.True(ok)
	_, forwarded := sent.Forward()
	is.True(forwarded)
}

// Guards against upstreams that answer late being kept busy by new connections of requests that are given up.
func TestNewConnectionsAreLimitedWhileUpstreamsDoNotAnswer(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(testUpstream("a"), testUpstream("b"), testUpstream("c"))
	calls := map[string]*Call{}
	for _, path := range []string{"/orders/1", "/orders/2", "/orders/3", "/orders/4", "/orders/5"} {
		c := h.call(path)
		sent, ok := h.arrive(c).(Send)
		is.True(ok)
		calls[sent.upstream.id] = c
	}
	is.Equal(len(calls), 3)
	is.Equal(h.state.recovery("desk"), nil)
	h.end(calls["a"], Outcome{kind: rail.KindDeadlinePassed, timedOut: true})
	is.Equal(h.state.recovery("desk"), nil) // One upstream is no reason.
	h.end(calls["b"], Outcome{kind: rail.KindDeadlinePassed, timedOut: true})
	is.True(h.state.recovery("desk") != nil)
	refused, ok := h.arrive(h.call("/orders/6")).(Refuse)
	is.True(ok)
	is.Equal(refused.kind, rail.KindOverloaded)
	h.advance(11 * time.Second).post(Ticked{})
	is.Equal(h.state.recovery("desk"), nil)
}
