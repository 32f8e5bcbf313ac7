package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashMany records crashes of as many requests and prompt parts, under some upstreams each.
func (h *harness) crashMany(name string, requests, parts, upstreams int) {
	for i := range upstreams {
		start := upstreamStart{"engine-" + strconv.Itoa(i), 1}
		for n := range requests {
			h.state.quarantine.recordRequestCrash(fmt.Sprintf("%s%s%d", requestKeyPrefix, name, n), start, h.now)
		}
		for n := range parts {
			h.state.quarantine.recordCrash(prompt(name+strconv.Itoa(n)), start, h.now)
		}
		h.advance(50 * time.Millisecond)
	}
}

// receive applies the other gateway's digest as it is sent.
func (h *harness) receive(o *harness) {
	h.post(NewDigestReceived(DigestFrom(o.state.Digest(o.now).Message())))
}

// suspectKeys returns the keys of all suspects.
func (h *harness) suspectKeys() []string {
	return slices.Sorted(maps.Keys(h.state.quarantine.suspects))
}

// newPeerHarness returns the harness of another gateway.
func newPeerHarness(name string) *harness {
	h := newHarness()
	h.state.settings.name = name
	return h
}

// Guards against gateways with more suspects than they have room for, which made each other drop and add the same ones with each digest.
func TestFullQuarantinesDoNotReplaceEachOthersSuspects(t *testing.T) {
	for _, upstreams := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d upstreams", upstreams), func(t *testing.T) {
			is := is.New(t)
			gateways := []*harness{newHarness(), newPeerHarness("gateway-2"), newPeerHarness("gateway-3")}
			for i, h := range gateways {
				h.crashMany(string(rune('a'+i)), maxRequestSuspects, maxSuspects, upstreams)
			}
			replaced := func(rounds int) int {
				sum := 0
				for range rounds {
					for i, h := range gateways {
						before := h.suspectKeys()
						h.receive(gateways[(i+1)%len(gateways)])
						sum += len(slices.DeleteFunc(h.suspectKeys(), func(key string) bool {
							_, known := slices.BinarySearch(before, key)
							return known
						}))
						is.Equal(len(h.suspectKeys()), maxRequestSuspects+maxSuspects)
					}
				}
				return sum
			}
			replaced(400)
			is.Equal(replaced(20), 0)
		})
	}
}

// Guards against a crash that is not kept because there is no room and the peers' suspects have crashed more upstreams.
func TestFullQuarantineKeepsWhatTheGatewaySaw(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.crashMany("a", maxRequestSuspects, maxSuspects, 4)
	for i := range minCrashes {
		h.advance(time.Second)
		h.state.quarantine.recordRequestCrash(requestKeyPrefix+"own", upstreamStart{"engine-" + strconv.Itoa(i), 2}, h.now)
	}
	h.state.quarantine.evaluate(h.now)
	is.True(h.state.quarantine.blocked.Entry(requestKeyPrefix+"own") != nil)
	is.Equal(len(h.state.quarantine.suspects), maxRequestSuspects+maxSuspects)
}
