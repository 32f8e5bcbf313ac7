package engine

import (
	"context"
	"io"
	"net"

	"dandelionrail.org/rail"
)

// ReadStream reads the event stream of one attempt.
func ReadStream(body io.Reader, take func(rail.Chunk) error) (rail.Usage, error) {
	s := stream{take: take, progress: func() {}}
	return s.read(body, Defaults().maxLineBytes)
}

// SetDialer replaces the function that opens the client's connections.
func (c *Client) SetDialer(dial func(context.Context, string, string) (net.Conn, error)) {
	c.http.Transport = newTransport(c.settings, dial)
}
