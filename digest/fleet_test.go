package digest_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/peer"
)

// latency is the one-way time between any two entries of the simulated fleet.
const latency = 1500 * time.Microsecond

// node is one simulated entry.
type node struct {
	me     rail.Instance
	part   *digest.Reducer
	known  *instance.Part
	timers map[rail.TimerName]int
	bytes  int
	learnt map[string]time.Time
}

// fleet runs the digest parts of many entries in simulated time and counts the encoded bytes that they send.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  []*node
	byID   map[rail.InstanceID]*node
	queue  jobs
	cut    func(a, b rail.Instance) bool
	// hear takes in what a node is told beside its membership.
	hear func(n *node, e rail.Event)
}

// job is what happens at a time.
type job struct {
	at    time.Time
	order int
	do    func()
}

type jobs []job

func (q jobs) Len() int { return len(q) }
func (q jobs) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q jobs) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *jobs) Push(x any) { *q = append(*q, x.(job)) }

// Pop implements heap.Interface.
func (q *jobs) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(entries, domains int, seed uint64) *fleet {
	f := &fleet{
		now:    time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, seed)),
		byID:   map[rail.InstanceID]*node{},
		cut:    func(rail.Instance, rail.Instance) bool { return false },
		hear:   func(*node, rail.Event) {},
	}
	var all []rail.Instance
	for i := range entries {
		id := rail.InstanceID(fmt.Sprintf("e%d", i))
		all = append(all, rail.NewInstance(id, rail.Domain(fmt.Sprintf("domain%d", i%domains)), rail.RoleEntry, "127.0.0.1:1").
			WithIncarnation(rail.Incarnation(fmt.Sprintf("%016x", f.random.Uint64()))))
	}
	for _, me := range all {
		n := &node{me: me}
		f.nodes = append(f.nodes, n)
		f.byID[me.ID()] = n
		f.restart(n, me.Incarnation())
	}
	for _, n := range f.nodes {
		f.tell(n, rail.NewListRead(all))
	}
	return f
}

// restart begins a new life of a node within a second.
func (f *fleet) restart(n *node, incarnation rail.Incarnation) {
	n.me = n.me.WithIncarnation(incarnation)
	n.known = instance.New(n.me)
	n.part = digest.New(n.known)
	n.timers, n.learnt = map[rail.TimerName]int{}, map[string]time.Time{}
	part := n.part
	f.after(time.Duration(f.random.Int64N(int64(time.Second))), func() {
		if n.part == part {
			f.post(n, rail.NewTimerFired("digest.tick"))
		}
	})
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, job{at: f.now.Add(d), order: f.queue.Len(), do: do})
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		j := heap.Pop(&f.queue).(job)
		f.now = j.at
		j.do()
	}
	f.now = end
}

// post reduces an event at a node and runs the effects.
func (f *fleet) post(n *node, e rail.Event) {
	part := n.part
	for _, e := range part.Reduce(rail.NewInput(e, f.now, f.random.Uint64())) {
		switch e := e.(type) {
		case rail.SetTimer:
			n.timers[e.Name()]++
			set := n.timers[e.Name()]
			f.after(e.After(), func() {
				if n.timers[e.Name()] == set && n.part == part {
					f.post(n, rail.NewTimerFired(e.Name()))
				}
			})
		case rail.Raise:
			f.learn(n, e.Event())
		case digest.Exchange:
			f.exchange(n, e)
		}
	}
}

// tell lets a node's membership take in an event and publishes what it wants told.
func (f *fleet) tell(n *node, e rail.Event) {
	f.hear(n, e)
	for _, effect := range n.known.Reduce(rail.NewInput(e, f.now, f.random.Uint64())) {
		if p, ok := effect.(rail.Publish); ok {
			f.post(n, digest.NewFactPublished(p))
		}
	}
}

// learn notes when a node learns of facts and tells its membership.
func (f *fleet) learn(n *node, e rail.Event) {
	f.tell(n, e)
	learnt, ok := e.(rail.FactsLearned)
	if !ok {
		return
	}
	for _, fact := range learnt.Facts() {
		name := string(fact.Key().Kind()) + fact.Value()
		if _, ok := n.learnt[name]; !ok {
			n.learnt[name] = f.now
		}
	}
}

// exchange carries a request to the peer and its response back, both encoded.
func (f *fleet) exchange(n *node, e digest.Exchange) {
	to := f.byID[e.Peer().ID()]
	if f.cut(n.me, to.me) {
		f.after(time.Second, func() { f.post(n, digest.NewExchangeFailed(e.Peer())) })
		return
	}
	request := peer.RequestMessage(e.Request())
	n.bytes += proto.Size(request)
	f.after(latency, func() {
		for _, answer := range to.part.Reduce(rail.NewInput(digest.NewAsked("call", peer.RequestFrom(request)), f.now, f.random.Uint64())) {
			switch a := answer.(type) {
			case digest.Answered:
				response := peer.ResponseMessage(a.Response())
				to.bytes += proto.Size(response)
				f.after(latency, func() { f.post(n, digest.NewReplied(e.Peer(), peer.ResponseFrom(response, e.Request()))) })
			case rail.Raise:
				f.learn(to, a.Event())
			case rail.SetTimer:
				f.after(a.After(), func() { f.post(to, rail.NewTimerFired(a.Name())) })
			}
		}
	})
}

// load lets every entry publish frequent facts of five teams, four routes and four upstream loads each second.
func (f *fleet) load() {
	for _, n := range f.nodes {
		for i := range 5 {
			f.post(n, digest.NewFactPublished(rail.NewPublish(rail.FactDemand, fmt.Sprintf("team%d", i), fmt.Sprint(f.random.IntN(1000)))))
		}
		for i := range 4 {
			f.post(n, digest.NewFactPublished(rail.NewPublish(rail.FactEvidence, fmt.Sprintf("route%d/v2", i), fmt.Sprintf("%d,%d,%d", f.random.IntN(100000), f.random.IntN(100), f.random.IntN(1000)))))
			f.post(n, digest.NewFactPublished(rail.NewPublish(rail.FactLoad, fmt.Sprintf("m%d-%s", i, n.me.ID()), fmt.Sprint(f.random.IntN(64)))))
		}
	}
	f.after(time.Second, f.load)
}

// spread publishes an urgent fact at one entry and returns how long it takes until all have it, zero if not within the time.
func (f *fleet) spread(name string, within time.Duration) time.Duration {
	from := f.nodes[f.random.IntN(len(f.nodes))]
	began := f.now
	f.post(from, digest.NewFactPublished(rail.NewPublish(rail.FactBrake, name, name)))
	f.run(within)
	var last time.Duration
	for _, n := range f.nodes {
		at, ok := n.learnt[string(rail.FactBrake)+name]
		if !ok && n != from {
			return 0
		}
		if n != from {
			last = max(last, at.Sub(began))
		}
	}
	return last
}

// sizes are the fleets of today and the largest ones.
var sizes = []struct{ entries, domains int }{{9, 4}, {81, 8}, {330, 8}}

// BenchmarkFleet measures the bytes that an entry sends and how fast an urgent fact is everywhere.
func BenchmarkFleet(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			for range b.N {
				f := newFleet(size.entries, size.domains, 1)
				f.load()
				f.run(60 * time.Second)
				sent, began := f.sent(), f.now
				f.run(60 * time.Second)
				b.ReportMetric(float64(f.sent()-sent)/f.now.Sub(began).Seconds()/float64(size.entries), "B/s/entry")
				var slowest, sum time.Duration
				const trials = 20
				for i := range trials {
					took := f.spread(fmt.Sprintf("brake%d", i), 10*time.Second)
					if took == 0 {
						b.Fatal("a fact is not everywhere")
					}
					slowest, sum = max(slowest, took), sum+took
				}
				b.ReportMetric(slowest.Seconds(), "s-slowest")
				b.ReportMetric(sum.Seconds()/trials, "s-mean")
			}
		})
	}
}

// sent returns the bytes that all entries have sent.
func (f *fleet) sent() int {
	total := 0
	for _, n := range f.nodes {
		total += n.bytes
	}
	return total
}

// TestFactIsEverywhereInSeconds holds the targets of the largest fleet and of today's.
func TestFactIsEverywhereInSeconds(t *testing.T) {
	tests := []struct {
		entries, domains int
		within           time.Duration
	}{
		{9, 4, 3 * time.Second},
		{330, 8, 6 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.entries), func(t *testing.T) {
			f := newFleet(tt.entries, tt.domains, 2)
			f.run(10 * time.Second)
			for i := range 5 {
				if f.spread(fmt.Sprint("brake", i), tt.within) == 0 {
					t.Errorf("fact %d is not everywhere within %s", i, tt.within)
				}
			}
		})
	}
}
