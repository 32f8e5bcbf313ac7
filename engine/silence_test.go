package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/engine"
	"dandelionrail.org/rail/group"
)

// pipe is a listener without sockets, so that fake time passes while both ends wait.
type pipe struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipe) Close() error   { return nil }
func (p *pipe) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipe) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// every writes the text again and again.
func every(pause time.Duration, times int, text, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// The server notices that its caller is gone once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		for range times {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pause):
			}
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, end)
	}
}

func TestSilenceIsTheTimeSinceTheLastToken(t *testing.T) {
	const first, between = 10 * time.Second, 2 * time.Second
	tests := []struct {
		name   string
		engine http.HandlerFunc
		kind   rail.Kind
		after  time.Duration
	}{
		{"slow but live", every(1900*time.Millisecond, 20, twoLeft, ending), rail.KindNone, 38 * time.Second},
		{"nothing at all", every(time.Hour, 1, "", ""), rail.KindUpstreamSilent, first},
		{"a gap", every(3*time.Second, 2, twoLeft, ending), rail.KindUpstreamSilent, 5 * time.Second},
		{"comments only", every(time.Second, 3600, ": still here\n\n", ending), rail.KindUpstreamSilent, first},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &pipe{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				server := &http.Server{Handler: tt.engine}
				g := group.New(t.Context())
				g.Go(func(context.Context) { _ = server.Serve(p) })
				c := engine.New(engine.Defaults().WithTokenTimeouts(first, between))
				c.Dial(p.dial)
				start := time.Now()
				_, _, err := stream(t.Context(), c, upstreamAt("m1:1"))
				is.Equal(rail.KindOf(err), tt.kind)
				is.Equal(time.Since(start).Round(time.Second), tt.after)
				c.Close()
				close(p.closed)
				_ = server.Close()
				g.Wait()
				synctest.Wait()
			})
		})
	}
}
