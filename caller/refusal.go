package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
)

const (
	headerRun       = "X-Run"
	headerRequestID = echo.HeaderXRequestID
	headerTicket    = "X-Ticket"
	headerKey       = "Idempotency-Key"
)

// refusal is the body of every error response.
type refusal struct {
	Error refusalBody `json:"error"`
}

type refusalBody struct {
	Kind    rail.Kind      `json:"kind"`
	Message string         `json:"message"`
	Advice  string         `json:"advice"`
	Run     rail.Run       `json:"run"`
	Request rail.RequestID `json:"requestId,omitempty"`
}

func newRefusal(kind rail.Kind, message string, id rail.RequestID) refusal {
	r := kind.Reply()
	if message == "" {
		message = string(kind)
	}
	return refusal{Error: refusalBody{Kind: kind, Message: message, Advice: r.Advice(), Run: r.Run(), Request: id}}
}

// refuse writes the error response that rail.Kind.Reply defines for the kind.
func refuse(c echo.Context, id rail.RequestID, kind rail.Kind, message string) error {
	r := kind.Reply()
	h := c.Response().Header()
	h.Set(headerRun, string(r.Run()))
	if id != "" {
		h.Set(headerRequestID, string(id))
	}
	if r.RetryAfter() > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(int(r.RetryAfter()/time.Second)))
	}
	if err := c.JSON(r.Status(), newRefusal(kind, message, id)); err != nil {
		return fmt.Errorf("caller.refuse: %w", err)
	}
	return nil
}

// refuseError writes the error response for the error's kind.
func refuseError(c echo.Context, id rail.RequestID, err error) error {
	var message string
	if e, ok := err.(*rail.Error); ok { //nolint:errorlint // Only the outermost message is meant for callers.
		message = e.Message()
	}
	return refuse(c, id, rail.KindOf(err), message)
}

// handleError maps echo's own errors to error kinds.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	kind := rail.KindInternal
	var message string
	if e, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo returns its own errors unwrapped.
		kind, message = kindOfStatus(e.Code), fmt.Sprint(e.Message)
	}
	_ = refuse(c, "", kind, message)
}

func kindOfStatus(status int) rail.Kind {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return rail.KindTooLarge
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return rail.KindUnknownRoute
	case http.StatusBadRequest, http.StatusUnsupportedMediaType:
		return rail.KindBadRequest
	default:
		return rail.KindInternal
	}
}
