package gateway

import "sync"

// Memory bounds the bytes of messages that all calls in flight hold together,
// beyond a small buffer for each; it is safe for concurrent use.
type Memory struct {
	mu   sync.Mutex
	left int64
}

// NewMemory returns a memory of the size in bytes.
func NewMemory(size int64) *Memory { return &Memory{left: size} }

// Take reserves the bytes, and returns false if that many are not left.
func (m *Memory) Take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

// Give returns reserved bytes.
func (m *Memory) Give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}

// messageBuffer collects a message in memory that it reserves as it grows.
type messageBuffer struct {
	memory   *Memory
	reserved *int64
	data     []byte
}

const (
	// minBufferBytes is the size of a message that needs no reservation.
	minBufferBytes = 4 << 10
	// maxBufferBytes is the largest message that is buffered.
	maxBufferBytes = 256 << 10
)

// newMessageBuffer returns an empty buffer; it adds to reserved what it takes from the memory.
func newMessageBuffer(memory *Memory, reserved *int64) *messageBuffer {
	return &messageBuffer{memory: memory, reserved: reserved}
}

// grow makes room for more bytes, and returns false if the message is too large or no memory is left.
func (b *messageBuffer) grow() bool {
	if len(b.data) < cap(b.data) {
		return true
	}
	if cap(b.data) == 0 {
		b.data = make([]byte, 0, minBufferBytes)
		return true
	}
	added := int64(cap(b.data))
	if 2*added > maxBufferBytes || !b.memory.Take(added) {
		return false
	}
	*b.reserved += added
	b.data = append(make([]byte, 0, 2*added), b.data...)
	return true
}
