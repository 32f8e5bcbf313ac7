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
	tick        = time.Millisecond
	appendTicks = 3  // from an append to its records at every entry
	serviceTime = 20 // ticks that an order runs
)

// group is a number of entries on one log, in simulated time.
type group struct {
	entries []*entry
	timers  []map[rail.TimerName]time.Time
	records []rail.Record
	events  map[int][]func() // by tick
	at      int
	appends int
	claimed int
	wait    time.Duration
	started map[rail.RequestID]int
}

func newGroup(entries int) *group {
	g := &group{events: map[int][]func(){}, started: map[rail.RequestID]int{}}
	for n := range entries {
		e := newEntry(order.Defaults().WithMaxOutcomes(1 << 20))
		e.part = order.New(order.Defaults().WithMaxOutcomes(1<<20), "works-hall", rail.Incarnation(fmt.Sprintf("a%d", n)))
		g.entries = append(g.entries, e)
		g.timers = append(g.timers, map[rail.TimerName]time.Time{})
		g.post(n, rail.NewLogRead(nil, 0, 0, true))
	}
	var list []rail.Instance
	for n := range entries {
		list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprintf("e%d", n)), "works-hall", rail.RoleEntry, ""))
	}
	for n := range entries {
		g.post(n, rail.NewListRead(list))
	}
	return g
}

func (g *group) now() time.Time { return testStart.Add(time.Duration(g.at) * tick) }

func (g *group) later(ticks int, f func()) { g.events[g.at+ticks] = append(g.events[g.at+ticks], f) }

func (g *group) post(n int, event rail.Event) {
	for _, effect := range g.entries[n].part.Reduce(rail.NewInput(event, g.now(), 0)) {
		switch e := effect.(type) {
		case rail.SetTimer:
			g.timers[n][e.Name()] = g.now().Add(e.After())
		case rail.Append:
			g.appends++
			g.later(appendTicks, func() { g.append(e) })
		case order.Proceed:
			g.claimed++
			g.wait += time.Duration(g.at-g.started[e.Request().ID()]) * tick
			delete(g.started, e.Request().ID())
			g.later(serviceTime, func() {
				g.post(n, order.NewEnded(e.Request().ID(), rail.KindNone, rail.NewServiceReply(200, "text/plain", []byte("done"))))
			})
		}
	}
}

func (g *group) append(e rail.Append) {
	offset := rail.Offset(len(g.records))
	record := rail.NewRecord(offset, g.now(), e.Kind(), e.Body())
	g.records = append(g.records, record)
	for n := range g.entries {
		g.post(n, rail.NewLogRead([]rail.Record{record}, 0, offset+1, true))
	}
}

func (g *group) step() {
	g.at++
	for _, f := range g.events[g.at] {
		f()
	}
	delete(g.events, g.at)
	for n, timers := range g.timers {
		for name, at := range timers {
			if !at.After(g.now()) {
				delete(timers, name)
				g.post(n, rail.NewTimerFired(name))
			}
		}
	}
}

// BenchmarkKeyedOrders runs 500 keyed orders a second of simulated time; the time per operation is that of all reducers for one order.
func BenchmarkKeyedOrders(b *testing.B) {
	const ticksPerOrder = 2
	for _, entries := range []int{1, 9, 81} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := newGroup(entries)
			for n := 0; b.Loop(); n++ {
				id := rail.RequestID(fmt.Sprintf("r%d", n))
				g.started[id] = g.at
				g.post(n%entries, order.NewSubmitted(rail.NewRequest(id, testTeam, "engraving", g.now()).
					WithCall("POST", "/", []byte("tin")).WithKey(testKey(g.now(), n))))
				for range ticksPerOrder {
					g.step()
				}
			}
			b.ReportMetric(float64(g.claimed)/float64(g.appends), "claims/append")
			b.ReportMetric(float64(g.appends)/(time.Duration(g.at)*tick).Seconds(), "appends/s")
			b.ReportMetric(g.wait.Seconds()*1000/float64(max(g.claimed, 1)), "ms/claim")
		})
	}
}

// BenchmarkOutcomesKept measures one keyed order and its events, and the memory of an outcome, by the number of outcomes kept.
func BenchmarkOutcomesKept(b *testing.B) {
	for _, kept := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			before := heap()
			e := newEntry(order.Defaults().WithMaxOutcomes(1 << 30))
			e.read()
			fill(e, kept)
			bytes := float64(heap()-before) / float64(kept)
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

// fill lets the entry read so many outcomes of another one.
func fill(e *entry, outcomes int) {
	const group = 500
	for n := 0; n < outcomes; n += group {
		items := ""
		for i := range group {
			if i > 0 {
				items += ","
			}
			items += keyItem("outcome", n+i+1, testKey(testStart, n+i), fmt.Sprintf(
				`,"claim":%d,"digest":"zkZSsRBTFW/A5OUv","status":200,"contentType":"text/plain","body":"ZG9uZQ=="`, n+i+1))
		}
		e.read(foreign(items))
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestShareServedWithThePlatformAway counts what three entries let run of orders sent while the log is away.
func TestShareServedWithThePlatformAway(t *testing.T) {
	const orders = 3000
	is := is.New(t)
	g := newGroup(3)
	byTicket, byKey, refused := 0, 0, 0
	for n := range g.entries {
		g.post(n, rail.NewLogUnavailable(nil))
	}
	for i := range orders {
		e := g.entries[i%len(g.entries)]
		e.now = g.now()
		r := e.request(testTeam, "tin")
		if proceeds(e.post(order.NewSubmitted(r.WithTicket(e.ticket())))) {
			byTicket++
		}
		effects := e.submitKey(testKey(g.now(), i), "tin")
		if proceeds(effects) {
			byKey++
		}
		if refusal(effects) == rail.KindPlatformUnavailable {
			refused++
		}
	}
	t.Logf("platform away: %d of %d orders by ticket run, %d of %d by key, %d refused at once as not run", byTicket, orders, byKey, orders, refused)
	is.Equal(byTicket, orders)
	is.Equal(byKey, 0)
	is.Equal(refused, orders)
}
