package httpconn

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withResets returns a function that opens connections whose readers get each reset; a nil function dials with the defaults.
func withResets(dial dialFunc) dialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: c}, nil
	}
}

// resetConn reports the end of the stream as unexpected if a write is in progress or has failed. Two goroutines use a
// connection, and the kernel reports a reset to one of them only: the other one reads the end, which completes an answer
// without a length.
type resetConn struct {
	net.Conn
	mu      sync.Mutex
	writing bool
	failed  bool
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing, c.failed = false, c.failed || err != nil
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.failed {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
