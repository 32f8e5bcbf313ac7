package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	doneData      = "[DONE]"
	maxEventBytes = 1 << 20
)

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Text  string `json:"text"`
	Delta delta  `json:"delta"`
}

type chunk struct {
	Choices []choice `json:"choices"`
}

// text returns the text that the event carries, in the format of either completion endpoint.
func (e event) text() string {
	var c chunk
	if json.Unmarshal([]byte(e.data), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content
}

// eventReader reads server-sent events.
type eventReader struct{ scanner *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxEventBytes)
	return &eventReader{scanner: s}
}

// next returns the next event; a truncated event is an error.
func (s *eventReader) next() (event, error) {
	var e event
	empty := true
	for s.scanner.Scan() {
		line := s.scanner.Text()
		if line == "" {
			if !empty {
				return e, nil
			}
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.id = value
		case "event":
			e.name = value
		case "data":
			e.data += value
		default: // comments are sent to keep the connection alive
			continue
		}
		empty = false
	}
	if err := s.scanner.Err(); err != nil {
		return event{}, errors.Wrap(err, "read an event")
	}
	return event{}, errors.Wrap(io.ErrUnexpectedEOF, "stream ended before its last event")
}
