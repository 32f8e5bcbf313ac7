package journal_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/journal"
	"dandelionrail.org/rail/timeline"
)

func TestReadReturnsReportedEvents(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	ring := timeline.New("breno-1", 10)
	j, err := journal.New(&log, "info", "breno-1", ring)
	is.NoErr(err)
	j.Report(rail.EventStarted, "breno-1", "breno")
	ring.Witness(40)
	j.Report(rail.EventRequestRefused, "r1", "leaving")
	log.WriteString("panic: something else\n")
	entries, err := journal.Read(&log)
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[1].Clock(), uint64(42))
	is.Equal(entries[1].Sequence(), uint64(1))
	is.Equal(entries[1].Subject(), "r1")
	is.Equal(entries[1].Number(), rail.EventRequestRefused)
}
