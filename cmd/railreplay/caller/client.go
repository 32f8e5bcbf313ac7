package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/timer"
)

const (
	headerRequest  = "X-Request-Id"
	headerRun      = "X-Run"
	headerTicket   = "X-Ticket"
	headerKey      = "Idempotency-Key"
	headerLast     = "Last-Event-ID"
	headerLocation = "Location"
	headerAccept   = "Accept"

	mediaStream = "text/event-stream"

	runNotRun  = "notRun"
	runUnknown = "unknown"

	minPause     = 50 * time.Millisecond
	maxPause     = 2 * time.Second
	maxReplySize = 4 << 20
)

// Limits bound how long a caller tries.
type Limits struct {
	// Deadline is how long a request may take with all its retries.
	Deadline time.Duration
	// IdleTimeout is how long a connection may give nothing before the caller tries another entry.
	IdleTimeout time.Duration
	// SearchTimeout is how long an entry may look for an answer before the caller asks another entry.
	SearchTimeout time.Duration
	// MaxUnknownRetries is how often a caller asks again for an order whose outcome is unknown.
	MaxUnknownRetries int
}

// Client sends requests to the entries in turn, as a balancer would.
type Client struct {
	entries []string
	http    *http.Client
	limits  Limits
	turn    atomic.Uint64
}

// New returns a client of the entries, which are URLs without a trailing slash.
func New(entries []string, limits Limits) *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     5 * time.Second,
		DisableCompression:  true,
	}
	return &Client{entries: entries, http: &http.Client{Transport: t}, limits: limits}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// next returns the entry whose turn it is.
func (c *Client) next() string {
	return c.entries[int(c.turn.Add(1)%uint64(len(c.entries)))]
}

// request makes a request to the path at the entry.
func (c *Client) request(ctx context.Context, method, entry, path, token, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, entry+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// reply is a whole answer that is no stream.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// whole sends the request and reads its answer, within the time that a connection may be silent.
func (c *Client) whole(r *http.Request) (reply, error) {
	ctx, cancel := context.WithTimeout(r.Context(), c.limits.IdleTimeout)
	defer cancel()
	w, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return reply{}, errors.Wrap(err, "send")
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxReplySize))
	if err != nil {
		return reply{}, errors.Wrap(err, "read the answer")
	}
	return reply{status: w.StatusCode, header: w.Header, body: body}, nil
}

// pause waits as long as the answer advises and reports false once the context has ended.
func pause(ctx context.Context, header http.Header) bool {
	d := minPause
	if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		d = min(max(time.Duration(s)*time.Second, minPause), maxPause)
	}
	return timer.Pause(ctx, d)
}

// worthRetry reports whether a refusal as not run may pass.
func worthRetry(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
