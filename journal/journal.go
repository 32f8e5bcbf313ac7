package journal

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/timeline"
)

// Journal writes the numbered events of one process; it is safe for concurrent use.
type Journal struct {
	logger log.Interface
	ring   *timeline.Ring
}

// New returns a journal that writes JSON lines at or above the level to w and adds each event to the ring.
func New(w io.Writer, level, process string, ring *timeline.Ring) (*Journal, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "journal.New")
	}
	logger := &log.Logger{Handler: json.New(w), Level: l}
	return &Journal{logger: logger.WithField("process", process), ring: ring}, nil
}

// Report adds one event to the timeline and logs it.
func (j *Journal) Report(number rail.EventNumber, subject, detail string) {
	e := j.ring.Add(time.Now(), number, subject, detail)
	j.logger.WithFields(log.Fields{
		"event": int(number), "subject": subject, "detail": detail, "sequence": e.Sequence(), "clock": e.Clock(),
	}).Info(number.Title())
}
