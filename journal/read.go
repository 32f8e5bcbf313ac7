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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// line is one line of the structured log.
type line struct {
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

// Read returns the numbered events of a process's log; other lines are passed over.
func Read(r io.Reader) ([]timeline.Entry, error) {
	var es []timeline.Entry
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var l line
		if json.Unmarshal(scanner.Bytes(), &l) != nil || l.Fields.Event == 0 {
			continue
		}
		f := l.Fields
		es = append(es, timeline.NewEntry(f.Process, f.Sequence, f.Clock, l.Timestamp, rail.EventNumber(f.Event), f.Subject, f.Detail))
	}
	return es, errors.Wrap(scanner.Err(), "journal.Read")
}
