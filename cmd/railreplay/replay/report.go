package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
	maxMissedShown    = 10
)

// row is one line of the outcome table: all requests of a kind with one expected outcome.
type row struct {
	kind     trace.Kind
	expected trace.Outcome
	sent     int
	passed   int
	observed map[caller.Outcome]int
	ranTwice int
}

// Report is the result of a replay.
type Report struct {
	name             string
	elapsed          time.Duration
	rows             []row
	faults           []string
	faultFailed      bool
	missed           []string
	reconnects       int
	retries          int
	firstTokenTarget time.Duration
	streams          int
	streamsInTarget  int
	latencies        map[string]*hdrhistogram.Histogram
	totals           totals
	cost             float64
}

// Passed reports whether every request had its expected outcome and every fault was injected.
func (r Report) Passed() bool { return len(r.missed) == 0 && !r.faultFailed }

// Reconnects returns how often callers reconnected to resume a stream.
func (r Report) Reconnects() int { return r.reconnects }

// The names of the latencies in the report and in saved summaries.
const (
	firstToken    = "first token"
	betweenTokens = "between tokens"
	lookupTime    = "lookup"
	orderTime     = "order"
)

// report summarises the results of all requests.
func (r *replayer) report(elapsed time.Duration) Report {
	p := Report{name: r.trace.Name(), elapsed: elapsed, faults: r.faults, faultFailed: r.faultFailed, firstTokenTarget: r.settings.FirstTokenTarget, latencies: map[string]*hdrhistogram.Histogram{}}
	for _, res := range r.results {
		p.add(res)
	}
	p.totals, p.cost = r.watcher.sumTotals()
	slices.SortFunc(p.rows, func(a, b row) int {
		return strings.Compare(string(a.kind)+string(a.expected), string(b.kind)+string(b.expected))
	})
	return p
}

func (r *Report) add(res requestResult) {
	w := r.rowFor(res.request)
	w.sent++
	w.observed[res.observed]++
	if res.ranTwice() {
		w.ranTwice++
	}
	if res.passed() {
		w.passed++
	} else {
		r.missed = append(r.missed, res.describe())
	}
	r.reconnects += res.result.Reconnects()
	r.retries += res.result.Retries()
	r.recordTimes(res)
}

// describe describes a request that missed its expected outcome.
func (r requestResult) describe() string {
	return fmt.Sprintf("%8s  %s %s%s %s: stated %s, seen %s, runs %d (counted %t) %s",
		r.request.Offset(), r.request.Kind(), r.request.Model(), r.request.Path(), r.result.RequestID(),
		r.request.Outcome(), r.observed, r.runs, r.countComplete, r.result.Detail())
}

func (r *Report) rowFor(q trace.Request) *row {
	for i := range r.rows {
		if r.rows[i].kind == q.Kind() && r.rows[i].expected == q.Outcome() {
			return &r.rows[i]
		}
	}
	r.rows = append(r.rows, row{kind: q.Kind(), expected: q.Outcome(), observed: map[caller.Outcome]int{}})
	return &r.rows[len(r.rows)-1]
}

// recordTimes records the latencies of an answered request. A stream that was not answered counts as missing the target.
func (r *Report) recordTimes(res requestResult) {
	if res.request.Kind() == trace.Stream {
		r.streams++
	}
	if res.observed != caller.Complete && res.observed != caller.Resent {
		return
	}
	switch res.request.Kind() {
	case trace.Stream:
		r.recordLatency(firstToken, res.result.FirstToken())
		if res.result.FirstToken() <= r.firstTokenTarget {
			r.streamsInTarget++
		}
		for _, g := range res.result.InterTokenTimes() {
			r.recordLatency(betweenTokens, g)
		}
	case trace.Lookup:
		r.recordLatency(lookupTime, res.result.Total())
	case trace.Order:
		r.recordLatency(orderTime, res.result.Total())
	}
}

func (r *Report) recordLatency(name string, d time.Duration) {
	h, ok := r.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		r.latencies[name] = h
	}
	_ = h.RecordValue(min(d, maxLatency).Microseconds())
}

// Print writes the outcome table, the latencies, the tokens and the cost.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("Trace %s, %d requests in %s, %d reconnects, %d retries\n", r.name, r.requestCount(), r.elapsed.Round(time.Millisecond), r.reconnects, r.retries)
	p("\nFaults\n")
	for _, f := range r.faults {
		p("%s\n", f)
	}
	p("\nOutcomes\nkind\tstated\trequests\tas stated\tmissed\trun twice\tseen\n")
	for _, w := range r.rows {
		p("%s\t%s\t%d\t%d\t%d\t%d\t%s\n", w.kind, w.expected, w.sent, w.passed, w.sent-w.passed, w.ranTwice, w.observedText())
	}
	p("\nLatency (ms)\n\tcount\tp50\tp95\tp99\tmax\n")
	for _, name := range slices.Sorted(maps.Keys(r.latencies)) {
		h := r.latencies[name]
		p("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", name, h.TotalCount(), quantile(h, 50), quantile(h, 95), quantile(h, 99), quantile(h, 100))
	}
	p("\nTokens\tprompt %d\trecomputed %d (%.1f%%)\tgenerated %d\n",
		r.totals.PromptTokens, r.totals.RecomputedTokens, r.recomputedShare(), r.totals.GeneratedTokens)
	p("Cost\t%.5f\tfirst token within %s: %.1f%%\n", r.cost, r.firstTokenTarget, 100*r.withinTarget())
	for _, m := range r.missed[:min(len(r.missed), maxMissedShown)] {
		p("missed: %s\n", m)
	}
	if len(r.missed) > maxMissedShown {
		p("missed: and %d more\n", len(r.missed)-maxMissedShown)
	}
	return t.Flush()
}

// withinTarget returns the share of the streams whose first token met the latency target.
func (r Report) withinTarget() float64 {
	if r.streams == 0 {
		return 1
	}
	return float64(r.streamsInTarget) / float64(r.streams)
}

func (r Report) requestCount() int {
	n := 0
	for _, w := range r.rows {
		n += w.sent
	}
	return n
}

func (r Report) recomputedShare() float64 {
	if r.totals.PromptTokens == 0 {
		return 0
	}
	return 100 * float64(r.totals.RecomputedTokens) / float64(r.totals.PromptTokens)
}

func (w row) observedText() string {
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(w.observed)) {
		parts = append(parts, fmt.Sprintf("%s %d", s, w.observed[s]))
	}
	return strings.Join(parts, ", ")
}

// quantile returns a quantile of a histogram of microseconds, in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
