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

// documents lets each node of a fleet keep the document and fetch it from peers.
type documents struct {
	f     *fleet
	parts map[*node]*document.Part
}

func newDocuments(f *fleet) *documents {
	d := &documents{f: f, parts: map[*node]*document.Part{}}
	for _, n := range f.nodes {
		d.parts[n] = document.New(document.ForEnvironment("trial"), document.ForProcess(n.me.Incarnation()))
		d.take(n, rail.NewLogRead(nil, 0, 0, true))
		d.take(n, rail.NewLogUnavailable(nil))
		d.tick(n)
	}
	f.hear = d.take
	return d
}

func (d *documents) tick(n *node) {
	d.take(n, rail.NewTimerFired("document.tick"))
	d.f.after(500*time.Millisecond, func() { d.tick(n) })
}

// take reduces an event at a node and runs the effects.
func (d *documents) take(n *node, e rail.Event) {
	for _, effect := range d.parts[n].Reduce(rail.NewInput(e, d.f.now, d.f.random.Uint64())) {
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
		if other.me.Incarnation() == from && !d.f.cut(n.me, other.me) {
			d.f.after(2*latency, func() { d.take(n, document.NewOffered(d.parts[other].Current())) })
			return
		}
	}
	d.f.after(time.Second, func() { d.take(n, document.NewFetchFailed(from)) })
}

// without returns how many nodes lack the version.
func (d *documents) without(number uint64) int {
	count := 0
	for _, p := range d.parts {
		if p.Current().Number() < number {
			count++
		}
	}
	return count
}

// publish lets one node read a publication that no other node can read.
func (d *documents) publish(n *node, number uint64) {
	text, _ := document.Parse(fmt.Sprintf(source, number))
	body, _ := document.NewPublication(text, number-1)
	offset := rail.Offset(number - 1)
	record := rail.NewRecord(offset, d.f.now, rail.RecordDocument, body)
	d.take(n, rail.NewLogRead([]rail.Record{record}, 0, offset+1, true))
}

// TestDocumentReachesEntriesCutOffFromTheLog lets one entry read a version; all others hear of it from peers only.
func TestDocumentReachesEntriesCutOffFromTheLog(t *testing.T) {
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
			f.run(5 * time.Second)
			for number := uint64(1); number <= 5; number++ {
				d.publish(f.nodes[0], number)
				var took time.Duration
				for ; took < tt.within && d.without(number) > 0; took += 100 * time.Millisecond {
					f.run(100 * time.Millisecond)
				}
				is.Equal(d.without(number), 0)
				t.Logf("version %d in force everywhere within %s", number, took)
			}
		})
	}
}

// TestDocumentAfterPartition cuts a domain off while a version is published, and heals the cut.
func TestDocumentAfterPartition(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 7)
	d := newDocuments(f)
	f.run(5 * time.Second)
	f.cut = func(a, b rail.Instance) bool { return (a.Domain() == "domain3") != (b.Domain() == "domain3") }
	d.publish(f.nodes[0], 1)
	f.run(inForce)
	is.Equal(d.without(1), 2) // the domain that is cut off
	f.run(time.Minute)
	f.cut = func(rail.Instance, rail.Instance) bool { return false }
	f.run(inForce)
	is.Equal(d.without(1), 0)
}

// inForce is the time in which a version must be in force in every domain that can be reached.
const inForce = 3 * time.Second
