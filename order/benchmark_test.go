package order_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

const (
	tickDuration = time.Millisecond
	appendTicks  = 3  // from an append until every entry has read the record
	serviceTicks = 20 // duration of an order
)

// cluster is a set of entries that share one log, in simulated time.
type cluster struct {
	entries     []*entry
	timers      []map[rail.TimerName]time.Time
	records     []rail.Record
	scheduled   map[int][]func() // functions to call, by tick
	tick        int
	appendCount int
	dispatched  int
	claimWait   time.Duration
	submittedAt map[rail.RequestID]int
}

func newCluster(entries int) *cluster {
	c := &cluster{scheduled: map[int][]func(){}, submittedAt: map[rail.RequestID]int{}}
	for n := range entries {
		e := newEntry(order.Defaults().WithMaxOutcomes(1 << 20))
		e.reducer = order.New(order.Defaults().WithMaxOutcomes(1<<20), "works-hall", rail.Incarnation(fmt.Sprintf("a%d", n)))
		c.entries = append(c.entries, e)
		c.timers = append(c.timers, map[rail.TimerName]time.Time{})
		c.post(n, rail.NewLogRead(nil, 0, 0, true))
	}
	var list []rail.Instance
	for n := range entries {
		list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprintf("e%d", n)), "works-hall", rail.RoleEntry, ""))
	}
	for n := range entries {
		c.post(n, rail.NewListRead(list))
	}
	return c
}

func (c *cluster) now() time.Time { return testStart.Add(time.Duration(c.tick) * tickDuration) }

func (c *cluster) schedule(ticks int, f func()) {
	c.scheduled[c.tick+ticks] = append(c.scheduled[c.tick+ticks], f)
}

func (c *cluster) post(n int, event rail.Event) {
	for _, effect := range c.entries[n].reducer.Reduce(rail.NewInput(event, c.now(), 0)) {
		switch e := effect.(type) {
		case rail.SetTimer:
			c.timers[n][e.Name()] = c.now().Add(e.After())
		case rail.Append:
			c.appendCount++
			c.schedule(appendTicks, func() { c.append(e) })
		case order.Proceed:
			c.dispatched++
			c.claimWait += time.Duration(c.tick-c.submittedAt[e.Request().ID()]) * tickDuration
			delete(c.submittedAt, e.Request().ID())
			c.schedule(serviceTicks, func() {
				c.post(n, order.NewEnded(e.Request().ID(), rail.KindNone, rail.NewServiceReply(200, "text/plain", []byte("done"))))
			})
		}
	}
}

func (c *cluster) append(e rail.Append) {
	offset := rail.Offset(len(c.records))
	record := rail.NewRecord(offset, c.now(), e.Kind(), e.Body())
	c.records = append(c.records, record)
	for n := range c.entries {
		c.post(n, rail.NewLogRead([]rail.Record{record}, 0, offset+1, true))
	}
}

func (c *cluster) step() {
	c.tick++
	for _, f := range c.scheduled[c.tick] {
		f()
	}
	delete(c.scheduled, c.tick)
	for n, timers := range c.timers {
		for name, at := range timers {
			if !at.After(c.now()) {
				delete(timers, name)
				c.post(n, rail.NewTimerFired(name))
			}
		}
	}
}

// BenchmarkKeyedOrders runs 500 keyed orders a second of simulated time. The time per operation is the time that all reducers together
// take for one order.
func BenchmarkKeyedOrders(b *testing.B) {
	const ticksPerOrder = 2
	for _, entries := range []int{1, 9, 81} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := newCluster(entries)
			for n := 0; b.Loop(); n++ {
				id := rail.RequestID(fmt.Sprintf("r%d", n))
				c.submittedAt[id] = c.tick
				c.post(n%entries, order.NewSubmitted(rail.NewRequest(id, testTeam, "engraving", c.now()).
					WithCall("POST", "/", []byte("tin")).WithKey(testKey(c.now(), n))))
				for range ticksPerOrder {
					c.step()
				}
			}
			b.ReportMetric(float64(c.dispatched)/float64(c.appendCount), "claims/append")
			b.ReportMetric(float64(c.appendCount)/(time.Duration(c.tick)*tickDuration).Seconds(), "appends/s")
			b.ReportMetric(c.claimWait.Seconds()*1000/float64(max(c.dispatched, 1)), "ms/claim")
		})
	}
}

// BenchmarkOutcomesKept measures the events of a keyed order and the memory per outcome, for several numbers of kept outcomes.
func BenchmarkOutcomesKept(b *testing.B) {
	for _, kept := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			before := heapBytes()
			e := newEntry(order.Defaults().WithMaxOutcomes(1 << 30))
			e.read()
			fillOutcomes(e, kept)
			bytes := float64(heapBytes()-before) / float64(kept)
			events := 0
			for n := kept; b.Loop(); n++ {
				e.now = e.now.Add(50 * time.Millisecond)
				r := e.request(testTeam, "tin").WithKey(testKey(testStart, n))
				e.post(order.NewSubmitted(r))
				e.readBack()
				e.post(order.NewEnded(r.ID(), rail.KindNone, rail.NewServiceReply(200, "text/plain", []byte("done"))))
				e.post(rail.NewTimerFired("order.commit"))
				events += 4
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(events), "us/event")
			b.ReportMetric(bytes, "B/outcome")
		})
	}
}

// fillOutcomes makes the entry read the given number of outcomes of another entry.
func fillOutcomes(e *entry, outcomes int) {
	const batchSize = 500
	for n := 0; n < outcomes; n += batchSize {
		items := ""
		for i := range batchSize {
			if i > 0 {
				items += ","
			}
			items += keyItem("outcome", n+i+1, testKey(testStart, n+i), fmt.Sprintf(
				`,"claim":%d,"digest":"zkZSsRBTFW/A5OUv","status":200,"contentType":"text/plain","body":"ZG9uZQ=="`, n+i+1))
		}
		e.read(otherEntryRecord(items))
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestOrdersWhilePlatformUnavailable submits orders to three entries while the log is unavailable: all orders with a ticket run, and all
// with a key are refused at once.
func TestOrdersWhilePlatformUnavailable(t *testing.T) {
	const orders = 3000
	is := is.New(t)
	c := newCluster(3)
	byTicket, byKey, refused := 0, 0, 0
	for n := range c.entries {
		c.post(n, rail.NewLogUnavailable(nil))
	}
	for i := range orders {
		e := c.entries[i%len(c.entries)]
		e.now = c.now()
		r := e.request(testTeam, "tin")
		if hasProceed(e.post(order.NewSubmitted(r.WithTicket(e.ticket())))) {
			byTicket++
		}
		effects := e.submitKey(testKey(c.now(), i), "tin")
		if hasProceed(effects) {
			byKey++
		}
		if refusalKind(effects) == rail.KindPlatformUnavailable {
			refused++
		}
	}
	t.Logf("platform unavailable: dispatched %d of %d orders with a ticket and %d of %d with a key; refused %d keyed orders at once as not run", byTicket, orders, byKey, orders, refused)
	is.Equal(byTicket, orders)
	is.Equal(byKey, 0)
	is.Equal(refused, orders)
}
