package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/timer"
)

// Memory bounds the bytes of messages that all calls in flight hold together,
// beyond a small buffer for each; it is safe for concurrent use.
type Memory struct {
	mu   sync.Mutex
	left int64
}

// NewMemory returns a memory of the size in bytes.
func NewMemory(size int64) *Memory { return &Memory{left: size} }

func (m *Memory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *Memory) give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// Reserve returns a reservation that holds nothing yet; it must be released.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// Reservation is the part of the memory that one call holds; it is not safe for concurrent use.
type Reservation struct {
	memory *Memory
	held   int64
}

// add reserves more bytes, and returns false if that many are not left.
func (r *Reservation) add(n int64) bool {
	if !r.memory.take(n) {
		return false
	}
	r.held += n
	return true
}

// atLeast reserves what is missing to the number of bytes, and returns false if that is not left.
func (r *Reservation) atLeast(n int64) bool { return n <= r.held || r.add(n-r.held) }

const (
	// memoryWait bounds the wait for memory: those who wait hold some that others wait for.
	memoryWait = time.Second
	// memoryInterval is the time between two checks for memory.
	memoryInterval = 10 * time.Millisecond
)

// await reserves what is missing to the number of bytes, and waits for it for a time if that is not left.
func (r *Reservation) await(ctx context.Context, n int64) bool {
	for end := time.Now().Add(memoryWait); !r.atLeast(n); {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
		timer.Sleep(ctx, memoryInterval)
	}
	return true
}

// Release returns all bytes to the memory.
func (r *Reservation) Release() {
	r.memory.give(r.held)
	r.held = 0
}

// minBufferBytes is the size up to which a buffer needs no reservation.
const minBufferBytes = 4 << 10

var (
	// ErrFull reports that a message is longer than its buffer may become.
	ErrFull = errors.New("Buffer.ReadAll: message is too long")
	// ErrNoMemory reports that no memory is left for a message.
	ErrNoMemory = errors.New("Buffer.ReadAll: no memory is left")
)

// Buffer collects a message in memory that it reserves as it grows: a message that arrives slowly holds no more than twice
// what has arrived.
type Buffer struct {
	reservation *Reservation
	limit       int
	data        []byte
}

// NewBuffer returns an empty buffer for a message of less than the limit in bytes.
func NewBuffer(r *Reservation, limit int64) *Buffer {
	return &Buffer{reservation: r, limit: int(limit)}
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte { return b.data }

// ReadAll reads the message to its end. After ErrFull or ErrNoMemory the rest of it can still be read.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}

func (b *Buffer) grow() error {
	size := min(max(minBufferBytes, 2*cap(b.data)), b.limit)
	if size == cap(b.data) {
		return ErrFull
	}
	if size > minBufferBytes && !b.reservation.add(int64(size-cap(b.data))) {
		return ErrNoMemory
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}
