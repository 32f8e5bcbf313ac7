package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/order"
	"dandelionrail.org/rail/peer"
)

// orderMailbox passes each event to the reducer at once and completes each order that may run with status 201.
type orderMailbox struct{ reducer *order.Reducer }

func (m orderMailbox) Post(rail.Event) bool { return true }

func (m orderMailbox) Ask(_ context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	events := []rail.Event{e}
	for len(events) > 0 {
		e, events = events[0], events[1:]
		for _, effect := range m.reducer.Reduce(rail.NewInput(e, time.UnixMilli(1), 0)) {
			switch a := effect.(type) {
			case order.Proceed:
				events = append(events, order.NewEnded(a.Request().ID(), rail.KindNone, rail.NewServiceReply(201, "text/plain", a.Request().Body())))
			case rail.CallEffect:
				if a.Call() == id {
					return a, nil
				}
			}
		}
	}
	return nil, rail.NewError(rail.KindCancelled, "no answer")
}

// forwardOf returns the effect by which an entry that does not hold the ticket forwards its order.
func forwardOf(ticket rail.Ticket, team rail.TeamName) order.Forward {
	r := rail.NewRequest("r1", team, "engraving", time.UnixMilli(1)).WithCall("POST", "/tins", []byte("brass")).WithTicket(ticket)
	reducer := order.New(order.Defaults(), "old-mill", "c3")
	for _, effect := range reducer.Reduce(rail.NewInput(order.NewSubmitted(r), time.UnixMilli(1), 0)) {
		if f, ok := effect.(order.Forward); ok {
			return f
		}
	}
	return order.Forward{}
}

// sealedHandover returns the handover of a sealed entry with one open ticket and one whose order has ended.
func sealedHandover() order.HandOver {
	reducer := order.New(order.Defaults(), "old-mill", "b2")
	r := rail.NewRequest("r1", "counter", "engraving", time.UnixMilli(1)).WithCall("POST", "/tins", []byte("brass")).WithTicket("old-mill-b2-2")
	var handover order.HandOver
	for _, event := range []rail.Event{
		order.NewTicketWanted("t1", "counter"), order.NewTicketWanted("t2", "counter"), order.NewSubmitted(r),
		order.NewEnded("r1", rail.KindUpstreamSilent, rail.ServiceReply{}), order.NewSealed("a1"),
	} {
		for _, effect := range reducer.Reduce(rail.NewInput(event, time.UnixMilli(1), 0)) {
			if h, ok := effect.(order.HandOver); ok {
				handover = h
			}
		}
	}
	return handover
}

func serveOrders(t *testing.T, mailbox orderMailbox, loseResponses bool) (rail.Instance, *peer.OrderClient) {
	path, handler := railv1connect.NewOrderServiceHandler(peer.NewOrderServer(mailbox, "a1"), peer.OrderOptions())
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if loseResponses {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	instance := rail.NewInstance("e1", "works-hall", rail.RoleEntry, "").WithIncarnation("a1").WithPeerAddress(strings.TrimPrefix(server.URL, "http://"))
	return instance, peer.NewOrderClient(server.Client(), "http")
}

func TestForwardedOrder(t *testing.T) {
	is := is.New(t)
	mailbox := orderMailbox{reducer: order.New(order.Defaults(), "works-hall", "a1")}
	issued, err := mailbox.Ask(t.Context(), "t1", order.NewTicketWanted("t1", "counter"))
	is.NoErr(err)
	ticket := issued.(order.TicketIssued).Ticket()
	holder, client := serveOrders(t, mailbox, false)
	for range 2 {
		reply, err := client.Run(t.Context(), holder, forwardOf(ticket, "counter"))
		is.NoErr(err)
		is.Equal(reply, rail.NewServiceReply(201, "text/plain", []byte("brass")))
	}
	_, err = client.Run(t.Context(), holder, forwardOf(ticket, "office"))
	is.Equal(rail.KindOf(err), rail.KindForeignTicket)
	_, err = client.Run(t.Context(), holder.WithIncarnation("b2"), forwardOf(ticket, "counter"))
	is.Equal(rail.KindOf(err), rail.KindIssuerGone)
	_, err = client.Run(t.Context(), holder.WithPeerAddress("127.0.0.1:1"), forwardOf(ticket, "counter"))
	is.Equal(rail.KindOf(err), rail.KindIssuerUnreachable)
}

func TestHandedOverTickets(t *testing.T) {
	handover := sealedHandover()
	tests := []struct {
		name         string
		sealed       bool
		loseResponse bool
		to           rail.Incarnation
		kind         rail.Kind
	}{
		{"accepted", false, false, "a1", rail.KindNone},
		{"successor sealed too", true, false, "a1", rail.KindLeaving},
		{"response lost", false, true, "a1", rail.KindIssuerUnreachable},
		{"another incarnation", false, false, "a0", rail.KindIssuerUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			mailbox := orderMailbox{reducer: order.New(order.Defaults(), "works-hall", "a1")}
			if test.sealed {
				mailbox.reducer.Reduce(rail.NewInput(order.NewSealed("c3"), time.UnixMilli(1), 0))
			}
			successor, client := serveOrders(t, mailbox, test.loseResponse)
			err := client.HandOver(t.Context(), successor.WithIncarnation(test.to), "b2", handover)
			is.Equal(rail.KindOf(err), test.kind)
			if test.kind != rail.KindNone {
				return
			}
			_, err = client.Run(t.Context(), successor, forwardOf("old-mill-b2-1", "counter"))
			is.NoErr(err)
			_, err = client.Run(t.Context(), successor, forwardOf("old-mill-b2-2", "counter"))
			is.Equal(rail.KindOf(err), rail.KindUpstreamSilent)
		})
	}
}
