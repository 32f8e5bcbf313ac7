package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// Record is the newest record of a key; without a value the key is dropped.
type Record struct {
	key    string
	value  []byte
	offset int64
}

// NewRecord returns the record.
func NewRecord(key string, value []byte, offset int64) Record {
	return Record{key: key, value: value, offset: offset}
}

// Key returns the key.
func (r Record) Key() string { return r.key }

// Value returns the value, empty if the key is dropped.
func (r Record) Value() []byte { return r.value }

// Offset returns the record's place in its topic.
func (r Record) Offset() int64 { return r.offset }

// Batch is what one read of a topic returned, in the order of the offsets.
type Batch struct {
	records []Record
	next    int64
}

// NewBatch returns the records and the offset to read from next.
func NewBatch(records []Record, next int64) Batch { return Batch{records: records, next: next} }

// Records returns the records.
func (b Batch) Records() []Record { return b.records }

// Next returns the offset to read from next.
func (b Batch) Next() int64 { return b.next }

// ErrCompacted tells that records from the offset on are gone; the newest of each key are still there.
var ErrCompacted = errors.New("Read: the records are gone")

// Topic is a topic of the store that keeps the newest record of each key.
type Topic interface {
	// Name returns the topic's name.
	Name() string
	// Read returns the records from the offset on and waits at most wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Events returns what the records say; whole says that there are no other keys, source who gave them.
	Events(records []Record, whole bool, source string) []Event
}

// MirrorClient asks peers for what they have read.
type MirrorClient interface {
	// Mirror returns the newest records of the topic from the offset on as the peer knows them, any peer that reads the store if none is named, and the peer's name.
	Mirror(ctx context.Context, topic, peer string, from int64) (Batch, string, error)
}

// Watcher follows a topic. A few gateways read it from the store; the others
// hear from their digests that there is more, and take it from them. While the
// store does not answer, a gateway asks peers that still reach it.
type Watcher struct {
	topic    Topic
	gateway  *Gateway
	mirrors  MirrorClient
	interval time.Duration
	wait     time.Duration
	idle     time.Duration
	poked    chan string
	again    chan struct{}

	mu     sync.Mutex
	newest map[string]Record
	next   int64
	known  bool
}

const (
	// readTimeout bounds a read of the store beyond the time that it waits for a record.
	readTimeout = 700 * time.Millisecond
	// failedInterval is the time between reads while the store does not answer.
	failedInterval = 300 * time.Millisecond
	// idleCheck is the time after which a gateway that leaves the reading to others looks whether they still read.
	idleCheck = 250 * time.Millisecond
)

// NewWatcher returns a watcher that reads the topic again after the interval and lets each read wait for a record; gateways that leave the reading to others read after the idle time. Run must be started.
func NewWatcher(t Topic, g *Gateway, m MirrorClient, interval, wait, idle time.Duration) *Watcher {
	return &Watcher{topic: t, gateway: g, mirrors: m, interval: interval, wait: wait, idle: idle, poked: make(chan string, 1), again: make(chan struct{}, 1), newest: map[string]Record{}}
}

// Run follows the topic until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var read time.Time
	more := false
	for ctx.Err() == nil {
		pause := idleCheck
		reads, idle := w.reads()
		if reads || more || time.Since(read) >= idle {
			read, pause = time.Now(), w.interval
			if err := w.read(ctx); err != nil {
				w.gateway.Post(NewStoreReadFinished(errors.Wrap(err, w.topic.Name())))
				w.mirror(ctx, "")
				pause = failedInterval
			} else {
				w.gateway.Post(NewStoreReadFinished(nil))
			}
		}
		more = w.rest(ctx, pause)
	}
}

// reads reports whether this gateway is one of those that read the store, and after which time it reads otherwise.
func (w *Watcher) reads() (reader bool, idle time.Duration) {
	idle = w.idle
	w.gateway.View(func(s *State) {
		reader = s.ReadsStore()
		idle *= time.Duration(1 + len(s.registered)/meshMost) // All gateways together read as often as those of a small fleet.
	})
	return reader || !w.known, idle
}

// rest waits, and takes what a peer has more meanwhile; it reports whether there is more that no peer gave.
func (w *Watcher) rest(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case peer := <-w.poked:
			if !w.mirror(ctx, peer) {
				return true
			}
		case <-w.again:
			return true
		case <-t.C:
			return false
		}
	}
}

// Notify tells that the peer has read up to the offset.
func (w *Watcher) Notify(peer string, next int64) {
	w.mu.Lock()
	more := w.known && next > w.next
	w.mu.Unlock()
	if !more {
		return
	}
	select {
	case w.poked <- peer:
	default: // The next digest tells again.
	}
}

// ReadNow makes the watcher read the store now.
func (w *Watcher) ReadNow() {
	select {
	case w.again <- struct{}{}:
	default: // It will.
	}
}

// Next returns the offset to read from next, false before the first read.
func (w *Watcher) Next() (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next, w.known
}

func (w *Watcher) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.wait+readTimeout)
	defer cancel()
	if w.known {
		b, err := w.topic.Read(ctx, w.next, w.wait)
		if err == nil {
			w.apply(b, false, "store")
			return nil
		}
		if !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	b, err := w.topic.Newest(ctx)
	if err != nil {
		return err
	}
	w.apply(b, true, "store")
	return nil
}

// mirror takes what a peer has read beyond what is known here, and reports whether it did.
func (w *Watcher) mirror(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, name, err := w.mirrors.Mirror(ctx, w.topic.Name(), peer, w.next)
	if err != nil {
		w.gateway.log.Write(rail.EventPeerUnreachable, NewField("topic", w.topic.Name()), NewField("error", err.Error()))
		return false
	}
	w.apply(b, !w.known, name)
	return true
}

// apply takes in what was read; a whole batch replaces all that is known.
func (w *Watcher) apply(b Batch, whole bool, source string) {
	w.mu.Lock()
	if whole {
		clear(w.newest)
	}
	for _, r := range b.records {
		w.newest[r.key] = r
	}
	w.next, w.known = max(w.next, b.next), true
	w.mu.Unlock()
	if len(b.records) == 0 && !whole {
		return
	}
	for _, e := range w.topic.Events(b.records, whole, source) {
		w.gateway.Post(e)
	}
}

// RecordsFrom returns the newest records from the offset on, and false before the first read.
func (w *Watcher) RecordsFrom(from int64) (Batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var records []Record
	for _, r := range w.newest {
		if r.offset >= from {
			records = append(records, r)
		}
	}
	return Batch{records: records, next: w.next}, w.known
}

// ErrConflict tells that a conditional append found another end of the topic.
var ErrConflict = errors.New("Append: the topic ends elsewhere")
