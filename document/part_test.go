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

// text returns a good document that differs by its limit.
func text(limit string) string { return strings.Replace(good, "limit = 200", "limit = "+limit, 1) }

// published returns the record of a publication at the offset.
func published(t *testing.T, offset rail.Offset, base uint64, limit string) rail.Record {
	t.Helper()
	d, faults := document.Parse(text(limit))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	body, err := document.NewPublication(d, base)
	if err != nil {
		t.Fatal(err)
	}
	return rail.NewRecord(offset, start, rail.RecordDocument, body)
}

// read returns the event for records that end the log.
func read(oldest rail.Offset, records ...rail.Record) rail.Event {
	next := oldest
	if len(records) > 0 {
		next = records[len(records)-1].Offset() + 1
	}
	return rail.NewLogRead(records, oldest, next, true)
}

func reduce(p *document.Part, after time.Duration, e rail.Event) []rail.Effect {
	return p.Reduce(rail.NewInput(e, start.Add(after), 5))
}

func limit(p *document.Part) float64 {
	team, _ := p.Current().Team("members")
	return team.Limit()
}

func TestFirstRecordOfABaseWins(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"))
	effects := reduce(p, 0, read(0, published(t, 0, 0, "1"), published(t, 1, 0, "2"), published(t, 2, 1, "3"), published(t, 3, 7, "4")))
	is.Equal(p.Current().Number(), uint64(2))
	is.Equal(limit(p), 3.0)
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
	p := document.New(document.ForEnvironment("trial"))
	other := rail.NewRecord(1, start, rail.RecordDocument, []byte(`{"environment":"production","base":0,"number":1,"source":"x"}`))
	torn := rail.NewRecord(0, start, rail.RecordDocument, []byte(`{"environment":`))
	jump := rail.NewRecord(2, start, rail.RecordDocument, []byte(`{"environment":"trial","base":0,"number":5,"source":"x"}`))
	reduce(p, 0, read(0, torn, other, jump, published(t, 3, 0, "9")))
	is.Equal(p.Current().Number(), uint64(1))
	is.Equal(limit(p), 9.0)
}

func TestUnreadableTextCountsButIsNotApplied(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"))
	future := rail.NewRecord(1, start, rail.RecordDocument, []byte(`{"environment":"trial","base":1,"number":2,"source":"[new.section]"}`))
	reduce(p, 0, read(0, published(t, 0, 0, "1"), future))
	is.Equal(p.Current().Number(), uint64(1))
	reduce(p, time.Second, read(0, published(t, 2, 1, "5"), published(t, 3, 2, "6")))
	is.Equal(p.Current().Number(), uint64(3))
	is.Equal(limit(p), 6.0)
}

func TestOfferedNeverGoesDown(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("trial"))
	three, _ := document.Parse(text("3"))
	two, _ := document.Parse(text("2"))
	reduce(p, 0, document.NewOffered(three.WithNumber(3)))
	reduce(p, 0, document.NewOffered(two.WithNumber(2)))
	is.Equal(limit(p), 3.0)
	// The log is read behind what the peer has: a record for a base that was never accepted there stays rejected.
	reduce(p, 0, read(0, published(t, 0, 0, "1"), published(t, 1, 3, "66"), published(t, 2, 1, "2"), published(t, 3, 2, "3")))
	is.Equal(p.Current().Number(), uint64(3))
	is.Equal(limit(p), 3.0)
}

func TestReady(t *testing.T) {
	one, _ := document.Parse(text("1"))
	tests := []struct {
		name   string
		events []rail.Event
		after  time.Duration
		want   bool
	}{
		{"nothing read", nil, time.Minute, false},
		{"log read", []rail.Event{read(0, published(t, 0, 0, "1"))}, 0, true},
		{"empty log", []rail.Event{read(0)}, time.Minute, false},
		{"log away, peer answered", []rail.Event{rail.NewLogUnavailable(nil), document.NewOffered(one.WithNumber(4))}, 0, true},
		{"log broke off, peers not asked", []rail.Event{rail.NewLogRead([]rail.Record{published(t, 0, 0, "1")}, 0, 1, false), rail.NewLogUnavailable(nil)}, time.Second, false},
		{"log broke off, no peer in time", []rail.Event{rail.NewLogRead([]rail.Record{published(t, 0, 0, "1")}, 0, 1, false), rail.NewLogUnavailable(nil)}, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := document.New(document.ForEnvironment("trial"))
			var effects []rail.Effect
			for _, e := range tt.events {
				effects = append(effects, reduce(p, 0, e)...)
			}
			is.Equal(p.Ready(start.Add(tt.after)), tt.want)
			effects = append(effects, reduce(p, tt.after, rail.NewTimerFired("document.tick"))...)
			is.Equal(inForce(effects) > 0, tt.want) // no part serves by a document before
		})
	}
}

func TestPeersOfAnotherEnvironment(t *testing.T) {
	is := is.New(t)
	p := document.New(document.ForEnvironment("production"))
	key := rail.NewFactKey(rail.FactDocument, "trial", "e2-a")
	effects := reduce(p, 0, rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "7")}))
	for _, e := range effects {
		_, asks := e.(document.Fetch)
		is.True(!asks)
	}
	trial, _ := document.Parse(good)
	reduce(p, 0, document.NewOffered(trial.WithNumber(7)))
	is.Equal(p.Current().Number(), uint64(0))
	is.True(!p.Ready(start))
}

func TestGonePeersAreDropped(t *testing.T) {
	is := is.New(t)
	p := document.New()
	for i := range 1000 {
		key := rail.NewFactKey(rail.FactDocument, "trial", rail.Incarnation(fmt.Sprint(i)))
		reduce(p, 0, rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "1")}))
	}
	reduce(p, 0, rail.NewListRead([]rail.Instance{rail.NewInstance("e7", "breno", rail.RoleEntry, "").WithIncarnation("7")}))
	is.Equal(p.Numbers(), map[rail.Incarnation]uint64{"7": 1})
}

// inForce returns how often a document was put into force.
func inForce(effects []rail.Effect) int {
	n := 0
	for _, e := range effects {
		if r, ok := e.(rail.Raise); ok && r.Event().EventName() == (rail.DocumentInForce{}).EventName() {
			n++
		}
	}
	return n
}
