package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowListener runs the function when a connection has read the bytes of a second request, before net/http gets them.
type slowListener struct {
	net.Listener
	before func()
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, before: l.before}, nil
}

type slowConn struct {
	net.Conn
	before func()
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if strings.Contains(string(b[:n]), "second") {
		c.before()
	}
	return n, err
}

// A request that was read as the entry stops is answered.
func TestShutdownAnswersARequestThatWasRead(t *testing.T) {
	is := is.New(t)
	l, err := listen(t.Context(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), nil)
	is.NoErr(err)
	stopped := make(chan error, 1)
	l.Listener = &slowListener{Listener: l.Listener, before: func() {
		go func() { stopped <- l.shutdown(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
	}}
	go l.serve(t.Context())
	conn, err := net.Dial("tcp", l.address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, target := range []string{"/first", "/second"} {
		_, err = io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: breno.example\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusNoContent)
	}
	is.NoErr(<-stopped)
}
