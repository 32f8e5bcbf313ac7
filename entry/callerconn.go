package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// lastReadTime is how long a connection that is being closed is read for what has arrived.
	lastReadTime = time.Millisecond
	// newConnGrace is how long a new connection may send its first request during a shutdown.
	newConnGrace = 300 * time.Millisecond
	// closeInterval is the time between two checks for idle connections during a shutdown.
	closeInterval = 20 * time.Millisecond
)

// callerConn is a connection of a caller. net/http marks a connection as active only some time after it has read a request, and
// http.Server.Shutdown closes it until then, so that a request that was read is dropped. The goroutine that reads closes this one, if nothing
// has arrived.
type callerConn struct {
	net.Conn
	conns *callerConns

	mu sync.Mutex
	// idle reports whether nothing has arrived since the last answer, or since the connection was opened, at the time.
	idle  bool
	since time.Time
	// closing reports that the next read ends the connection if nothing has arrived.
	closing bool
	once    sync.Once
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() { // A request may have waited in the socket.
		if err = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.keepOpen()
	}
	return n, err
}

func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// keepOpen lets the connection carry the request that has arrived.
func (c *callerConn) keepOpen() {
	c.idle = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // If this fails, so does the next read.
	}
}

// SetReadDeadline implements net.Conn. net/http limits the time for a head once it has its first bytes, which may have been read with the
// request before.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Until(t) > 0 {
		c.keepOpen()
	}
	if c.closing {
		return nil // The deadline that wakes the reading goroutine stays.
	}
	return c.Conn.SetReadDeadline(t)
}

// answered marks the end of an answer.
func (c *callerConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = true, time.Now().Add(-newConnGrace)
}

// closeIfIdle makes the goroutine that reads close the connection, unless a request arrives.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && time.Since(c.since) >= newConnGrace {
		c.closing = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // If this fails, the connection is broken.
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.conns.remove(c) })
	return c.Conn.Close()
}

// callerConns is a listener that knows the open connections that it has accepted.
type callerConns struct {
	net.Listener

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns(l net.Listener) *callerConns {
	return &callerConns{Listener: l, open: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (s *callerConns) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, conns: s, idle: true, since: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c, nil
}

func (s *callerConns) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connState records the ends of answers.
func (s *callerConns) connState(conn net.Conn, state http.ConnState) {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // TLS.
		conn = wrapped.NetConn()
	}
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.answered()
	}
}

// closeIdle closes the connections as they become idle, and returns the number of open ones.
func (s *callerConns) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle()
	}
	return len(s.open)
}

// awaitClosed closes the connections as they become idle, until none is open.
func (s *callerConns) awaitClosed(ctx context.Context) error {
	t := time.NewTicker(closeInterval)
	defer t.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
