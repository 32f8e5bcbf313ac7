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

// checkpointed returns a record that states the version accepted last before the offset readTo.
func checkpointed(t *testing.T, offset rail.Offset, number uint64, readTo rail.Offset) rail.Record {
	t.Helper()
	body, err := json.Marshal(map[string]any{"environment": "trial", "base": number, "number": number, "source": text("7"), "readTo": readTo})
	if err != nil {
		t.Fatal(err)
	}
	return rail.NewRecord(offset, start, rail.RecordDocument, body)
}

// TestFreshReaderOfATrimmedLog reads a log whose records before offset 10 are gone.
func TestFreshReaderOfATrimmedLog(t *testing.T) {
	p := func(offset rail.Offset, base uint64) rail.Record { return published(t, offset, base, "9") }
	r := func(offset rail.Offset, number uint64, readTo rail.Offset) rail.Record {
		return checkpointed(t, offset, number, readTo)
	}
	tests := []struct {
		name    string
		records []rail.Record
		want    uint64
		known   bool
	}{
		{"a publication may have lost to one that is gone", []rail.Record{p(10, 1)}, 0, false},
		{"checkpoint", []rail.Record{p(10, 1), r(20, 2, 15)}, 2, true},
		{"published behind the checkpoint", []rail.Record{r(20, 2, 15), p(21, 2)}, 3, true},
		{"published before the checkpoint and behind what it had read", []rail.Record{p(17, 2), r(20, 2, 15)}, 3, true},
		{"a guess before what the checkpoint had read", []rail.Record{p(12, 2), r(20, 2, 15)}, 2, true},
		{"a late checkpoint had read less than is gone", []rail.Record{r(20, 2, 5), p(21, 2)}, 2, false},
		{"a late checkpoint and then a good one", []rail.Record{r(20, 2, 5), p(21, 2), r(22, 3, 22)}, 3, true},
		{"two checkpoints", []rail.Record{r(20, 2, 15), p(21, 2), r(22, 2, 15), p(23, 3)}, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			part := document.New(document.ForEnvironment("trial"))
			reduce(part, 0, read(10, tt.records...))
			is.Equal(part.Current().Number(), tt.want)
			is.Equal(part.Known(), tt.known)
		})
	}
}

func TestGapMakesTheStateUnknown(t *testing.T) {
	is := is.New(t)
	part := document.New(document.ForEnvironment("trial"))
	reduce(part, 0, read(0, published(t, 0, 0, "1")))
	is.True(part.Known())
	reduce(part, time.Hour, read(30, published(t, 30, 1, "66")))
	is.True(!part.Known())
	is.Equal(limit(part), 1.0) // the record may have lost to an unread one
	reduce(part, time.Hour, read(30, checkpointed(t, 31, 2, 31)))
	is.Equal(limit(part), 7.0)
}

// appends returns the bodies that a part asks to append at a tick.
func appends(p *document.Part, after time.Duration) []string {
	var bodies []string
	for _, e := range reduce(p, after, rail.NewTimerFired("document.tick")) {
		if a, ok := e.(rail.Append); ok {
			bodies = append(bodies, string(a.Body()))
		}
	}
	return bodies
}

func TestCheckpointBeforeRetentionEnds(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"), document.WithRetention(time.Hour))
	reduce(p, 0, read(0, published(t, 0, 0, "1")))
	is.Equal(len(appends(p, 29*time.Minute)), 0)
	bodies := appends(p, time.Hour*3/4)
	is.Equal(len(bodies), 1)
	is.Equal(len(appends(p, time.Hour*3/4+time.Second)), 0) // it may still show
	is.Equal(len(appends(p, time.Hour*3/4+11*time.Second)), 1)
	at := start.Add(time.Hour * 3 / 4)
	reduce(p, time.Hour, read(0, rail.NewRecord(1, at, rail.RecordDocument, []byte(bodies[0]))))
	is.Equal(len(appends(p, time.Hour)), 0)
	reduce(p, time.Hour, rail.NewLogUnavailable(nil))
	is.Equal(len(appends(p, 3*time.Hour)), 0)
}

func TestCheckpointWhenTheLogKeepsLessThanExpected(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"), document.WithRetention(time.Hour))
	reduce(p, 0, read(0, published(t, 0, 0, "1")))
	is.Equal(len(appends(p, 10*time.Minute)), 0)
	reduce(p, 10*time.Minute, rail.NewLogRead(nil, 1, 1, true))
	bodies := appends(p, 13*time.Minute)
	is.Equal(len(bodies), 1)
	stated := rail.NewRecord(1, start.Add(13*time.Minute), rail.RecordDocument, []byte(bodies[0]))
	reduce(p, 13*time.Minute, rail.NewLogRead([]rail.Record{stated}, 1, 2, true))
	is.Equal(len(appends(p, 17*time.Minute)), 0)
	is.Equal(len(appends(p, 21*time.Minute)), 1) // the log keeps ten minutes
}

func TestStatesTheVersionInForceWhenNobodyElseCan(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"))
	five, _ := document.Parse(text("5"))
	reduce(p, 0, read(10))
	reduce(p, 0, document.NewOffered(five.WithNumber(5)))
	is.Equal(len(appends(p, 9*time.Second)), 0)
	bodies := appends(p, 30*time.Second)
	is.Equal(len(bodies), 1)
	reduce(p, 31*time.Second, read(10, rail.NewRecord(10, start, rail.RecordDocument, []byte(bodies[0])), published(t, 11, 5, "6")))
	is.True(p.Known())
	is.Equal(p.Current().Number(), uint64(6))
}

func TestLogThatLostOnlyItsFirstRecord(t *testing.T) {
	is := is.New(t)
	part := document.New(document.ForEnvironment("trial"))
	reduce(part, 0, read(1, published(t, 1, 0, "66")))
	is.True(!part.Known())
	is.Equal(part.Current().Number(), uint64(0)) // the record that is gone may have been the first for its base
}

// TestUnknownStateIsStatedNoFurtherThanSure lets a process that does not know the last version write a checkpoint: a publication that it has read may have been accepted by others.
func TestUnknownStateIsStatedNoFurtherThanSure(t *testing.T) {
	five, _ := document.Parse(text("5"))
	tests := []struct {
		name    string
		records []rail.Record
		want    string
	}{
		{"publication gone", []rail.Record{published(t, 10, 5, "6")}, `"readTo":10}`},
		{"publication left, a guess before it", []rail.Record{published(t, 10, 5, "8"), published(t, 11, 4, "5"), published(t, 12, 5, "6")}, `"readTo":12}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := document.New(document.ForEnvironment("trial"))
			reduce(p, 0, read(10, tt.records...))
			reduce(p, 0, document.NewOffered(five.WithNumber(5)))
			bodies := appends(p, 30*time.Second)
			is.Equal(len(bodies), 1)
			is.True(strings.HasSuffix(bodies[0], tt.want))
			next := tt.records[len(tt.records)-1].Offset() + 1
			reduce(p, 31*time.Second, read(10, rail.NewRecord(next, start, rail.RecordDocument, []byte(bodies[0]))))
			is.Equal(limit(p), 6.0)
		})
	}
}

func TestCheckpointThatIsBehindIsAnswered(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"))
	reduce(p, 0, read(0, published(t, 0, 0, "1"), published(t, 1, 1, "2")))
	is.Equal(len(appends(p, time.Second)), 0)
	reduce(p, 2*time.Second, read(0, checkpointed(t, 2, 1, 1)))
	bodies := appends(p, 3*time.Second)
	is.Equal(len(bodies), 1)
	reduce(p, 4*time.Second, read(0, rail.NewRecord(3, start, rail.RecordDocument, []byte(bodies[0]))))
	is.Equal(len(appends(p, 20*time.Second)), 0)
}
