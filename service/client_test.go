package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/service"
)

const (
	shortCallTimeout = time.Second
	testKey          = rail.Key("018bcfe5-6800-7000-8000-000000000001")
)

// upstream reads complete requests from its connections, counts each as one run, and answers by the test's function.
type upstream struct {
	listener net.Listener
	runs     atomic.Int32
	conns    atomic.Int32
	group    *group.Group
}

// answerer answers one request, whose run was counted; false closes the connection.
type answerer func(u *upstream, conn net.Conn) bool

func startUpstream(t testing.TB, answer answerer) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{listener: l, group: group.New(context.Background())}
	u.group.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			u.group.Go(func(context.Context) { u.serve(conn, answer) })
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	})
	t.Cleanup(func() { _ = l.Close(); u.group.Stop() })
	return u
}

func (u *upstream) serve(conn net.Conn, answer answerer) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.runs.Add(1)
		if !answer(u, conn) {
			return
		}
	}
}

func write(text string) answerer {
	return func(_ *upstream, conn net.Conn) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ndone"

// resetConnection closes the connection with a TCP reset.
func resetConnection(_ *upstream, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0)
	return false
}

// answerOnce answers the first request and closes the connection on the next one.
func answerOnce(u *upstream, conn net.Conn) bool {
	return u.runs.Load() == 1 && write(okAnswer)(u, conn)
}

func newDispatch(address, method string, order bool) rail.Dispatch {
	r := rail.NewRequest("r1", "counter", "engraving", time.Time{}).WithCall(method, "/tins?size=3", []byte("brass"))
	if order {
		r = r.WithKey(testKey)
	}
	return rail.NewDispatch(r, 1, rail.NewInstance("s1", "works-hall", rail.RoleService, address), 0)
}

func TestKindOfEachFailure(t *testing.T) {
	tests := []struct {
		name   string
		answer answerer
		kind   rail.Kind
		runs   int32
		status int
	}{
		{"answer", write(okAnswer), rail.KindNone, 1, 200},
		{"reset after the request", resetConnection, rail.KindUpstreamFailed, 1, 0},
		{"closed without an answer", func(*upstream, net.Conn) bool { return false }, rail.KindUpstreamFailed, 1, 0},
		{"truncated answer", func(u *upstream, c net.Conn) bool {
			write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")(u, c)
			return false
		}, rail.KindUpstreamFailed, 1, 0},
		{"not HTTP", func(u *upstream, c net.Conn) bool { write("brass\r\n\r\n")(u, c); return false }, rail.KindUpstreamFailed, 1, 0},
		{"silent", func(*upstream, net.Conn) bool { return true }, rail.KindUpstreamSilent, 1, 0},
		{"silent within the answer", write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo"), rail.KindUpstreamSilent, 1, 0},
		{"too large", write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789"), rail.KindAnswerNotKept, 1, 0},
		{"refused before work", write("HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), rail.KindUpstreamRefused, 1, 0},
		{"503 without X-Not-Run", write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), rail.KindNone, 1, 503},
		{"redirect", write("HTTP/1.1 307 Go\r\nLocation: /tins\r\nContent-Length: 0\r\n\r\n"), rail.KindNone, 1, 307},
	}
	for _, test := range tests {
		for _, method := range []string{"POST", "GET", "PUT"} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := startUpstream(t, test.answer)
				settings := service.Defaults().WithBodyBytes(8)
				if test.kind == rail.KindUpstreamSilent {
					settings = settings.WithCallTimeout(shortCallTimeout)
				}
				c := service.New(settings)
				reply, err := c.Call(context.Background(), newDispatch(u.listener.Addr().String(), method, true))
				is.Equal(rail.KindOf(err), test.kind)
				is.Equal(u.runs.Load(), test.runs)
				is.Equal(reply.Status(), test.status)
			})
		}
	}
}

// Guards against answers whose status is none, which the callers' server can't write or passes on as they are.
func TestAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "700", "999"} {
		for name, order := range map[string]bool{"order": true, "lookup": false} {
			for _, header := range []string{"", "X-Not-Run: true\r\n", "Upgrade: tin\r\nConnection: Upgrade\r\n"} {
				t.Run(status+" "+name+" "+header, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					u := startUpstream(t, write("HTTP/1.1 "+status+" No\r\n"+header+"Content-Length: 4\r\n\r\ndone"))
					c := service.New(service.Defaults().WithCallTimeout(2 * time.Second))
					reply, err := c.Call(context.Background(), newDispatch(u.listener.Addr().String(), "GET", order))
					is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
					is.Equal(reply, rail.ServiceReply{})
					is.Equal(u.runs.Load(), int32(1))
				})
			}
		}
	}
}

func TestFailedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = service.New(service.Defaults()).Call(context.Background(), newDispatch(l.Addr().String(), "POST", true))
	is.Equal(rail.KindOf(err), rail.KindUpstreamRefused)
	is.Equal(rail.KindOf(err).Reply().Run(), rail.NotRun)
}

// TestOrderIsNotRepeatedByTheTransport lets the upstream close the connection on the second request.
func TestOrderIsNotRepeatedByTheTransport(t *testing.T) {
	for _, method := range []string{"POST", "GET", "PUT"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, answerOnce)
			c := service.New(service.Defaults())
			d := newDispatch(u.listener.Addr().String(), method, true)
			_, err := c.Call(context.Background(), d)
			is.NoErr(err)
			_, err = c.Call(context.Background(), d)
			is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
			is.Equal(u.runs.Load(), int32(2))
			is.Equal(u.conns.Load(), int32(2))
		})
	}
}

func TestCancelledCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	u := startUpstream(t, func(*upstream, net.Conn) bool { cancel(); return true })
	_, err := service.New(service.Defaults()).Call(ctx, newDispatch(u.listener.Addr().String(), "POST", true))
	is.Equal(rail.KindOf(err), rail.KindCancelled)
	is.Equal(u.runs.Load(), int32(1))
}

// Calls share a connection only where the answers repeat the ids, which tells them apart from copies of others.
func TestLookupsShareConnections(t *testing.T) {
	for name, want := range map[string]int32{"own id": 1, "no id": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startScripted(t, func(e exchange) bool {
				_, err := io.WriteString(e.conn, answerText(e.number, ids[name](e.id)))
				return err == nil
			})
			c := service.New(service.Defaults())
			defer c.Close()
			for n := range 4 {
				reply, err := c.Call(context.Background(), dispatchOf(s.address, rail.RequestID(fmt.Sprint("r", n)), ""))
				is.NoErr(err)
				is.Equal(string(reply.Body()), fmt.Sprint("run ", n+1))
			}
			is.Equal(s.conns.Load(), want)
		})
	}
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	body := `{"running":3,"waiting":1,"slots":8,"asOfMs":5,"leaving":true}`
	u := startUpstream(t, write("HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
	upstream := rail.NewInstance("s1", "works-hall", rail.RoleService, u.listener.Addr().String())
	load, err := service.New(service.Defaults()).Load(context.Background(), upstream)
	is.NoErr(err)
	is.Equal(load, rail.NewLoad("s1", 3, 1, 8, time.UnixMilli(5)).WithLeaving())
}

// BenchmarkCall compares a new connection for each call with pooled connections.
func BenchmarkCall(b *testing.B) {
	for _, bench := range []struct {
		name  string
		order bool
	}{{"order", true}, {"lookup", false}} {
		b.Run(bench.name, func(b *testing.B) {
			u := startScripted(b, func(e exchange) bool {
				_, err := io.WriteString(e.conn, answerText(e.number, ids["own id"](e.id)))
				return err == nil
			})
			c := service.New(service.Defaults())
			key := rail.Key("")
			if bench.order {
				key = testKey
			}
			for n := 0; b.Loop(); n++ {
				if _, err := c.Call(context.Background(), dispatchOf(u.address, rail.RequestID(strconv.Itoa(n)), key)); err != nil {
					b.Fatal(err)
				}
			}
			c.Close()
		})
	}
}
