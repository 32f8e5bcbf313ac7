package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against digests that grow with the suspects, so that a cell leader does nothing else when many upstreams have ended (CONFIG, DRAIN).
func TestDigestStaysSmallAmongManySuspects(t *testing.T) {
	for _, upstreams := range []int{1, 2, 8} {
		t.Run(fmt.Sprintf("%d upstreams", upstreams), func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			h.crashMany("a", maxRequestSuspects, maxSuspects, upstreams)
			all := len(h.state.quarantine.suspects)
			is.Equal(all, maxRequestSuspects+maxSuspects)
			sent, total := map[string]bool{}, 0
			const digests = 400
			for range digests {
				suspects := h.state.Digest(h.now).suspects
				total += len(suspects)
				for key := range suspects {
					sent[key] = true
				}
			}
			is.True(total <= digests*2*maxNews) // In the mean, since those that take turns are not the same number each time.
			is.Equal(len(sent), all)            // Each of them is sent in some digest.
		})
	}
}

// Guards against news that is left out of a digest because of what peers reported meanwhile.
func TestDigestHasWhatTheGatewaySawLast(t *testing.T) {
	is := is.New(t)
	h, peer := newHarness(), newPeerHarness("gateway-2")
	h.crashMany("a", maxNews, maxNews, 2)
	h.state.quarantine.recordRequestCrash(requestKeyPrefix+"own", upstreamStart{"engine-1", 1}, h.now)
	h.state.quarantine.recordCrash(prompt("own"), upstreamStart{"engine-1", 1}, h.now)
	peer.crashMany("b", maxNews, maxNews, 2)
	for range 20 {
		h.receive(peer)
	}
	suspects := h.state.Digest(h.now).suspects
	_, request := suspects[requestKeyPrefix+"own"]
	_, part := suspects["own"]
	is.True(request && part)
}
