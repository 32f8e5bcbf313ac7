package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/caller"
)

// counterHash is the SHA-256 of the token "counter".
const counterHash = "efe899c74558f20b08bbc19bf0228c0c25bddb7871d80bd34ac8b33c030b3698"

// mailbox answers each call with its function and counts the events.
type mailbox struct {
	events int
	answer func(id rail.RequestID, e rail.Event) rail.CallEffect
}

func (m *mailbox) Post(e rail.Event) bool {
	m.events++
	if a, ok := e.(rail.RequestArrived); ok && m.answer != nil {
		m.answer(a.Request().ID(), e)
	}
	return true
}

func (m *mailbox) Ask(_ context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	m.events++
	return m.answer(id, e), nil
}

type documents struct{ document rail.Document }

func (d documents) InForce() rail.Document { return d.document }

type recorder struct{}

func (recorder) RequestDone(rail.RouteName, rail.Kind, time.Duration) {}
func (recorder) FirstToken(rail.RouteName, time.Duration)             {}
func (recorder) Tokens(int)                                           {}

type noEntries struct{}

func (noEntries) Entries() []rail.Instance { return nil }

func newServer(m *mailbox, store *answer.Store) http.Handler {
	document := rail.NewDocument("production", 1,
		[]rail.Team{rail.NewTeam("counter", counterHash, 0.5, 5)},
		[]rail.Route{
			rail.NewRoute("drafts", rail.RouteModel, "tin-writer", true, "v1"),
			rail.NewRoute("orders", rail.RouteService, "orders", false, "v1"),
		}, nil, "")
	settings := answer.Defaults().WithReconnectTimeout(time.Millisecond)
	source := answer.NewSource(settings, store, nil, noEntries{})
	next := 0
	newID := func() rail.RequestID { next++; return rail.RequestID(rune('a' + next - 1)) }
	const maxBody = 1000
	return caller.New(m, documents{document}, source, store, recorder{}, newID, maxBody, time.Second,
		func() bool { return false }).Handler()
}

func send(h http.Handler, method, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestBadInputGetsItsKindAndHasNoEffect(t *testing.T) {
	const good = `{"model":"tin-writer","prompt":"tins"}`
	tests := []struct {
		name, method, path, token, body string
		want                            rail.Kind
	}{
		{"unknown team", "POST", "/v1/completions", "unknown", good, rail.KindUnknownTeam},
		{"unknown model", "POST", "/v1/completions", "counter", `{"model":"m","prompt":"tins"}`, rail.KindUnknownModel},
		{"broken JSON", "POST", "/v1/completions", "counter", `{"model":`, rail.KindBadRequest},
		{"no body", "POST", "/v1/completions", "counter", ``, rail.KindBadRequest},
		{"no prompt", "POST", "/v1/completions", "counter", `{"model":"tin-writer"}`, rail.KindBadRequest},
		{"tokens below zero", "POST", "/v1/completions", "counter", `{"model":"tin-writer","prompt":"t","max_tokens":-1}`, rail.KindBadRequest},
		{"body too long", "POST", "/v1/completions", "counter", `{"model":"` + strings.Repeat("m", 1000) + `"}`, rail.KindTooLarge},
		{"service body too long", "POST", "/s/orders/tins", "counter", strings.Repeat("m", 1001), rail.KindTooLarge},
		{"unknown route", "POST", "/s/paint/tins", "counter", "", rail.KindUnknownRoute},
		{"model route as a service", "POST", "/s/drafts/tins", "counter", "", rail.KindUnknownRoute},
		{"unknown path", "POST", "/v2", "counter", "", rail.KindUnknownRoute},
		{"last event of another answer", "GET", "/v1/answers/x", "counter", "", rail.KindBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := &mailbox{}
			w := send(newServer(m, answer.NewStore(answer.Defaults())), tt.method, tt.path, tt.token, tt.body, "Last-Event-ID", "y:1")
			is.Equal(w.Code, tt.want.Reply().Status())
			is.Equal(w.Header().Get("X-Run"), string(tt.want.Reply().Run()))
			var body struct {
				Error struct{ Kind, Message, Advice, Run string }
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
			is.Equal(body.Error.Kind, string(tt.want))
			is.True(body.Error.Message != "")
			is.True(body.Error.Advice != "")
			is.Equal(m.events, 0)
		})
	}
}

func TestStreamCarriesOffsetsAndResumes(t *testing.T) {
	is := is.New(t)
	store := answer.NewStore(answer.Defaults())
	m := &mailbox{answer: func(id rail.RequestID, _ rail.Event) rail.CallEffect {
		_, _, err := store.BeginAttempt(id, 1)
		is.NoErr(err)
		for i, text := range []string{"cut ", "two ", "tins"} {
			_, err := store.Append(id, 1, rail.NewChunk(i, text))
			is.NoErr(err)
		}
		store.Finish(id, rail.KindNone, rail.ServiceReply{})
		return nil
	}}
	h := newServer(m, store)
	w := send(h, "POST", "/v1/completions", "counter", `{"model":"tin-writer","prompt":"t","stream":true}`)
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), "id: a:3\n"))
	is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
	w = send(h, "GET", "/v1/answers/a", "counter", "", "Last-Event-ID", "a:2")
	is.True(!strings.Contains(w.Body.String(), "two"))
	is.True(strings.Contains(w.Body.String(), "tins"))
}

func TestWaitingCallerOfAMovedAnswerGetsItsLocation(t *testing.T) {
	is := is.New(t)
	m := &mailbox{answer: func(id rail.RequestID, _ rail.Event) rail.CallEffect {
		return answer.NewMoved(id, rail.NewInstance("e2", "edolo", rail.RoleEntry, ""))
	}}
	w := send(newServer(m, answer.NewStore(answer.Defaults())), "POST", "/v1/completions", "counter", `{"model":"tin-writer","prompt":"t"}`)
	is.Equal(w.Code, http.StatusAccepted)
	is.Equal(w.Header().Get("Location"), "/v1/answers/a")
}

// A request that a leaving entry refuses must not look like an answer that was moved to another entry.
func TestStreamRefusedAsLeavingIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	store := answer.NewStore(answer.Defaults())
	m := &mailbox{answer: func(id rail.RequestID, _ rail.Event) rail.CallEffect {
		store.Finish(id, rail.KindLeaving, rail.ServiceReply{})
		return nil
	}}
	w := send(newServer(m, store), "POST", "/v1/completions", "counter", `{"model":"tin-writer","prompt":"t","stream":true}`)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("X-Run"), string(rail.NotRun))
	is.True(strings.Contains(w.Body.String(), `"kind":"leaving"`))
}

func TestServiceAnswerIsForwarded(t *testing.T) {
	is := is.New(t)
	m := &mailbox{answer: func(id rail.RequestID, _ rail.Event) rail.CallEffect {
		return answer.NewFinished(id, rail.KindNone, rail.NewServiceReply(http.StatusCreated, "text/plain", []byte("cut")))
	}}
	w := send(newServer(m, answer.NewStore(answer.Defaults())), "POST", "/s/orders/tins", "counter", "two")
	is.Equal(w.Code, http.StatusCreated)
	body, err := io.ReadAll(w.Body)
	is.NoErr(err)
	is.Equal(string(body), "cut")
}

func TestServicePathKeepsItsEscapes(t *testing.T) {
	for _, path := range []string{"/", "/tins", "/tins/a%3Fb", "/tins/a%2Fb", "/tins/a%25b", "//tins", "/tins?size=3%26"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			m := &mailbox{answer: func(_ rail.RequestID, e rail.Event) rail.CallEffect {
				got = e.(rail.RequestArrived).Request().Path()
				return nil
			}}
			send(newServer(m, answer.NewStore(answer.Defaults())), "POST", "/s/orders"+path, "counter", "two")
			is.Equal(got, path)
		})
	}
}

// Guards against statuses that peers of older builds may still send: net/http panics below 100, and 0 looked like a model's answer.
func TestServiceAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []int{0, 1, 20, 99, 101, 600, 999} {
		for _, path := range []string{"/s/orders/tins", "/v1/completions", "/v1/answers/x"} {
			if status == 0 && path != "/s/orders/tins" {
				continue // No service answered; the answer is a model's.
			}
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				is := is.New(t)
				reply := rail.NewServiceReply(status, "text/plain", []byte("cut"))
				store := answer.NewStore(answer.Defaults())
				store.Open("x", "counter")
				store.Finish("x", rail.KindNone, reply)
				m := &mailbox{answer: func(id rail.RequestID, _ rail.Event) rail.CallEffect {
					store.Finish(id, rail.KindNone, reply)
					return answer.NewFinished(id, rail.KindNone, reply)
				}}
				method, body := "POST", `{"model":"tin-writer","prompt":"t"}`
				if path == "/v1/answers/x" {
					method, body = "GET", ""
				}
				for _, headers := range [][]string{nil, {"Accept", "text/event-stream"}} {
					w := send(newServer(m, store), method, path, "counter", body, headers...)
					is.Equal(w.Code, http.StatusBadGateway)
					is.Equal(w.Header().Get("X-Run"), string(rail.RunUnknown))
					is.True(strings.Contains(w.Body.String(), `"kind":"upstreamFailed"`))
				}
			})
		}
	}
}
