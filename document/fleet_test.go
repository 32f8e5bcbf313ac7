package document_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
)

const (
	retention = time.Minute
	tick      = 250 * time.Millisecond
	// inForceWithin is the time in which an accepted document must be in force.
	inForceWithin = 3 * time.Second
	nodes         = 4
)

// node is one process and how long it has been connected.
type node struct {
	life     int
	part     *document.Part
	next     rail.Offset
	highest  uint64
	logCut   bool
	logSince time.Time
	has      map[uint64]time.Time
}

func (n *node) incarnation(i int) rail.Incarnation {
	return rail.Incarnation(fmt.Sprintf("p%d.%d", i, n.life))
}

// world is a log with some processes, in simulated time; accepted holds the documents that any process ever had in force.
type world struct {
	t         *rapid.T
	now       time.Time
	steps     int
	log       []rail.Record
	oldest    rail.Offset
	outage    bool
	nodes     [nodes]*node
	linked    [nodes][nodes]time.Time
	delayed   []delayed
	accepted  map[uint64]acceptance
	published int
}

// acceptance is a document and when it was first in force anywhere.
type acceptance struct {
	source string
	at     time.Time
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, accepted: map[uint64]acceptance{}}
	for i := range nodes {
		w.start(i)
		for j := range nodes {
			w.linked[i][j] = start
		}
	}
	return w
}

func (w *world) start(i int) {
	n := &node{logSince: w.now, has: map[uint64]time.Time{}}
	if old := w.nodes[i]; old != nil {
		n.life = old.life + 1
		n.logCut = old.logCut
	}
	n.part = document.New(document.ForEnvironment("trial"), document.WithRetention(retention), document.ForProcess(n.incarnation(i)))
	w.nodes[i] = n
}

func (w *world) append(body []byte) {
	offset := w.oldest + rail.Offset(len(w.log))
	w.log = append(w.log, rail.NewRecord(offset, w.now, rail.RecordDocument, body))
}

// publish lets an operator publish on top of what one process has in force, now and then twice because the answer was lost.
func (w *world) publish() {
	i := rapid.IntRange(0, nodes-1).Draw(w.t, "at")
	if w.outage || w.nodes[i].logCut {
		return
	}
	w.published++
	d, _ := document.Parse(text(fmt.Sprint(w.published)))
	// A base that is not in force yet is a guess that must lose.
	guess := uint64(rapid.IntRange(0, 3).Draw(w.t, "guess") / 3)
	body, _ := document.NewPublication(d, w.nodes[i].part.Current().Number()+guess)
	for range rapid.IntRange(1, 2).Draw(w.t, "appends") {
		w.append(body)
	}
}

// delayed is an append that takes effect late, as its process was paused.
type delayed struct {
	body []byte
	from *node
	at   time.Time
}

// delay is nothing for most appends and up to the retention for some.
func (w *world) delay(i int) time.Duration {
	if x := (w.steps*31 + i*17) % 50; x < 10 {
		return time.Duration(x) * retention / 8
	}
	return 0
}

func (w *world) appendDelayed() {
	w.delayed = slices.DeleteFunc(w.delayed, func(d delayed) bool {
		due := !d.at.After(w.now)
		if due && !w.outage && !d.from.logCut {
			w.append(d.body)
		}
		return due
	})
}

// post reduces an event at a process and runs the effects.
func (w *world) post(i int, e rail.Event) {
	n := w.nodes[i]
	for _, e := range n.part.Reduce(rail.NewInput(e, w.now, uint64(w.steps)*7919+uint64(i))) {
		switch e := e.(type) {
		case rail.Append:
			w.delayed = append(w.delayed, delayed{body: e.Body(), from: n, at: w.now.Add(w.delay(i))})
		case document.Fetch:
			w.fetch(i, e.Peer())
		}
	}
}

func (w *world) fetch(i int, peer rail.Incarnation) {
	for j, other := range w.nodes {
		named := peer == "" || peer == other.incarnation(j)
		if j != i && named && !w.linked[i][j].IsZero() {
			w.post(i, document.NewOffered(other.part.Current()))
			return
		}
	}
	w.post(i, document.NewFetchFailed(peer))
}

// pass lets the time pass in ticks.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.steps++
		for len(w.log) > 0 && w.now.Sub(w.log[0].At()) > retention {
			w.log = w.log[1:]
			w.oldest++
		}
		w.appendDelayed()
		for i := range nodes {
			w.read(i)
			if w.steps%2 == 0 {
				w.post(i, rail.NewTimerFired("document.tick"))
			}
			if w.steps%4 == 0 {
				w.tell(i)
			}
		}
		w.check()
	}
}

// read gives a process at most two records.
func (w *world) read(i int) {
	n := w.nodes[i]
	if w.outage || n.logCut {
		n.logSince = time.Time{}
		w.post(i, rail.NewLogUnavailable(nil))
		return
	}
	if n.logSince.IsZero() {
		n.logSince = w.now
	}
	from := int(max(n.next, w.oldest) - w.oldest)
	rest := w.log[from:]
	records := rest[:min(len(rest), 2)]
	n.next = w.oldest + rail.Offset(from+len(records))
	w.post(i, rail.NewLogRead(slices.Clone(records), w.oldest, n.next, len(records) == len(rest)))
}

// tell gives a process the versions of those that it is linked with.
func (w *world) tell(i int) {
	var facts []rail.Fact
	for j, other := range w.nodes {
		if j != i && !w.linked[i][j].IsZero() {
			key := rail.NewFactKey(rail.FactDocument, "trial", other.incarnation(j))
			facts = append(facts, rail.NewFact(key, other.part.Current().Number(), fmt.Sprint(other.part.Current().Number())))
		}
	}
	w.post(i, rail.NewFactsLearned(facts))
}

// check holds the promise at every process.
func (w *world) check() {
	for i, n := range w.nodes {
		d := n.part.Current()
		if d.Number() < n.highest {
			w.t.Fatalf("%s: process %d went from %d back to %d", w.now.Sub(start), i, n.highest, d.Number())
		}
		n.highest = d.Number()
		if _, ok := w.accepted[d.Number()]; !ok {
			w.accepted[d.Number()] = acceptance{d.Source(), w.now}
		}
		if w.accepted[d.Number()].source != d.Source() {
			w.t.Fatalf("%s: process %d has another document %d than others", w.now.Sub(start), i, d.Number())
		}
		if _, ok := n.has[d.Number()]; !ok {
			n.has[d.Number()] = w.now
		}
		w.checkTime(i)
	}
}

// last returns the number of the last accepted document.
func (w *world) last() uint64 { return slices.Max(slices.Collect(maps.Keys(w.accepted))) }

// checkTime fails if a process lacks what it was connected to for long enough.
func (w *world) checkTime(i int) {
	n := w.nodes[i]
	for number := n.highest + 1; number <= w.last(); number++ {
		if n.part.Known() && !n.logSince.IsZero() && w.now.Sub(n.logSince) > inForceWithin && w.now.Sub(w.accepted[number].at) > inForceWithin {
			w.t.Fatalf("%s: process %d reads the log and lacks %d", w.now.Sub(start), i, number)
		}
		for j, other := range w.nodes {
			since, has := other.has[number]
			if !w.linked[i][j].IsZero() && has && w.now.Sub(w.linked[i][j]) > inForceWithin && w.now.Sub(since) > inForceWithin {
				w.t.Fatalf("%s: process %d is linked with %d and lacks %d", w.now.Sub(start), i, j, number)
			}
		}
	}
}

// cut cuts a link or restores it.
func (w *world) cut() {
	i := rapid.IntRange(0, nodes-1).Draw(w.t, "i")
	j := rapid.IntRange(0, nodes-1).Draw(w.t, "j")
	at := time.Time{}
	if w.linked[i][j].IsZero() {
		at = w.now
	}
	w.linked[i][j], w.linked[j][i] = at, at
}

// anotherKnows reports whether a process beside this one reads the log and knows its state; with none left the log forgets, which docs/document.md names.
func (w *world) anotherKnows(i int) bool {
	for j, n := range w.nodes {
		if j != i && n.part.Known() && !n.logCut {
			return true
		}
	}
	return false
}

func (w *world) restart() {
	if i := rapid.IntRange(0, nodes-1).Draw(w.t, "i"); w.anotherKnows(i) {
		w.start(i)
		for j := range nodes {
			if !w.linked[i][j].IsZero() {
				w.linked[i][j], w.linked[j][i] = w.now, w.now
			}
		}
	}
}

func (w *world) cutLog() {
	i := rapid.IntRange(0, nodes-1).Draw(w.t, "i")
	if n := w.nodes[i]; n.logCut || w.anotherKnows(i) {
		n.logCut = !n.logCut
	}
}

// TestAcceptedDocumentsStay drives processes, operators and faults at random.
func TestAcceptedDocumentsStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.pass(time.Second)
		for range rapid.IntRange(1, 40).Draw(t, "actions") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				w.publish()
			case 3:
				w.outage = !w.outage
			case 4:
				w.cut()
			case 5:
				w.cutLog()
			case 6:
				w.restart()
			case 7:
				w.pass(retention / 4)
			default:
				w.pass(time.Duration(rapid.IntRange(1, 16).Draw(t, "ticks")) * tick)
			}
		}
		w.outage = false
		for i := range nodes {
			w.nodes[i].logCut = false
		}
		w.pass(30 * time.Second)
		for i, n := range w.nodes {
			if n.part.Current().Number() != w.last() {
				t.Fatalf("process %d has %d in force in the end, not %d", i, n.part.Current().Number(), w.last())
			}
		}
	})
}
