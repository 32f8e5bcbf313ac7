package entry_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// fleetSizes are the sizes from which docs/CAPACITY.md derives the growth of the cost with the fleet.
var fleetSizes = []struct{ domains, entries, upstreams int }{{4, 9, 24}, {8, 81, 300}, {8, 330, 1200}}

const (
	// changedShare is the fraction of the upstreams whose load changes by a step within a second.
	changedShare = 0.2
	// loadPollsPerSecond is how often an upstream is polled for its load.
	loadPollsPerSecond = 2
)

// reduceSecond reduces the control events of one second: the instance list, the
// loads that this entry polls, the changed loads of other domains, and an idle
// log. It returns their number.
func (d *driver) reduceSecond(instances []rail.Instance, entries, upstreams, n int) int {
	events := 1
	d.reduce(rail.NewListRead(instances))
	polled := max(1, upstreams/entries) * loadPollsPerSecond
	for i := range polled {
		u := instances[entries+(n+i)%upstreams]
		d.reduce(rail.NewLoadRead(rail.NewLoad(u.ID(), (n+i)%8, 0, 8, d.now)))
	}
	changed := int(float64(upstreams) * changedShare)
	facts := make([]rail.Fact, 0, changed)
	for i := range changed {
		u := instances[entries+(n*changed+i)%upstreams]
		key := rail.NewFactKey(rail.FactLoad, string(u.ID()), instances[i%entries].Incarnation())
		value := strconv.Itoa(n%8) + ",0,8," + strconv.FormatInt(d.now.UnixMilli(), 10)
		facts = append(facts, rail.NewFact(key, uint64(n+1), value))
	}
	d.reduce(rail.NewFactsLearned(facts))
	d.reduce(rail.NewLogRead(nil, 0, 1, true))
	return events + polled + 2
}

// BenchmarkControlSecond measures the time to reduce the control events of one second, in per cent of a core.
func BenchmarkControlSecond(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d/upstreams=%d", size.entries, size.upstreams), func(b *testing.B) {
			instances := newFleet(size.domains, size.entries, size.upstreams, 4)
			d := newDriver(instances)
			b.ResetTimer()
			for i := range b.N {
				d.reduceSecond(instances, size.entries, size.upstreams, i)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*100, "%core")
		})
	}
}

// BenchmarkState measures the heap of the reducer's state at each size after a minute of control events.
func BenchmarkState(b *testing.B) {
	const minute = 60
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d/upstreams=%d", size.entries, size.upstreams), func(b *testing.B) {
			instances := newFleet(size.domains, size.entries, size.upstreams, 4)
			var kept *driver
			before := heapBytes()
			for range b.N {
				kept = newDriver(instances)
				for i := range minute {
					kept.reduceSecond(instances, size.entries, size.upstreams, i)
					kept.now = kept.now.Add(time.Second)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/1024, "KiB")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
