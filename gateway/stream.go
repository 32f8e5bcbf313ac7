package gateway

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// eventSplitter splits a stream into complete events. An upstream may fail in
// the middle of an event, and only complete events may be forwarded so that the
// stream can be resumed at another upstream.
type eventSplitter struct {
	buffer      []byte
	delivered   int
	lastEventID string
	lastNumber  int64
	hasNumber   bool
}

// errGap reports that a resumed stream does not continue where the last one ended.
var errGap = errors.New("track: stream skipped an event")

// maxEventBytes bounds the buffer for an incomplete event.
const maxEventBytes = 1 << 20

// resumeAfter sets the id of the event after which the stream resumes.
func (s *eventSplitter) resumeAfter(id string) {
	s.lastEventID = id
	n, err := strconv.ParseInt(id, 10, 64)
	s.lastNumber, s.hasNumber = n, err == nil
}

// restart discards the incomplete event of the previous stream.
func (s *eventSplitter) restart() { s.buffer = s.buffer[:0] }

// add buffers the data and returns the complete events that the caller does not have yet.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	s.buffer = append(s.buffer, data...)
	if len(s.buffer) > maxEventBytes {
		return nil, errors.New("add: event is too long")
	}
	end, start, from := 0, 0, 0
	for {
		n, size := boundary(s.buffer[end:])
		if n < 0 {
			break
		}
		event := s.buffer[end : end+n]
		end += n + size
		repeated, err := s.track(event)
		if err != nil {
			return nil, err
		}
		if repeated && start == from {
			start, from = end, end // Skips leading events that were delivered before.
		}
	}
	complete := append([]byte(nil), s.buffer[start:end]...)
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	return complete, nil
}

// boundary returns the length of the first event, negative if it is incomplete, and the length of the blank line that ends it.
func boundary(data []byte) (length, blank int) {
	lf, crlf := bytes.Index(data, []byte("\n\n")), bytes.Index(data, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, 4
	}
	return lf, 2
}

// track counts the event unless it was delivered before, and reports whether it was.
func (s *eventSplitter) track(event []byte) (repeated bool, err error) {
	id, ok := eventID(event)
	if !ok {
		s.delivered++
		return false, nil
	}
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr == nil && s.hasNumber {
		if n <= s.lastNumber {
			return true, nil
		}
		if n > s.lastNumber+1 {
			return false, errGap
		}
	}
	s.lastEventID, s.lastNumber, s.hasNumber = id, n, parseErr == nil
	s.delivered++
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
