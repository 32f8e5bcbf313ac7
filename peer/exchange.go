package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/instance"
)

const (
	// exchangeTimeout bounds a call that exchanges digests.
	exchangeTimeout = time.Second
	// fetchTimeout bounds a call that fetches a document or the instances.
	fetchTimeout = time.Second
	// maxExchangeBytes bounds a message of the exchange service.
	maxExchangeBytes = 4 << 20
	// compressFromBytes is the minimum size of a response that is compressed.
	compressFromBytes = 4 << 10
)

// ExchangeOptions are the options for railv1connect.NewExchangeServiceHandler.
func ExchangeOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxExchangeBytes),
		connect.WithCompressMinBytes(compressFromBytes),
	)
}

// ExchangeServer serves the digest, the document and the instances of this entry to other entries.
type ExchangeServer struct{ mailbox rail.Mailbox }

var _ railv1connect.ExchangeServiceHandler = (*ExchangeServer)(nil)

// NewExchangeServer returns a handler for railv1connect.NewExchangeServiceHandler.
func NewExchangeServer(mailbox rail.Mailbox) *ExchangeServer {
	return &ExchangeServer{mailbox: mailbox}
}

// Exchange applies the facts that the caller pushes and returns those that its summary lacks.
func (s *ExchangeServer) Exchange(ctx context.Context, r *connect.Request[railv1.ExchangeRequest]) (*connect.Response[railv1.ExchangeResponse], error) {
	call := newCall()
	result, err := ask[digest.SendResponse](ctx, s.mailbox, call, digest.NewRequestReceived(call, RequestFrom(r.Msg)))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(ResponseMessage(result.Response())), nil
}

// FetchDocument returns the document in force.
func (s *ExchangeServer) FetchDocument(ctx context.Context, _ *connect.Request[railv1.FetchDocumentRequest]) (*connect.Response[railv1.FetchDocumentResponse], error) {
	call := newCall()
	result, err := ask[document.QueryResult](ctx, s.mailbox, call, document.NewQuery(call))
	if err != nil {
		return nil, err
	}
	d := result.Document()
	return connect.NewResponse(&railv1.FetchDocumentResponse{Number: d.Number(), Source: d.Source()}), nil
}

// FetchInstances returns the known instances.
func (s *ExchangeServer) FetchInstances(ctx context.Context, _ *connect.Request[railv1.FetchInstancesRequest]) (*connect.Response[railv1.FetchInstancesResponse], error) {
	call := newCall()
	result, err := ask[instance.QueryResult](ctx, s.mailbox, call, instance.NewQuery(call))
	if err != nil {
		return nil, err
	}
	m := &railv1.FetchInstancesResponse{}
	for _, i := range result.Instances() {
		m.Instances = append(m.Instances, instanceMessage(i))
	}
	return connect.NewResponse(m), nil
}

func newCall() rail.RequestID { return rail.RequestID("call-" + uuid.NewString()) }

// ask sends the event to the reducer and waits for an effect of type T.
func ask[T rail.CallEffect](ctx context.Context, mailbox rail.Mailbox, call rail.RequestID, e rail.Event) (T, error) {
	var zero T
	effect, err := mailbox.Ask(ctx, call, e)
	if err != nil {
		return zero, ConnectError(err)
	}
	result, ok := effect.(T)
	if !ok {
		return zero, ConnectError(rail.NewError(rail.KindInternal, "unexpected %s", effect.EffectName()))
	}
	return result, nil
}

// ExchangeClient calls the exchange service of other entries.
type ExchangeClient struct {
	httpClient *http.Client
	scheme     string
}

// NewExchangeClient returns a client that calls the peer addresses by the scheme, http or https.
func NewExchangeClient(httpClient *http.Client, scheme string) *ExchangeClient {
	return &ExchangeClient{httpClient: httpClient, scheme: scheme}
}

func (c *ExchangeClient) clientFor(i rail.Instance) railv1connect.ExchangeServiceClient {
	return railv1connect.NewExchangeServiceClient(c.httpClient, c.scheme+"://"+i.PeerAddress(), connect.WithReadMaxBytes(maxExchangeBytes))
}

// Exchange performs the exchange of the effect and returns the resulting event for the reducer.
func (c *ExchangeClient) Exchange(ctx context.Context, e digest.Exchange) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := c.clientFor(e.Peer()).Exchange(ctx, connect.NewRequest(RequestMessage(e.Request())))
	if err != nil {
		c.dropConnectionsAfterTimeout(ctx)
		return digest.NewExchangeFailed(e.Peer())
	}
	return digest.NewResponseReceived(e.Peer(), ResponseFrom(resp.Msg, e.Request()))
}

// Document fetches the document in force from the peer and returns the resulting event for the reducer.
func (c *ExchangeClient) Document(ctx context.Context, peer rail.Instance) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := c.clientFor(peer).FetchDocument(ctx, connect.NewRequest(&railv1.FetchDocumentRequest{}))
	if err != nil {
		c.dropConnectionsAfterTimeout(ctx)
		return document.NewFetchFailed(peer.Incarnation())
	}
	if resp.Msg.GetNumber() == 0 {
		return document.NewFetched(rail.Document{})
	}
	d, faults := document.Parse(resp.Msg.GetSource())
	if len(faults) > 0 {
		return document.NewFetchFailed(peer.Incarnation())
	}
	return document.NewFetched(d.WithNumber(resp.Msg.GetNumber()))
}

// Instances fetches the instances that the peer knows and returns the resulting event for the reducer.
func (c *ExchangeClient) Instances(ctx context.Context, peer rail.Instance) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := c.clientFor(peer).FetchInstances(ctx, connect.NewRequest(&railv1.FetchInstancesRequest{}))
	if err != nil {
		c.dropConnectionsAfterTimeout(ctx)
		return digest.NewExchangeFailed(peer)
	}
	instances := make([]rail.Instance, 0, len(resp.Msg.GetInstances()))
	for _, m := range resp.Msg.GetInstances() {
		instances = append(instances, instanceFrom(m))
	}
	return instance.NewFetched(instances)
}

// dropConnectionsAfterTimeout closes the idle pooled connections after a timeout, since a connection can stop responding for good.
func (c *ExchangeClient) dropConnectionsAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.httpClient.CloseIdleConnections()
	}
}
