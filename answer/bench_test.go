package answer_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/group"
)

var requestCounts = []int{1_000, 10_000, 100_000}

// filledReducer returns a reducer with the given number of running briefs at 1,200 upstreams.
func filledReducer(size int) (*answer.Reducer, time.Time) {
	d := &directory{}
	for i := range 1200 {
		d.upstreams = append(d.upstreams, engineAt(rail.InstanceID(fmt.Sprintf("m%d", i)), "breno"))
	}
	r, now := answer.New(answer.Defaults(), "breno", staticDirectory(d.Upstreams(model, version)), chooser{}, picker{}), time.Unix(1e9, 0)
	for i := range size {
		r.Reduce(rail.NewInput(acceptedEvent(i, now), now, uint64(i)))
	}
	return r, now
}

// staticDirectory is a directory that returns its list without copying it.
type staticDirectory []rail.Instance

func (d staticDirectory) Upstreams(string, rail.Version) []rail.Instance { return d }

func acceptedEvent(i int, now time.Time) rail.Event {
	r := rail.NewRequest(benchID(i), "shop", "briefs", now).WithPrompt("a tin", 400)
	return answer.NewAccepted(r, briefs)
}

func benchID(i int) rail.RequestID {
	return rail.RequestID(fmt.Sprintf("0190aaaa-0000-7000-8000-%012d", i))
}

func BenchmarkReduceMark(b *testing.B) {
	for _, size := range requestCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, now := filledReducer(size)
			events := make([]rail.Event, size)
			for i := range events {
				events[i] = answer.NewMarked(benchID(i), 1, 1)
			}
			b.ResetTimer()
			for i := range b.N {
				r.Reduce(rail.NewInput(events[i%size], now, uint64(i)))
			}
		})
	}
}

// BenchmarkReduceFullRequest reduces all events of a request whose first upstream leaves and whose second attempt ends.
func BenchmarkReduceFullRequest(b *testing.B) {
	for _, size := range requestCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, now := filledReducer(size)
			b.ResetTimer()
			for i := range b.N {
				id := benchID(size + i)
				for _, e := range []rail.Event{
					acceptedEvent(size+i, now), answer.NewMarked(id, 1, 1), answer.NewFailed(id, 1, rail.KindLeaving, 1),
					answer.NewMarked(id, 2, 2), answer.NewEnded(id, 2, rail.Usage{}),
				} {
					r.Reduce(rail.NewInput(e, now, uint64(i)))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(5*b.N), "ns/event")
		})
	}
}

// BenchmarkReduceLeaving moves the streams of one of 1,200 upstreams.
func BenchmarkReduceLeaving(b *testing.B) {
	for _, size := range requestCounts {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, now := filledReducer(size)
			b.ResetTimer()
			for i := range b.N {
				r.Reduce(rail.NewInput(rail.NewInstanceLeaving(rail.InstanceID(fmt.Sprintf("m%d", i%1200)), "list"), now, 1))
			}
		})
	}
}

func BenchmarkStoreAppend(b *testing.B) {
	s := answer.NewStore(answer.Defaults())
	const tokens = 1000
	for i := range b.N {
		id := benchID(i / tokens)
		if i%tokens == 0 {
			_, _, _ = s.BeginAttempt(id, 1)
		}
		_, _ = s.Append(id, 1, rail.NewChunk(i%tokens, "engraved "))
	}
}

// BenchmarkStoreAppendAndRead passes each token from a writer to a reader that waits for it.
func BenchmarkStoreAppendAndRead(b *testing.B) {
	s := answer.NewStore(answer.Defaults())
	g := group.New(b.Context())
	_, _, _ = s.BeginAttempt("r1", 1)
	g.Go(func(context.Context) {
		for i := range b.N {
			_, _ = s.Append("r1", 1, rail.NewChunk(i, "engraved "))
		}
		s.Finish("r1", rail.KindNone, rail.ServiceReply{})
	})
	readAnswer(b.Context(), s, "r1")
	g.Wait()
}

// BenchmarkBytesInFlight measures the memory of an answer in progress: its state in the reducer and 200 tokens in the store.
func BenchmarkBytesInFlight(b *testing.B) {
	for _, size := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				r, _ := filledReducer(size)
				withReducer := heapBytes()
				s := answer.NewStore(answer.Defaults())
				for i := range size {
					_, _, _ = s.BeginAttempt(benchID(i), 1)
					for t := range 200 {
						_, _ = s.Append(benchID(i), 1, rail.NewChunk(t, "engraved "))
					}
				}
				b.ReportMetric(float64(withReducer-before)/float64(size), "B/request")
				b.ReportMetric(float64(heapBytes()-withReducer)/float64(size), "B/answer")
				runtime.KeepAlive(r)
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
