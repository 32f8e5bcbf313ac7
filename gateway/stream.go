package gateway

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// events splits a stream of events into whole ones: an upstream may stop in
// the middle of an event, and what is handed on must be able to go on elsewhere.
type events struct {
	buffer []byte
	count  int
	last   string
	lastID int64
	hasID  bool
}

// errGap tells that a resumed stream does not go on where the last one ended.
var errGap = errors.New("events: the stream left out an event")

// maxEventBytes bounds what is kept of an event that does not end.
const maxEventBytes = 1 << 20

// resumeAfter makes the events go on after the one of the id.
func (e *events) resumeAfter(id string) {
	e.last = id
	n, err := strconv.ParseInt(id, 10, 64)
	e.lastID, e.hasID = n, err == nil
}

// restart drops what is left of an event of the stream before.
func (e *events) restart() { e.buffer = e.buffer[:0] }

// take adds bytes and returns the whole events among all that were added; the result is valid until the next call.
func (e *events) take(data []byte) ([]byte, error) {
	e.buffer = append(e.buffer, data...)
	if len(e.buffer) > maxEventBytes {
		return nil, errors.New("events: an event is too long")
	}
	end, start, from := 0, 0, 0
	for {
		n, size := boundary(e.buffer[end:])
		if n < 0 {
			break
		}
		event := e.buffer[end : end+n]
		end += n + size
		repeated, err := e.note(event)
		if err != nil {
			return nil, err
		}
		if repeated && start == from {
			start, from = end, end // Leading events that the caller has already.
		}
	}
	whole := append([]byte(nil), e.buffer[start:end]...)
	e.buffer = append(e.buffer[:0], e.buffer[end:]...)
	return whole, nil
}

// boundary returns the length of the event at the start and that of the blank line that ends it, negative if it does not end.
func boundary(data []byte) (length, blank int) {
	lf, crlf := bytes.Index(data, []byte("\n\n")), bytes.Index(data, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, 4
	}
	return lf, 2
}

// note counts the event and reports whether it was delivered before.
func (e *events) note(event []byte) (repeated bool, err error) {
	id, ok := eventID(event)
	if !ok {
		e.count++
		return false, nil
	}
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr == nil && e.hasID {
		if n <= e.lastID {
			return true, nil
		}
		if n > e.lastID+1 {
			return false, errGap
		}
	}
	e.last, e.lastID, e.hasID = id, n, parseErr == nil
	e.count++
	return false, nil
}

// eventID returns the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}
