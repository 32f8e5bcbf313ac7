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
	maxMeasured   = 10 * time.Minute
	digits        = 3
	examplesShown = 10
)

// row is one line of the outcome table: all requests of a kind with one stated outcome.
type row struct {
	kind    trace.Kind
	stated  trace.Outcome
	sent    int
	met     int
	seen    map[caller.Outcome]int
	doubled int
}

// Report is what a replay has shown.
type Report struct {
	name       string
	took       time.Duration
	rows       []row
	faults     []string
	broken     bool
	missed     []string
	reconnects int
	retries    int
	target     time.Duration
	streams    int
	inTarget   int
	latencies  map[string]*hdrhistogram.Histogram
	totals     totals
	cost       float64
}

// Passed reports whether every stated outcome was seen and every fault could be brought about.
func (r Report) Passed() bool { return len(r.missed) == 0 && !r.broken }

// Reconnects returns how often a broken stream was taken up again.
func (r Report) Reconnects() int { return r.reconnects }

// The names of the measured times.
const (
	firstToken    = "first token"
	betweenTokens = "between tokens"
	lookupTime    = "lookup"
	orderTime     = "order"
)

// report sums up what became of all requests.
func (r *replayer) report(took time.Duration) Report {
	p := Report{name: r.trace.Name(), took: took, faults: r.faults, broken: r.broken, target: r.settings.FirstTokenTarget, latencies: map[string]*hdrhistogram.Histogram{}}
	for _, l := range r.lines {
		p.add(l)
	}
	p.totals, p.cost = r.watcher.sum()
	slices.SortFunc(p.rows, func(a, b row) int {
		return strings.Compare(string(a.kind)+string(a.stated), string(b.kind)+string(b.stated))
	})
	return p
}

func (r *Report) add(l line) {
	w := r.row(l.request)
	w.sent++
	w.seen[l.seen]++
	if l.doubled() {
		w.doubled++
	}
	if l.met() {
		w.met++
	} else {
		r.missed = append(r.missed, l.describe())
	}
	r.reconnects += l.result.Reconnects()
	r.retries += l.result.Retries()
	r.measure(l)
}

// describe names a request whose stated outcome was missed.
func (l line) describe() string {
	return fmt.Sprintf("%8s  %s %s%s %s: stated %s, seen %s, runs %d (counted %t) %s",
		l.request.Offset(), l.request.Kind(), l.request.Model(), l.request.Path(), l.result.RequestID(),
		l.request.Outcome(), l.seen, l.runs, l.counted, l.result.Detail())
}

func (r *Report) row(q trace.Request) *row {
	for i := range r.rows {
		if r.rows[i].kind == q.Kind() && r.rows[i].stated == q.Outcome() {
			return &r.rows[i]
		}
	}
	r.rows = append(r.rows, row{kind: q.Kind(), stated: q.Outcome(), seen: map[caller.Outcome]int{}})
	return &r.rows[len(r.rows)-1]
}

// measure takes in the times of an answered request; a stream that was not answered is out of the target.
func (r *Report) measure(l line) {
	if l.request.Kind() == trace.Stream {
		r.streams++
	}
	if l.seen != caller.Complete && l.seen != caller.Resent {
		return
	}
	switch l.request.Kind() {
	case trace.Stream:
		r.record(firstToken, l.result.FirstToken())
		if l.result.FirstToken() <= r.target {
			r.inTarget++
		}
		for _, g := range l.result.InterTokenTimes() {
			r.record(betweenTokens, g)
		}
	case trace.Lookup:
		r.record(lookupTime, l.result.Total())
	case trace.Order:
		r.record(orderTime, l.result.Total())
	}
}

func (r *Report) record(name string, d time.Duration) {
	h, ok := r.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxMeasured.Microseconds(), digits)
		r.latencies[name] = h
	}
	_ = h.RecordValue(min(d, maxMeasured).Microseconds())
}

// Print writes the outcome table, the latencies, the tokens and the cost.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	p("Trace %s, %d requests in %s, %d reconnects, %d retries\n", r.name, r.sent(), r.took.Round(time.Millisecond), r.reconnects, r.retries)
	p("\nFaults\n")
	for _, f := range r.faults {
		p("%s\n", f)
	}
	p("\nOutcomes\nkind\tstated\trequests\tas stated\tmissed\trun twice\tseen\n")
	for _, w := range r.rows {
		p("%s\t%s\t%d\t%d\t%d\t%d\t%s\n", w.kind, w.stated, w.sent, w.met, w.sent-w.met, w.doubled, w.seenText())
	}
	p("\nLatency (ms)\n\tcount\tp50\tp95\tp99\tmax\n")
	for _, name := range slices.Sorted(maps.Keys(r.latencies)) {
		h := r.latencies[name]
		p("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", name, h.TotalCount(), quantile(h, 50), quantile(h, 95), quantile(h, 99), quantile(h, 100))
	}
	p("\nTokens\tprompt %d\trecomputed %d (%.1f%%)\tgenerated %d\n",
		r.totals.PromptTokens, r.totals.RecomputedTokens, r.recomputedShare(), r.totals.GeneratedTokens)
	p("Cost\t%.5f\tfirst token within %s: %.1f%%\n", r.cost, r.target, 100*r.withinTarget())
	for _, m := range r.missed[:min(len(r.missed), examplesShown)] {
		p("missed: %s\n", m)
	}
	if len(r.missed) > examplesShown {
		p("missed: and %d more\n", len(r.missed)-examplesShown)
	}
	return t.Flush()
}

// withinTarget returns the share of the streams whose first token came in time.
func (r Report) withinTarget() float64 {
	if r.streams == 0 {
		return 1
	}
	return float64(r.inTarget) / float64(r.streams)
}

func (r Report) sent() int {
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

func (w row) seenText() string {
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(w.seen)) {
		parts = append(parts, fmt.Sprintf("%s %d", s, w.seen[s]))
	}
	return strings.Join(parts, ", ")
}

// quantile returns a quantile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
