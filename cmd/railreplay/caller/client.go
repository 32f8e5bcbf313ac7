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
	headerRequestID      = "X-Request-Id"
	headerRun            = "X-Run"
	headerTicket         = "X-Ticket"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerLocation       = "Location"
	headerAccept         = "Accept"

	mediaTypeEventStream = "text/event-stream"

	runNotRun  = "notRun"
	runUnknown = "unknown"

	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	maxReplySize = 4 << 20
)

// Limits bound the retries of a caller.
type Limits struct {
	// Deadline is how long a request may take with all its retries.
	Deadline time.Duration
	// IdleTimeout is how long a connection may deliver no data before the caller tries another entry.
	IdleTimeout time.Duration
	// SearchTimeout is how long an entry may search for an answer before the caller tries another entry.
	SearchTimeout time.Duration
	// MaxUnknownRetries is how often a caller repeats an order whose outcome is unknown.
	MaxUnknownRetries int
}

// Client sends requests to the entries round robin, as a load balancer would.
type Client struct {
	entries      []string
	http         *http.Client
	limits       Limits
	requestCount atomic.Uint64
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

// nextEntry returns the next entry in round-robin order.
func (c *Client) nextEntry() string {
	return c.entries[int(c.requestCount.Add(1)%uint64(len(c.entries)))]
}

// newRequest returns a request for the path at the entry.
func (c *Client) newRequest(ctx context.Context, method, entry, path, token, body string) (*http.Request, error) {
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

// reply is a complete response that is not a stream.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends the request and reads its response, both within the idle timeout.
func (c *Client) do(r *http.Request) (reply, error) {
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

// waitBackoff waits as long as Retry-After states, within the bounds, and reports false once the context has ended.
func waitBackoff(ctx context.Context, header http.Header) bool {
	d := minBackoff
	if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		d = min(max(time.Duration(s)*time.Second, minBackoff), maxBackoff)
	}
	return timer.Sleep(ctx, d)
}

// retryable reports whether a request that was refused with the status may succeed later.
func retryable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
