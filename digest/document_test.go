package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
)

const source = "[environment]\nname = trial\n[team.members]\ntokenHash = " +
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n" +
	"[route.frames]\nkind = model\nserves = frame-writer\nidempotent = true\nstable = v%d\n"

// documents adds a document reducer to each node of a fleet and fetches documents from peers.
type documents struct {
	f        *fleet
	reducers map[*node]*document.Reducer
}

func newDocuments(f *fleet) *documents {
	d := &documents{f: f, reducers: map[*node]*document.Reducer{}}
	for _, n := range f.nodes {
		d.reducers[n] = document.New(document.ForEnvironment("trial"), document.ForProcess(n.me.Incarnation()))
		d.deliver(n, rail.NewLogRead(nil, 0, 0, true))
		d.deliver(n, rail.NewLogUnavailable(nil))
		d.tick(n)
	}
	f.onEvent = d.deliver
	return d
}

func (d *documents) tick(n *node) {
	d.deliver(n, rail.NewTimerFired("document.tick"))
	d.f.after(500*time.Millisecond, func() { d.tick(n) })
}

// deliver processes an event at a node and executes the effects.
func (d *documents) deliver(n *node, e rail.Event) {
	for _, effect := range d.reducers[n].Reduce(rail.NewInput(e, d.f.now, d.f.random.Uint64())) {
		switch effect := effect.(type) {
		case rail.Publish:
			d.f.post(n, digest.NewFactPublished(effect))
		case document.Fetch:
			d.fetch(n, effect.Peer())
		}
	}
}

func (d *documents) fetch(n *node, from rail.Incarnation) {
	for _, other := range d.f.nodes {
		if other.me.Incarnation() == from && !d.f.partitioned(n.me, other.me) {
			d.f.after(2*latency, func() { d.deliver(n, document.NewFetched(d.reducers[other].Current())) })
			return
		}
	}
	d.f.after(time.Second, func() { d.deliver(n, document.NewFetchFailed(from)) })
}

// countLacking returns how many nodes lack the version.
func (d *documents) countLacking(number uint64) int {
	count := 0
	for _, r := range d.reducers {
		if r.Current().Number() < number {
			count++
		}
	}
	return count
}

// publish delivers a log record to one node only.
func (d *documents) publish(n *node, number uint64) {
	text, _ := document.Parse(fmt.Sprintf(source, number))
	body, _ := document.NewPublication(text, number-1)
	offset := rail.Offset(number - 1)
	record := rail.NewRecord(offset, d.f.now, rail.RecordDocument, body)
	d.deliver(n, rail.NewLogRead([]rail.Record{record}, 0, offset+1, true))
}

// TestDocumentReachesEntriesThatCannotReadTheLog publishes versions that only one entry can read; all others receive them from peers.
func TestDocumentReachesEntriesThatCannotReadTheLog(t *testing.T) {
	tests := []struct {
		entries, domains int
		within           time.Duration
	}{
		{9, 4, 3 * time.Second},
		{330, 8, 6 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(tt.entries, tt.domains, 6)
			d := newDocuments(f)
			f.advance(5 * time.Second)
			for number := uint64(1); number <= 5; number++ {
				d.publish(f.nodes[0], number)
				var took time.Duration
				for ; took < tt.within && d.countLacking(number) > 0; took += 100 * time.Millisecond {
					f.advance(100 * time.Millisecond)
				}
				is.Equal(d.countLacking(number), 0)
				t.Logf("version %d in force at all entries within %s", number, took)
			}
		})
	}
}

// TestDocumentAfterPartition publishes a version while one domain is partitioned, and then repairs the network.
func TestDocumentAfterPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 7)
	d := newDocuments(f)
	f.advance(5 * time.Second)
	f.partitioned = func(a, b rail.Instance) bool { return (a.Domain() == "domain3") != (b.Domain() == "domain3") }
	d.publish(f.nodes[0], 1)
	f.advance(inForceWithin)
	is.Equal(d.countLacking(1), 2) // the partitioned domain
	f.advance(time.Minute)
	f.partitioned = func(rail.Instance, rail.Instance) bool { return false }
	f.advance(inForceWithin)
	is.Equal(d.countLacking(1), 0)
}

// inForceWithin is the time within which a version must be in force in every reachable domain.
const inForceWithin = 3 * time.Second
