package emulator

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	onDemandPricePerHour    = 1.0
	reclaimablePricePerHour = 0.4
	maxRecorded             = 10 * time.Minute
)

// Result holds the measurements of one run.
type Result struct {
	settings         Settings
	histogram        *hdrhistogram.Histogram
	promptTokens     int
	recomputedTokens int
	resumed          int
	completed        int
	withinTarget     int
}

func newResult(s Settings) *Result {
	return &Result{settings: s, histogram: hdrhistogram.New(1, maxRecorded.Microseconds(), 3)}
}

// recordFirstToken records the time to the first token of one request.
func (r *Result) recordFirstToken(d time.Duration) {
	_ = r.histogram.RecordValue(max(1, min(maxRecorded, d).Microseconds()))
	if d <= r.settings.target {
		r.withinTarget++
	}
}

// Completed returns the number of completed requests.
func (r Result) Completed() int { return r.completed }

// Resumed returns the number of attempts that were dispatched again because their engine was reclaimed.
func (r Result) Resumed() int { return r.resumed }

// RecomputedTokens returns the number of tokens that had to be computed because they were not cached.
func (r Result) RecomputedTokens() int { return r.recomputedTokens }

// PromptTokens returns the number of prompt tokens of all attempts.
func (r Result) PromptTokens() int { return r.promptTokens }

// TimeToFirstToken returns a percentile of the times to the first token.
func (r Result) TimeToFirstToken(percentile float64) time.Duration {
	return time.Duration(r.histogram.ValueAtQuantile(percentile)) * time.Microsecond
}

// WithinTarget returns the share of requests whose first token came within the target.
func (r Result) WithinTarget() float64 { return float64(r.withinTarget) / float64(max(1, r.completed)) }

// Cost returns the cost of the workers for the length of the run.
func (r Result) Cost() float64 {
	onDemand := (r.settings.workers + r.settings.onDemandEvery - 1) / r.settings.onDemandEvery
	hourly := float64(onDemand)*onDemandPricePerHour + float64(r.settings.workers-onDemand)*reclaimablePricePerHour
	return hourly * r.settings.length.Hours()
}

// CostPerThousand returns the cost per thousand requests within the target.
func (r Result) CostPerThousand() float64 { return 1000 * r.Cost() / float64(max(1, r.withinTarget)) }

// String returns the measurements in one line.
func (r Result) String() string {
	return fmt.Sprintf("requests %5d  recomputed %4.1f%% (%d)  first token p50 %6.3fs p95 %6.3fs p99 %6.3fs  within %s %5.1f%%  cost/1000 within %.3f",
		r.completed, 100*float64(r.recomputedTokens)/float64(max(1, r.promptTokens)), r.recomputedTokens,
		r.TimeToFirstToken(50).Seconds(), r.TimeToFirstToken(95).Seconds(), r.TimeToFirstToken(99).Seconds(),
		r.settings.target, 100*r.WithinTarget(), r.CostPerThousand())
}
