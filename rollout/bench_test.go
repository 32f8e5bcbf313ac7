package rollout

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionrail.org/rail"
)

// sizes are the numbers of peers with evidence.
var sizes = []int{9, 81, 330}

// withPeers returns a reducer with evidence of size peers, and the facts it came from.
func withPeers(size int) (*Reducer, []rail.Fact) {
	route := rail.NewRoute(counter, rail.RouteModel, "tin-writer", true, oldVersion)
	document := rail.NewDocument("trial", 1, nil, []rail.Route{route}, []rail.Rollout{rail.NewRollout(counter, newVersion, epoch.Add(time.Hour))}, "")
	reducer := New(Defaults(), "breno", "me")
	reducer.Reduce(rail.NewInput(rail.NewDocumentInForce(document), epoch, 0))
	facts := make([]rail.Fact, size)
	for i := range facts {
		e := evidence{domain: "edolo", startedAt: epoch, stepCount: len(reducer.settings.steps), tally: tally{oldVersion: counts{total: 1000 + i, failed: 9, slow: 90}}}
		facts[i] = rail.NewFact(rail.NewFactKey(rail.FactEvidence, reducer.rollouts[counter].key.subject(), rail.Incarnation(fmt.Sprint(i))), 1, e.text())
	}
	reducer.Reduce(rail.NewInput(rail.NewFactsLearned(facts), epoch, 0))
	return reducer, facts
}

func BenchmarkReduceObserved(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			reducer, _ := withPeers(size)
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				version := oldVersion
				if i%2 == 0 {
					version = newVersion
				}
				reducer.Reduce(rail.NewInput(NewObserved(counter, version, true, time.Duration(150+i%100)*time.Millisecond), now, 0))
			}
		})
	}
}

func BenchmarkReduceFact(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			reducer, facts := withPeers(size)
			for i := 0; b.Loop(); i++ {
				reducer.Reduce(rail.NewInput(rail.NewFactsLearned(facts[i%size:i%size+1]), epoch, 0))
			}
			b.ReportMetric(float64(len(facts[0].Value())), "bytes/fact")
		})
	}
}

func BenchmarkReduceTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			reducer, _ := withPeers(size)
			for i := uint64(0); b.Loop(); i++ {
				reducer.Reduce(rail.NewInput(rail.NewTimerFired(tickTimer), epoch, i<<32))
			}
		})
	}
}

func BenchmarkPick(b *testing.B) {
	reducer, _ := withPeers(9)
	reducer.Reduce(rail.NewInput(rail.NewLogRead(nil, 0, 0, true), epoch, 0))
	route := rail.NewRoute(counter, rail.RouteModel, "tin-writer", true, oldVersion)
	for b.Loop() {
		reducer.Pick(route, "0198a7b2-7c1e-7f10-a9d1-0242ac120002")
	}
}

func BenchmarkState(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			var before, after runtime.MemStats
			var reducer *Reducer
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				reducer, _ = withPeers(size)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(reducer)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes/state")
		})
	}
}
