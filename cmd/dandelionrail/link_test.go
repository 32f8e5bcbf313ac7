package main

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionrail.org/rail/platform"
)

// linkState is what a link does with its connections.
type linkState int

const (
	whole      linkState = iota
	reset                // Open connections are reset, new ones are refused.
	silent               // Open connections and new ones hang.
	accepting            // Open connections hang; new ones are opened and hang.
	refusing             // Open connections live on, new ones are refused.
	silentUp             // What the gateway sends does not arrive; new connections hang.
	silentDown           // What the upstream sends does not arrive; new connections hang.
	lossy                // A third of the packets is lost and sent again.
)

func (s linkState) holdsUp() bool {
	return s == silent || s == accepting || s == silentUp
}

func (s linkState) holdsDown() bool {
	return s == silent || s == accepting || s == silentDown
}

const (
	// testDialTimeout is how long a new connection may hang.
	testDialTimeout = 300 * time.Millisecond
	// dataRetransmission and dialRetransmission are the delays of a lost packet.
	dataRetransmission = 200 * time.Millisecond
	dialRetransmission = time.Second
)

// link is the path from one gateway to one upstream.
type link struct {
	mu      sync.Mutex
	state   linkState
	changed chan struct{} // Closed when the state changes.
	conns   map[*linkConn]struct{}
}

func newLink() *link {
	return &link{changed: make(chan struct{}), conns: map[*linkConn]struct{}{}}
}

func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.conns {
		switch {
		case s == reset:
			c.fail(syscall.ECONNRESET)
		case s.holdsUp() || s.holdsDown():
			c.watchSilence()
		}
		if !s.holdsUp() {
			c.flush()
		}
	}
}

func (l *link) current() (linkState, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// linkDialer opens the connections of one gateway to upstreams over its links; other addresses have none.
type linkDialer struct {
	inner platform.Dialer
	links map[string]*link // By the address of the upstream.
}

// DialContext implements platform.Dialer.
func (d *linkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	l := d.links[address]
	if l == nil {
		return d.inner.DialContext(ctx, network, address)
	}
	failure := func(err error) error { return &net.OpError{Op: "dial", Net: network, Err: err} }
	s, _ := l.current()
	switch {
	case s == reset || s == refusing:
		return nil, failure(syscall.ECONNREFUSED)
	case s == silent || s == silentUp || s == silentDown || (s == lossy && rand.IntN(3) == 0 && dialRetransmission > testDialTimeout):
		select {
		case <-ctx.Done():
			return nil, failure(ctx.Err())
		case <-time.After(testDialTimeout):
			return nil, failure(os.ErrDeadlineExceeded)
		}
	}
	conn, err := d.inner.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, link: l, closed: make(chan struct{}), failed: make(chan struct{}), silenceLimit: silenceLimit(conn)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.state.holdsUp() || l.state.holdsDown() {
		c.watchSilence()
	}
	return c, nil
}

// silenceLimit returns the time after which the kernel ends a connection whose peer is silent.
func silenceLimit(conn net.Conn) time.Duration {
	limit := time.Duration(0)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		option := func(name int) time.Duration {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			if err != nil {
				return 0
			}
			return time.Duration(v)
		}
		if limit = option(unix.TCP_USER_TIMEOUT) * time.Millisecond; limit == 0 {
			limit = (option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
		}
	})
	return limit
}

// linkConn is a connection over a link. What the link holds back arrives when the link is whole again, unless the
// connection is closed before.
type linkConn struct {
	net.Conn

	link         *link
	silenceLimit time.Duration
	closeOnce    sync.Once
	closed       chan struct{}
	failed       chan struct{}

	// held and cause are guarded by the mutex of the link.
	held  []byte
	cause syscall.Errno
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		s, changed := c.link.current()
		if s == lossy && n > 0 && rand.IntN(3) == 0 {
			time.Sleep(dataRetransmission)
		}
		if failure := c.failure(); failure != nil {
			return 0, failure
		}
		if !s.holdsDown() {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.failed:
		}
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if s, _ := c.link.current(); s == lossy && rand.IntN(3) == 0 {
		time.Sleep(dataRetransmission)
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.link.state.holdsUp() || len(c.held) > 0 {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// flush sends what was held back; the mutex of the link is held.
func (c *linkConn) flush() {
	if len(c.held) > 0 {
		_, _ = c.Conn.Write(c.held) // The reader gets the error.
		c.held = nil
	}
}

// watchSilence ends the connection as the kernel does if the link stays as it is; the mutex of the link is held.
func (c *linkConn) watchSilence() {
	changed := c.link.changed
	time.AfterFunc(c.silenceLimit, func() {
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		if c.link.changed == changed {
			c.fail(syscall.ETIMEDOUT)
		}
	})
}

// fail ends the connection with an error at both ends; the mutex of the link is held.
func (c *linkConn) fail(cause syscall.Errno) {
	if c.cause == 0 {
		c.cause, c.held = cause, nil
		close(c.failed)
		c.resetInner()
	}
}

// failure returns the error with which the connection ended, nil if it did not.
func (c *linkConn) failure() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.cause == 0 {
		return nil
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.cause)}
}

// resetInner resets the connection to the upstream.
func (c *linkConn) resetInner() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.held = nil
		c.link.mu.Unlock()
		c.resetInner()
	})
	return nil
}
