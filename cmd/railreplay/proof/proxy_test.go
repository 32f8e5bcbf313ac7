package proof_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/machine"
)

// proxy is a TCP proxy to one address that can simulate a network partition.
type proxy struct {
	listener    net.Listener
	target      string
	group       *group.Group
	partitioned atomic.Bool
	forwarded   atomic.Int64
	mu          sync.Mutex
	conns       []net.Conn
}

// newProxy returns a proxy to the address. When it is partitioned, it drops all bytes and closes no connection.
func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{listener: l, target: target, group: group.New(context.Background())}
	p.group.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.group.Stop()
}

// accept forwards each connection in both directions.
func (p *proxy) accept(context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		p.group.Go(func(context.Context) { p.forward(client, server) })
		p.group.Go(func(context.Context) { p.forward(server, client) })
	}
}

// forward copies bytes; once the proxy is partitioned, it drops them and keeps both connections open.
func (p *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if !p.partitioned.Load() {
			p.forwarded.Add(int64(n))
			_, _ = to.Write(buffer[:n])
		}
		if errors.Is(err, io.EOF) && !p.partitioned.Load() {
			_ = to.Close()
		}
		if err != nil {
			return
		}
	}
}

// startEngineBehindProxy starts an engine that entries reach only through the proxy, and waits until they use it.
func (s *system) startEngineBehindProxy(id string) *proxy {
	s.t.Helper()
	is := is.New(s.t)
	e := s.start(id, "standin", "engine", "--domain", domain(0), "--model", model, "--token-time", tokenTime.String())
	p := newProxy(s.t, e.address)
	g := group.New(context.Background())
	m := machine.New(s.platform.url(), rail.NewInstance(rail.InstanceID(id), rail.Domain(domain(0)), rail.RoleEngine, p.listener.Addr().String()).
		WithServing(model, "v1"), machine.Hooks{})
	g.Go(m.Run)
	s.t.Cleanup(g.Stop)
	poll(s.t, id+" is used", func(ctx context.Context) bool {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.platform.url()+"/instances", http.NoBody)
		is.NoErr(err)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		defer func() { _ = w.Body.Close() }()
		body, err := io.ReadAll(w.Body)
		return err == nil && strings.Contains(string(body), id) && p.forwarded.Load() > 0
	})
	return p
}
