package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/simtime"
	"dandelionrail.org/rail/standin/engine"

	"dandelionrail.org/rail/standin"
)

const prompt = "letter the lid of a school tin with oak leaves and the name Wren in a plain serif for the lower fourth please"

// result is the response to one request.
type result struct {
	status  int
	text    string
	ended   bool
	aborted bool
	end     endEvent
	body    string
	took    time.Duration
}

type endEvent struct {
	PromptTokens     int `json:"promptTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	GeneratedTokens  int `json:"generatedTokens"`
}

// aborted reports whether a handler aborted its connection; it repeats any other panic.
func aborted(p any) bool {
	if p == nil {
		return false
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return true
	}
	panic(p)
}

// call passes one request directly to the handler.
func call(ctx context.Context, h http.Handler, method, path, body string) (r result) {
	w := httptest.NewRecorder()
	start := time.Now()
	defer func() {
		r.aborted = aborted(recover())
		r.status, r.body, r.took = w.Code, w.Body.String(), time.Since(start)
		r.parse()
	}()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body)))
	return r
}

// parse joins the tokens of a stream.
func (r *result) parse() {
	for event := range strings.SplitSeq(r.body, "\n\n") {
		data, ok := strings.CutPrefix(event, "event: end\ndata: ")
		if ok {
			r.ended = json.Unmarshal([]byte(data), &r.end) == nil
			continue
		}
		_, data, _ = strings.Cut(event, "data: ")
		var token struct {
			Text string `json:"text"`
		}
		if json.Unmarshal([]byte(data), &token) == nil {
			r.text += token.Text
		}
	}
}

// streamRequest returns the body of a stream request.
func streamRequest(id string, tokens, priority int) string {
	return fmt.Sprintf(`{"requestId":%q,"attempt":1,"model":"m","version":"v1","prompt":%q,"maxTokens":%d,"priority":%d}`,
		id, prompt, tokens, priority)
}

// run tests an engine with a fake clock.
func run(t *testing.T, s engine.Settings, f func(is *is.I, e *engine.Server)) {
	t.Helper()
	simtime.Run(t, func(t *testing.T) {
		s.Model, s.Version = "m", "v1"
		e := engine.New(s)
		defer e.Close()
		f(is.New(t), e)
	})
}

func stream(e *engine.Server, body string) result {
	return call(context.Background(), e, http.MethodPost, "/v1/stream", body)
}

func post(is *is.I, e *engine.Server, path, body string) {
	is.Helper()
	is.Equal(call(context.Background(), e, http.MethodPost, path, body).status, http.StatusNoContent)
}

func TestStreamTiming(t *testing.T) {
	s := engine.Settings{TokenTime: 20 * time.Millisecond, PrefillTokensPerSecond: 1000}
	run(t, s, func(is *is.I, e *engine.Server) {
		r := stream(e, streamRequest("r", 10, 0))
		is.Equal(r.text, standin.NewAnswer("m", prompt).Text(0, 10))
		is.True(r.ended)
		is.Equal(r.end, endEvent{PromptTokens: 23, RecomputedTokens: 23, GeneratedTokens: 10})
		is.Equal(r.took.Round(time.Millisecond), 223*time.Millisecond)
	})
}

func TestResumeContinuesAtOffset(t *testing.T) {
	a := standin.NewAnswer("m", prompt)
	tests := []struct {
		offset int
		text   string
		status int
		want   string
	}{
		{0, "", http.StatusOK, a.Text(0, 9)},
		{4, a.Text(0, 4), http.StatusOK, a.Text(4, 9)},
		{9, a.Text(0, 9), http.StatusOK, ""},
		{4, a.Text(0, 3), http.StatusBadRequest, ""},
		{-1, "", http.StatusBadRequest, ""},
	}
	for _, tt := range tests {
		run(t, engine.Settings{}, func(is *is.I, e *engine.Server) {
			body := strings.TrimSuffix(streamRequest("r", 9, 0), "}") + fmt.Sprintf(`,"resume":{"offset":%d,"text":%q}}`, tt.offset, tt.text)
			r := stream(e, body)
			is.Equal(r.status, tt.status)
			is.Equal(r.text, tt.want)
			is.Equal(r.ended, tt.status == http.StatusOK)
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		body   string
		status int
	}{
		{`{`, http.StatusBadRequest},
		{`{"attempt":1,"model":"m"}`, http.StatusBadRequest},
		{`{"requestId":"r","model":"m","maxTokens":-1}`, http.StatusBadRequest},
		{`{"requestId":"r","model":"other","version":"v1"}`, http.StatusNotFound},
		{`{"requestId":"r","model":"m","version":"v2"}`, http.StatusNotFound},
		{`{"requestId":"r","model":"m","maxTokens":1}`, http.StatusOK},
	}
	for _, tt := range tests {
		run(t, engine.Settings{}, func(is *is.I, e *engine.Server) {
			is.Equal(stream(e, tt.body).status, tt.status)
		})
	}
}

func TestHigherPriorityTakesTheNextSlot(t *testing.T) {
	run(t, engine.Settings{Slots: 1, TokenTime: time.Second}, func(is *is.I, e *engine.Server) {
		var g sync.WaitGroup
		took := make([]time.Duration, 3)
		for i, priority := range []int{1, 1, 9} {
			g.Go(func() { took[i] = stream(e, streamRequest(fmt.Sprint(i), 5, priority)).took.Round(time.Second) })
			synctest.Wait()
		}
		g.Wait()
		is.Equal(took, []time.Duration{5 * time.Second, 15 * time.Second, 10 * time.Second})
	})
}

func TestFullQueueRefuses(t *testing.T) {
	run(t, engine.Settings{Slots: 1, MaxWaiting: 1}, func(is *is.I, e *engine.Server) {
		var g sync.WaitGroup
		for i := range 2 {
			g.Go(func() { is.True(stream(e, streamRequest(fmt.Sprint(i), 5, 0)).ended) })
			synctest.Wait()
		}
		r := stream(e, streamRequest("r", 5, 0))
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(r.body, "full"))
		g.Wait()
	})
}

func TestCancelFreesTheSlot(t *testing.T) {
	run(t, engine.Settings{Slots: 1, TokenTime: time.Second}, func(is *is.I, e *engine.Server) {
		var g sync.WaitGroup
		g.Go(func() {
			r := stream(e, streamRequest("r", 1000, 0))
			is.True(!r.ended)
			is.Equal(r.took.Round(time.Second), 3*time.Second)
		})
		synctest.Wait()
		time.Sleep(3 * time.Second)
		post(is, e, "/v1/cancel", `{"requestId":"r","attempt":2}`)
		post(is, e, "/v1/cancel", `{"requestId":"r","attempt":1}`)
		post(is, e, "/v1/cancel", `{"requestId":"r","attempt":1}`)
		is.Equal(stream(e, streamRequest("s", 2, 0)).took.Round(time.Second), 2*time.Second)
		g.Wait()
	})
}

func TestDisconnectFreesTheSlot(t *testing.T) {
	run(t, engine.Settings{Slots: 1, TokenTime: time.Second}, func(is *is.I, e *engine.Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		r := call(ctx, e, http.MethodPost, "/v1/stream", streamRequest("r", 1000, 0))
		is.True(!r.ended)
		is.Equal(stream(e, streamRequest("s", 2, 0)).took.Round(time.Second), 2*time.Second)
	})
}

// Clients share connections only with engines that repeat the ids of requests, on refusals too.
func TestAnswersRepeatTheRequestID(t *testing.T) {
	for _, path := range []string{"/load", "/cacheEvents", "/unknown"} {
		is := is.New(t)
		s := engine.New(engine.Settings{Model: "tin-writer", Version: "v1"})
		r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		r.Header.Set("X-Request-Id", "r1")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		s.Close()
		is.Equal(w.Header().Values("X-Request-Id"), []string{"r1"})
	}
}
