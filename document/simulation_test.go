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
	// inForceWithin is the time within which an accepted document must be in force.
	inForceWithin = 3 * time.Second
	nodeCount     = 4
)

// node is one process of the simulation.
type node struct {
	restarts          int
	reducer           *document.Reducer
	next              rail.Offset
	highest           uint64
	logPartitioned    bool
	logConnectedSince time.Time
	inForceSince      map[uint64]time.Time
}

func (n *node) incarnation(i int) rail.Incarnation {
	return rail.Incarnation(fmt.Sprintf("p%d.%d", i, n.restarts))
}

// simulation runs processes that read one log, in simulated time; accepted holds the documents that any process ever had in force.
type simulation struct {
	t           *rapid.T
	now         time.Time
	steps       int
	log         []rail.Record
	oldest      rail.Offset
	outage      bool
	nodes       [nodeCount]*node
	linkedSince [nodeCount][nodeCount]time.Time
	delayed     []delayed
	accepted    map[uint64]acceptedDocument
	published   int
}

// acceptedDocument is a document and when it was first in force anywhere.
type acceptedDocument struct {
	source string
	at     time.Time
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: start, accepted: map[uint64]acceptedDocument{}}
	for i := range nodeCount {
		s.startNode(i)
		for j := range nodeCount {
			s.linkedSince[i][j] = start
		}
	}
	return s
}

func (s *simulation) startNode(i int) {
	n := &node{logConnectedSince: s.now, inForceSince: map[uint64]time.Time{}}
	if old := s.nodes[i]; old != nil {
		n.restarts = old.restarts + 1
		n.logPartitioned = old.logPartitioned
	}
	n.reducer = document.New(document.ForEnvironment("trial"), document.WithRetention(retention), document.ForProcess(n.incarnation(i)))
	s.nodes[i] = n
}

func (s *simulation) append(body []byte) {
	offset := s.oldest + rail.Offset(len(s.log))
	s.log = append(s.log, rail.NewRecord(offset, s.now, rail.RecordDocument, body))
}

// publish publishes on top of the version in force at one process, sometimes twice as after a lost response.
func (s *simulation) publish() {
	i := rapid.IntRange(0, nodeCount-1).Draw(s.t, "at")
	if s.outage || s.nodes[i].logPartitioned {
		return
	}
	s.published++
	d, _ := document.Parse(documentWithLimit(fmt.Sprint(s.published)))
	// A publication on a base that is not in force yet must be rejected.
	ahead := uint64(rapid.IntRange(0, 3).Draw(s.t, "ahead") / 3)
	body, _ := document.NewPublication(d, s.nodes[i].reducer.Current().Number()+ahead)
	for range rapid.IntRange(1, 2).Draw(s.t, "appends") {
		s.append(body)
	}
}

// delayed is an append that takes effect late because its process was paused.
type delayed struct {
	body []byte
	from *node
	at   time.Time
}

// appendDelay returns zero for most appends and up to 9/8 of the retention for the others.
func (s *simulation) appendDelay(i int) time.Duration {
	if x := (s.steps*31 + i*17) % 50; x < 10 {
		return time.Duration(x) * retention / 8
	}
	return 0
}

func (s *simulation) appendDue() {
	s.delayed = slices.DeleteFunc(s.delayed, func(d delayed) bool {
		due := !d.at.After(s.now)
		if due && !s.outage && !d.from.logPartitioned {
			s.append(d.body)
		}
		return due
	})
}

// post processes an event at a process and executes the effects.
func (s *simulation) post(i int, e rail.Event) {
	n := s.nodes[i]
	for _, e := range n.reducer.Reduce(rail.NewInput(e, s.now, uint64(s.steps)*7919+uint64(i))) {
		switch e := e.(type) {
		case rail.Append:
			s.delayed = append(s.delayed, delayed{body: e.Body(), from: n, at: s.now.Add(s.appendDelay(i))})
		case document.Fetch:
			s.fetch(i, e.Peer())
		}
	}
}

func (s *simulation) fetch(i int, peer rail.Incarnation) {
	for j, other := range s.nodes {
		named := peer == "" || peer == other.incarnation(j)
		if j != i && named && !s.linkedSince[i][j].IsZero() {
			s.post(i, document.NewFetched(other.reducer.Current()))
			return
		}
	}
	s.post(i, document.NewFetchFailed(peer))
}

// advance runs the simulation for the duration, in ticks.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		s.steps++
		for len(s.log) > 0 && s.now.Sub(s.log[0].At()) > retention {
			s.log = s.log[1:]
			s.oldest++
		}
		s.appendDue()
		for i := range nodeCount {
			s.deliverLog(i)
			if s.steps%2 == 0 {
				s.post(i, rail.NewTimerFired("document.tick"))
			}
			if s.steps%4 == 0 {
				s.deliverPeerVersions(i)
			}
		}
		s.checkInvariants()
	}
}

// deliverLog delivers at most two records to a process.
func (s *simulation) deliverLog(i int) {
	n := s.nodes[i]
	if s.outage || n.logPartitioned {
		n.logConnectedSince = time.Time{}
		s.post(i, rail.NewLogUnavailable(nil))
		return
	}
	if n.logConnectedSince.IsZero() {
		n.logConnectedSince = s.now
	}
	from := int(max(n.next, s.oldest) - s.oldest)
	rest := s.log[from:]
	records := rest[:min(len(rest), 2)]
	n.next = s.oldest + rail.Offset(from+len(records))
	s.post(i, rail.NewLogRead(slices.Clone(records), s.oldest, n.next, len(records) == len(rest)))
}

// deliverPeerVersions delivers to a process the versions of the processes that it is linked with.
func (s *simulation) deliverPeerVersions(i int) {
	var facts []rail.Fact
	for j, other := range s.nodes {
		if j != i && !s.linkedSince[i][j].IsZero() {
			key := rail.NewFactKey(rail.FactDocument, "trial", other.incarnation(j))
			facts = append(facts, rail.NewFact(key, other.reducer.Current().Number(), fmt.Sprint(other.reducer.Current().Number())))
		}
	}
	s.post(i, rail.NewFactsLearned(facts))
}

// checkInvariants checks the guarantees of the package at every process.
func (s *simulation) checkInvariants() {
	for i, n := range s.nodes {
		d := n.reducer.Current()
		if d.Number() < n.highest {
			s.t.Fatalf("%s: version of process %d decreased from %d to %d", s.now.Sub(start), i, n.highest, d.Number())
		}
		n.highest = d.Number()
		if _, ok := s.accepted[d.Number()]; !ok {
			s.accepted[d.Number()] = acceptedDocument{d.Source(), s.now}
		}
		if s.accepted[d.Number()].source != d.Source() {
			s.t.Fatalf("%s: process %d has a document %d that differs from that of other processes", s.now.Sub(start), i, d.Number())
		}
		if _, ok := n.inForceSince[d.Number()]; !ok {
			n.inForceSince[d.Number()] = s.now
		}
		s.checkConvergence(i)
	}
}

// lastAccepted returns the number of the last accepted document.
func (s *simulation) lastAccepted() uint64 { return slices.Max(slices.Collect(maps.Keys(s.accepted))) }

// checkConvergence fails if a process lacks a document although it was connected to a source of it for inForceWithin.
func (s *simulation) checkConvergence(i int) {
	n := s.nodes[i]
	for number := n.highest + 1; number <= s.lastAccepted(); number++ {
		if n.reducer.Known() && !n.logConnectedSince.IsZero() && s.now.Sub(n.logConnectedSince) > inForceWithin && s.now.Sub(s.accepted[number].at) > inForceWithin {
			s.t.Fatalf("%s: process %d reads the log and lacks %d", s.now.Sub(start), i, number)
		}
		for j, other := range s.nodes {
			since, has := other.inForceSince[number]
			if !s.linkedSince[i][j].IsZero() && has && s.now.Sub(s.linkedSince[i][j]) > inForceWithin && s.now.Sub(since) > inForceWithin {
				s.t.Fatalf("%s: process %d is linked with %d and lacks %d", s.now.Sub(start), i, j, number)
			}
		}
	}
}

// toggleLink partitions two processes or restores their link.
func (s *simulation) toggleLink() {
	i := rapid.IntRange(0, nodeCount-1).Draw(s.t, "i")
	j := rapid.IntRange(0, nodeCount-1).Draw(s.t, "j")
	at := time.Time{}
	if s.linkedSince[i][j].IsZero() {
		at = s.now
	}
	s.linkedSince[i][j], s.linkedSince[j][i] = at, at
}

// anotherNodeKnows reports whether another process reads the log and knows its state. Without one, the state is lost when records expire, a limit that docs/document.md describes.
func (s *simulation) anotherNodeKnows(i int) bool {
	for j, n := range s.nodes {
		if j != i && n.reducer.Known() && !n.logPartitioned {
			return true
		}
	}
	return false
}

func (s *simulation) restart() {
	if i := rapid.IntRange(0, nodeCount-1).Draw(s.t, "i"); s.anotherNodeKnows(i) {
		s.startNode(i)
		for j := range nodeCount {
			if !s.linkedSince[i][j].IsZero() {
				s.linkedSince[i][j], s.linkedSince[j][i] = s.now, s.now
			}
		}
	}
}

func (s *simulation) toggleLogPartition() {
	i := rapid.IntRange(0, nodeCount-1).Draw(s.t, "i")
	if n := s.nodes[i]; n.logPartitioned || s.anotherNodeKnows(i) {
		n.logPartitioned = !n.logPartitioned
	}
}

// TestAcceptedDocumentsStay runs processes, publications and faults in random order and checks the guarantees after each tick.
func TestAcceptedDocumentsStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.advance(time.Second)
		for range rapid.IntRange(1, 40).Draw(t, "actions") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				s.publish()
			case 3:
				s.outage = !s.outage
			case 4:
				s.toggleLink()
			case 5:
				s.toggleLogPartition()
			case 6:
				s.restart()
			case 7:
				s.advance(retention / 4)
			default:
				s.advance(time.Duration(rapid.IntRange(1, 16).Draw(t, "ticks")) * tick)
			}
		}
		s.outage = false
		for i := range nodeCount {
			s.nodes[i].logPartitioned = false
		}
		s.advance(30 * time.Second)
		for i, n := range s.nodes {
			if n.reducer.Current().Number() != s.lastAccepted() {
				t.Fatalf("process %d has version %d in force at the end, want %d", i, n.reducer.Current().Number(), s.lastAccepted())
			}
		}
	})
}
