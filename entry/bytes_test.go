package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrail.org/rail"
	client "dandelionrail.org/rail/outside"
	"dandelionrail.org/rail/standin/engine"
	"dandelionrail.org/rail/standin/platform"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countedServer starts a server of the handler and returns the counter of its bytes.
func countedServer(b *testing.B, h http.Handler) (*httptest.Server, *atomic.Int64) {
	bytes := &atomic.Int64{}
	s := httptest.NewUnstartedServer(h)
	s.Listener = countingListener{s.Listener, bytes}
	s.Start()
	b.Cleanup(s.Close)
	return s, bytes
}

// BenchmarkControlBytes measures the bytes per second between one idle daemon and
// the platform, and between the daemon and the upstreams that it polls, HTTP
// headers included. Package peer measures the digest.
func BenchmarkControlBytes(b *testing.B) {
	const (
		seconds         = 20
		polled          = 4
		warmUp          = 3 * time.Second
		reportedSeconds = float64(seconds)
	)
	for _, listed := range []int{33, 381, 1530} {
		b.Run(fmt.Sprintf("listed=%d", listed), func(b *testing.B) {
			p := platform.New(platform.Settings{ListLag: -1})
			platformServer, platformBytes := countedServer(b, p)
			upstreamServer, upstreamBytes := countedServer(b, engine.New(engine.Settings{Model: "tin-writer", Version: "v1"}))
			uncounted := httptest.NewServer(p)
			b.Cleanup(uncounted.Close)
			c := client.New(uncounted.URL, http.DefaultClient)
			registerAll(b, c, upstreamServer.Listener.Addr().String(), polled, listed)
			startDaemon(b, platformServer.URL, "breno", keyFiles{}, "")
			time.Sleep(warmUp)
			registerAll(b, c, upstreamServer.Listener.Addr().String(), polled, listed)
			before, upBefore := platformBytes.Load(), upstreamBytes.Load()
			for range seconds {
				registerAll(b, c, upstreamServer.Listener.Addr().String(), polled, listed)
				time.Sleep(time.Second)
			}
			b.ReportMetric(float64(platformBytes.Load()-before)/reportedSeconds, "platform-B/s")
			b.ReportMetric(float64(upstreamBytes.Load()-upBefore)/reportedSeconds, "upstreams-B/s")
		})
	}
}

// registerAll registers the upstreams that the daemon polls, and the rest in another domain.
func registerAll(b *testing.B, c *client.Client, address string, polled, listed int) {
	for i := range listed {
		domain := rail.Domain("edolo")
		if i < polled {
			domain = "breno"
		}
		id := rail.InstanceID(fmt.Sprintf("instance-%04d", i))
		if err := c.Register(b.Context(), rail.NewInstance(id, domain, rail.RoleEngine, address).WithServing("tin-writer", "v1").WithClass(rail.ClassReclaimable)); err != nil {
			b.Fatal(err)
		}
	}
}
