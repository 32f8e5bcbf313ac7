package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/service"
)

// scripted is an upstream on raw sockets that sends answers too many.
type scripted struct {
	address  string
	conns    atomic.Int32
	requests atomic.Int32
}

// exchange is one request that a scripted upstream has read; number counts the requests of all its connections from 1.
type exchange struct {
	number int
	id     string
	conn   net.Conn
}

// startScripted answers each request, once it was read completely, by the function, until that returns false.
func startScripted(t testing.TB, answer func(e exchange) bool) *scripted {
	return startUploads(t, func(e exchange, body io.Reader) {
		if _, err := io.Copy(io.Discard, body); err != nil || !answer(e) {
			_ = e.conn.Close()
		}
	})
}

// startUploads answers each request by the function, which reads its body.
func startUploads(t testing.TB, answer func(e exchange, body io.Reader)) *scripted {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, g := &scripted{address: l.Addr().String()}, group.New(context.Background())
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			answer(exchange{int(s.requests.Add(1)), r.Header.Get("X-Request-Id"), conn}, r.Body)
		}
	}
	g.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			g.Go(func(context.Context) { serve(conn) })
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	})
	t.Cleanup(func() { _ = l.Close(); g.Stop() })
	return s
}

// ids are the ways in which upstreams name the request in their answers.
var ids = map[string]func(id string) string{
	"own id":     func(id string) string { return "X-Request-Id: " + id + "\r\n" },
	"no id":      func(string) string { return "" },
	"another id": func(string) string { return "X-Request-Id: another\r\n" },
}

func answerText(n int, header string) string {
	body := fmt.Sprintf("run %d", n)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

func refusalText(_ int, header string) string {
	return "HTTP/1.1 503 No\r\nX-Not-Run: true\r\n" + header + "Content-Length: 0\r\n\r\n"
}

// timings are the moments at which the copy of the first answer is sent.
var timings = map[string]struct{ together, between, late bool }{
	"in the same segment":     {together: true},
	"between two requests":    {between: true},
	"where an answer is due":  {late: true},
	"in segment and when due": {together: true, late: true},
	"between and when due":    {between: true, late: true},
	"no copy":                 {},
}

func dispatchOf(address string, id rail.RequestID, key rail.Key) rail.Dispatch {
	r := rail.NewRequest(id, "counter", "engraving", time.Time{}).WithCall("POST", "/tins", []byte("brass")).WithKey(key)
	return rail.NewDispatch(r, 1, rail.NewInstance("s1", "works-hall", rail.RoleService, address), 0)
}

// Guards against calls that get the copy of an earlier answer or refusal, sent on their connection, for their own.
func TestCopyOfAnEarlierAnswerIsNotDelivered(t *testing.T) {
	for answered, answerID := range ids {
		for copied, copyID := range ids {
			for timing, when := range timings {
				for kind, first := range map[string]func(int, string) string{"answer": answerText, "refusal": refusalText} {
					for name, second := range map[string]rail.RequestID{"another call": "r2", "the call again": "r1"} {
						for class, key := range map[string]rail.Key{"order": testKey, "idempotent": ""} {
							t.Run(fmt.Sprintf("%s of %s, %s then %s, %s, %s", class, name, kind, answered, copied, timing), func(t *testing.T) {
								t.Parallel()
								is := is.New(t)
								var firstConn net.Conn
								s := startScripted(t, func(e exchange) bool {
									extra, text := first(1, copyID("r1")), answerText(e.number, answerID(e.id))
									if e.number == 1 {
										firstConn, text = e.conn, first(1, answerID(e.id))
									}
									if e.number == 1 && when.together {
										text += extra
									}
									if e.number > 1 && when.late && e.conn == firstConn {
										text = extra + text
									}
									_, _ = io.WriteString(e.conn, text)
									if e.number == 1 && when.between {
										_, _ = io.WriteString(e.conn, extra)
									}
									return true
								})
								c := service.New(service.Defaults())
								defer c.Close()
								_, _ = c.Call(context.Background(), dispatchOf(s.address, "r1", key))
								if when.between {
									time.Sleep(10 * time.Millisecond)
								}
								reply, err := c.Call(context.Background(), dispatchOf(s.address, second, key))
								if err != nil {
									is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
									is.True(answered == "another id" || class == "idempotent" && timing != "no copy")
									return
								}
								is.Equal(string(reply.Body()), "run 2")
							})
						}
					}
				}
			}
		}
	}
}

// Guards against a copy that comes while the body of the next request is still being written.
func TestCopyDuringTheUploadIsNotDelivered(t *testing.T) {
	for kind, first := range map[string]func(int, string) string{"answer": answerText, "refusal": refusalText} {
		for copied, copyID := range ids {
			for class, key := range map[string]rail.Key{"order": testKey, "idempotent": ""} {
				t.Run(fmt.Sprintf("%s, %s, %s", class, kind, copied), func(t *testing.T) {
					is := is.New(t)
					var firstConn net.Conn
					s := startUploads(t, func(e exchange, body io.Reader) {
						own := ids["own id"](e.id)
						if e.number > 1 && e.conn == firstConn {
							_, _ = io.WriteString(e.conn, first(1, copyID("r1")))
						}
						_, _ = io.Copy(io.Discard, body)
						text := answerText(e.number, own)
						if e.number == 1 {
							firstConn, text = e.conn, first(1, own)
						}
						_, _ = io.WriteString(e.conn, text)
					})
					c := service.New(service.Defaults())
					defer c.Close()
					_, _ = c.Call(context.Background(), dispatchOf(s.address, "r1", key))
					r := rail.NewRequest("r2", "counter", "engraving", time.Time{}).WithCall("POST", "/tins", make([]byte, 3<<20)).WithKey(key)
					reply, err := c.Call(context.Background(), rail.NewDispatch(r, 1, rail.NewInstance("s1", "works-hall", rail.RoleService, s.address), 0))
					if class == "order" {
						is.NoErr(err)
						is.Equal(string(reply.Body()), "run 2")
						return
					}
					is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
				})
			}
		}
	}
}
