package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/simtime"
)

// unavailableTopic counts reads, and fails them while it is unavailable.
type unavailableTopic struct {
	reads       atomic.Int64
	unavailable atomic.Bool
}

func (t *unavailableTopic) Name() string { return "topic" }

func (t *unavailableTopic) Read(ctx context.Context, from int64, wait time.Duration) (Batch, error) {
	t.reads.Add(1)
	if t.unavailable.Load() {
		return Batch{}, errors.New("unavailable")
	}
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait):
		return NewBatch(nil, from), nil
	}
}

func (t *unavailableTopic) Newest(ctx context.Context) (Batch, error) { return t.Read(ctx, 0, 0) }

func (t *unavailableTopic) Events(Batch, bool, string) []Event { return nil }

// noMirror is a peer service that no peer answers.
type noMirror struct{}

func (noMirror) Mirror(context.Context, string, string, Position) (Batch, string, error) {
	return Batch{}, "", errors.New("no peer")
}

// In an outage of the store, a few gateways of a large fleet look often whether it is back; the others hear it from them.
// Calls to an unavailable store are paid for like all others.
func TestReadsOfAnUnavailableStore(t *testing.T) {
	for _, c := range []struct {
		name        string
		leader      bool // Whether the gateway has a cell leader.
		least, most int64
	}{
		{"a gateway that probes the store", false, 15, 40},
		{"a gateway with a leader", true, 1, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			simtime.Run(t, func(t *testing.T) {
				is := is.New(t)
				topic := &unavailableTopic{}
				w, g, stop := watchInLargeFleet(topic, 2800*time.Millisecond)
				sequence := int64(0)
				receive := func(d time.Duration, storeUnavailable bool) {
					for range d / (400 * time.Millisecond) {
						time.Sleep(400 * time.Millisecond)
						sequence++
						g.Post(NewDigestReceived(Digest{gateway: "gateway-9", incarnation: "first", sequence: sequence, storeUnavailable: storeUnavailable, full: c.leader, covers: 194}))
						w.Notify("gateway-9", Position{}, time.Time{})
					}
				}
				receive(4*time.Second, false)
				topic.unavailable.Store(true)
				receive(2*time.Second, true) // A read that waits for records ends first.
				topic.reads.Store(0)
				receive(8*time.Second, true)
				t.Logf("%d reads in 8 s", topic.reads.Load())
				is.True(topic.reads.Load() >= c.least)
				is.True(topic.reads.Load() <= c.most)
				topic.unavailable.Store(false)
				topic.reads.Store(0)
				receive(800*time.Millisecond, false) // Another gateway has found that the store is back.
				is.True(topic.reads.Load() >= 1)
				g.View(func(s *State) { is.True(!s.registry.storeUnavailable) })
				stop()
			})
		})
	}
}

// watchInLargeFleet starts a watcher of the topic at one of 195 gateways.
func watchInLargeFleet(topic Topic, maxAge time.Duration) (w *Watcher, g *Gateway, stop func()) {
	now := time.Now()
	s := NewState(NewSettings("gateway-0", "north", "first", now).WithFirstStart(true))
	registrations := map[string]Registration{}
	for i := range 195 {
		registrations["gateway-"+strconv.Itoa(i)] = NewRegistration("127.0.0.1:1", "north")
	}
	s.Reduce(now, NewPeersRead(registrations, true))
	g = New(s, nil, discardLog{}, discardMetrics{})
	w = NewWatcher(topic, g, noMirror{}, 100*time.Millisecond, time.Second, 8*time.Second).WithMaxAge(maxAge)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return w, g, func() { cancel(); <-done }
}

// The gateways between the readers of the store and this one may fail while its cell leader still answers: its knowledge of the
// upstreams gets older without a sign.
func TestGatewayWhosePeersReadNothingReadsTheStore(t *testing.T) {
	const maxAge = 2800 * time.Millisecond
	for _, c := range []struct {
		name        string
		fresh       bool
		least, most int64
	}{
		{"the leader's knowledge is recent", true, 0, 0},
		{"the leader's knowledge gets older", false, 4, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			simtime.Run(t, func(t *testing.T) {
				is := is.New(t)
				topic := &unavailableTopic{}
				w, g, stop := watchInLargeFleet(topic, maxAge)
				defer stop()
				began := time.Now()
				for i := range 50 {
					time.Sleep(400 * time.Millisecond)
					if i == 4 { // The first second is that of a gateway that has no peers yet.
						topic.reads.Store(0)
					}
					g.Post(NewDigestReceived(Digest{gateway: "gateway-9", incarnation: "first", sequence: int64(i), full: true, covers: 194}))
					asOf := began
					if c.fresh {
						asOf = time.Now().Add(-2 * time.Second)
					}
					w.Notify("gateway-9", Position{}, asOf)
					if age, known := w.Age(); known {
						is.True(age <= maxAge+readerCheckInterval+400*time.Millisecond)
					}
				}
				t.Logf("%d reads in 18 s", topic.reads.Load())
				is.True(topic.reads.Load() >= c.least)
				is.True(topic.reads.Load() <= c.most)
			})
		})
	}
}

// The end of an outage of the store, which others notice first, does not make the removals in it final.
func TestEndOfAnOutageIsNoOutageOfThisGatewayOnly(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(30, 2)
	c.run(2 * time.Second)
	s := c.states["gateway-0"]
	r := s.registry
	s.Reduce(c.now, NewStoreReadFinished(errors.New("unavailable")))
	digest := func(after time.Duration) {
		c.now = c.now.Add(after)
		s.Reduce(c.now, NewDigestReceived(Digest{gateway: "gateway-1", incarnation: "x", sequence: int64(c.now.Sub(time.Time{}))}))
	}
	digest(4 * time.Second)
	digest(800 * time.Millisecond)
	is.True(!r.peerReadStore)
	digest(400 * time.Millisecond)
	digest(400 * time.Millisecond)
	is.True(r.peerReadStore) // The peer has read it for so long that the outage is one of this gateway only.
}

// When all gateways start at once, each would take itself for a reader of the store until the first digests come.
func TestReaderAfterAStartOfAllGateways(t *testing.T) {
	is := is.New(t)
	c := newSimulatedCells(195, 6)
	readers := func() int {
		n := 0
		for _, s := range c.states {
			if s.now = c.now; s.ReadsStore() {
				n++
			}
		}
		return n
	}
	is.Equal(readers(), 0)
	for _, s := range c.states {
		s.Reduce(c.now, NewUpstreamsRead([]UpstreamChange{UpstreamSet(testUpstream("a"))}, true, "store"))
	}
	c.run(1200 * time.Millisecond)
	is.True(readers() <= 2*cellReaders)
	c.run(2 * time.Second)
	is.True(readers() >= 1 && readers() <= 2*cellReaders)
	alone := NewState(NewSettings("gateway-0", "north", "first", c.now))
	is.True(!alone.ReadsStore())
	alone.Reduce(c.now.Add(readerStartDelay), Ticked{})
	is.True(alone.ReadsStore())
}

// growingTopic has one record more each time that it is read; a read that may wait takes longer.
type growingTopic struct{ end atomic.Int64 }

func (t *growingTopic) Name() string { return "topic" }

func (t *growingTopic) Read(_ context.Context, from int64, wait time.Duration) (Batch, error) {
	end := t.end.Add(1)
	if wait > 0 {
		time.Sleep(3 * time.Millisecond)
	}
	var records []Record
	for n := from; n < end; n++ {
		records = append(records, NewRecord("key", []byte{1}, n))
	}
	return NewBatch(records, end), nil
}

func (t *growingTopic) Newest(ctx context.Context) (Batch, error) { return t.Read(ctx, 0, 0) }

func (t *growingTopic) Events(Batch, bool, string) []Event { return nil }

// A decision that needs the newest records reads them while the watcher waits for others.
func TestRefreshDuringARead(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := New(NewState(NewSettings("gateway-0", "north", "first", now.Add(-time.Hour))), nil, discardLog{}, discardMetrics{})
	w := NewWatcher(&growingTopic{}, g, noMirror{}, time.Millisecond, 3*time.Millisecond, time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	last := int64(-1)
	for range 200 {
		is.NoErr(w.Refresh(ctx))
		b, _ := w.RecordsFrom(Position{})
		is.Equal(len(b.Records()), 1)
		is.True(b.Records()[0].Offset() >= last) // A read that began before does not replace newer records.
		last = b.Records()[0].Offset()
	}
	cancel()
	<-done
}

// logTopic is a topic whose records are all retained.
type logTopic struct{ records []Record }

func (t *logTopic) Name() string { return "topic" }

func (t *logTopic) Read(_ context.Context, from int64, _ time.Duration) (Batch, error) {
	return NewBatch(t.records[from:], int64(len(t.records))), nil
}

// Newest leaves out the deleted keys, as the store does.
func (t *logTopic) Newest(context.Context) (Batch, error) {
	newest := map[string]Record{}
	for _, r := range t.records {
		if newest[r.key] = r; len(r.value) == 0 {
			delete(newest, r.key)
		}
	}
	return NewBatch(slices.Collect(maps.Values(newest)), int64(len(t.records))), nil
}

func (t *logTopic) Events(Batch, bool, string) []Event { return nil }

// peerMirror mirrors the watcher of one peer.
type peerMirror struct{ watcher *Watcher }

func (m peerMirror) Mirror(_ context.Context, _, peer string, from Position) (Batch, string, error) {
	b, known := m.watcher.RecordsFrom(from)
	if !known {
		return Batch{}, "", errors.New("not known")
	}
	return b, peer, nil
}

// Guards against a gateway that never learns of a removal because the peer that it follows started after it.
func TestRemovalIsNotMissedBehindAPeerThatStartedAfterIt(t *testing.T) {
	is := is.New(t)
	topic := &logTopic{records: []Record{NewRecord("a", []byte{1}, 0), NewRecord("b", []byte{1}, 1)}}
	g := New(NewState(NewSettings("gateway-0", "north", "first", time.Now())), nil, discardLog{}, discardMetrics{})
	started := NewWatcher(topic, g, noMirror{}, time.Hour, 0, time.Hour)
	follower := NewWatcher(topic, g, peerMirror{started}, time.Hour, 0, time.Hour)
	is.NoErr(follower.read(t.Context(), false))
	topic.records = append(topic.records, NewRecord("b", nil, 2), NewRecord("c", []byte{1}, 3))
	is.NoErr(started.read(t.Context(), false))
	if !follower.mirror(t.Context(), "gateway-1") {
		is.NoErr(follower.read(t.Context(), false))
	}
	is.Equal(len(follower.newest["b"].value), 0)
	topic.records = append(topic.records, NewRecord("c", nil, 4))
	is.NoErr(started.read(t.Context(), false))
	is.True(follower.mirror(t.Context(), "gateway-1")) // What came after its start is known completely.
	is.Equal(len(follower.newest["c"].value), 0)
}
