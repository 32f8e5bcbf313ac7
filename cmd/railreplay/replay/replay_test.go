package replay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/replay"
	"dandelionrail.org/rail/cmd/railreplay/trace"
	"dandelionrail.org/rail/standin"
	"dandelionrail.org/rail/standin/platform"
	"dandelionrail.org/rail/standin/service"
)

// entry is an entry that answers correctly, or with the stated fault.
type entry struct {
	service string
	fault   string
	ran     atomic.Bool
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/completions":
		e.stream(w, r)
	case r.URL.Path == "/v1/tickets":
		_, _ = fmt.Fprint(w, `{"ticket":"breno-x-1"}`)
	case r.Method == http.MethodGet:
		_, _ = fmt.Fprint(w, "in stock")
	default:
		e.order(w, r)
	}
}

func (e *entry) stream(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	text := standin.NewAnswer(b.Model, b.Prompt).Text(0, b.MaxTokens)
	if e.fault == "wrong bytes" {
		text = strings.Replace(text, " ", "", 1)
	}
	_, _ = fmt.Fprintf(w, "id: a:1\ndata: {\"choices\":[{\"text\":%q}]}\n\n", text)
	if e.fault == "short answer" {
		return
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *entry) order(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/s/orders")
	runs := map[string]int{"runs twice": 2, "never runs": 0, "refuses": 0}
	n, ok := runs[e.fault]
	if !ok {
		n = 1
	}
	if e.ran.Swap(true) {
		n = 0 // a repetition under the same ticket
	}
	for range n {
		a, err := http.Post(e.service+path, "application/json", http.NoBody)
		if err != nil {
			return
		}
		_ = a.Body.Close()
	}
	switch e.fault {
	case "refuses", "refuses what ran":
		w.Header().Set("X-Run", "notRun")
		w.WriteHeader(http.StatusForbidden)
	case "does not know":
		w.Header().Set("X-Run", "unknown")
		w.WriteHeader(http.StatusGone)
	}
}

func TestRunComparesObservedWithExpectedOutcomes(t *testing.T) {
	c := trace.NewCaller("office", "office-token")
	stream := trace.NewStream(0, c, "m", trace.NewPrompt(1, 8, 2, 8), 5)
	order := trace.NewOrder(0, c, "orders", "/orders/1", "two tins", trace.ByTicket)
	keyed := trace.NewOrder(0, c, "orders", "/orders/2", "two tins", trace.ByKey)
	tests := []struct {
		fault   string
		request trace.Request
		passed  bool
	}{
		{"", stream, true},
		{"wrong bytes", stream, false},
		{"short answer", stream, false},
		{"", trace.NewLookup(0, c, "stock", "/stock/1"), true},
		{"", order, true},
		{"", keyed, true},
		{"runs twice", order, false},
		{"runs twice", order.WithOutcome(trace.AtMostOnce), false},
		{"", order.WithCopies(3), true},
		{"runs twice", order.WithCopies(3), false},
		{"never runs", order, false},
		{"never runs", keyed.WithOutcome(trace.AtMostOnce), false},
		{"refuses", order, false},
		{"refuses", order.WithOutcome(trace.AtMostOnce), true},
		{"refuses", order.WithOutcome(trace.Refused), true},
		{"refuses what ran", order.WithOutcome(trace.AtMostOnce), false},
		{"refuses what ran", order.WithOutcome(trace.Refused), false},
		{"does not know", order, false},
		{"does not know", order.WithOutcome(trace.AtMostOnce), true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s %s %s", tt.request.Kind(), tt.request.Outcome(), tt.fault), func(t *testing.T) {
			is := is.New(t)
			r := run(t, tt.fault, tt.request)
			is.Equal(r.Passed(), tt.passed)
			var b strings.Builder
			is.NoErr(r.Print(&b))
			is.Equal(strings.Contains(b.String(), "missed:"), !tt.passed)
		})
	}
}

func TestRunReportsFailedFaultInjection(t *testing.T) {
	is := is.New(t)
	r := run(t, "", trace.NewLookup(0, trace.NewCaller("office", "x"), "stock", "/stock/1"), trace.NewProcessFault(0, trace.Kill, "entry-9"))
	is.True(!r.Passed())
}

// run replays one request against an entry that has the fault.
func run(t *testing.T, fault string, q trace.Request, faults ...trace.Fault) replay.Report {
	t.Helper()
	is := is.New(t)
	v := httptest.NewServer(service.New(service.Settings{}))
	t.Cleanup(v.Close)
	p := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	t.Cleanup(p.Close)
	body := fmt.Sprintf(`{"domain":"breno","role":"service","incarnation":"a","address":%q}`, v.Listener.Addr())
	r, err := http.NewRequest(http.MethodPut, p.URL+"/instances/s1", strings.NewReader(body))
	is.NoErr(err)
	a, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	is.NoErr(a.Body.Close())
	e := httptest.NewServer(&entry{service: v.URL, fault: fault})
	t.Cleanup(e.Close)
	limits := caller.Limits{Deadline: 300 * time.Millisecond, IdleTimeout: 200 * time.Millisecond, SearchTimeout: 200 * time.Millisecond, MaxUnknownRetries: 1}
	return replay.Run(context.Background(), trace.New("t", "valcamonica", 0, []trace.Request{q}, faults), replay.Settings{
		Entries: []string{e.URL}, Platform: p.URL, Limits: limits, MaxInFlight: 10, Speed: 1, FirstTokenTarget: time.Second,
	})
}

func TestCompareSavedSummaries(t *testing.T) {
	is := is.New(t)
	q := trace.NewStream(0, trace.NewCaller("office", "x"), "m", trace.NewPrompt(1, 8, 2, 8), 5)
	var saved, printed strings.Builder
	is.NoErr(run(t, "", q).Summary().Write(&saved))
	s, err := replay.ReadSummary(strings.NewReader(saved.String()))
	is.NoErr(err)
	is.NoErr(replay.Compare(&printed, []string{"first", "second"}, []replay.Summary{s, s}))
	is.Equal(strings.Count(printed.String(), "100.0%"), 2)
	_, err = replay.ReadSummary(strings.NewReader("{"))
	is.True(err != nil)
}
