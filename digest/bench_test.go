package digest_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// BenchmarkEntrySecond measures the CPU time of one simulated second of one entry, including encoding, and the heap of an entry's digest and membership.
func BenchmarkEntrySecond(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			before := liveBytes()
			f := newFleet(size.entries, size.domains, 1)
			f.publishLoad()
			f.advance(60 * time.Second)
			heapKiB := float64(liveBytes()-before) / float64(size.entries) / 1024
			b.ResetTimer()
			for range b.N {
				f.advance(time.Second)
			}
			b.ReportMetric(heapKiB, "KiB/entry")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size.entries), "µs/entry/s")
		})
	}
}

// liveBytes returns the bytes of live objects.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChurn measures the bytes that an entry sends while one entry of the fleet is replaced every ten seconds.
func BenchmarkChurn(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			for range b.N {
				f := newFleet(size.entries, size.domains, 1)
				f.publishLoad()
				f.advance(60 * time.Second)
				sent := f.bytesSent()
				const replaced = 6
				for i := range replaced {
					f.restart(f.nodes[i], rail.Incarnation(fmt.Sprintf("%016x", i)))
					// Only one entry besides the restarted one reads the list; a large list is read rarely, and the others learn of the instance by gossip.
					f.deliver(f.nodes[len(f.nodes)-1], f.staleList())
					f.deliver(f.nodes[i], f.staleList())
					f.advance(10 * time.Second)
				}
				b.ReportMetric(float64(f.bytesSent()-sent)/(10*replaced)/float64(size.entries), "B/s/entry")
			}
		})
	}
}
