package emulator

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	priceOnDemand    = 1.0
	priceReclaimable = 0.4
	longest          = 10 * time.Minute
)

// Result is what one run gave.
type Result struct {
	settings   Settings
	histogram  *hdrhistogram.Histogram
	prompt     int
	recomputed int
	resumed    int
	ended      int
	within     int
}

func newResult(s Settings) *Result {
	return &Result{settings: s, histogram: hdrhistogram.New(1, longest.Microseconds(), 3)}
}

// first takes in the time to the first token of one request.
func (r *Result) first(d time.Duration) {
	_ = r.histogram.RecordValue(max(1, min(longest, d).Microseconds()))
	if d <= r.settings.target {
		r.within++
	}
}

// Completed returns the number of requests that came to their end.
func (r Result) Completed() int { return r.ended }

// Resumed returns the number of attempts that a reclaim moved elsewhere.
func (r Result) Resumed() int { return r.resumed }

// RecomputedTokens returns the prompt tokens that no cache covered.
func (r Result) RecomputedTokens() int { return r.recomputed }

// PromptTokens returns the prompt tokens.
func (r Result) PromptTokens() int { return r.prompt }

// TimeToFirstToken returns the time to the first token at the percentile.
func (r Result) TimeToFirstToken(percentile float64) time.Duration {
	return time.Duration(r.histogram.ValueAtQuantile(percentile)) * time.Microsecond
}

// WithinTarget returns the part of the requests whose first token came within the target.
func (r Result) WithinTarget() float64 { return float64(r.within) / float64(max(1, r.ended)) }

// Cost returns the price of the workers over the run.
func (r Result) Cost() float64 {
	onDemand := (r.settings.workers + r.settings.onDemand - 1) / r.settings.onDemand
	hourly := float64(onDemand)*priceOnDemand + float64(r.settings.workers-onDemand)*priceReclaimable
	return hourly * r.settings.length.Hours()
}

// CostPerThousand returns the cost of a thousand requests within the target.
func (r Result) CostPerThousand() float64 { return 1000 * r.Cost() / float64(max(1, r.within)) }

// String returns the figures in one line.
func (r Result) String() string {
	return fmt.Sprintf("requests %5d  recomputed %4.1f%% (%d)  first token p50 %6.3fs p95 %6.3fs p99 %6.3fs  within %s %5.1f%%  cost/1000 within %.3f",
		r.ended, 100*float64(r.recomputed)/float64(max(1, r.prompt)), r.recomputed,
		r.TimeToFirstToken(50).Seconds(), r.TimeToFirstToken(95).Seconds(), r.TimeToFirstToken(99).Seconds(),
		r.settings.target, 100*r.WithinTarget(), r.CostPerThousand())
}
