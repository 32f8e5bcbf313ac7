package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
)

// endlessLimit bounds the bytes that an Endless sends on one connection.
const endlessLimit = 64 << 20

// Endless is a server in trouble: it answers each request with a start and then a piece again and again, until the caller closes.
type Endless struct {
	listener net.Listener
	sent     atomic.Int64
}

// NewEndless returns a server on a loopback address whose goroutines run in the group; an error means that no address was free.
func NewEndless(group rail.Group, start, piece string) (*Endless, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // A loopback address needs no lookup.
	if err != nil {
		return nil, err
	}
	e := &Endless{listener: l}
	group.Go(func(context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func(context.Context) { e.serve(conn, start, piece) })
		}
	})
	return e, nil
}

func (e *Endless) serve(conn net.Conn, start, piece string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	WriteEndless(conn, start, piece, endlessLimit, &e.sent)
}

// WriteEndless writes the start, and then the piece again and again, until the writer fails or sent, to which the bytes of the
// pieces are added, reaches the limit.
func WriteEndless(w io.Writer, start, piece string, limit int64, sent *atomic.Int64) {
	_, err := io.WriteString(w, start)
	block := bytes.Repeat([]byte(piece), max(1, 4<<10/len(piece)))
	for n := 0; err == nil && sent.Load() < limit; {
		n, err = w.Write(block)
		sent.Add(int64(n))
	}
}

// CallEndless makes the call at the address of a server that answers without end. It returns how long the call took, how many
// bytes the server had sent when it had ended, and the call's error.
func CallEndless(start, piece string, call func(address string) error) (took time.Duration, sent int64, err error) {
	g := group.New(context.Background())
	defer g.Stop()
	e, err := NewEndless(g, start, piece)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	err = call(e.Address())
	took = time.Since(began)
	_ = e.Close() // Ends the listener only; the group waits for the connections.
	g.Wait()
	return took, e.Sent(), err
}

// Address returns host:port.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Sent returns the number of bytes that were sent after the start.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Close stops accepting connections.
func (e *Endless) Close() error { return e.listener.Close() }

// EndlessHeads are starts and pieces of responses whose head does not end.
var EndlessHeads = map[string][2]string{
	"status line":             {"HTTP/1.1 200 ", "x"},
	"header line":             {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header fields":           {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
	"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
}
