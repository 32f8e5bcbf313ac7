package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/httpconn"
)

const (
	// The headers of this project's own interface to plain services (docs/wire.md). The users' platform has headers of the
	// same names, which are translated in package platform; nothing here speaks to it.
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
	idleTimeout     = time.Minute
)

// Client calls plain services.
type Client struct {
	settings Settings
	pooled   *http.Client // for idempotent calls
	unpooled *http.Client // a new connection for each call
}

var _ rail.Service = (*Client)(nil)

// New returns a client with a connection pool of its own.
func New(s Settings) *Client {
	return &Client{settings: s, pooled: newHTTP(s, false), unpooled: newHTTP(s, true)}
}

func newHTTP(s Settings, unpooled bool) *http.Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	return &http.Client{
		Transport: httpconn.New(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: s.maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			// The transport retries a request by itself only on a reused connection.
			DisableKeepAlives:      unpooled,
			MaxResponseHeaderBytes: rail.MaxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call sends the request once; the kind of its error says whether it may have run.
func (c *Client) Call(ctx context.Context, d rail.Dispatch) (rail.ServiceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTimeout)
	defer cancel()
	r := d.Request()
	request, err := c.request(ctx, d.Upstream(), r.Method(), r.Path(), r.Body())
	if err != nil {
		return rail.ServiceReply{}, err
	}
	request.Header.Set(headerRequestID, string(r.ID()))
	response, err := c.send(ctx, request, r.Ticket() == "" && r.Key() == "")
	if err != nil {
		return rail.ServiceReply{}, err
	}
	defer closeBody(response)
	if !rail.ValidStatus(response.StatusCode) {
		return rail.ServiceReply{}, rail.NewError(rail.KindUpstreamFailed, "status %d", response.StatusCode)
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerNotRun) == "true" {
		return rail.ServiceReply{}, rail.NewError(rail.KindUpstreamRefused, "%s refused before any work", d.Upstream().ID())
	}
	body, err := c.readBody(ctx, response)
	if err != nil {
		return rail.ServiceReply{}, err
	}
	return rail.NewServiceReply(response.StatusCode, response.Header.Get("Content-Type"), body), nil
}

// request builds a request whose body the transport cannot send again.
func (c *Client) request(ctx context.Context, upstream rail.Instance, method, path string, body []byte) (*http.Request, error) {
	url := "http://" + upstream.Address() + "/" + strings.TrimPrefix(path, "/")
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, rail.WrapError(err, rail.KindBadRequest, "request to a service")
	}
	r.GetBody = nil
	return r, nil
}

// send makes the call; a failure after the request got a connection counts as possibly run.
func (c *Client) send(ctx context.Context, r *http.Request, repeatable bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	client := c.unpooled
	if repeatable {
		client = c.pooled
	}
	response, err := client.Do(r)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, rail.WrapError(err, rail.KindUpstreamRefused, "no connection")
	}
	return nil, c.callError(ctx, err)
}

// callError returns the error of a request that may have run.
func (c *Client) callError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return rail.WrapError(err, rail.KindCancelled, "call cancelled by its caller")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// Idle connections to an upstream that does not answer may be dead too.
		c.pooled.CloseIdleConnections()
		return rail.WrapError(err, rail.KindUpstreamSilent, "no answer in time")
	default:
		return rail.WrapError(err, rail.KindUpstreamFailed, "connection lost before the answer")
	}
}

func (c *Client) readBody(ctx context.Context, r *http.Response) ([]byte, error) {
	body, complete, err := rail.ReadBody(r.Body, c.settings.maxBodyBytes)
	if err != nil {
		return nil, c.callError(ctx, err)
	}
	if !complete {
		return nil, rail.NewError(rail.KindAnswerNotKept, "answer is larger than %d bytes", c.settings.maxBodyBytes)
	}
	return body, nil
}

// loadBody is the load report of a service.
type loadBody struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AsOfMs  int64 `json:"asOfMs"`
	Leaving bool  `json:"leaving"`
}

// Load returns the load report of the upstream.
func (c *Client) Load(ctx context.Context, upstream rail.Instance) (rail.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTimeout)
	defer cancel()
	r, err := c.request(ctx, upstream, http.MethodGet, "/load", nil)
	if err != nil {
		return rail.Load{}, err
	}
	response, err := c.send(ctx, r, true)
	if err != nil {
		return rail.Load{}, err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return rail.Load{}, rail.NewError(rail.KindUpstreamFailed, "load report with status %d", response.StatusCode)
	}
	var b loadBody
	if err := json.NewDecoder(io.LimitReader(response.Body, c.settings.maxBodyBytes)).Decode(&b); err != nil {
		return rail.Load{}, rail.WrapError(err, rail.KindUpstreamFailed, "load report")
	}
	load := rail.NewLoad(upstream.ID(), b.Running, b.Waiting, b.Slots, time.UnixMilli(b.AsOfMs))
	if b.Leaving {
		load = load.WithLeaving()
	}
	return load, nil
}

func closeBody(r *http.Response) { _ = r.Body.Close() }
