package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// readCounter counts the second requests that connections have read.
type readCounter struct {
	net.Listener
	read atomic.Int32
}

func (l *readCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, before: func() { l.read.Add(1) }}, nil
}

// Guards against requests that are dropped after they were read, as many connections close.
func TestShutdownAnswersAllRequestsThatWereRead(t *testing.T) {
	const callers = 100
	is := is.New(t)
	l, err := listen(t.Context(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), nil)
	is.NoErr(err)
	counter := &readCounter{Listener: l.Listener}
	l.Listener = counter
	go l.serve(t.Context())
	var opened, sending sync.WaitGroup
	var answered atomic.Int32
	begin := make(chan struct{})
	opened.Add(callers)
	for n := range callers {
		sending.Go(func() {
			conn, err := net.Dial("tcp", l.address())
			if err != nil {
				t.Error(err)
				opened.Done()
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for _, target := range []string{"/first", "/second"} {
				_, _ = io.WriteString(conn, "GET "+target+" HTTP/1.1\r\nHost: breno.example\r\n\r\n") // The connection may be closed.
				resp, err := http.ReadResponse(reader, nil)
				if target == "/first" {
					opened.Done()
					<-begin
					time.Sleep(time.Duration(n*300) * time.Microsecond)
				}
				if err != nil {
					return
				}
				_ = resp.Body.Close()
				if target == "/second" {
					answered.Add(1)
				}
			}
		})
	}
	opened.Wait()
	close(begin)
	time.Sleep(5 * time.Millisecond)
	is.NoErr(l.shutdown(t.Context()))
	sending.Wait()
	is.Equal(answered.Load(), counter.read.Load())
	is.True(answered.Load() > 0)
}
