package gateway

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// eventSplitter splits a stream into complete events. An upstream may fail in
// the middle of an event, and only complete events may be forwarded so that the
// stream can be resumed at another upstream. Event ids are increasing integers;
// a stream with other ids, or with none, is forwarded but cannot be resumed.
type eventSplitter struct {
	buffer []byte
	// scanned is the number of buffered bytes in which no block ends.
	scanned     int
	delivered   int
	lastEventID string
	lastNumber  int64
	hasNumber   bool
	// unnumbered counts the events without a number since the last one that has one.
	unnumbered int
	// repeating reports whether the last event was one that the caller has already.
	repeating bool
	// idleBytes is the size of the blocks that are no events since the last event.
	idleBytes int
}

var (
	// errGap reports that a resumed stream does not continue where the last one ended.
	errGap = errors.New("track: stream skipped an event")
	// errAmbiguous reports an event without an id among repeated ones: whether the caller has it is not known.
	errAmbiguous = errors.New("track: event without an id follows a repeated event")
	// errTooLong reports an event that is too long to be buffered.
	errTooLong = errors.New("add: event is too long")
	// errIdle reports a stream that goes on without events.
	errIdle = errors.New("add: stream goes on without events")
)

const (
	// maxEventBytes bounds the buffer for an incomplete event.
	maxEventBytes = 256 << 10
	// maxIdleBytes bounds the comments and blank lines between two events.
	maxIdleBytes = 64 << 10
)

// resumeAfter sets the id of the event after which the stream resumes.
func (s *eventSplitter) resumeAfter(id string) {
	s.lastEventID = id
	n, err := strconv.ParseInt(id, 10, 64)
	s.lastNumber, s.hasNumber = n, err == nil
}

// restart discards the incomplete event of the previous stream.
func (s *eventSplitter) restart() {
	s.buffer, s.scanned, s.idleBytes, s.repeating = s.buffer[:0], 0, 0, false
}

// resumable reports whether the stream can go on after its last event that was delivered, or start if none was.
func (s *eventSplitter) resumable() bool { return s.unnumbered == 0 }

// ended reports whether the data so far ends with a complete block.
func (s *eventSplitter) ended() bool { return len(s.buffer) == 0 }

// add buffers the data. It returns the complete blocks that the caller does not have yet, also together with an error,
// and the number of events among them.
func (s *eventSplitter) add(data []byte) (complete []byte, events int, err error) {
	s.buffer = append(s.buffer, data...)
	begin := 0
	for err == nil {
		end := s.nextBlock(begin)
		if end < 0 {
			break
		}
		block := s.buffer[begin:end]
		begin = end
		id, event := parseBlock(block)
		if !event {
			if s.idleBytes += len(block); s.idleBytes > maxIdleBytes {
				err = errIdle
				break
			}
			complete = append(complete, block...)
			continue
		}
		s.idleBytes = 0
		var repeated bool
		if repeated, err = s.track(id); err == nil && !repeated {
			events++
			complete = append(complete, block...)
		}
	}
	if begin > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[begin:]...)
		s.scanned = max(0, s.scanned-begin)
	}
	if err == nil && len(s.buffer) > maxEventBytes {
		err = errTooLong
	}
	return complete, events, err
}

// nextBlock returns the end of the block of lines that begins at the index, with the blank line that ends it, or -1 if it is incomplete.
func (s *eventSplitter) nextBlock(begin int) int {
	line := max(begin, s.scanned)
	for {
		n := bytes.IndexByte(s.buffer[line:], '\n')
		if n < 0 {
			s.scanned = line
			return -1
		}
		blank := n == 0 || (n == 1 && s.buffer[line] == '\r')
		line += n + 1
		if blank {
			return line
		}
	}
}

// parseBlock returns the id field of a block, empty if it has none, and whether the block is an event: comments and blank
// lines are none.
func parseBlock(block []byte) (id string, event bool) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		name, value, hasValue := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		switch string(name) {
		case "id":
			if hasValue {
				return string(bytes.TrimSpace(value)), true
			}
			event = true
		case "data":
			event = true
		}
	}
	return "", event
}

// track counts the event with the id unless it was delivered before, and reports whether it was.
func (s *eventSplitter) track(id string) (repeated bool, err error) {
	n, parseErr := strconv.ParseInt(id, 10, 64)
	if parseErr != nil {
		if s.repeating {
			return false, errAmbiguous
		}
		s.unnumbered++
		s.delivered++
		return false, nil
	}
	if s.hasNumber {
		if s.repeating = n <= s.lastNumber; s.repeating {
			return true, nil
		}
		if n > s.lastNumber+1 {
			return false, errGap
		}
	}
	s.lastEventID, s.lastNumber, s.hasNumber = id, n, true
	s.unnumbered = 0
	s.delivered++
	return false, nil
}
