package caller

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

// ticketReply is the response body of POST /v1/tickets.
type ticketReply struct {
	Ticket rail.Ticket `json:"ticket"`
}

// handleService forwards a request to a plain service.
func (s *Server) handleService(c echo.Context) error {
	document := s.documents.InForce()
	team, err := s.authenticate(c, document)
	if err != nil {
		return refuseError(c, "", err)
	}
	name := rail.RouteName(c.Param("route"))
	route, ok := document.Route(name)
	if !ok || route.Kind() != rail.RouteService {
		return refuse(c, "", rail.KindUnknownRoute, "no service route is named "+string(name))
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuseError(c, "", bodyError(err))
	}
	h := c.Request().Header
	request := s.newRequest(team, route).
		WithCall(c.Request().Method, servicePath(c), body).
		WithTicket(rail.Ticket(h.Get(headerTicket))).
		WithKey(rail.Key(h.Get(headerKey)))
	return s.replyService(c, request)
}

// servicePath returns the path below the route with the caller's escapes, and the query.
func servicePath(c echo.Context) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(c.Request().URL.EscapedPath(), "/s/"), "/")
	path = "/" + path
	if q := c.Request().URL.RawQuery; q != "" {
		path += "?" + q
	}
	return path
}

// replyService waits for the service's response and writes it.
func (s *Server) replyService(c echo.Context, request rail.Request) error {
	c.Response().Header().Set(headerRequestID, string(request.ID()))
	return s.await(c, request, func(_ context.Context, end rail.CallEffect) error {
		replied, ok := end.(interface{ Reply() rail.ServiceReply })
		if !ok {
			return refuse(c, request.ID(), rail.KindInternal, "")
		}
		return writeReply(c, request.ID(), replied.Reply())
	})
}

// writeReply writes the response of a service. A status that is none, which an entry of an older build may have accepted, is the
// failure of an upstream: net/http panics below 100.
func writeReply(c echo.Context, id rail.RequestID, reply rail.ServiceReply) error {
	if !rail.ValidStatus(reply.Status()) {
		return refuse(c, id, rail.KindUpstreamFailed, "the service answered with an invalid status")
	}
	return c.Blob(reply.Status(), reply.ContentType(), reply.Body())
}

// handleTicket issues a ticket, which permits one run of one order.
func (s *Server) handleTicket(c echo.Context) error {
	team, err := s.authenticate(c, s.documents.InForce())
	if err != nil {
		return refuseError(c, "", err)
	}
	id := s.newID()
	effect, err := s.mailbox.Ask(c.Request().Context(), id, order.NewTicketWanted(id, team.Name()))
	if err != nil {
		return refuseError(c, id, err)
	}
	if kind := kindOf(effect); kind != rail.KindNone {
		return refuse(c, id, kind, messageOf(effect))
	}
	issued, ok := effect.(interface{ Ticket() rail.Ticket })
	if !ok {
		return refuse(c, id, rail.KindInternal, "")
	}
	return c.JSON(http.StatusCreated, ticketReply{Ticket: issued.Ticket()})
}
