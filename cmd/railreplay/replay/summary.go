package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// summaryBody is the file format of a saved report.
type summaryBody struct {
	Trace            string                 `json:"trace"`
	TookMs           int64                  `json:"tookMs"`
	Requests         int                    `json:"requests"`
	Missed           int                    `json:"missed"`
	RunTwice         int                    `json:"runTwice"`
	Reconnects       int                    `json:"reconnects"`
	Retries          int                    `json:"retries"`
	PromptTokens     int                    `json:"promptTokens"`
	RecomputedTokens int                    `json:"recomputedTokens"`
	GeneratedTokens  int                    `json:"generatedTokens"`
	Cost             float64                `json:"cost"`
	WithinTarget     float64                `json:"withinTarget"`
	Latencies        map[string]latencyBody `json:"latencies"`
}

// latencyBody contains quantiles in milliseconds.
type latencyBody struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Summary is the part of a report that is saved.
type Summary struct{ body summaryBody }

// Summary returns the summary of the report.
func (r Report) Summary() Summary {
	b := summaryBody{
		Trace:            r.name,
		TookMs:           r.elapsed.Milliseconds(),
		Requests:         r.requestCount(),
		Missed:           len(r.missed),
		Reconnects:       r.reconnects,
		Retries:          r.retries,
		PromptTokens:     r.totals.PromptTokens,
		RecomputedTokens: r.totals.RecomputedTokens,
		GeneratedTokens:  r.totals.GeneratedTokens,
		Cost:             r.cost,
		WithinTarget:     r.withinTarget(),
		Latencies:        map[string]latencyBody{},
	}
	for _, w := range r.rows {
		b.RunTwice += w.ranTwice
	}
	for name, h := range r.latencies {
		b.Latencies[name] = latencyBody{Count: h.TotalCount(), P50: quantile(h, 50), P95: quantile(h, 95), P99: quantile(h, 99)}
	}
	return Summary{body: b}
}

// Write writes the summary as JSON.
func (s Summary) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(s.body), "encode the summary")
}

// ReadSummary reads a saved summary.
func ReadSummary(r io.Reader) (Summary, error) {
	var s Summary
	return s, errors.Wrap(json.NewDecoder(r).Decode(&s.body), "decode the summary")
}

// Compare prints a table of saved summaries, one line for each name.
func Compare(w io.Writer, names []string, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "run\ttrace\trequests\tmissed\trun twice\tp50 ms\tp95 ms\tp99 ms\tin target\trecomputed\tcost")
	for i, s := range summaries {
		b, f := s.body, s.body.Latencies[firstToken]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f%%\t%d\t%.5f\n", names[i], b.Trace, b.Requests,
			b.Missed, b.RunTwice, f.P50, f.P95, f.P99, 100*b.WithinTarget, b.RecomputedTokens, b.Cost)
	}
	return errors.Wrap(t.Flush(), "print")
}
