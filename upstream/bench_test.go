package upstream

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// sizes are the numbers of upstreams.
var sizes = []int{12, 120, 1200}

var epoch = time.Unix(1_800_000_000, 0)

func instances(n int) []rail.Instance {
	all := make([]rail.Instance, n)
	for i := range all {
		domain := rail.Domain(fmt.Sprintf("d%d", i%4))
		all[i] = rail.NewInstance(rail.InstanceID(fmt.Sprintf("m%04d", i)), domain, rail.RoleEngine, "").WithServing("tin-writer", "v1")
	}
	return all
}

func prompt(seed, words int) string {
	var b strings.Builder
	for i := range words {
		fmt.Fprintf(&b, "w%d-%d ", seed, i)
	}
	return b.String()
}

var route = rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1")

// criteriaList returns requests with prompts of 500 tokens; the first 300 tokens are one of 40 texts, the rest is unique.
func criteriaList(n int) []rail.Criteria {
	all := make([]rail.Criteria, n)
	for i := range all {
		text := prompt(i%40, 300) + prompt(1000+i, 200)
		r := rail.NewRequest(rail.RequestID(fmt.Sprintf("r%d", i)), "shop", "drafting", epoch).WithPrompt(text, 100)
		all[i] = rail.NewCriteria(r, route, "v1", "d0")
	}
	return all
}

// BenchmarkRequest measures one complete request at the reducer: the choice, Sent, Ended and a load report.
func BenchmarkRequest(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			reducer, all, list := New(Defaults(), "d0"), instances(size), criteriaList(1000)
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				criteria := list[i%len(list)]
				chosen, _ := reducer.Choose(criteria, all, mix(uint64(i), 3))
				reducer.Reduce(rail.NewInput(NewSent(criteria.Request(), chosen.ID()), now, 0))
				reducer.Reduce(rail.NewInput(NewEnded(criteria.Request(), chosen.ID()), now, 0))
				report := rail.NewLoad(all[i%size].ID(), 3, 0, 8, now)
				reducer.Reduce(rail.NewInput(rail.NewLoadRead(report), now, 0))
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			reducer, all, list := New(Defaults(), "d0"), instances(size), criteriaList(1000)
			for i := 0; b.Loop(); i++ {
				reducer.Choose(list[i%len(list)], all, mix(uint64(i), 3))
			}
		})
	}
}

func BenchmarkLoadRead(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			reducer, all := New(Defaults(), "d0"), instances(size)
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				reducer.Reduce(rail.NewInput(rail.NewLoadRead(rail.NewLoad(all[i%size].ID(), 3, 0, 8, now)), now, 0))
			}
		})
	}
}

func BenchmarkCacheRead(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			reducer, all := New(Defaults(), "d0"), instances(size)
			for i := uint64(0); b.Loop(); i++ {
				event := rail.NewCacheEvent(all[i%uint64(size)].ID(), i, mix(i, 5), true)
				reducer.Reduce(rail.NewInput(NewCacheRead([]rail.CacheEvent{event}), epoch, 0))
			}
		})
	}
}

// BenchmarkState reports the memory in use after enough requests to fill the prefix index.
func BenchmarkState(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			all, list := instances(size), criteriaList(3000)
			var before, after runtime.MemStats
			var reducer *Reducer
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				reducer = New(Defaults(), "d0")
				for i, criteria := range list {
					chosen, _ := reducer.Choose(criteria, all, mix(uint64(i), 3))
					reducer.Reduce(rail.NewInput(NewSent(criteria.Request(), chosen.ID()), epoch, 0))
					reducer.Reduce(rail.NewInput(NewEnded(criteria.Request(), chosen.ID()), epoch, 0))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(reducer)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes/state")
		})
	}
}
