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
	// exchangeTimeout bounds an exchange of digests.
	exchangeTimeout = time.Second
	// fetchTimeout bounds the fetch of a document or of the instances.
	fetchTimeout = time.Second
	// maxExchangeBytes bounds a message of the exchange service.
	maxExchangeBytes = 4 << 20
	// compressFromBytes is the size from which a response is compressed.
	compressFromBytes = 4 << 10
)

// ExchangeOptions are the options for railv1connect.NewExchangeServiceHandler.
func ExchangeOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxExchangeBytes),
		connect.WithCompressMinBytes(compressFromBytes),
	)
}

// ExchangeServer serves digest, document and instances of this entry to the other entries.
type ExchangeServer struct{ desk rail.Mailbox }

var _ railv1connect.ExchangeServiceHandler = (*ExchangeServer)(nil)

// NewExchangeServer returns a handler for railv1connect.NewExchangeServiceHandler.
func NewExchangeServer(desk rail.Mailbox) *ExchangeServer { return &ExchangeServer{desk: desk} }

// Exchange gives the facts that the caller's summary lacks and takes the ones it pushes.
func (s *ExchangeServer) Exchange(ctx context.Context, r *connect.Request[railv1.ExchangeRequest]) (*connect.Response[railv1.ExchangeResponse], error) {
	call := newCall()
	answered, err := ask[digest.Answered](ctx, s.desk, call, digest.NewAsked(call, RequestFrom(r.Msg)))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(ResponseMessage(answered.Response())), nil
}

// FetchDocument gives out the document in force.
func (s *ExchangeServer) FetchDocument(ctx context.Context, _ *connect.Request[railv1.FetchDocumentRequest]) (*connect.Response[railv1.FetchDocumentResponse], error) {
	call := newCall()
	given, err := ask[document.Given](ctx, s.desk, call, document.NewWanted(call))
	if err != nil {
		return nil, err
	}
	d := given.Document()
	return connect.NewResponse(&railv1.FetchDocumentResponse{Number: d.Number(), Source: d.Source()}), nil
}

// FetchInstances gives out the known instances.
func (s *ExchangeServer) FetchInstances(ctx context.Context, _ *connect.Request[railv1.FetchInstancesRequest]) (*connect.Response[railv1.FetchInstancesResponse], error) {
	call := newCall()
	given, err := ask[instance.Given](ctx, s.desk, call, instance.NewWanted(call))
	if err != nil {
		return nil, err
	}
	m := &railv1.FetchInstancesResponse{}
	for _, i := range given.Instances() {
		m.Instances = append(m.Instances, knownMessage(i))
	}
	return connect.NewResponse(m), nil
}

func newCall() rail.RequestID { return rail.RequestID("call-" + uuid.NewString()) }

// ask waits at the desk for an effect of one type.
func ask[T rail.CallEffect](ctx context.Context, desk rail.Mailbox, call rail.RequestID, e rail.Event) (T, error) {
	var none T
	effect, err := desk.Ask(ctx, call, e)
	if err != nil {
		return none, connect.NewError(connect.CodeUnavailable, err)
	}
	answer, ok := effect.(T)
	if !ok {
		return none, connect.NewError(connect.CodeInternal, rail.NewError(rail.KindInternal, "unexpected %s", effect.EffectName()))
	}
	return answer, nil
}

// ExchangeClient asks the other entries for their digest, document and instances.
type ExchangeClient struct {
	client *http.Client
	scheme string
}

// NewExchangeClient returns a client that calls the peer addresses by the scheme, http or https.
func NewExchangeClient(client *http.Client, scheme string) *ExchangeClient {
	return &ExchangeClient{client: client, scheme: scheme}
}

func (c *ExchangeClient) to(i rail.Instance) railv1connect.ExchangeServiceClient {
	return railv1connect.NewExchangeServiceClient(c.client, c.scheme+"://"+i.PeerAddress(), connect.WithReadMaxBytes(maxExchangeBytes))
}

// Exchange runs the effect and returns the event for the reducer.
func (c *ExchangeClient) Exchange(ctx context.Context, e digest.Exchange) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := c.to(e.Peer()).Exchange(ctx, connect.NewRequest(RequestMessage(e.Request())))
	if err != nil {
		c.dropSilent(ctx)
		return digest.NewExchangeFailed(e.Peer())
	}
	return digest.NewReplied(e.Peer(), ResponseFrom(resp.Msg, e.Request()))
}

// Document asks the peer for the document in force and returns the event for the reducer.
func (c *ExchangeClient) Document(ctx context.Context, peer rail.Instance) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := c.to(peer).FetchDocument(ctx, connect.NewRequest(&railv1.FetchDocumentRequest{}))
	if err != nil {
		c.dropSilent(ctx)
		return document.NewFetchFailed(peer.Incarnation())
	}
	if resp.Msg.GetNumber() == 0 {
		return document.NewOffered(rail.Document{})
	}
	d, faults := document.Parse(resp.Msg.GetSource())
	if len(faults) > 0 {
		return document.NewFetchFailed(peer.Incarnation())
	}
	return document.NewOffered(d.WithNumber(resp.Msg.GetNumber()))
}

// Instances asks the peer for the instances that it knows and returns the event for the reducer.
func (c *ExchangeClient) Instances(ctx context.Context, peer rail.Instance) rail.Event {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := c.to(peer).FetchInstances(ctx, connect.NewRequest(&railv1.FetchInstancesRequest{}))
	if err != nil {
		c.dropSilent(ctx)
		return digest.NewExchangeFailed(peer)
	}
	instances := make([]rail.Instance, 0, len(resp.Msg.GetInstances()))
	for _, m := range resp.Msg.GetInstances() {
		instances = append(instances, knownFrom(m))
	}
	return instance.NewOffered(instances)
}

// dropSilent gives up the pooled connections after a time-out, as a connection can go silent for good.
func (c *ExchangeClient) dropSilent(ctx context.Context) {
	if ctx.Err() != nil {
		c.client.CloseIdleConnections()
	}
}
