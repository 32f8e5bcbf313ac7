package document_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
)

// checkpointRecord returns a checkpoint of the version accepted last before the offset readTo.
func checkpointRecord(t *testing.T, offset rail.Offset, number uint64, readTo rail.Offset) rail.Record {
	t.Helper()
	body, err := json.Marshal(map[string]any{"environment": "trial", "base": number, "number": number, "source": documentWithLimit("7"), "readTo": readTo})
	if err != nil {
		t.Fatal(err)
	}
	return rail.NewRecord(offset, start, rail.RecordDocument, body)
}

// TestFreshReaderOfATrimmedLog reads a log whose records before offset 10 were removed by retention.
func TestFreshReaderOfATrimmedLog(t *testing.T) {
	p := func(offset rail.Offset, base uint64) rail.Record { return publicationRecord(t, offset, base, "9") }
	r := func(offset rail.Offset, number uint64, readTo rail.Offset) rail.Record {
		return checkpointRecord(t, offset, number, readTo)
	}
	tests := []struct {
		name    string
		records []rail.Record
		want    uint64
		known   bool
	}{
		{"a publication may have been preceded by a removed one", []rail.Record{p(10, 1)}, 0, false},
		{"checkpoint", []rail.Record{p(10, 1), r(20, 2, 15)}, 2, true},
		{"published after the checkpoint", []rail.Record{r(20, 2, 15), p(21, 2)}, 3, true},
		{"published before the checkpoint and after its readTo", []rail.Record{p(17, 2), r(20, 2, 15)}, 3, true},
		{"a rejected publication before the checkpoint's readTo", []rail.Record{p(12, 2), r(20, 2, 15)}, 2, true},
		{"a late checkpoint with a removed readTo", []rail.Record{r(20, 2, 5), p(21, 2)}, 2, false},
		{"a late checkpoint and then a usable one", []rail.Record{r(20, 2, 5), p(21, 2), r(22, 3, 22)}, 3, true},
		{"two checkpoints", []rail.Record{r(20, 2, 15), p(21, 2), r(22, 2, 15), p(23, 3)}, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reducer := document.New(document.ForEnvironment("trial"))
			reduce(reducer, 0, logRead(10, tt.records...))
			is.Equal(reducer.Current().Number(), tt.want)
			is.Equal(reducer.Known(), tt.known)
		})
	}
}

func TestLogGapMakesTheStateUnknown(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1")))
	is.True(r.Known())
	reduce(r, time.Hour, logRead(30, publicationRecord(t, 30, 1, "66")))
	is.True(!r.Known())
	is.Equal(currentLimit(r), 1.0) // an unread record may have been accepted instead
	reduce(r, time.Hour, logRead(30, checkpointRecord(t, 31, 2, 31)))
	is.Equal(currentLimit(r), 7.0)
}

// appendedBodies returns the bodies that a reducer asks to append at a tick.
func appendedBodies(r *document.Reducer, after time.Duration) []string {
	var bodies []string
	for _, e := range reduce(r, after, rail.NewTimerFired("document.tick")) {
		if a, ok := e.(rail.Append); ok {
			bodies = append(bodies, string(a.Body()))
		}
	}
	return bodies
}

func TestCheckpointBeforeRetentionEnds(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"), document.WithRetention(time.Hour))
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1")))
	is.Equal(len(appendedBodies(r, 29*time.Minute)), 0)
	bodies := appendedBodies(r, time.Hour*3/4)
	is.Equal(len(bodies), 1)
	is.Equal(len(appendedBodies(r, time.Hour*3/4+time.Second)), 0) // the first append may still appear in the log
	is.Equal(len(appendedBodies(r, time.Hour*3/4+11*time.Second)), 1)
	at := start.Add(time.Hour * 3 / 4)
	reduce(r, time.Hour, logRead(0, rail.NewRecord(1, at, rail.RecordDocument, []byte(bodies[0]))))
	is.Equal(len(appendedBodies(r, time.Hour)), 0)
	reduce(r, time.Hour, rail.NewLogUnavailable(nil))
	is.Equal(len(appendedBodies(r, 3*time.Hour)), 0)
}

func TestCheckpointWhenTheLogKeepsLessThanExpected(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"), document.WithRetention(time.Hour))
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1")))
	is.Equal(len(appendedBodies(r, 10*time.Minute)), 0)
	reduce(r, 10*time.Minute, rail.NewLogRead(nil, 1, 1, true))
	bodies := appendedBodies(r, 13*time.Minute)
	is.Equal(len(bodies), 1)
	stated := rail.NewRecord(1, start.Add(13*time.Minute), rail.RecordDocument, []byte(bodies[0]))
	reduce(r, 13*time.Minute, rail.NewLogRead([]rail.Record{stated}, 1, 2, true))
	is.Equal(len(appendedBodies(r, 17*time.Minute)), 0)
	is.Equal(len(appendedBodies(r, 21*time.Minute)), 1) // the log keeps ten minutes
}

func TestVersionInForceIsAdoptedWithoutCheckpoint(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	five, _ := document.Parse(documentWithLimit("5"))
	reduce(r, 0, logRead(10))
	reduce(r, 0, document.NewFetched(five.WithNumber(5)))
	is.Equal(len(appendedBodies(r, 9*time.Second)), 0)
	bodies := appendedBodies(r, 30*time.Second)
	is.Equal(len(bodies), 1)
	reduce(r, 31*time.Second, logRead(10, rail.NewRecord(10, start, rail.RecordDocument, []byte(bodies[0])), publicationRecord(t, 11, 5, "6")))
	is.True(r.Known())
	is.Equal(r.Current().Number(), uint64(6))
}

func TestLogThatLostOnlyItsFirstRecord(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	reduce(r, 0, logRead(1, publicationRecord(t, 1, 0, "66")))
	is.True(!r.Known())
	is.Equal(r.Current().Number(), uint64(0)) // the removed record may have been the first for its base
}

// TestCheckpointOfUnknownStateCoversOnlyKnownRecords checks the checkpoint of a process that does not know the last version: other processes may have accepted a publication that it has read.
func TestCheckpointOfUnknownStateCoversOnlyKnownRecords(t *testing.T) {
	five, _ := document.Parse(documentWithLimit("5"))
	tests := []struct {
		name    string
		records []rail.Record
		want    string
	}{
		{"publication removed", []rail.Record{publicationRecord(t, 10, 5, "6")}, `"readTo":10}`},
		{"publication kept, a rejected one before it", []rail.Record{publicationRecord(t, 10, 5, "8"), publicationRecord(t, 11, 4, "5"), publicationRecord(t, 12, 5, "6")}, `"readTo":12}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := document.New(document.ForEnvironment("trial"))
			reduce(r, 0, logRead(10, tt.records...))
			reduce(r, 0, document.NewFetched(five.WithNumber(5)))
			bodies := appendedBodies(r, 30*time.Second)
			is.Equal(len(bodies), 1)
			is.True(strings.HasSuffix(bodies[0], tt.want))
			next := tt.records[len(tt.records)-1].Offset() + 1
			reduce(r, 31*time.Second, logRead(10, rail.NewRecord(next, start, rail.RecordDocument, []byte(bodies[0]))))
			is.Equal(currentLimit(r), 6.0)
		})
	}
}

func TestOutdatedCheckpointIsCorrected(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1"), publicationRecord(t, 1, 1, "2")))
	is.Equal(len(appendedBodies(r, time.Second)), 0)
	reduce(r, 2*time.Second, logRead(0, checkpointRecord(t, 2, 1, 1)))
	bodies := appendedBodies(r, 3*time.Second)
	is.Equal(len(bodies), 1)
	reduce(r, 4*time.Second, logRead(0, rail.NewRecord(3, start, rail.RecordDocument, []byte(bodies[0]))))
	is.Equal(len(appendedBodies(r, 20*time.Second)), 0)
}
