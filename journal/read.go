package journal

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/timeline"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// logLine is one line of the structured log.
type logLine struct {
	Fields struct {
		Process  string `json:"process"`
		Event    int    `json:"event"`
		Subject  string `json:"subject"`
		Detail   string `json:"detail"`
		Sequence uint64 `json:"sequence"`
		Clock    uint64 `json:"clock"`
	} `json:"fields"`
	Timestamp time.Time `json:"timestamp"`
}

// Read returns the numbered events of a process's log and skips all other lines.
func Read(r io.Reader) ([]timeline.Entry, error) {
	var entries []timeline.Entry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l logLine
		if json.Unmarshal(scanner.Bytes(), &l) != nil || l.Fields.Event == 0 {
			continue
		}
		f := l.Fields
		entries = append(entries, timeline.NewEntry(f.Process, f.Sequence, f.Clock, l.Timestamp, rail.EventNumber(f.Event), f.Subject, f.Detail))
	}
	return entries, errors.Wrap(scanner.Err(), "journal.Read")
}
