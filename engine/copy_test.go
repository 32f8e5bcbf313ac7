package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/engine"
	"dandelionrail.org/rail/group"
)

// copyingEngine answers the first request with first. Before each later answer on the connection that carried it, it sends a copy.
type copyingEngine struct {
	first, second    func(idHeader string) string
	answerID, copyID func(id string) string
	address          string
	firstConn        net.Conn
	firstID          string
	copies           int
}

func (e *copyingEngine) start(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = l.Addr().String()
	g := group.New(context.Background())
	g.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func(context.Context) { e.serve(conn) })
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	})
	t.Cleanup(func() { _ = l.Close(); g.Stop() })
}

func (e *copyingEngine) serve(conn net.Conn) {
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
		id := r.Header.Get("X-Request-Id")
		text := e.second(e.answerID(id))
		switch {
		case e.firstConn == nil:
			e.firstConn, e.firstID = conn, id
			text = e.first(e.answerID(id))
		case conn == e.firstConn:
			e.copies++
			text = e.first(e.copyID(e.firstID)) + text
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func answerOf(status int, body string) func(string) string {
	return func(idHeader string) string {
		return fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, len(body), body)
	}
}

// Guards against calls that get the copy of an earlier answer or refusal, sent on their connection, for their own.
func TestCopyOfAnEarlierAnswerIsNotDelivered(t *testing.T) {
	ids := map[string]func(id string) string{
		"own id":     func(id string) string { return "X-Request-Id: " + id + "\r\n" },
		"no id":      func(string) string { return "" },
		"another id": func(string) string { return "X-Request-Id: another\r\n" },
	}
	stream := func(c *engine.Client, u rail.Instance) (string, error) {
		text, _, err := runStream(context.Background(), c, u)
		return text, err
	}
	load := func(c *engine.Client, u rail.Instance) (string, error) {
		l, err := c.Load(context.Background(), u)
		return fmt.Sprint(l.Running()), err
	}
	order := func(c *engine.Client, u rail.Instance) (string, error) {
		return "", c.Order(context.Background(), u, 12, "tin-writer", "v2")
	}
	type call func(*engine.Client, rail.Instance) (string, error)
	firsts := map[string]struct {
		answer func(string) string
		call   call
	}{
		"stream":  {answerOf(200, "id: 3\ndata: {\"offset\":3,\"text\":\"of another \"}\n\n"+endEvent), stream},
		"refusal": {answerOf(503, `{"reason":"full"}`), stream},
		"report":  {answerOf(200, `{"running":1}`), load},
		"order":   {answerOf(204, ""), order},
	}
	seconds := map[string]struct {
		answer func(string) string
		call   call
		want   string
	}{
		"stream": {answerOf(200, lastTwoTokens+endEvent), stream, "brass tin "},
		"report": {answerOf(200, `{"running":2}`), load, "2"},
		"order":  {answerOf(409, ""), order, ""},
	}
	for firstName, first := range firsts {
		for secondName, second := range seconds {
			for answered, answerID := range ids {
				for copied, copyID := range ids {
					t.Run(fmt.Sprintf("%s then %s, %s then %s", firstName, secondName, answered, copied), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						e := &copyingEngine{first: first.answer, second: second.answer, answerID: answerID, copyID: copyID}
						e.start(t)
						c := engine.New(engine.Defaults())
						defer c.Close()
						_, _ = first.call(c, upstreamAt(e.address))
						got, err := second.call(c, upstreamAt(e.address))
						switch rail.KindOf(err) {
						case rail.KindNone:
							is.Equal(got, second.want)
							is.Equal(e.copies, 0)
						case rail.KindStaleBase:
							is.Equal(secondName, "order")
							is.Equal(e.copies, 0)
						default:
							is.Equal(rail.KindOf(err), rail.KindUpstreamFailed)
							is.True(e.copies == 1 || answered == "another id")
						}
					})
				}
			}
		}
	}
}
