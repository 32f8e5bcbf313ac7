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

// entry is a scripted entry: each call takes the next step of the script.
type entry struct {
	mu    sync.Mutex
	steps []step
	calls []string
}

// step is the answer to one call.
type step struct {
	status int
	run    string
	body   string
	cut    bool
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
	if s.cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// token returns one event of an answer.
func token(offset int, text string) string {
	return fmt.Sprintf("id: a1:%d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", offset, text)
}

const done = "data: [DONE]\n\n"

// run plays the script against the request and returns what the caller saw, and the calls that the entry got.
func run(t *testing.T, steps []step, ask func(c *caller.Client) caller.Result) (caller.Result, []string) {
	t.Helper()
	e := &entry{steps: steps}
	s := httptest.NewUnstartedServer(e)
	s.Config.ErrorLog = nil
	s.Start()
	defer s.Close()
	c := caller.New([]string{s.URL}, caller.Limits{Deadline: 3 * time.Second, IdleTimeout: time.Second, SearchTimeout: time.Second, MaxUnknownRetries: 1})
	defer c.Close()
	r := ask(c)
	return r, e.calls
}

func TestStream(t *testing.T) {
	const post = "POST /v1/completions last= ticket="
	tests := []struct {
		name  string
		steps []step
		seen  caller.Outcome
		calls []string
	}{
		{"whole", []step{{200, "", ": alive\n\n" + token(0, "a ") + token(1, "b ") + done, false}}, caller.Complete, []string{post}},
		{
			"cut and taken up again",
			[]step{{200, "", token(0, "a "), true}, {200, "", token(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket="},
		},
		{
			"event cut in the middle",
			[]step{{200, "", token(0, "a ") + "id: a1:1\ndata: {\"cho", true}, {200, "", token(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket="},
		},
		{
			"answer lost",
			[]step{{200, "", token(0, "a "), true}, {404, "unknown", "", false}, {200, "", token(0, "a ") + token(1, "b ") + done, false}},
			caller.Resent,
			[]string{post, "GET /v1/answers/a1 last=a1:0 ticket=", post},
		},
		{
			"refused, then taken",
			[]step{{503, "notRun", "", false}, {200, "", token(0, "a ") + token(1, "b ") + done, false}},
			caller.Complete,
			[]string{post, post},
		},
		{"double token", []step{{200, "", token(0, "a ") + token(0, "a ") + token(1, "b ") + done, false}}, caller.Wrong, []string{post}},
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
			is.Equal(r.Outcome(), tt.seen)
			is.Equal(calls, tt.calls)
		})
	}
}

func TestOrderByTicket(t *testing.T) {
	const ask = "POST /v1/tickets last= ticket="
	const send = "POST /s/orders/orders/7 last= ticket=breno-x-1"
	ticket := step{200, "", `{"ticket":"breno-x-1"}`, false}
	tests := []struct {
		name  string
		steps []step
		seen  caller.Outcome
		calls []string
	}{
		{"lands", []step{ticket, {200, "", "", false}}, caller.Complete, []string{ask, send}},
		{"refused, then lands", []step{ticket, {503, "notRun", "", false}, {200, "", "", false}}, caller.Complete, []string{ask, send, send}},
		{"answer cut, same ticket", []step{ticket, {200, "", "x", true}, {200, "", "", false}}, caller.Complete, []string{ask, send, send}},
		{"refused for good", []step{ticket, {403, "notRun", "", false}}, caller.NotRun, []string{ask, send}},
		{"cut, then refused", []step{ticket, {200, "", "x", true}, {400, "notRun", "", false}}, caller.Unknown, []string{ask, send, send}},
		{"unknown", []step{ticket, {504, "unknown", "", false}}, caller.Unknown, []string{ask, send, send}},
		{"no ticket", []step{{401, "notRun", "", false}}, caller.NotRun, []string{ask}},
		{"service failed", []step{ticket, {500, "", "", false}}, caller.Failed, []string{ask, send}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, calls := run(t, tt.steps, func(c *caller.Client) caller.Result {
				return c.OrderByTicket(context.Background(), caller.NewOrder("secret", "orders", "/orders/7", "two tins"))
			})
			is.Equal(r.Outcome(), tt.seen)
			is.Equal(calls, tt.calls)
		})
	}
}
