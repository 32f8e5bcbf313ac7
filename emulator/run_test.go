package emulator_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/emulator"
	"dandelionrail.org/rail/upstream"
)

const blocks = 8

// reading returns a maker of choosers that read the load from a part.
func reading(make func(*upstream.Reducer) rail.Chooser) emulator.ChooserFactory {
	return func(d rail.Domain) (rail.Chooser, rail.Reducer) {
		p := upstream.New(upstream.Defaults(), d)
		return make(p), p
	}
}

func expected(p *upstream.Reducer) rail.Chooser { return p }

// ways are the choosers that are compared.
var ways = []struct {
	name  string
	maker emulator.ChooserFactory
}{
	{"random", func(rail.Domain) (rail.Chooser, rail.Reducer) { return upstream.Random{}, nil }},
	{"roundRobin", func(rail.Domain) (rail.Chooser, rail.Reducer) { return &upstream.RoundRobin{}, nil }},
	{"twoChoices", reading(func(p *upstream.Reducer) rail.Chooser { return upstream.NewTwoChoices(p) })},
	{"consistentHash", func(rail.Domain) (rail.Chooser, rail.Reducer) { return upstream.NewConsistentHash(blocks), nil }},
	{"boundedHash", reading(func(p *upstream.Reducer) rail.Chooser { return upstream.NewBoundedLoadHash(blocks, p) })},
	{"tiered", reading(func(p *upstream.Reducer) rail.Chooser { return upstream.NewTiered(blocks, p) })},
	{"expectedCost", reading(expected)},
}

// wanted is the part of the requests whose first token must come within the target.
const wanted = 0.99

// smallest returns the fewest workers with which the chooser keeps the target, -1 if the fleet of the settings does not.
func smallest(maker emulator.ChooserFactory, s emulator.Settings) int {
	trace := emulator.Generate(s)
	low, high := 0, s.Workers()
	if emulator.Run(trace, maker, s).WithinTarget() < wanted {
		return -1
	}
	for high-low > 1 {
		middle := (low + high) / 2
		if emulator.Run(trace, maker, s.WithWorkers(middle)).WithinTarget() < wanted {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// BenchmarkChoosers replays the same traces with each way of choosing.
func BenchmarkChoosers(b *testing.B) {
	for _, size := range []func(uint64) emulator.Settings{emulator.Harrowgate, emulator.Valcamonica} {
		for seed := range uint64(3) {
			s := size(seed + 1)
			trace := emulator.Generate(s)
			for _, w := range ways {
				b.Run(fmt.Sprintf("%s/workers=%d/seed=%d/%s", s.Name(), s.Workers(), s.Seed(), w.name), func(b *testing.B) {
					var r emulator.Result
					fewest := 0
					for b.Loop() {
						r = emulator.Run(trace, w.maker, s)
						fewest = smallest(w.maker, s)
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
	a := emulator.Run(trace, reading(expected), s)
	b := emulator.Run(trace, reading(expected), s)
	is.Equal(a.String(), b.String())
	is.Equal(a.Completed(), trace.Size())
}

// The order of the ways is what docs/upstream.md rests on; a wave takes a domain in the middle.
func TestExpectedCostBeatsBaselines(t *testing.T) {
	for _, s := range []emulator.Settings{emulator.Harrowgate(1), emulator.Valcamonica(1)} {
		t.Run(s.Name(), func(t *testing.T) {
			is := is.New(t)
			trace := emulator.Generate(s)
			ours := emulator.Run(trace, reading(expected), s)
			is.Equal(ours.Completed(), trace.Size()) // every request comes to its end
			is.True(ours.Resumed() > 0)
			for _, w := range ways[:3] {
				r := emulator.Run(trace, w.maker, s)
				is.True(ours.RecomputedTokens()*3 < r.RecomputedTokens()*2)
				is.True(ours.TimeToFirstToken(95)*3 < r.TimeToFirstToken(95)*2)
			}
		})
	}
}
