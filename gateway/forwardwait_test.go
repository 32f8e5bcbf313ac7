package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// Guards against a stream that waits at one peer after the other for the run of a request that its engine never reads.
func TestWaitAtPeersForARequestThatIsNotReadIsBounded(t *testing.T) {
	is := is.New(t)
	peers := []string{"gateway-2", "gateway-3", "gateway-4", "gateway-5"}
	origin := newPartitionedHarness(t, peers...)
	call := origin.call("/drafts/1")
	origin.arrive(call)
	ended := origin.now
	effect := origin.end(call, Outcome{kind: rail.KindUpstreamFailed, placement: "e", idsOnce: true})
	for {
		send, ok := effect.(Send)
		if !ok {
			break
		}
		f, _ := send.Forward()
		peer := newServingHarness(testEngine("e", "north"), testEngine("f", "north"))
		arrived := peer.now
		forwarded := NewCall(call.id, "/drafts/1", "", call.message, arrived, arrived.Add(15*time.Second)).
			WithForwarded(NewForwarded("gateway-1", "", 1, f.Tried(), 1).WithRunning(f.Running(), f.Begun()))
		is.True(holds(peer.post(CallArrived{call: forwarded})))
		var refused Effect
		for refused == nil {
			peer.checked("e")
			refused = callEffect(peer.advance(TickInterval).post(Ticked{}))
		}
		for range peer.now.Sub(arrived) / TickInterval {
			origin.advance(TickInterval)
			for _, name := range peers {
				origin.digest(name, func(*Digest) {})
			}
		}
		effect = origin.end(call, Outcome{kind: refused.(Refuse).kind, idsOnce: true})
	}
	route := origin.state.config.route("shop.example", "/drafts/1")
	t.Logf("ended after %v", origin.now.Sub(ended))
	is.True(origin.now.Sub(ended) <= route.abandonTimeout()+TickInterval)
}
