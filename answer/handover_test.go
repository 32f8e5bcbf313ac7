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
	mostLosses = 6
	lastRound  = 3 * time.Second
)

// cluster is three entries, of which the first is reclaimed, and the network between them.
type cluster struct {
	t       *rapid.T
	worlds  []*world
	selves  []rail.Instance
	posted  [][]rail.Event
	losses  int
	calls   int
	copied  map[rail.RequestID]bool
	reclaim bool
	second  bool
}

// port is one entry's desk, group and way to its peers; it makes each call at once.
type port struct {
	cluster *cluster
	from    int
}

func (p port) Post(e rail.Event) bool {
	p.cluster.posted[p.from] = append(p.cluster.posted[p.from], e)
	return true
}

func (port) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, nil //nolint:nilnil // no test asks
}

func (port) Go(f func(context.Context)) { f(context.Background()) }

func (p port) HandOver(_ context.Context, successor rail.Instance, ts []answer.Transfer) error {
	return p.cluster.carry(successor, ts)
}

func (port) Fetch(context.Context, rail.Instance, rail.TeamName, rail.RequestID, int, time.Duration) (answer.ReadResult, error) {
	return answer.ReadResult{}, nil
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, copied: map[rail.RequestID]bool{}}
	for i, domain := range []rail.Domain{"breno", "edolo", "darfo"} {
		self := entryAt(rail.InstanceID(fmt.Sprintf("e%d", i)), domain)
		s := worldSettings().WithInstance(self.ID()).WithHandover(500*time.Millisecond, 2)
		w := newWorld(t, s)
		p := port{cluster: c, from: i}
		w.mover = answer.NewHandoverSender(s, w.store, p, p, p)
		c.worlds, c.selves, c.posted = append(c.worlds, w), append(c.selves, self), append(c.posted, nil)
	}
	for _, w := range c.worlds {
		w.reduce(rail.NewListRead(c.selves))
		w.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
	}
	return c
}

// carry brings a handover to its successor; the call or its answer may be lost.
func (c *cluster) carry(successor rail.Instance, ts []answer.Transfer) error {
	fate := "arrives"
	if c.losses < mostLosses {
		fate = rapid.SampledFrom([]string{"arrives", "arrives", "callLost", "answerLost", "arrivesTwice"}).Draw(c.t, "handover")
	}
	if fate == "callLost" || fate == "answerLost" {
		c.losses++
	}
	if fate == "callLost" {
		return rail.NewError(rail.KindUpstreamFailed, "call lost")
	}
	kind := c.arrive(successor, ts)
	if fate == "arrivesTwice" {
		kind = c.arrive(successor, ts)
	}
	if fate == "answerLost" {
		return rail.NewError(rail.KindUpstreamFailed, "answer lost")
	}
	if kind != rail.KindNone {
		return rail.NewError(kind, "refused")
	}
	return nil
}

// arrive does what the successor's listener does.
func (c *cluster) arrive(successor rail.Instance, ts []answer.Transfer) rail.Kind {
	for i, self := range c.selves {
		if self.ID() == successor.ID() {
			return c.takeAt(i, ts)
		}
	}
	c.t.Fatalf("no entry %s", successor.ID())
	return rail.KindInternal
}

func (c *cluster) takeAt(i int, ts []answer.Transfer) rail.Kind {
	w := c.worlds[i]
	var open []answer.Transfer
	for _, t := range ts {
		if !w.store.Done(t.Request().ID()) {
			w.store.Adopt(t.Request(), t.Answer())
			open = append(open, t)
		}
	}
	c.calls++
	w.reduce(answer.NewHandoverReceived(rail.RequestID(fmt.Sprintf("call%d", c.calls)), open))
	if w.taken == rail.KindNone {
		for _, t := range ts {
			c.copied[t.Request().ID()] = true
		}
	}
	return w.taken
}

// next lets one entry take in the oldest event that waits for it.
func (c *cluster) next(i int) {
	if len(c.posted[i]) == 0 {
		return
	}
	e := c.posted[i][0]
	c.posted[i] = c.posted[i][1:]
	c.worlds[i].reduce(e)
}

// leave starts the reclaim of an entry, which all hear of.
func (c *cluster) leave(i int) {
	deadline := c.worlds[i].now.Add(reclaimNotice)
	for j, w := range c.worlds {
		if j == i {
			w.reduce(rail.NewShutdownStarted(true).WithDeadline(deadline))
		}
		w.reduce(rail.NewInstanceLeaving(c.selves[i].ID(), "notice"))
	}
}

func (c *cluster) act() {
	i := rapid.IntRange(0, len(c.worlds)-1).Draw(c.t, "entry")
	switch rapid.SampledFrom([]string{"next", "next", "stream", "advance", "secondWave"}).Draw(c.t, "action") {
	case "next":
		c.next(i)
	case "stream":
		c.worlds[i].act()
	case "advance":
		c.advance()
	case "secondWave":
		if c.reclaim && !c.second {
			c.second = true
			c.leave(1)
		}
	}
}

func (c *cluster) advance() {
	for _, w := range c.worlds {
		w.advance()
	}
}

// settle lets all entries go on for the time, with no loss on the way.
func (c *cluster) settle(worlds []int, d time.Duration) {
	c.losses = mostLosses
	for ; d > 0; d -= tick {
		for _, i := range worlds {
			for len(c.posted[i]) > 0 {
				c.next(i)
			}
			c.worlds[i].advance()
		}
	}
}

func (c *cluster) accept(requests int) {
	w := c.worlds[0]
	for n := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", n))
		w.reduce(answer.NewAccepted(rail.NewRequest(id, "shop", "briefs", w.now).WithPrompt(string(id), streamTokens), briefs))
	}
}

// whole reports whether one of the entries has the whole answer.
func (c *cluster) whole(worlds []int, id rail.RequestID) bool {
	for _, i := range worlds {
		w := c.worlds[i]
		k, held := w.store.Snapshot(id)
		if held && k.Done() && k.Kind() == rail.KindNone && join(k) == wholeAnswer(string(id), streamTokens) {
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
			c.act()
		}
		c.reclaim = true
		c.leave(0)
		for range rapid.IntRange(0, 40).Draw(t, "actions") {
			c.act()
		}
		dies := rapid.Bool().Draw(t, "dies")
		if !dies {
			c.settle([]int{0, 1, 2}, lastRound)
		}
		// The first entry is gone; what it ended, its callers have. In a second wave the second one goes too.
		left := []int{1, 2}
		if c.second {
			c.settle(left, lastRound)
			left = []int{2}
		}
		c.settle(left, time.Minute)
		for n := range requests {
			id := rail.RequestID(fmt.Sprintf("r%d", n))
			if !c.whole([]int{0, 1, 2}, id) && (c.copied[id] || !dies) {
				t.Fatalf("%s is lost; copied %v, dies %v, second wave %v", id, c.copied[id], dies, c.second)
			}
		}
	})
}
