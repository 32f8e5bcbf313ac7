package document_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// documentWithLimit returns the valid document with another limit.
func documentWithLimit(limit string) string {
	return strings.Replace(validDocument, "limit = 200", "limit = "+limit, 1)
}

// publicationRecord returns the record of a publication at the offset.
func publicationRecord(t *testing.T, offset rail.Offset, base uint64, limit string) rail.Record {
	t.Helper()
	d, faults := document.Parse(documentWithLimit(limit))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	body, err := document.NewPublication(d, base)
	if err != nil {
		t.Fatal(err)
	}
	return rail.NewRecord(offset, start, rail.RecordDocument, body)
}

// logRead returns the event of a read that reaches the end of the log.
func logRead(oldest rail.Offset, records ...rail.Record) rail.Event {
	next := oldest
	if len(records) > 0 {
		next = records[len(records)-1].Offset() + 1
	}
	return rail.NewLogRead(records, oldest, next, true)
}

func reduce(r *document.Reducer, after time.Duration, e rail.Event) []rail.Effect {
	return r.Reduce(rail.NewInput(e, start.Add(after), 5))
}

func currentLimit(r *document.Reducer) float64 {
	team, _ := r.Current().Team("members")
	return team.Limit()
}

func TestFirstRecordOfABaseWins(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	effects := reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1"), publicationRecord(t, 1, 0, "2"), publicationRecord(t, 2, 1, "3"), publicationRecord(t, 3, 7, "4")))
	is.Equal(r.Current().Number(), uint64(2))
	is.Equal(currentLimit(r), 3.0)
	var rejected []string
	for _, e := range effects {
		if r, ok := e.(rail.Report); ok && r.Number() == rail.EventDocumentRejected {
			rejected = append(rejected, r.Subject())
		}
	}
	is.Equal(rejected, []string{"offset 1", "offset 3"})
}

func TestBadRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	other := rail.NewRecord(1, start, rail.RecordDocument, []byte(`{"environment":"production","base":0,"number":1,"source":"x"}`))
	torn := rail.NewRecord(0, start, rail.RecordDocument, []byte(`{"environment":`))
	jump := rail.NewRecord(2, start, rail.RecordDocument, []byte(`{"environment":"trial","base":0,"number":5,"source":"x"}`))
	reduce(r, 0, logRead(0, torn, other, jump, publicationRecord(t, 3, 0, "9")))
	is.Equal(r.Current().Number(), uint64(1))
	is.Equal(currentLimit(r), 9.0)
}

func TestUnreadableTextCountsButIsNotApplied(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	future := rail.NewRecord(1, start, rail.RecordDocument, []byte(`{"environment":"trial","base":1,"number":2,"source":"[new.section]"}`))
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1"), future))
	is.Equal(r.Current().Number(), uint64(1))
	reduce(r, time.Second, logRead(0, publicationRecord(t, 2, 1, "5"), publicationRecord(t, 3, 2, "6")))
	is.Equal(r.Current().Number(), uint64(3))
	is.Equal(currentLimit(r), 6.0)
}

func TestFetchedDocumentNeverLowersTheVersion(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("trial"))
	three, _ := document.Parse(documentWithLimit("3"))
	two, _ := document.Parse(documentWithLimit("2"))
	reduce(r, 0, document.NewFetched(three.WithNumber(3)))
	reduce(r, 0, document.NewFetched(two.WithNumber(2)))
	is.Equal(currentLimit(r), 3.0)
	// The log is read after the peer's document: a record whose base was not accepted at its offset stays rejected.
	reduce(r, 0, logRead(0, publicationRecord(t, 0, 0, "1"), publicationRecord(t, 1, 3, "66"), publicationRecord(t, 2, 1, "2"), publicationRecord(t, 3, 2, "3")))
	is.Equal(r.Current().Number(), uint64(3))
	is.Equal(currentLimit(r), 3.0)
}

func TestReady(t *testing.T) {
	one, _ := document.Parse(documentWithLimit("1"))
	tests := []struct {
		name   string
		events []rail.Event
		after  time.Duration
		want   bool
	}{
		{"nothing read", nil, time.Minute, false},
		{"log read", []rail.Event{logRead(0, publicationRecord(t, 0, 0, "1"))}, 0, true},
		{"empty log", []rail.Event{logRead(0)}, time.Minute, false},
		{"log unavailable, peer answered", []rail.Event{rail.NewLogUnavailable(nil), document.NewFetched(one.WithNumber(4))}, 0, true},
		{"log read interrupted, peers not asked", []rail.Event{rail.NewLogRead([]rail.Record{publicationRecord(t, 0, 0, "1")}, 0, 1, false), rail.NewLogUnavailable(nil)}, time.Second, false},
		{"log read interrupted, no peer in time", []rail.Event{rail.NewLogRead([]rail.Record{publicationRecord(t, 0, 0, "1")}, 0, 1, false), rail.NewLogUnavailable(nil)}, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := document.New(document.ForEnvironment("trial"))
			var effects []rail.Effect
			for _, e := range tt.events {
				effects = append(effects, reduce(r, 0, e)...)
			}
			is.Equal(r.Ready(start.Add(tt.after)), tt.want)
			effects = append(effects, reduce(r, tt.after, rail.NewTimerFired("document.tick"))...)
			is.Equal(countInForce(effects) > 0, tt.want) // the other reducers get no document before
		})
	}
}

func TestPeersOfAnotherEnvironment(t *testing.T) {
	is := is.New(t)
	r := document.New(document.ForEnvironment("production"))
	key := rail.NewFactKey(rail.FactDocument, "trial", "e2-a")
	effects := reduce(r, 0, rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "7")}))
	for _, e := range effects {
		_, asks := e.(document.Fetch)
		is.True(!asks)
	}
	trial, _ := document.Parse(validDocument)
	reduce(r, 0, document.NewFetched(trial.WithNumber(7)))
	is.Equal(r.Current().Number(), uint64(0))
	is.True(!r.Ready(start))
}

func TestUnlistedPeersAreDropped(t *testing.T) {
	is := is.New(t)
	r := document.New()
	for i := range 1000 {
		key := rail.NewFactKey(rail.FactDocument, "trial", rail.Incarnation(fmt.Sprint(i)))
		reduce(r, 0, rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "1")}))
	}
	reduce(r, 0, rail.NewListRead([]rail.Instance{rail.NewInstance("e7", "breno", rail.RoleEntry, "").WithIncarnation("7")}))
	is.Equal(r.Numbers(), map[rail.Incarnation]uint64{"7": 1})
}

// countInForce returns how many documents were put into force.
func countInForce(effects []rail.Effect) int {
	n := 0
	for _, e := range effects {
		if r, ok := e.(rail.Raise); ok && r.Event().EventName() == (rail.DocumentInForce{}).EventName() {
			n++
		}
	}
	return n
}
