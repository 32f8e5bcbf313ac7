package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrail.org/rail/standin/engine"
)

// BenchmarkStreams runs 200 concurrent streams at 26 ms per token over TCP and reports the processor time of engine and readers.
func BenchmarkStreams(b *testing.B) {
	const streams, tokens = 200, 100
	e := engine.New(engine.Settings{Model: "m", Version: "v1", Slots: streams})
	defer e.Close()
	s := httptest.NewServer(e)
	defer s.Close()
	start, used := time.Now(), processorTime()
	for b.Loop() {
		var g sync.WaitGroup
		for i := range streams {
			g.Go(func() {
				r, err := http.Post(s.URL+"/v1/stream", "application/json", strings.NewReader(streamRequest(fmt.Sprint(i), tokens, 0)))
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = r.Body.Close() }()
				if r.StatusCode != http.StatusOK {
					b.Error(r.Status)
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					b.Error(err)
				}
			})
		}
		g.Wait()
	}
	generated := float64(b.N * streams * tokens)
	b.ReportMetric(generated/time.Since(start).Seconds(), "tokens/s")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/generated, "cpu-µs/token")
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
