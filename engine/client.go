package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/httpconn"
)

// Client calls the model engines.
type Client struct {
	settings Settings
	http     *http.Client
}

var _ rail.Engine = (*Client)(nil)

// New returns a client with a connection pool of its own.
func New(s Settings) *Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{settings: s, http: &http.Client{Transport: newTransport(s, dialer.DialContext), CheckRedirect: noRedirect}}
}

func newTransport(s Settings, dial func(ctx context.Context, network, address string) (net.Conn, error)) *httpconn.Transport {
	return httpconn.New(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: s.maxIdlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: rail.MaxHeadBytes,
	})
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Cancel stops an attempt; cancelling it again does nothing.
func (c *Client) Cancel(ctx context.Context, upstream rail.Instance, request rail.RequestID, attempt int) error {
	return c.call(ctx, upstream, http.MethodPost, "/v1/cancel", cancelBody{RequestID: request, Attempt: attempt}, nil)
}

// Load returns the load report of the upstream.
func (c *Client) Load(ctx context.Context, upstream rail.Instance) (rail.Load, error) {
	var b loadBody
	if err := c.call(ctx, upstream, http.MethodGet, "/load", nil, &b); err != nil {
		return rail.Load{}, err
	}
	load := rail.NewLoad(upstream.ID(), b.Running, b.Waiting, b.Slots, time.UnixMilli(b.AsOfMs))
	if b.Leaving {
		load = load.WithLeaving()
	}
	return load, nil
}

// CacheEvents returns the events from the sequence number on.
func (c *Client) CacheEvents(ctx context.Context, upstream rail.Instance, from uint64) ([]rail.CacheEvent, error) {
	var b cacheBody
	path := "/cacheEvents?from=" + strconv.FormatUint(from, 10)
	if err := c.call(ctx, upstream, http.MethodGet, path, nil, &b); err != nil {
		return nil, err
	}
	events := make([]rail.CacheEvent, 0, len(b.Events))
	for _, e := range b.Events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			return nil, rail.WrapError(err, rail.KindUpstreamFailed, "prefix of a cache event")
		}
		events = append(events, rail.NewCacheEvent(upstream.ID(), e.Sequence, prefix, e.Held))
	}
	return events, nil
}

// Order makes the upstream load a version or change its role, under a fencing number.
func (c *Client) Order(ctx context.Context, upstream rail.Instance, fencing rail.Offset, serves string, version rail.Version) error {
	return c.call(ctx, upstream, http.MethodPost, "/orders", orderBody{Fencing: fencing, Serves: serves, Version: version}, nil)
}

// call makes one unary call and decodes the body into response, unless that is nil.
func (c *Client) call(ctx context.Context, upstream rail.Instance, method, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTimeout)
	defer cancel()
	r, err := c.send(ctx, upstream, method, path, body)
	if err != nil {
		return err
	}
	defer c.drainAndClose(r)
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, c.settings.maxBodyBytes)).Decode(response); err != nil {
		return rail.WrapError(err, rail.KindUpstreamFailed, path)
	}
	return nil
}

// send makes the request and returns a response of status 2xx, or an error whose kind says whether the request may have run.
func (c *Client) send(ctx context.Context, upstream rail.Instance, method, path string, body any) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := c.request(httptrace.WithClientTrace(ctx, trace), upstream, method, path, body)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, transportError(err, connected.Load())
	}
	if !rail.ValidStatus(response.StatusCode) {
		_ = response.Body.Close() // The body of 101 is the connection, which the context does not end.
		return nil, rail.NewError(rail.KindUpstreamFailed, "status %d", response.StatusCode)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer c.drainAndClose(response)
	return nil, c.statusError(response)
}

func (c *Client) request(ctx context.Context, upstream rail.Instance, method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, rail.WrapError(err, rail.KindInternal, path)
		}
		content = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+upstream.Address()+path, content)
	if err != nil {
		return nil, rail.WrapError(err, rail.KindInternal, path)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// transportError returns a kind that means not run only if the request got no connection.
func transportError(err error, connected bool) error {
	if !connected {
		return rail.WrapError(err, rail.KindUpstreamRefused, "no connection")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return rail.WrapError(err, rail.KindUpstreamSilent, "no answer")
	}
	return rail.WrapError(err, rail.KindUpstreamFailed, "no answer")
}

// statusError maps the status of a call that the engine rejected to an error kind.
func (c *Client) statusError(r *http.Response) error {
	var b errorBody
	_ = json.NewDecoder(io.LimitReader(r.Body, c.settings.maxBodyBytes)).Decode(&b)
	switch {
	case r.StatusCode == http.StatusServiceUnavailable && b.Reason == "leaving":
		return rail.NewError(rail.KindLeaving, "engine is leaving")
	case r.StatusCode == http.StatusServiceUnavailable && b.Reason == "full":
		return rail.NewError(rail.KindUpstreamRefused, "engine is full")
	case r.StatusCode == http.StatusNotFound:
		return rail.NewError(rail.KindUnknownModel, "engine serves another model or version")
	case r.StatusCode == http.StatusConflict:
		return rail.NewError(rail.KindStaleBase, "engine holds a newer fencing number")
	}
	return rail.NewError(rail.KindUpstreamFailed, "status %d", r.StatusCode)
}

// maxDrainBytes bounds the rest of a body that is read so that its connection can be reused.
const maxDrainBytes = 4 << 10

// drainAndClose reads the rest of a short body, so that the connection can be reused.
func (c *Client) drainAndClose(r *http.Response) {
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
	_ = r.Body.Close() // The response was read; if the connection is lost, the next call opens a new one.
}
