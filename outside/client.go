package outside

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/httpconn"
)

const (
	// callTimeout bounds a call, except for the time that a read waits for a record.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a response; the list of 1,530 instances has 380 KB.
	maxResponseBytes = 8 << 20
	// maxMessageBytes bounds how much of an error response's body is copied into the error.
	maxMessageBytes = 200
)

// Client is a client of the platform; it implements rail.Log, rail.InstanceList and rail.Cloud.
type Client struct {
	base   string
	client *http.Client
}

var (
	_ rail.Log          = (*Client)(nil)
	_ rail.InstanceList = (*Client)(nil)
	_ rail.Cloud        = (*Client)(nil)
)

// Transport returns a transport for calls to the platform that bounds what it reads of a response's head, and that tells the
// response of a call from the copy of another.
func Transport() *httpconn.Transport {
	return httpconn.New(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: rail.MaxHeadBytes})
}

// New returns a client of the platform at the base URL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{base: strings.TrimRight(baseURL, "/"), client: client}
}

// call sends one request and decodes the response into out, unless that is nil.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, in)
	if err != nil {
		return rail.WrapError(err, rail.KindInternal, "platform request")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return rail.WrapError(err, rail.KindPlatformUnavailable, method+" "+path)
	}
	defer func() { _ = resp.Body.Close() }()
	if !rail.ValidStatus(resp.StatusCode) {
		// The body of 101 is the connection, which the context does not end.
		return statusError(resp.StatusCode, method, path, nil)
	}
	body, complete, err := rail.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return rail.WrapError(err, rail.KindPlatformUnavailable, method+" "+path)
	}
	if !complete {
		return rail.NewError(rail.KindPlatformUnavailable, "%s %s: response of more than %d bytes", method, path, maxResponseBytes)
	}
	if resp.StatusCode/100 != 2 {
		return statusError(resp.StatusCode, method, path, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return rail.WrapError(err, rail.KindPlatformUnavailable, "answer to "+method+" "+path)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, c.base+path, nil)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// closeIdleAfterTimeout closes the idle connections after a timeout, since they may be dead too.
func (c *Client) closeIdleAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.client.CloseIdleConnections()
	}
}

// statusError returns an error of the kind that the status of the platform maps to.
func statusError(status int, method, path string, body []byte) error {
	message := strings.TrimSpace(string(body[:min(len(body), maxMessageBytes)]))
	text := fmt.Sprintf("%s %s: status %d: %s", method, path, status, message)
	switch status {
	case http.StatusTooManyRequests:
		return rail.NewError(rail.KindLimited, "%s", text)
	case http.StatusConflict:
		return rail.NewError(rail.KindUpstreamRefused, "%s", text)
	default:
		return rail.NewError(rail.KindPlatformUnavailable, "%s", text)
	}
}

// instancePath returns the path of one instance below the prefix.
func instancePath(prefix string, id rail.InstanceID) string {
	return prefix + "/" + url.PathEscape(string(id))
}
