package document

import (
	"dandelionrail.org/rail"
)

// maxBuffered bounds the publications kept until their base is known.
const maxBuffered = 256

// logEntry is one well-formed record at its offset.
type logEntry struct {
	offset rail.Offset
	record record
}

// firstOffset is the offset of the first record of a new log.
const firstOffset rail.Offset = 0

// history tracks the version that was accepted last before the offset next.
//
// The version is known while every record since the start of the log, or since
// the readTo of a checkpoint, was read. If retention has removed records that
// were not read, one of them may have been accepted: the first record that was
// read for a base need not be the first one in the log.
type history struct {
	known    bool
	number   uint64
	next     rail.Offset
	oldest   rail.Offset
	buffered []logEntry
}

func newHistory() history {
	return history{known: true, next: firstOffset, oldest: firstOffset}
}

// startRead records the oldest offset of a read and reports whether records before it were removed unread.
func (h *history) startRead(oldest rail.Offset) bool {
	if oldest <= h.next {
		return false
	}
	h.known = false
	h.buffered = nil
	h.oldest = oldest
	h.next = oldest
	return true
}

// apply applies one record and returns the records that are accepted as a result, in log order.
func (h *history) apply(e logEntry) []logEntry {
	if e.record.isCheckpoint() {
		return h.applyCheckpoint(e)
	}
	if !h.known {
		if len(h.buffered) < maxBuffered {
			h.buffered = append(h.buffered, e)
		}
		return nil
	}
	if e.record.Base != h.number {
		return nil
	}
	h.number = e.record.Number
	return []logEntry{e}
}

// applyCheckpoint sets the version to that of a checkpoint and applies the buffered records from its readTo on.
func (h *history) applyCheckpoint(e logEntry) []logEntry {
	outdated := e.record.Number < h.number
	if h.known || outdated || e.record.ReadTo < h.oldest || len(h.buffered) == maxBuffered {
		return h.advance(e)
	}
	h.known = true
	h.number = e.record.Number
	return append([]logEntry{e}, h.replay(e.record.ReadTo)...)
}

// readTo returns the offset before which the version is certain to be the last accepted one.
//
// A process that does not know which of the records it has read were accepted is
// certain only up to the publication of the version or, if the log no longer has
// it, up to the oldest remaining record. Readers apply the records after that. If
// the buffer is full, records may be missing from it; the result is then the
// offset after all records that were read.
func (h *history) readTo(d rail.Document) rail.Offset {
	if h.known || len(h.buffered) == maxBuffered {
		return h.next
	}
	for _, e := range h.buffered {
		if e.record.Number == d.Number() && e.record.Source == d.Source() {
			return e.offset + 1
		}
	}
	return h.oldest
}

// advance applies a checkpoint if its version is later than the known one.
func (h *history) advance(e logEntry) []logEntry {
	if e.record.Number <= h.number {
		return nil
	}
	h.number = e.record.Number
	return []logEntry{e}
}

// replay applies the buffered publications from the offset on.
func (h *history) replay(from rail.Offset) []logEntry {
	buffered := h.buffered
	h.buffered = nil
	var accepted []logEntry
	for _, e := range buffered {
		if e.offset >= from {
			accepted = append(accepted, h.apply(e)...)
		}
	}
	return accepted
}
