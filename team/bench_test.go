package team

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// sizes are the numbers of peers and of requests in flight.
var sizes = []int{9, 81, 330}

// busyEntry returns an entry with size peers and size requests in flight.
func busyEntry(size int) *testEntry {
	te := newTestEntry(Defaults(), 8*size, size, counter, neighbour, rail.NewTeam("a", "", 0.1, 1), rail.NewTeam("b", "", 0.1, 1), rail.NewTeam("c", "", 0.1, 1))
	for i := range size {
		key := rail.NewFactKey(rail.FactDemand, "tin-writer", rail.Incarnation(fmt.Sprint(i)))
		te.reduce(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "a 1 b 1 c 1 counter 1 neighbour 1")}))
	}
	for i := range size {
		te.reduce(NewArrived(rail.NewRequest(rail.RequestID(fmt.Sprint("held", i)), "a", "drafting", te.now), route))
	}
	return te
}

// BenchmarkRequest measures the two events of one request.
func BenchmarkRequest(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("peers=%d", size), func(b *testing.B) {
			te := busyEntry(size)
			r := rail.NewRequest("r", "counter", "drafting", te.now)
			for b.Loop() {
				te.now = te.now.Add(time.Millisecond)
				te.reduce(NewArrived(r, route))
				te.reduce(NewEnded("r"))
			}
		})
	}
}

func BenchmarkFact(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("peers=%d", size), func(b *testing.B) {
			te := busyEntry(size)
			key := rail.NewFactKey(rail.FactDemand, "tin-writer", "1")
			learned := rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 2, "a 1 b 1 c 1 counter 2 neighbour 1")})
			for b.Loop() {
				te.reduce(learned)
			}
		})
	}
}

func BenchmarkState(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("peers=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			var te *testEntry
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				te = busyEntry(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(te)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes/state")
		})
	}
}
