package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/engine"
)

const (
	tokenTimeout  = 100 * time.Millisecond
	lastTwoTokens = "id: 3\ndata: {\"offset\":3,\"text\":\"brass \"}\n\nid: 4\ndata: {\"offset\":4,\"text\":\"tin \"}\n\n"
	endEvent      = "event: end\ndata: {\"promptTokens\":9,\"recomputedTokens\":2,\"generatedTokens\":2}\n\n"
)

// fakeEngine is a model engine that counts the requests and keeps the body of the last one.
type fakeEngine struct {
	*httptest.Server
	streams atomic.Int64
	body    atomic.Value
}

// newFakeEngine starts an engine that answers each request by the function and repeats its id.
func newFakeEngine(t *testing.T, stream http.HandlerFunc) *fakeEngine {
	f := &fakeEngine{}
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.streams.Add(1)
		b, _ := io.ReadAll(r.Body)
		f.body.Store(string(b))
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		stream(w, r)
	}))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEngine) upstream() rail.Instance { return upstreamAt(f.Listener.Addr().String()) }

func upstreamAt(address string) rail.Instance {
	return rail.NewInstance("m1", "breno", rail.RoleEngine, address).WithServing("tin-writer", "v1")
}

func newClient(t *testing.T) *engine.Client {
	c := engine.New(engine.Defaults().WithTokenTimeouts(tokenTimeout, tokenTimeout).WithLineBytes(4096))
	t.Cleanup(c.Close)
	return c
}

// runStream runs one attempt from token 3 on and returns the text of its chunks.
func runStream(ctx context.Context, c *engine.Client, upstream rail.Instance) (string, rail.Usage, error) {
	r := rail.NewRequest("r1", "shop", "briefs", time.Now()).WithPrompt("a tin", 5).WithPriority(2)
	var b strings.Builder
	usage, err := c.Stream(ctx, rail.NewDispatch(r, 2, upstream, 3), "one two three ", func(chunk rail.Chunk) error {
		b.WriteString(chunk.Text())
		return nil
	})
	return b.String(), usage, err
}

func write(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func refuse(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// hang writes the text and then blocks until the caller disconnects.
func hang(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func TestStream(t *testing.T) {
	tests := []struct {
		name   string
		engine http.HandlerFunc
		kind   rail.Kind
		text   string
	}{
		{"complete", write(lastTwoTokens + endEvent), rail.KindNone, "brass tin "},
		{"with a comment and an unknown event", write(": hi\n\nevent: note\ndata: x\n\n" + lastTwoTokens + endEvent), rail.KindNone, "brass tin "},
		{"no end event", write(lastTwoTokens), rail.KindUpstreamFailed, "brass tin "},
		{"silent before the first token", hang(""), rail.KindUpstreamSilent, ""},
		{"silent between tokens", hang(lastTwoTokens), rail.KindUpstreamSilent, "brass tin "},
		{"leaving", refuse(503, `{"reason":"leaving"}`), rail.KindLeaving, ""},
		{"full", refuse(503, `{"reason":"full"}`), rail.KindUpstreamRefused, ""},
		{"503 of an intermediary", refuse(503, "no backend"), rail.KindUpstreamFailed, ""},
		{"another version", refuse(404, ""), rail.KindUnknownModel, ""},
		{"internal error", refuse(500, ""), rail.KindUpstreamFailed, ""},
		{"redirect", redirect, rail.KindUpstreamFailed, ""},
		{"closed after the request", closeConnection, rail.KindUpstreamFailed, ""},
		{"line too long", write("data: " + strings.Repeat("x", 5000) + "\n\n"), rail.KindUpstreamFailed, ""},
		{"not JSON", write("data: {\n\n"), rail.KindUpstreamFailed, ""},
		{"token without offset", write("data: {\"text\":\"brass \"}\n\n"), rail.KindUpstreamFailed, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeEngine(t, tt.engine)
			text, usage, err := runStream(t.Context(), newClient(t), f.upstream())
			is.Equal(rail.KindOf(err), tt.kind)
			is.Equal(text, tt.text)
			is.Equal(f.streams.Load(), int64(1)) // sent once, without a retry by net/http
			if tt.kind == rail.KindNone {
				is.Equal(usage, rail.NewUsage(9, 2, 2))
			}
		})
	}
}

// Guards against answers whose status is none and that count as success because they are below 300.
func TestAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		for _, header := range []string{"", "Upgrade: tin\r\nConnection: Upgrade\r\n"} {
			t.Run(status+" "+header, func(t *testing.T) {
				is := is.New(t)
				body := lastTwoTokens + endEvent
				answer := fmt.Sprintf("HTTP/1.1 %s No\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
				f := newFakeEngine(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					_, _ = io.WriteString(conn, answer)
				})
				c := newClient(t)
				text, _, err := runStream(t.Context(), c, f.upstream())
				is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
				is.Equal(text, "")
				c.Close() // No connection is used twice: the engine above answers the first request only.
				is.Equal(rail.KindOf(c.Order(t.Context(), f.upstream(), 12, "tin-writer", "v2")), rail.KindUpstreamFailed)
				is.Equal(f.streams.Load(), int64(2))
			})
		}
	}
}

func TestStreamRequestCarriesResumeOffset(t *testing.T) {
	is := is.New(t)
	f := newFakeEngine(t, write(lastTwoTokens+endEvent))
	_, _, err := runStream(t.Context(), newClient(t), f.upstream())
	is.NoErr(err)
	is.Equal(f.body.Load(), `{"requestId":"r1","attempt":2,"model":"tin-writer","version":"v1","prompt":"a tin","maxTokens":5,"priority":2,"resume":{"offset":3,"text":"one two three "}}`)
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, _, err = runStream(t.Context(), newClient(t), upstreamAt(address))
	is.Equal(rail.KindOf(err), rail.KindUpstreamRefused)
}

func TestClosedPooledConnectionIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	first := true
	f := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			write(lastTwoTokens+endEvent)(w, r)
			return
		}
		closeConnection(w, r)
	})
	c := newClient(t)
	_, _, err := runStream(t.Context(), c, f.upstream())
	is.NoErr(err)
	_, _, err = runStream(t.Context(), c, f.upstream())
	is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
	is.Equal(f.streams.Load(), int64(2))
}

// Streams share a connection only where the answers repeat the ids, which tells them apart from copies of others.
func TestConnectionIsReused(t *testing.T) {
	for name, want := range map[string]int{"X-Request-Id": 1, "none": 5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addresses := map[string]bool{}
			f := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
				addresses[r.RemoteAddr] = true
				if name == "none" {
					w.Header().Del("X-Request-Id")
				}
				write(lastTwoTokens+endEvent)(w, r)
				_ = http.NewResponseController(w).Flush()
			})
			c := newClient(t)
			for range 5 {
				_, _, err := runStream(t.Context(), c, f.upstream())
				is.NoErr(err)
			}
			is.Equal(len(addresses), want)
		})
	}
}

func TestCancelledStreamDisconnectsFromTheEngine(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	f := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		hang(lastTwoTokens)(w, r)
		close(disconnected)
	})
	c := engine.New(engine.Defaults())
	t.Cleanup(c.Close)
	ctx, cancel := context.WithCancel(t.Context())
	r := rail.NewRequest("r1", "shop", "briefs", time.Now())
	_, err := c.Stream(ctx, rail.NewDispatch(r, 1, f.upstream(), 3), "", func(chunk rail.Chunk) error {
		if chunk.Offset() == 4 {
			cancel()
		}
		return nil
	})
	is.True(err != nil)
	<-disconnected
}

func TestCallbackErrorEndsTheStream(t *testing.T) {
	is := is.New(t)
	f := newFakeEngine(t, write(lastTwoTokens+endEvent))
	r := rail.NewRequest("r1", "shop", "briefs", time.Now())
	stale := rail.NewError(rail.KindCancelled, "attempt is over")
	_, err := newClient(t).Stream(t.Context(), rail.NewDispatch(r, 1, f.upstream(), 3), "", func(rail.Chunk) error { return stale })
	is.Equal(rail.KindOf(err), rail.KindCancelled)
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	f := newFakeEngine(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/load":
			_, _ = io.WriteString(w, `{"running":3,"waiting":1,"slots":8,"asOfMs":1000,"leaving":true}`)
		case "/cacheEvents":
			_, _ = fmt.Fprintf(w, `{"events":[{"sequence":%s,"prefix":"9f","held":true}]}`, r.URL.Query().Get("from"))
		case "/orders":
			w.WriteHeader(http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	c, u := newClient(t), f.upstream()
	load, err := c.Load(t.Context(), u)
	is.NoErr(err)
	is.Equal(load, rail.NewLoad("m1", 3, 1, 8, time.UnixMilli(1000)).WithLeaving())
	events, err := c.CacheEvents(t.Context(), u, 7)
	is.NoErr(err)
	is.Equal(events, []rail.CacheEvent{rail.NewCacheEvent("m1", 7, 0x9f, true)})
	is.Equal(rail.KindOf(c.Order(t.Context(), u, 12, "tin-writer", "v2")), rail.KindStaleBase)
	is.Equal(f.body.Load(), `{"fencing":12,"serves":"tin-writer","version":"v2"}`)
	is.NoErr(c.Cancel(t.Context(), u, "r1", 2))
	is.Equal(f.body.Load(), `{"requestId":"r1","attempt":2}`)
}
