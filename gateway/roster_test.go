package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// world drives a State by hand.
type world struct {
	state *State
	now   time.Time
}

func newWorld() *world {
	now := time.Unix(1_000_000, 0)
	s := NewSettings("gateway-1", "north", "first", now).WithRetries(0.2, 60).WithFirstStart(true)
	return &world{state: NewState(s), now: now}
}

func (w *world) pass(d time.Duration) *world {
	w.now = w.now.Add(d)
	return w
}

func (w *world) post(e Event) []Effect { return w.state.Reduce(w.now, e) }

func (w *world) list(changes ...UpstreamChange) {
	w.post(NewUpstreamsRead(changes, false, "store"))
}

func testUpstream(id string) Upstream {
	return NewUpstream(id, "desk", "127.0.0.1:1", "north", 1).WithSlots(6, 0)
}

func (w *world) usable(id string) bool {
	t, ok := w.state.roster.targets[id]
	return ok && !t.leaving
}

func TestRemovalAfterAnOutageOfThisGatewayOnly(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.list(UpstreamSet(testUpstream("a")))
	w.post(NewStoreReadFinished(errors.New("turned away")))
	w.pass(2 * time.Second).post(NewDigestReceived(Digest{gateway: "gateway-2", incarnation: "x", wall: w.now}))
	w.pass(7 * time.Second).post(NewStoreReadFinished(nil))
	w.pass(time.Second).list(UpstreamRemoved("a"))
	is.True(!w.usable("a")) // It left by itself: a peer read the store all the while.
}

func TestRemovalLongAfterAnOutage(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.list(UpstreamSet(testUpstream("a")))
	w.post(NewStoreReadFinished(errors.New("down")))
	w.pass(5 * time.Second).post(NewStoreReadFinished(nil))
	w.pass(lapseHold).list(UpstreamRemoved("a"))
	is.True(!w.usable("a"))
}

func TestLapsedEntryIsHeldUntilItIsBack(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.list(UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b")))
	w.post(NewStoreReadFinished(errors.New("down")))
	w.pass(5 * time.Second).post(NewStoreReadFinished(nil))
	w.list(UpstreamRemoved("a"), UpstreamRemoved("b"))
	is.True(w.usable("a"))
	is.True(w.usable("b"))
	w.pass(time.Second).list(UpstreamSet(testUpstream("a")))
	w.pass(lapseHold).post(Ticked{})
	is.True(w.usable("a"))
	is.True(!w.usable("b")) // Not back within the time.
}

func TestLeavingIsStickyForOneStart(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.list(UpstreamSet(testUpstream("a").WithLeaving(time.Second)))
	w.list(UpstreamSet(testUpstream("a")))
	is.True(!w.usable("a"))
	reborn := testUpstream("a")
	reborn.born = 2
	w.list(UpstreamSet(reborn))
	is.True(w.usable("a"))
	w.list(UpstreamSet(testUpstream("a")))
	is.Equal(w.state.roster.targets["a"].born, int64(2)) // A late entry of the start before changes nothing.
}

func TestWholeListRemovesWhatItDoesNotName(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.list(UpstreamSet(testUpstream("a")), UpstreamSet(testUpstream("b")))
	w.post(NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a"))}, true, "store"))
	is.True(w.usable("a"))
	is.True(!w.usable("b"))
	is.Equal(len(w.state.roster.group("desk")), 1)
}
