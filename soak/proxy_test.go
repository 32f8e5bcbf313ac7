package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/group"
)

// mode is the way in which a proxy treats its connections.
type mode int

const (
	passing mode = iota
	delayed
	refusing    // Resets open and new connections.
	stalled     // Holds the data of both directions.
	stalledUp   // Holds the data to the target.
	stalledDown // Holds the data from the target.
	closedToNew // Resets new connections; open ones live on.
)

// proxy forwards the connections of one link.
type proxy struct {
	listener net.Listener
	target   string
	group    *group.Group

	mu            sync.Mutex
	closed        bool // While the target is down, nothing listens.
	mode          mode
	lastDisturbed time.Time // When the mode last changed to or from one that disturbs the link.
	changed       chan struct{}
	conns         map[net.Conn]bool
	// owner returns the name of the gateway that opened a connection; it is nil if that is not needed.
	owner func(net.Conn) string
	// cuts holds the mode for the connections of single gateways, ownerOf the gateway of each connection of both sides.
	cuts    map[string]mode
	ownerOf map[net.Conn]string
	lastCut time.Time // When a cut last began or ended.
	// answerEarly returns the early answer to the request whose head begins the data, nil for none; it may be nil itself.
	answerEarly func(data []byte) *earlyAnswer
	// closeDelay is the longest time after which the target sees that a connection was closed.
	closeDelay time.Duration
}

func newProxy(g *group.Group, target string) (*proxy, error) {
	l, err := net.Listen("tcp", nextAddress()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, group: g, changed: make(chan struct{}), conns: map[net.Conn]bool{}, cuts: map[string]mode{}, ownerOf: map[net.Conn]string{}}
	g.Go(func(ctx context.Context) {
		<-ctx.Done()
		p.set(refusing)
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = p.listener.Close()
	})
	g.Go(func(context.Context) { p.accept(l) })
	return p, nil
}

// Guards against requests that reach a server of another test at the port of an upstream that is down.
func TestPortOfAProxyThatIsDownIsNotUsedByOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := group.New(context.Background())
	defer g.Stop()
	p, err := newProxy(g, "127.0.0.1:1")
	is.NoErr(err)
	address := p.address()
	_, port, err := net.SplitHostPort(address)
	is.NoErr(err)
	g.Go(func(context.Context) { p.down(time.Second) })
	for err == nil {
		var conn net.Conn
		if conn, err = net.Dial("tcp", address); err == nil {
			_ = conn.Close()
		}
	}
	other, err := net.Listen("tcp", "127.0.0.1:"+port)
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	_, err = net.Dial("tcp", address)
	is.True(err != nil) // The proxy is down.
}

func (p *proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		p.group.Go(func(ctx context.Context) { p.serve(ctx, conn) })
	}
}

// down resets all connections and refuses new ones for the duration, as if the target had ended and started again.
func (p *proxy) down(d time.Duration) {
	p.mu.Lock()
	if p.closed || p.mode != passing {
		p.mu.Unlock()
		return
	}
	p.closed, p.lastDisturbed = true, time.Now()
	l := p.listener
	_ = l.Close()
	for c := range p.conns {
		reset(c)
	}
	p.mu.Unlock()
	time.Sleep(d)
	for p.group.Context().Err() == nil {
		next, err := net.Listen("tcp", l.Addr().String())
		if err != nil { // Another process may have the port for a moment.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		p.mu.Lock()
		p.listener, p.closed, p.lastDisturbed = next, false, time.Now()
		p.mu.Unlock()
		p.group.Go(func(context.Context) { p.accept(next) })
		return
	}
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m != passing || p.mode != passing {
		p.lastDisturbed = time.Now()
	}
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refusing {
		for c := range p.conns {
			reset(c)
		}
	}
}

// identifyBy sets the function that returns the gateway of a connection.
func (p *proxy) identifyBy(owner func(net.Conn) string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = owner
}

func (p *proxy) gatewayOf(conn net.Conn) string {
	p.mu.Lock()
	owner := p.owner
	p.mu.Unlock()
	if owner == nil {
		return ""
	}
	return owner(conn)
}

// cut sets the mode of the connections of one gateway; passing ends it.
func (p *proxy) cut(gateway string, m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[gateway], p.lastCut = m, time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refusing {
		for c := range p.conns {
			if p.ownerOf[c] == gateway {
				reset(c)
			}
		}
	}
}

// ownerOfTarget returns the name of the gateway whose connection reaches the target from the address.
func (p *proxy) ownerOfTarget(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, gateway := range p.ownerOf {
		if c.LocalAddr().String() == address {
			return gateway
		}
	}
	return ""
}

// delayCloses sets the longest time after which the target sees that a connection was closed.
func (p *proxy) delayCloses(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeDelay = d
}

func (p *proxy) currentCloseDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeDelay
}

// undisturbedFor reports whether the link has forwarded all data without delay for longer than the duration.
func (p *proxy) undisturbedFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == passing && time.Since(p.lastDisturbed) > d
}

// uncutFor reports whether no gateway has been cut off for the duration.
func (p *proxy) uncutFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastCut) > d
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// current returns the mode of the connections of a gateway.
func (p *proxy) current(gateway string) (mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.cuts[gateway]; m != passing && p.mode == passing {
		return m, p.changed
	}
	return p.mode, p.changed
}

func (p *proxy) serve(ctx context.Context, conn net.Conn) {
	gateway := p.gatewayOf(conn)
	if m, _ := p.current(gateway); m == refusing || m == closedToNew {
		reset(conn)
		return
	}
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[target] = true, true
	p.ownerOf[conn], p.ownerOf[target] = gateway, gateway
	p.mu.Unlock()
	p.group.Go(func(context.Context) { p.pipe(ctx, target, conn, gateway, stalledDown) })
	p.pipe(ctx, conn, target, gateway, stalledUp)
}

// pipe forwards data in one direction. While the link is stalled or in the mode that stalls this direction, it holds
// the data instead of dropping it, so that the receiver never gets a stream with a gap.
func (p *proxy) pipe(ctx context.Context, from, to net.Conn, gateway string, stalledMode mode) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.ownerOf, from)
		p.mu.Unlock()
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for {
			m, changed := p.current(gateway)
			if m == delayed {
				time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
			}
			if m != stalled && m != stalledMode {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
		if n > 0 && stalledMode == stalledUp && p.resetEarly(from, buffer[:n]) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				if p.currentCloseDelay() > 0 && stalledMode == stalledDown {
					_, _ = io.Copy(io.Discard, from) // Until the target sees the end of the connection.
				}
				reset(from)
				return
			}
		}
		if err != nil {
			if delay := p.currentCloseDelay(); delay > 0 && stalledMode == stalledUp {
				select {
				case <-time.After(rand.N(delay)):
				case <-ctx.Done():
				}
			}
			if m, _ := p.current(gateway); m == refusing {
				reset(to)
			}
			return
		}
	}
}

func (p *proxy) setAnswerEarly(f func([]byte) *earlyAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerEarly = f
}

// resetEarly answers the request whose head begins the data and resets its connection, if the target answers it early. The proxy does so by
// itself, since the gateway sends the rest of the request within microseconds.
func (p *proxy) resetEarly(conn net.Conn, data []byte) bool {
	p.mu.Lock()
	answerEarly := p.answerEarly
	p.mu.Unlock()
	if answerEarly == nil {
		return false
	}
	a := answerEarly(data)
	if a == nil {
		return false
	}
	defer reset(conn)
	if _, err := io.CopyN(io.Discard, conn, a.readBytes); err == nil {
		_, _ = conn.Write(a.bytes) // The gateway may have disconnected.
		time.Sleep(a.resetDelay)
	}
	return true
}

// earlyAnswer is what comes when so many further bytes of a request have been read, and the time until its connection is reset.
type earlyAnswer struct {
	bytes      []byte
	readBytes  int64
	resetDelay time.Duration
}
