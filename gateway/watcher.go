package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// Record is the newest record of a key; an empty value deletes the key.
type Record struct {
	key    string
	value  []byte
	offset int64
}

// NewRecord returns a record with its offset in the topic.
func NewRecord(key string, value []byte, offset int64) Record {
	return Record{key: key, value: value, offset: offset}
}

// Key returns the key.
func (r Record) Key() string { return r.key }

// Value returns the value, empty if the key is deleted.
func (r Record) Value() []byte { return r.value }

// Offset returns the record's offset in its topic.
func (r Record) Offset() int64 { return r.offset }

// Batch is the result of one read of a topic, in the order of the offsets.
type Batch struct {
	records []Record
	next    Position
	events  []Event
}

// NewBatch returns the records and the offset to read from next.
func NewBatch(records []Record, next int64) Batch {
	return Batch{records: records, next: Position{offset: next}}
}

// WithEra returns the batch as one of an era of the store.
func (b Batch) WithEra(era int64) Batch {
	b.next.era = era
	return b
}

// WithEvents returns the batch with events to post before those of its records.
func (b Batch) WithEvents(events []Event) Batch {
	b.events = events
	return b
}

// Era returns the era of the store that the records and their offsets belong to.
func (b Batch) Era() int64 { return b.next.era }

// Records returns the records.
func (b Batch) Records() []Record { return b.records }

// Next returns the offset to read from next.
func (b Batch) Next() int64 { return b.next.offset }

// ErrCompacted reports that records at the offset were compacted; the newest record of each key still exists.
var ErrCompacted = errors.New("Read: records were compacted")

// Topic is a compacted topic of the store, which keeps the newest record of each key.
type Topic interface {
	// Name returns the topic's name.
	Name() string
	// Read returns the records from the offset on; it waits at most the given time for the first one.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Events decodes the batch's records to events; full reports whether there are no other keys, source is where the records come from.
	Events(b Batch, full bool, source string) []Event
}

// MirrorClient fetches records from peers that have read them.
type MirrorClient interface {
	// Mirror returns the newest records of the topic from the position on as the peer knows them, and the peer's name. If no peer is
	// named, it asks any that reads the store. A batch of another era than the position's has the newest records of all keys.
	Mirror(ctx context.Context, topic, peer string, from Position) (Batch, string, error)
}

// Watcher follows a topic. A few gateways read it from the store. The others
// learn from the readers' digests that there are new records, and fetch these
// from them. While the store is unavailable, a gateway asks peers that can
// still reach it.
type Watcher struct {
	topic            Topic
	gateway          *Gateway
	mirrorClient     MirrorClient
	interval         time.Duration
	wait             time.Duration
	fallbackInterval time.Duration
	// optional reports whether the store counts as available although the topic cannot be read.
	optional bool
	// maxAge is the age of this gateway's knowledge from which it reads the store itself, zero for no limit.
	maxAge   time.Duration
	notified chan string
	readNow  chan struct{}

	// applying lets the events of batches be posted in the order in which these are stored.
	applying sync.Mutex

	mu     sync.Mutex
	newest map[string]Record
	next   Position
	loaded bool
	// completeFrom is the offset from which newest has all records of the era: a complete list of the keys lacks those that were deleted.
	completeFrom int64
	// asOf is the time at which the topic is known to have ended at next.
	asOf time.Time
	// announced and announcedAsOf are the position and the time of the last notification with records that are not fetched yet.
	announced     Position
	announcedAsOf time.Time
	// readElsewhere reports whether peers could read the store at the last notification while this gateway could not.
	readElsewhere bool
}

const (
	// readTimeout bounds a read of the store, in addition to the time that it waits for a record.
	readTimeout = 700 * time.Millisecond
	// retryInterval is the time between reads while the store is unavailable to this gateway, of the gateways that probe it.
	retryInterval = 300 * time.Millisecond
	// maxRetryInterval bounds that time for the others.
	maxRetryInterval = 4 * time.Second
	// readerCheckInterval is the interval at which a gateway that is not a reader checks whether it must become one.
	readerCheckInterval = 250 * time.Millisecond
)

// NewWatcher returns a watcher that reads the topic at the interval and lets each read wait for a record. Gateways that are not readers read at the fallback interval. Run must be started.
func NewWatcher(t Topic, g *Gateway, m MirrorClient, interval, wait, fallbackInterval time.Duration) *Watcher {
	return &Watcher{topic: t, gateway: g, mirrorClient: m, interval: interval, wait: wait, fallbackInterval: fallbackInterval, notified: make(chan string, 1), readNow: make(chan struct{}, 1), newest: map[string]Record{}}
}

// NewOptionalWatcher returns a watcher of a topic without which requests can be served: its reads do not tell whether the store is available.
func NewOptionalWatcher(t Topic, g *Gateway, m MirrorClient, interval, wait, fallbackInterval time.Duration) *Watcher {
	w := NewWatcher(t, g, m, interval, wait, fallbackInterval)
	w.optional = true
	return w
}

// WithMaxAge makes a gateway that is not a reader read the store itself when what it knows from its peers is older: the readers,
// or the gateways between them and this one, may have failed.
func (w *Watcher) WithMaxAge(age time.Duration) *Watcher {
	w.maxAge = age
	return w
}

// Run follows the topic until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var readAt time.Time
	more, failed := false, false
	for ctx.Err() == nil {
		pause := readerCheckInterval
		reads, fallback := w.readsStore()
		outdated := w.outdated()
		if outdated && !reads {
			w.reportOutdated()
		}
		if reads || more || time.Since(readAt) >= fallback || outdated {
			readAt, pause = time.Now(), w.interval
			err := w.read(ctx, reads && !failed)
			if failed = err != nil; failed {
				w.reportRead(errors.Wrap(err, w.topic.Name()))
				w.mirror(ctx, "")
				pause = w.retryPause()
			} else {
				w.reportRead(nil)
			}
		}
		more = w.waitForMore(ctx, pause)
	}
}

// reportRead reports whether the store could be read.
func (w *Watcher) reportRead(err error) {
	if !w.optional {
		w.gateway.Post(NewStoreReadFinished(err))
	}
}

// readsStore reports whether this gateway is a reader of the store, and the interval at which it reads if it is not.
func (w *Watcher) readsStore() (reader bool, fallback time.Duration) {
	fallback = w.fallbackInterval
	w.gateway.View(func(s *State) {
		reader = s.ReadsStore()
		fallback *= time.Duration(1 + len(s.registrations.byName)/maxMeshGateways) // Keeps the read rate of all gateways together at that of a small fleet.
	})
	_, loaded := w.Next()
	return reader || !loaded, fallback
}

// outdated reports whether what is known from peers is too old.
func (w *Watcher) outdated() bool {
	age, known := w.Age()
	return w.maxAge > 0 && known && age >= w.maxAge
}

// reportOutdated logs that what peers report of the topic is too old: the event tells which way of news has failed.
func (w *Watcher) reportOutdated() {
	age, _ := w.Age()
	next, _ := w.Next()
	var peers []string
	w.gateway.View(func(s *State) { peers = s.recentPeers() })
	w.gateway.log.Write(rail.EventNewsOutdated, NewField("topic", w.topic.Name()), NewField("ageMs", age.Milliseconds()), NewField("next", next.offset), NewField("peers", peers))
}

// Age returns how long ago the topic is known to have ended at the offset of Next, false before the first read.
func (w *Watcher) Age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.asOf), w.loaded && !w.asOf.IsZero()
}

// retryPause returns the time until the next read of an unavailable store. In a large fleet all gateways together read it
// about as often as a small one does.
func (w *Watcher) retryPause() time.Duration {
	pause := retryInterval
	w.gateway.View(func(s *State) {
		if !s.ProbesStore() {
			pause = min(retryInterval*time.Duration(1+len(s.registrations.byName)/maxMeshGateways), maxRetryInterval)
		}
	})
	return pause/2 + rand.N(pause)
}

// waitForMore waits for the pause and fetches new records from peers meanwhile. It reports whether the store must be read at once, because a peer did not return its records or ReadNow was called.
func (w *Watcher) waitForMore(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case peer := <-w.notified:
			if !w.mirror(ctx, peer) {
				return true
			}
		case <-w.readNow:
			return true
		case <-t.C:
			return false
		}
	}
}

// Notify reports that the peer has read the topic up to the position, at which it ended at the given time, zero if that is not known.
// When peers begin to read a store that is unavailable to this gateway, it tries to read it once, since the outage may have ended.
func (w *Watcher) Notify(peer string, next Position, asOf time.Time) {
	elsewhere := false
	w.gateway.View(func(s *State) { elsewhere = s.StoreReadElsewhere() })
	w.mu.Lock()
	more := w.loaded && w.next.before(next)
	switch {
	case more:
		w.announced, w.announcedAsOf = next, asOf
	case w.loaded && next.era == w.next.era && asOf.After(w.asOf):
		w.asOf = asOf
	}
	began := elsewhere && !w.readElsewhere
	w.readElsewhere = elsewhere
	w.mu.Unlock()
	if began {
		w.ReadNow()
	}
	if !more {
		return
	}
	select {
	case w.notified <- peer:
	default: // A notification is pending already; the next digest repeats this one.
	}
}

// ReadNow makes the watcher read the store now.
func (w *Watcher) ReadNow() {
	select {
	case w.readNow <- struct{}{}:
	default: // A read is pending already.
	}
}

// Next returns the position to read from next, false before the first read.
func (w *Watcher) Next() (Position, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next, w.loaded
}

// read reads the store and may wait for a record. A reader does not wait if its last read failed, to find the end of an outage at
// once; other gateways do not, since they only bring up to date what they know.
func (w *Watcher) read(ctx context.Context, mayWait bool) error {
	wait := w.wait
	if !mayWait {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	asOf := time.Now()
	if next, loaded := w.Next(); loaded {
		b, err := w.topic.Read(ctx, next.offset, wait)
		switch {
		case err == nil && b.Era() == next.era:
			if len(b.records) == 0 && time.Since(asOf) >= wait {
				asOf = asOf.Add(wait) // The store has waited for a record.
			}
			w.apply(b, false, "store")
			w.setAsOf(asOf)
			return nil
		case err != nil && !errors.Is(err, ErrCompacted):
			return err
		}
	}
	b, err := w.topic.Newest(ctx)
	if err != nil {
		return err
	}
	w.apply(b, true, "store")
	w.setAsOf(asOf)
	return nil
}

// Refresh reads what is new in the store, for a decision that must not rest on what this gateway knew until now.
func (w *Watcher) Refresh(ctx context.Context) error {
	return errors.Wrap(w.read(ctx, false), "Refresh")
}

// setAsOf records when the topic ended at the offset that was read last.
func (w *Watcher) setAsOf(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if at.After(w.asOf) {
		w.asOf = at
	}
}

// mirror fetches new records from a peer, and reports whether that succeeded.
func (w *Watcher) mirror(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	next, loaded := w.Next()
	b, name, err := w.mirrorClient.Mirror(ctx, w.topic.Name(), peer, next)
	if err != nil {
		w.gateway.log.Write(rail.EventPeerUnreachable, NewField("topic", w.topic.Name()), NewField("error", err.Error()))
		return false
	}
	w.apply(b, !loaded || b.Era() != next.era, name)
	return true
}

// apply stores the records and posts their events; a full batch replaces all records. Of another one, those that a read which began
// later has brought already are left out. A batch of an earlier era than the one known was read before the store was restored.
func (w *Watcher) apply(b Batch, full bool, source string) {
	w.applying.Lock()
	defer w.applying.Unlock()
	w.mu.Lock()
	restored, before := w.loaded && b.Era() > w.next.era, w.next
	if w.loaded && b.Era() < w.next.era {
		w.mu.Unlock()
		return
	}
	if full {
		clear(w.newest)
		w.completeFrom = b.next.offset
	} else {
		b.records = slices.DeleteFunc(b.records, func(r Record) bool { return r.offset < w.next.offset })
	}
	for _, r := range b.records {
		w.newest[r.key] = r
	}
	if !w.loaded || w.next.before(b.next) {
		w.next = b.next
	}
	w.loaded = true
	if !w.next.before(w.announced) && w.next.era == w.announced.era && w.announcedAsOf.After(w.asOf) {
		w.asOf = w.announcedAsOf
	}
	w.mu.Unlock()
	if restored {
		w.gateway.log.Write(rail.EventStoreRestored, NewField("topic", w.topic.Name()), NewField("era", b.Era()), NewField("source", source),
			NewField("offset", before.offset), NewField("next", b.Next()), NewField("full", full))
		w.gateway.Post(StoreRestored{})
	}
	if len(b.records) == 0 && !full {
		return
	}
	for _, e := range slices.Concat(b.events, w.topic.Events(b, full, source)) {
		w.gateway.Post(e)
	}
}

// RecordsFrom returns the newest records of all keys from the position on, all of them if it is one of an earlier era. It returns
// false before the first read, and if a key may have been deleted between the position and the first read or the position is one of a
// later era; all records, from zero, are a complete list of the keys.
func (w *Watcher) RecordsFrom(from Position) (Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if from.era < w.next.era {
		from = Position{era: w.next.era}
	}
	var records []Record
	for _, r := range w.newest {
		if r.offset >= from.offset {
			records = append(records, r)
		}
	}
	return Batch{records: records, next: w.next}, w.loaded && from.era == w.next.era && (from.offset == 0 || from.offset >= w.completeFrom)
}

// ErrConflict reports that a conditional append found the topic's end at another offset.
var ErrConflict = errors.New("Append: topic end is not at the expected offset")
