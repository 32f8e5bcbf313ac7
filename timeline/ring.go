package timeline

import (
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Entry is one numbered event of one process.
type Entry struct {
	process  string
	sequence uint64
	clock    uint64
	at       time.Time
	number   rail.EventNumber
	subject  string
	detail   string
}

// NewEntry returns an entry with the values that a process reported.
func NewEntry(process string, sequence, clock uint64, at time.Time, number rail.EventNumber, subject, detail string) Entry {
	return Entry{process, sequence, clock, at, number, subject, detail}
}

// Process returns the name of the process.
func (e Entry) Process() string { return e.process }

// Sequence returns the number of the event within its process.
func (e Entry) Sequence() uint64 { return e.sequence }

// Clock returns the Lamport clock.
func (e Entry) Clock() uint64 { return e.clock }

// At returns the time of the event by the wall clock of the process.
func (e Entry) At() time.Time { return e.at }

// Number returns the event number.
func (e Entry) Number() rail.EventNumber { return e.number }

// Subject returns what the event is about.
func (e Entry) Subject() string { return e.subject }

// Detail returns what happened.
func (e Entry) Detail() string { return e.detail }

// Ring keeps the latest events of one process; it is safe for concurrent use.
type Ring struct {
	process string
	mu      sync.Mutex
	clock   uint64
	next    uint64
	entries []Entry
}

// New returns an empty ring that keeps at most size events.
func New(process string, size int) *Ring {
	return &Ring{process: process, entries: make([]Entry, size)}
}

// Add stores an event with the next sequence number and clock value and returns it.
func (r *Ring) Add(at time.Time, number rail.EventNumber, subject, detail string) Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	e := Entry{r.process, r.next, r.clock, at, number, subject, detail}
	r.entries[r.next%uint64(len(r.entries))] = e
	r.next++
	return e
}

// Tick advances the Lamport clock and returns the value to send with a message.
func (r *Ring) Tick() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

// Witness advances the Lamport clock past the clock of a received message.
func (r *Ring) Witness(clock uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clock > r.clock {
		r.clock = clock
	}
	r.clock++
}

// Since returns the stored events from the sequence number on, in order.
func (r *Ring) Since(from uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.entries))
	if r.next > size && from < r.next-size {
		from = r.next - size
	}
	var entries []Entry
	for s := from; s < r.next; s++ {
		entries = append(entries, r.entries[s%size])
	}
	return entries
}
