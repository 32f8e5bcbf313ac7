package peer

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/order"
)

const (
	// orderTimeout bounds a forwarded order that has no deadline.
	orderTimeout = 30 * time.Second
	// maxOrderBytes bounds a message of the order service.
	maxOrderBytes = 32 << 20
)

// OrderOptions are the options for railv1connect.NewOrderServiceHandler.
func OrderOptions() connect.HandlerOption { return connect.WithReadMaxBytes(maxOrderBytes) }

// OrderServer runs orders for other entries and takes over their tickets.
type OrderServer struct {
	mailbox rail.Mailbox
	self    rail.Incarnation
}

var _ railv1connect.OrderServiceHandler = (*OrderServer)(nil)

// NewOrderServer returns a handler for railv1connect.NewOrderServiceHandler; it refuses calls addressed to another incarnation.
func NewOrderServer(mailbox rail.Mailbox, self rail.Incarnation) *OrderServer {
	return &OrderServer{mailbox: mailbox, self: self}
}

// RunOrder runs the order of a ticket that this entry holds, or returns its outcome if it has ended.
func (s *OrderServer) RunOrder(ctx context.Context, r *connect.Request[railv1.RunOrderRequest]) (*connect.Response[railv1.RunOrderResponse], error) {
	return connect.NewResponse(&railv1.RunOrderResponse{Outcome: outcomeMessage(s.run(ctx, r.Msg))}), nil
}

func (s *OrderServer) run(ctx context.Context, m *railv1.RunOrderRequest) order.Outcome {
	if rail.Incarnation(m.GetHolder()) != s.self {
		return order.NewOutcome(rail.KindIssuerGone, rail.ServiceReply{})
	}
	request := orderFrom(m)
	effect, err := s.mailbox.Ask(ctx, request.ID(), order.NewSubmitted(request).WithHops(int(m.GetHops())))
	if err != nil {
		return order.NewOutcome(rail.KindOf(err), rail.ServiceReply{})
	}
	switch e := effect.(type) {
	case order.Answered:
		return order.NewOutcome(rail.KindNone, e.Reply())
	case order.Refused:
		return order.NewOutcome(e.Kind(), rail.ServiceReply{})
	default:
		return order.NewOutcome(rail.KindInternal, rail.ServiceReply{})
	}
}

// HandOverTickets takes over the tickets of a sealed entry.
func (s *OrderServer) HandOverTickets(ctx context.Context, r *connect.Request[railv1.HandOverTicketsRequest]) (*connect.Response[railv1.HandOverTicketsResponse], error) {
	m := r.Msg
	if rail.Incarnation(m.GetSuccessor()) != s.self {
		// An earlier incarnation at this address may have accepted the tickets.
		return handOverResponse(rail.KindIssuerUnreachable), nil
	}
	states := make([]order.TicketState, 0, len(m.GetTickets()))
	for _, t := range m.GetTickets() {
		states = append(states, order.NewTicketState(rail.Ticket(t.GetTicket()), rail.TeamName(t.GetTeam()),
			order.Phase(t.GetPhase()), t.GetDigest(), outcomeFrom(t.GetOutcome())))
	}
	call := newCall()
	effect, err := s.mailbox.Ask(ctx, call, order.NewTicketsReceived(call, rail.Incarnation(m.GetFrom()), int(m.GetNumber()), states))
	if err != nil {
		return handOverResponse(rail.KindIssuerUnreachable), nil //nolint:nilerr // The kind in the response reports the error.
	}
	switch e := effect.(type) {
	case order.TicketsTaken:
		return handOverResponse(rail.KindNone), nil
	case order.Refused:
		return handOverResponse(e.Kind()), nil
	default:
		return handOverResponse(rail.KindInternal), nil
	}
}

func handOverResponse(kind rail.Kind) *connect.Response[railv1.HandOverTicketsResponse] {
	return connect.NewResponse(&railv1.HandOverTicketsResponse{Kind: string(kind)})
}

// OrderClient calls the order service of the entries that hold tickets.
type OrderClient struct {
	httpClient connect.HTTPClient
	scheme     string
}

// NewOrderClient returns a client that calls the peer addresses by the scheme, http or https.
func NewOrderClient(httpClient connect.HTTPClient, scheme string) *OrderClient {
	return &OrderClient{httpClient: httpClient, scheme: scheme}
}

// Run sends the order to the entry that holds its ticket; if that entry does not respond, the kind is issuerUnreachable.
func (c *OrderClient) Run(ctx context.Context, holder rail.Instance, f order.Forward) (rail.ServiceReply, error) {
	ctx, cancel := withOrderTimeout(ctx, f.Request())
	defer cancel()
	m := orderMessage(f)
	m.Holder = string(holder.Incarnation())
	r, err := c.clientFor(holder).RunOrder(ctx, connect.NewRequest(m))
	if err != nil {
		return rail.ServiceReply{}, rail.WrapError(err, rail.KindIssuerUnreachable, "asking the entry that holds the ticket")
	}
	o := outcomeFrom(r.Msg.GetOutcome())
	if o.Kind() != rail.KindNone {
		return rail.ServiceReply{}, rail.NewError(o.Kind(), "entry %s answered", holder.ID())
	}
	return o.Reply(), nil
}

func withOrderTimeout(ctx context.Context, r rail.Request) (context.Context, context.CancelFunc) {
	if r.Deadline().IsZero() {
		return context.WithTimeout(ctx, orderTimeout)
	}
	return context.WithDeadline(ctx, r.Deadline())
}

// HandOver sends tickets to the successor, the only incarnation that may receive them.
// Only an error of a kind whose reply has the run notRun means that the successor accepted none of them.
func (c *OrderClient) HandOver(ctx context.Context, successor rail.Instance, from rail.Incarnation, h order.HandOver) error {
	m := &railv1.HandOverTicketsRequest{From: string(from), Successor: string(successor.Incarnation()), Number: int64(h.Number())}
	for _, t := range h.Tickets() {
		m.Tickets = append(m.Tickets, &railv1.TicketState{
			Ticket: string(t.Ticket()), Team: string(t.Team()), Phase: string(t.Phase()), Digest: t.Digest(), Outcome: outcomeMessage(t.Outcome()),
		})
	}
	r, err := c.clientFor(successor).HandOverTickets(ctx, connect.NewRequest(m))
	if err != nil {
		return rail.WrapError(err, rail.KindIssuerUnreachable, "handing tickets over")
	}
	if kind := rail.Kind(r.Msg.GetKind()); kind != rail.KindNone {
		return rail.NewError(kind, "entry %s answered", successor.ID())
	}
	return nil
}

func (c *OrderClient) clientFor(i rail.Instance) railv1connect.OrderServiceClient {
	return railv1connect.NewOrderServiceClient(c.httpClient, c.scheme+"://"+i.PeerAddress(), connect.WithReadMaxBytes(maxOrderBytes))
}

func orderMessage(f order.Forward) *railv1.RunOrderRequest {
	r := f.Request()
	return &railv1.RunOrderRequest{
		// Each hop has its own id, since an order may return to an entry that forwarded it and still waits for it.
		Id: fmt.Sprintf("%s-hop%d", r.ID(), f.Hops()), Hops: int32(f.Hops()),
		Team: string(r.Team()), Route: string(r.Route()), Priority: int64(r.Priority()),
		AcceptedUnixMillis: unixMillis(r.At()), DeadlineUnixMillis: unixMillis(r.Deadline()),
		Method: r.Method(), Path: []byte(r.Path()), Body: r.Body(), Ticket: string(r.Ticket()),
	}
}

func orderFrom(m *railv1.RunOrderRequest) rail.Request {
	return rail.NewRequest(rail.RequestID(m.GetId()), rail.TeamName(m.GetTeam()), rail.RouteName(m.GetRoute()), fromMillis(m.GetAcceptedUnixMillis())).
		WithPriority(int(m.GetPriority())).
		WithDeadline(fromMillis(m.GetDeadlineUnixMillis())).
		WithCall(m.GetMethod(), string(m.GetPath()), m.GetBody()).
		WithTicket(rail.Ticket(m.GetTicket()))
}

func outcomeMessage(o order.Outcome) *railv1.OrderOutcome {
	r := o.Reply()
	return &railv1.OrderOutcome{Kind: string(o.Kind()), Status: int32(r.Status()), ContentType: r.ContentType(), Body: r.Body()}
}

func outcomeFrom(m *railv1.OrderOutcome) order.Outcome {
	return order.NewOutcome(rail.Kind(m.GetKind()), rail.NewServiceReply(int(m.GetStatus()), m.GetContentType(), m.GetBody()))
}
