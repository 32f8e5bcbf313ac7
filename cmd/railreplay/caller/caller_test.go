package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/caller"
)

// entry is a scripted entry: each call gets the next step of the script, and the last step is repeated.
type entry struct {
	mu    sync.Mutex
	steps []step
	calls []string
}

// step is the response to one call; abort closes the connection after the body.
type step struct {
	status int
	run    string
	body   string
	abort  bool
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.steps[0]
	if len(e.steps) > 1 {
		e.steps = e.steps[1:]
	}
	e.calls = append(e.calls, fmt.Sprintf("%s %s last=%s ticket=%s", r.Method, r.URL.Path, r.Header.Get("Last-Event-ID"), r.Header.Get("X-Ticket")))
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", "a1")
	if s.run != "" {
		w.Header().Set("X-Run", s.run)
	}
	w.WriteHeader(s.status)
	_, _ = w.Write([]byte(s.body))
	if s.abort {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// tokenEvent returns one event of a streamed answer.
func tokenEvent(offset int, text string) string {
	return fmt.Sprintf("id: a1:%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", offset, text)
}

const done = "data: [DONE]\n\n"

// run sends the request to an entry with the script and returns the caller's result and the calls that the entry received.
func run(t *testing.T, steps []step, send func(c *caller.Client) caller.Result) (caller.Result, []string) {
	t.Helper()
	e := &entry{steps: steps}
	s := httptest.NewUnstartedServer(e)
	s.Config.ErrorLog = nil
	s.Start()
	defer s.Close()
	c := caller.New([]string{s.URL}, caller.Limits{Deadline: 3 * time.Second, IdleTimeout: time.Second, SearchTimeout: time.Second, MaxUnknownRetries: 1})
	defer c.Close()
	r := send(c)
	return r, e.calls
}

func TestStream(t *testing.T) {
	const post = "POST /v1/completions last= ticket="
	tests := []struct {
		name  string
		steps []step
		want  caller.Outcome
		calls []string
	}{
		{"complete", []step{{200, "", ": alive\n\n" + tokenEvent(0, "a ") + tokenEvent(1, "b ") + done, false}}, caller.Complete, []string{post}},
		{
			"aborted and resumed",
			[]step{{200, "", tokenEvent(0, "a "), true}, {200, "", tokenEvent(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket="},
		},
		{
			"aborted within an event",
			[]step{{200, "", tokenEvent(0, "a ") + "id: a1:1\ndata: {\"cho", true}, {200, "", tokenEvent(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket="},
		},
		{
			"answer lost",
			[]step{{200, "", tokenEvent(0, "a "), true}, {404, "unknown", "", false}, {200, "", tokenEvent(0, "a ") + tokenEvent(1, "b ") + done, false}},
			caller.Resent,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket=", post},
		},
		{
			"refused, then accepted",
			[]step{{503, "notRun", "", false}, {200, "", tokenEvent(0, "a ") + tokenEvent(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, post},
		},
		{"repeated token", []step{{200, "", tokenEvent(0, "a ") + tokenEvent(0, "a ") + tokenEvent(1, "b ") + done, false}}, caller.Wrong, []string{post}},
		{"bad request", []step{{400, "notRun", "", false}}, caller.NotRun, []string{post}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, calls := run(t, tt.steps, func(c *caller.Client) caller.Result {
				q, err := caller.NewCompletionRequest("secret", "m", "p", 2, "a b ")
				is.NoErr(err)
				return c.Stream(context.Background(), q)
			})
			is.Equal(r.Outcome(), tt.want)
			is.Equal(calls, tt.calls)
		})
	}
}

func TestOrderByTicket(t *testing.T) {
	const ticketCall = "POST /v1/tickets last= ticket="
	const orderCall = "POST /s/orders/orders/7 last= ticket=breno-x-1"
	ticket := step{200, "", `{"ticket":"breno-x-1"}`, false}
	tests := []struct {
		name  string
		steps []step
		want  caller.Outcome
		calls []string
	}{
		{"complete", []step{ticket, {200, "", "", false}}, caller.Complete, []string{ticketCall, orderCall}},
		{"refused, then complete", []step{ticket, {503, "notRun", "", false}, {200, "", "", false}}, caller.Complete, []string{ticketCall, orderCall, orderCall}},
		{"answer aborted, same ticket", []step{ticket, {200, "", "x", true}, {200, "", "", false}}, caller.Complete, []string{ticketCall, orderCall, orderCall}},
		{"refused permanently", []step{ticket, {403, "notRun", "", false}}, caller.NotRun, []string{ticketCall, orderCall}},
		{"answer aborted, then refused", []step{ticket, {200, "", "x", true}, {400, "notRun", "", false}}, caller.Unknown, []string{ticketCall, orderCall, orderCall}},
		{"unknown", []step{ticket, {504, "unknown", "", false}}, caller.Unknown, []string{ticketCall, orderCall, orderCall}},
		{"no ticket", []step{{401, "notRun", "", false}}, caller.NotRun, []string{ticketCall}},
		{"service failed", []step{ticket, {500, "", "", false}}, caller.Failed, []string{ticketCall, orderCall}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, calls := run(t, tt.steps, func(c *caller.Client) caller.Result {
				return c.OrderByTicket(context.Background(), caller.NewOrder("secret", "orders", "/orders/7", "two tins"))
			})
			is.Equal(r.Outcome(), tt.want)
			is.Equal(calls, tt.calls)
		})
	}
}
