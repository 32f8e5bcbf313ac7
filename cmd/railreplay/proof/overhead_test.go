package proof_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/overhead"
)

// BenchmarkOverhead compares 200 concurrent streams through an entry with 200 direct ones to the same engine.
func BenchmarkOverhead(b *testing.B) {
	is := is.New(b)
	s := startSystem(b, size{entries: 1})
	engine := s.start("engine-1", "standin", "engine", "--platform", s.platform.url(), "--id", "engine-1",
		"--domain", domain(0), "--model", model, "--slots", "256")
	s.ready(0)
	load := overhead.Load{Streams: 200, Rounds: 3, Tokens: 100}
	for b.Loop() {
		direct, err := overhead.Measure(b.Context(), overhead.NewEngineTarget(engine.url(), model), load, engine.id())
		is.NoErr(err)
		through, err := overhead.Measure(b.Context(), overhead.NewEntryTarget(s.entries[0], model, "office-token"), load, s.processes["entry-1"])
		is.NoErr(err)
		for _, q := range []float64{50, 95, 99} {
			b.ReportMetric(milliseconds(direct.FirstToken(q)), fmt.Sprintf("direct-p%.0f-ms", q))
			b.ReportMetric(milliseconds(through.FirstToken(q)-direct.FirstToken(q)), fmt.Sprintf("added-p%.0f-ms", q))
		}
		b.ReportMetric(through.TokensPerSecond(), "tokens/s")
		b.ReportMetric(through.TokensPerCoreSecond(), "tokens/core-s")
		b.ReportMetric(through.Cores(), "cores")
		b.ReportMetric(direct.TokensPerCoreSecond(), "engine-tokens/core-s")
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
