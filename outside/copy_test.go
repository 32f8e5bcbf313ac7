package outside_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/outside"
)

// platformAnswers are the bodies of answers by the start of the path.
var platformAnswers = map[string]string{
	"/log/records": `{"offset":17,"oldest":3,"next":19,"records":[]}`,
	"/instances":   `{"asOfMs":1,"instances":[]}`,
	"/cloud":       `{"id":"m7","notices":[{"instance":"e1","atMs":1}]}`,
}

// startCopyingPlatform returns the address of a platform that sends the copy of the first answer before each later one on its
// connection; copies reports how often it did.
func startCopyingPlatform(t *testing.T, answerID, copyID func(id string) string) (address string, copies func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(context.Background())
	var firstConn net.Conn
	var firstCopy string
	sent := 0
	text := func(r *http.Request, header string) string {
		for start, body := range platformAnswers {
			if strings.HasPrefix(r.URL.Path, start) {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
			}
		}
		return "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
	}
	serve := func(conn net.Conn) {
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
			answer := text(r, answerID(id))
			switch {
			case firstConn == nil:
				firstConn, firstCopy = conn, text(r, copyID(id))
			case conn == firstConn:
				sent++
				answer = firstCopy + answer
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	g.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func(context.Context) { serve(conn) })
			context.AfterFunc(ctx, func() { _ = conn.Close() })
		}
	})
	t.Cleanup(func() { _ = l.Close(); g.Stop() })
	return l.Addr().String(), func() int { return sent }
}

// Guards against a read of the log that is the copy of another answer: an empty read from offset 0 says that the log was read whole.
func TestCopyOfAnEarlierAnswerIsNotDelivered(t *testing.T) {
	ids := map[string]func(id string) string{
		"own id":     func(id string) string { return "X-Request-Id: " + id + "\r\n" },
		"no id":      func(string) string { return "" },
		"another id": func(string) string { return "X-Request-Id: another\r\n" },
	}
	calls := map[string]func(c *outside.Client) error{
		"append": func(c *outside.Client) error {
			_, err := c.Append(context.Background(), rail.RecordClaims, []byte(`{}`))
			return err
		},
		"read": func(c *outside.Client) error {
			read, err := c.Read(context.Background(), 17, 0)
			if err == nil && read.Next() != 19 {
				return rail.NewError(rail.KindInternal, "read up to %d", read.Next())
			}
			return err
		},
		"list": func(c *outside.Client) error { _, err := c.Instances(context.Background()); return err },
		"buy": func(c *outside.Client) error {
			id, err := c.Buy(context.Background(), "token", rail.Offer{}, "tin-writer", "v1")
			if err == nil && id != "m7" {
				return rail.NewError(rail.KindInternal, "bought %q", id)
			}
			return err
		},
	}
	for firstName, first := range calls {
		for secondName, second := range calls {
			for answered, answerID := range ids {
				for copied, copyID := range ids {
					t.Run(fmt.Sprintf("%s then %s, %s then %s", firstName, secondName, answered, copied), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						address, copies := startCopyingPlatform(t, answerID, copyID)
						client := &http.Client{Transport: outside.Transport()}
						defer client.CloseIdleConnections()
						c := outside.New("http://"+address, client)
						_ = first(c)
						err := second(c)
						if err == nil {
							is.Equal(copies(), 0)
							return
						}
						is.Equal(rail.KindOf(err), rail.KindPlatformUnavailable)
						is.True(copies() == 1 || answered == "another id")
					})
				}
			}
		}
	}
}
