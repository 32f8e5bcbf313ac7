package gossip

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/gateway"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
)

// Server handles the calls of peers.
type Server struct {
	gateway  *gateway.Gateway
	watchers map[string]*gateway.Watcher
}

var _ railv1connect.GatewayServiceHandler = (*Server)(nil)

// NewServer returns the server of a gateway; the watchers, by topic, follow what peers may mirror.
func NewServer(g *gateway.Gateway, watchers map[string]*gateway.Watcher) *Server {
	return &Server{gateway: g, watchers: watchers}
}

// Mount registers the handlers on the mux.
func (s *Server) Mount(mux *http.ServeMux) {
	mux.Handle(railv1connect.NewGatewayServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(maxMessageBytes)))
}

// Exchange applies a peer's digest and returns the digest of this gateway.
func (s *Server) Exchange(_ context.Context, r *connect.Request[railv1.ExchangeDigestRequest]) (*connect.Response[railv1.ExchangeDigestResponse], error) {
	receive(s.gateway, s.watchers, r.Msg.GetDigest(), true)
	return connect.NewResponse(&railv1.ExchangeDigestResponse{Digest: digestMessage(s.gateway.Reply(r.Msg.GetDigest().GetGateway()), s.watchers)}), nil
}

// Mirror returns the newest record of each key of a topic from the position on, as far as this gateway has read it.
func (s *Server) Mirror(_ context.Context, r *connect.Request[railv1.MirrorRequest]) (*connect.Response[railv1.MirrorResponse], error) {
	w, ok := s.watchers[r.Msg.GetTopic()]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("Mirror: unknown topic"))
	}
	b, known := w.RecordsFrom(gateway.NewPosition(r.Msg.GetEra(), r.Msg.GetFrom()))
	m := &railv1.MirrorResponse{Next: b.Next(), Known: known, Era: b.Era()}
	for _, x := range b.Records() {
		m.Records = append(m.Records, &railv1.MirrorRecord{Key: x.Key(), Value: x.Value(), Offset: x.Offset()})
	}
	return connect.NewResponse(m), nil
}
