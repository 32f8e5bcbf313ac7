package emulator_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/emulator"
	"dandelionrail.org/rail/upstream"
)

const prefixBlocks = 8

// withReducer returns a factory of choosers that get the load from a reducer.
func withReducer(newChooser func(*upstream.Reducer) rail.Chooser) emulator.ChooserFactory {
	return func(domain rail.Domain) (rail.Chooser, rail.Reducer) {
		reducer := upstream.New(upstream.Defaults(), domain)
		return newChooser(reducer), reducer
	}
}

func expected(reducer *upstream.Reducer) rail.Chooser { return reducer }

// choosers are those that are compared.
var choosers = []struct {
	name       string
	newChooser emulator.ChooserFactory
}{
	{"random", func(rail.Domain) (rail.Chooser, rail.Reducer) { return upstream.Random{}, nil }},
	{"roundRobin", func(rail.Domain) (rail.Chooser, rail.Reducer) { return &upstream.RoundRobin{}, nil }},
	{"twoChoices", withReducer(func(reducer *upstream.Reducer) rail.Chooser { return upstream.NewTwoChoices(reducer) })},
	{"consistentHash", func(rail.Domain) (rail.Chooser, rail.Reducer) { return upstream.NewConsistentHash(prefixBlocks), nil }},
	{"boundedHash", withReducer(func(reducer *upstream.Reducer) rail.Chooser {
		return upstream.NewBoundedLoadHash(prefixBlocks, reducer)
	})},
	{"tiered", withReducer(func(reducer *upstream.Reducer) rail.Chooser { return upstream.NewTiered(prefixBlocks, reducer) })},
	{"expectedCost", withReducer(expected)},
}

// requiredShare is the share of requests whose first token must come within the target.
const requiredShare = 0.99

// minWorkers returns the smallest number of workers with which the required share is reached, -1 if the settings' own number is too small.
func minWorkers(newChooser emulator.ChooserFactory, s emulator.Settings) int {
	trace := emulator.Generate(s)
	low, high := 0, s.Workers()
	if emulator.Run(trace, newChooser, s).WithinTarget() < requiredShare {
		return -1
	}
	for high-low > 1 {
		middle := (low + high) / 2
		if emulator.Run(trace, newChooser, s.WithWorkers(middle)).WithinTarget() < requiredShare {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// BenchmarkChoosers replays the same traces with each chooser.
func BenchmarkChoosers(b *testing.B) {
	for _, size := range []func(uint64) emulator.Settings{emulator.Harrowgate, emulator.Valcamonica} {
		for seed := range uint64(3) {
			s := size(seed + 1)
			trace := emulator.Generate(s)
			for _, c := range choosers {
				b.Run(fmt.Sprintf("%s/workers=%d/seed=%d/%s", s.Name(), s.Workers(), s.Seed(), c.name), func(b *testing.B) {
					var r emulator.Result
					fewest := 0
					for b.Loop() {
						r = emulator.Run(trace, c.newChooser, s)
						fewest = minWorkers(c.newChooser, s)
					}
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(100*float64(r.RecomputedTokens())/float64(r.PromptTokens()), "recomputed%")
					b.ReportMetric(r.TimeToFirstToken(50).Seconds()*1000, "p50ms")
					b.ReportMetric(r.TimeToFirstToken(95).Seconds()*1000, "p95ms")
					b.ReportMetric(r.TimeToFirstToken(99).Seconds()*1000, "p99ms")
					b.ReportMetric(100*r.WithinTarget(), "within%")
					b.ReportMetric(r.CostPerThousand(), "cost/1000")
					b.ReportMetric(float64(fewest), "fewestWorkers")
				})
			}
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	s := emulator.Valcamonica(4).WithLength(60 * 1e9).WithoutReclaim()
	trace := emulator.Generate(s)
	a := emulator.Run(trace, withReducer(expected), s)
	b := emulator.Run(trace, withReducer(expected), s)
	is.Equal(a.String(), b.String())
	is.Equal(a.Completed(), trace.Size())
}

// docs/upstream.md relies on this order of the choosers; a domain is reclaimed in the middle of the run.
func TestExpectedCostBeatsBaselines(t *testing.T) {
	for _, s := range []emulator.Settings{emulator.Harrowgate(1), emulator.Valcamonica(1)} {
		t.Run(s.Name(), func(t *testing.T) {
			is := is.New(t)
			trace := emulator.Generate(s)
			best := emulator.Run(trace, withReducer(expected), s)
			is.Equal(best.Completed(), trace.Size()) // every request must complete
			is.True(best.Resumed() > 0)
			for _, c := range choosers[:3] {
				r := emulator.Run(trace, c.newChooser, s)
				is.True(best.RecomputedTokens()*3 < r.RecomputedTokens()*2)
				is.True(best.TimeToFirstToken(95)*3 < r.TimeToFirstToken(95)*2)
			}
		})
	}
}
