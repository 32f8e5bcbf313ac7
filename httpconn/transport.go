package httpconn

import (
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	headerRequestID = "X-Request-Id"
	// maxRequestsPerConnection bounds the ids that a connection has to remember.
	maxRequestsPerConnection = 1000
)

// ErrForeignAnswer is the cause of an error for an answer that is not known to be that of the request.
var ErrForeignAnswer = errors.New("answer of another request")

// Transport is an http.RoundTripper with a connection pool of its own.
type Transport struct {
	base     *http.Transport
	maxIdle  int
	idPrefix string
	lastID   atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*connection // by scheme and address
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a transport that opens its connections by the base transport and keeps idle ones by its limits.
func New(base *http.Transport) *Transport {
	maxIdle := base.MaxIdleConnsPerHost
	if maxIdle == 0 {
		maxIdle = http.DefaultMaxIdleConnsPerHost
	}
	if base.DisableKeepAlives {
		maxIdle = 0
	}
	base = base.Clone()
	base.DialContext = withResets(base.DialContext)
	return &Transport{base: base, maxIdle: maxIdle, idPrefix: rand.Text() + "-", idle: map[string][]*connection{}}
}

// RoundTrip implements http.RoundTripper; a request without X-Request-Id gets a new one.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(headerRequestID) == "" {
		r = r.Clone(r.Context())
		r.Header.Set(headerRequestID, t.idPrefix+strconv.FormatUint(t.lastID.Add(1), 10))
	}
	if c := t.takeIdle(r); c != nil {
		response, err := t.exchange(c, r)
		if err == nil || !isReplayable(r) || r.Context().Err() != nil || errors.Is(err, ErrForeignAnswer) {
			return response, err
		}
		// The upstream may have closed the idle connection just before.
	}
	c, err := t.dial(r)
	if err != nil {
		if r.Body != nil {
			_ = r.Body.Close() // The error of the dial is returned.
		}
		return nil, err
	}
	return t.exchange(c, r)
}

// isReplayable reports whether a request can be sent again after a connection failed under it.
func isReplayable(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && (r.Body == nil || r.Body == http.NoBody)
}

func (t *Transport) dial(r *http.Request) (*connection, error) {
	c, err := t.base.NewClientConn(r.Context(), r.URL.Scheme, addressOf(r))
	if err != nil {
		return nil, err
	}
	return &connection{http: c, key: keyOf(r), ids: map[string]struct{}{}}, nil
}

func addressOf(r *http.Request) string {
	if r.URL.Port() != "" {
		return r.URL.Host
	}
	return net.JoinHostPort(r.URL.Hostname(), map[string]string{"http": "80", "https": "443"}[r.URL.Scheme])
}

func keyOf(r *http.Request) string { return r.URL.Scheme + "://" + r.URL.Host }

// exchange sends the request and returns the answer; the end of the body releases the connection.
func (t *Transport) exchange(c *connection, r *http.Request) (*http.Response, error) {
	id, reused := r.Header.Get(headerRequestID), len(c.ids) > 0
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: reused})
	}
	c.ids[id] = struct{}{}
	response, err := c.http.RoundTrip(r)
	if err != nil {
		c.close()
		return nil, err
	}
	repeated := response.Header.Values(headerRequestID)
	if slices.ContainsFunc(repeated, func(got string) bool { return got != id }) || reused && len(repeated) == 0 {
		c.close()
		_ = response.Body.Close() // The answer is not delivered.
		return nil, errors.Wrapf(ErrForeignAnswer, "status %d with the ids %q", response.StatusCode, repeated)
	}
	mayKeep := len(repeated) > 0 && !response.Close && len(c.ids) < maxRequestsPerConnection
	response.Body = &body{ReadCloser: response.Body, complete: response.Body == http.NoBody, release: func(complete bool) {
		t.release(c, complete && mayKeep)
	}}
	return response, nil
}

// release keeps the connection for further requests or closes it.
func (t *Transport) release(c *connection, keep bool) {
	if !keep || c.http.Available() == 0 || !t.putIdle(c) {
		c.close()
	}
}

func (t *Transport) putIdle(c *connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.key]) >= t.maxIdle {
		return false
	}
	t.idle[c.key] = append(t.idle[c.key], c)
	if t.base.IdleConnTimeout > 0 {
		c.idleTimer = time.AfterFunc(t.base.IdleConnTimeout, func() { t.closeIdle(c) })
	}
	return true
}

// takeIdle returns the idle connection to the request's address that was used last and has not carried its id, nil if there is none.
func (t *Transport) takeIdle(r *http.Request) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, key := r.Header.Get(headerRequestID), keyOf(r)
	// The upstream has closed these, or sent something that no request asked for.
	for _, c := range slices.Clone(t.idle[key]) {
		if c.http.Available() == 0 {
			t.remove(c)
			c.close()
		}
	}
	for _, c := range slices.Backward(t.idle[key]) {
		if _, carried := c.ids[id]; !carried {
			t.remove(c)
			return c
		}
	}
	return nil
}

// closeIdle closes the connection unless a request has taken it meanwhile.
func (t *Transport) closeIdle(c *connection) {
	t.mu.Lock()
	removed := t.remove(c)
	t.mu.Unlock()
	if removed {
		c.close()
	}
}

// remove takes the connection out of the idle ones and reports whether it was one; t.mu must be held.
func (t *Transport) remove(c *connection) bool {
	list := t.idle[c.key]
	n := slices.Index(list, c)
	if n < 0 {
		return false
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	if t.idle[c.key] = slices.Delete(list, n, n+1); len(t.idle[c.key]) == 0 {
		delete(t.idle, c.key)
	}
	return true
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	idle := t.idle
	t.idle = map[string][]*connection{}
	t.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			if c.idleTimer != nil {
				c.idleTimer.Stop()
			}
			c.close()
		}
	}
}

// connection is a connection to an upstream with the ids of the requests that it has carried.
type connection struct {
	http      *http.ClientConn
	key       string
	ids       map[string]struct{}
	idleTimer *time.Timer
}

func (c *connection) close() { _ = c.http.Close() } // It carries no further request.

// body calls release once, when the body was read to its end or is closed.
type body struct {
	io.ReadCloser
	complete bool
	once     sync.Once
	release  func(complete bool)
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.release(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(b.complete) })
	return err
}
