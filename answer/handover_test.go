package answer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

const (
	maxLosses  = 6
	settleTime = 3 * time.Second
)

// cluster is three entries and the network between them; the first entry is reclaimed.
type cluster struct {
	t           *rapid.T
	simulations []*simulation
	selves      []rail.Instance
	posted      [][]rail.Event
	losses      int
	calls       int
	copied      map[rail.RequestID]bool
	reclaim     bool
	secondWave  bool
}

// fakeNetwork is one entry's mailbox, group and peer client; it runs each call synchronously.
type fakeNetwork struct {
	cluster *cluster
	from    int
}

func (n fakeNetwork) Post(e rail.Event) bool {
	n.cluster.posted[n.from] = append(n.cluster.posted[n.from], e)
	return true
}

func (fakeNetwork) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, nil //nolint:nilnil // no test asks
}

func (fakeNetwork) Go(f func(context.Context)) { f(context.Background()) }

func (n fakeNetwork) HandOver(_ context.Context, successor rail.Instance, ts []answer.Transfer) error {
	return n.cluster.deliver(successor, ts)
}

func (fakeNetwork) Fetch(context.Context, rail.Instance, rail.TeamName, rail.RequestID, int, time.Duration) (answer.ReadResult, error) {
	return answer.ReadResult{}, nil
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, copied: map[rail.RequestID]bool{}}
	for i, domain := range []rail.Domain{"breno", "edolo", "darfo"} {
		self := entryAt(rail.InstanceID(fmt.Sprintf("e%d", i)), domain)
		s := simulationSettings().WithInstance(self.ID()).WithHandover(500*time.Millisecond, 2)
		sim := newSimulation(t, s)
		network := fakeNetwork{cluster: c, from: i}
		sim.sender = answer.NewHandoverSender(s, sim.store, network, network, network)
		c.simulations, c.selves, c.posted = append(c.simulations, sim), append(c.selves, self), append(c.posted, nil)
	}
	for _, sim := range c.simulations {
		sim.reduce(rail.NewListRead(c.selves))
		sim.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
	}
	return c
}

// deliver sends a handover to its successor; the call or its answer may be lost, or the call may arrive twice.
func (c *cluster) deliver(successor rail.Instance, ts []answer.Transfer) error {
	outcome := "arrives"
	if c.losses < maxLosses {
		outcome = rapid.SampledFrom([]string{"arrives", "arrives", "callLost", "answerLost", "arrivesTwice"}).Draw(c.t, "handover")
	}
	if outcome == "callLost" || outcome == "answerLost" {
		c.losses++
	}
	if outcome == "callLost" {
		return rail.NewError(rail.KindUpstreamFailed, "call lost")
	}
	kind := c.receive(successor, ts)
	if outcome == "arrivesTwice" {
		kind = c.receive(successor, ts)
	}
	if outcome == "answerLost" {
		return rail.NewError(rail.KindUpstreamFailed, "answer lost")
	}
	if kind != rail.KindNone {
		return rail.NewError(kind, "refused")
	}
	return nil
}

// receive does what the successor's peer server does.
func (c *cluster) receive(successor rail.Instance, ts []answer.Transfer) rail.Kind {
	for i, self := range c.selves {
		if self.ID() == successor.ID() {
			return c.receiveAt(i, ts)
		}
	}
	c.t.Fatalf("no entry %s", successor.ID())
	return rail.KindInternal
}

func (c *cluster) receiveAt(i int, ts []answer.Transfer) rail.Kind {
	sim := c.simulations[i]
	var open []answer.Transfer
	for _, t := range ts {
		if !sim.store.Done(t.Request().ID()) {
			sim.store.Adopt(t.Request(), t.Answer())
			open = append(open, t)
		}
	}
	c.calls++
	sim.reduce(answer.NewHandoverReceived(rail.RequestID(fmt.Sprintf("call%d", c.calls)), open))
	if sim.handoverKind == rail.KindNone {
		for _, t := range ts {
			c.copied[t.Request().ID()] = true
		}
	}
	return sim.handoverKind
}

// reduceNext lets one entry reduce the oldest event in its queue.
func (c *cluster) reduceNext(i int) {
	if len(c.posted[i]) == 0 {
		return
	}
	e := c.posted[i][0]
	c.posted[i] = c.posted[i][1:]
	c.simulations[i].reduce(e)
}

// leave starts the reclaim of an entry and announces it to all entries.
func (c *cluster) leave(i int) {
	deadline := c.simulations[i].now.Add(reclaimNotice)
	for j, sim := range c.simulations {
		if j == i {
			sim.reduce(rail.NewShutdownStarted(true).WithDeadline(deadline))
		}
		sim.reduce(rail.NewInstanceLeaving(c.selves[i].ID(), "notice"))
	}
}

func (c *cluster) randomAction() {
	i := rapid.IntRange(0, len(c.simulations)-1).Draw(c.t, "entry")
	switch rapid.SampledFrom([]string{"next", "next", "stream", "advance", "secondWave"}).Draw(c.t, "action") {
	case "next":
		c.reduceNext(i)
	case "stream":
		c.simulations[i].randomAction()
	case "advance":
		c.advance()
	case "secondWave":
		if c.reclaim && !c.secondWave {
			c.secondWave = true
			c.leave(1)
		}
	}
}

func (c *cluster) advance() {
	for _, sim := range c.simulations {
		sim.advance()
	}
}

// settle lets the entries run for the given time without further losses.
func (c *cluster) settle(entries []int, d time.Duration) {
	c.losses = maxLosses
	for ; d > 0; d -= tick {
		for _, i := range entries {
			for len(c.posted[i]) > 0 {
				c.reduceNext(i)
			}
			c.simulations[i].advance()
		}
	}
}

func (c *cluster) accept(requests int) {
	sim := c.simulations[0]
	for n := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", n))
		sim.reduce(answer.NewAccepted(rail.NewRequest(id, "shop", "briefs", sim.now).WithPrompt(string(id), streamTokens), briefs))
	}
}

// complete reports whether one of the entries holds the complete answer.
func (c *cluster) complete(entries []int, id rail.RequestID) bool {
	for _, i := range entries {
		sim := c.simulations[i]
		snapshot, held := sim.store.Snapshot(id)
		if held && snapshot.Done() && snapshot.Kind() == rail.KindNone && joinTokens(snapshot) == fullAnswer(string(id), streamTokens) {
			return true
		}
	}
	return false
}

func TestEveryHandoverKeepsEachRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		requests := rapid.IntRange(1, 6).Draw(t, "requests")
		c.accept(requests)
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			c.randomAction()
		}
		c.reclaim = true
		c.leave(0)
		for range rapid.IntRange(0, 40).Draw(t, "actions") {
			c.randomAction()
		}
		terminatedEarly := rapid.Bool().Draw(t, "terminated early")
		if !terminatedEarly {
			c.settle([]int{0, 1, 2}, settleTime)
		}
		// The first entry is terminated; the answers that ended there have reached their callers. In a second wave
		// the second entry is terminated too.
		left := []int{1, 2}
		if c.secondWave {
			c.settle(left, settleTime)
			left = []int{2}
		}
		c.settle(left, time.Minute)
		for n := range requests {
			id := rail.RequestID(fmt.Sprintf("r%d", n))
			if !c.complete([]int{0, 1, 2}, id) && (c.copied[id] || !terminatedEarly) {
				t.Fatalf("%s is lost; copied %v, terminated early %v, second wave %v", id, c.copied[id], terminatedEarly, c.secondWave)
			}
		}
	})
}
