package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// defaultMaxTokens bounds an answer whose request states no bound.
const defaultMaxTokens = 256

// complete answers a model request: streamed, whole, or later.
func (s *Server) complete(c echo.Context) error {
	document := s.documents.InForce()
	team, err := s.team(c, document)
	if err != nil {
		return refuseError(c, "", err)
	}
	asked, err := readCompletion(c)
	if err != nil {
		return refuseError(c, "", err)
	}
	route, ok := document.RouteByModel(asked.Model)
	if !ok {
		return refuse(c, "", rail.KindUnknownModel, "no route serves the model "+asked.Model)
	}
	request := s.newRequest(team, route).WithPrompt(asked.prompt(), asked.MaxTokens)
	shape := form{chat: strings.HasSuffix(c.Path(), "/chat/completions"), model: asked.Model}
	c.Response().Header().Set(headerRequestID, string(request.ID()))
	s.room.Open(request.ID(), team.Name())
	switch {
	case asked.Stream:
		if !s.desk.Post(rail.NewRequestArrived(request)) {
			return refuse(c, request.ID(), rail.KindOverloaded, "the entry's queue is full")
		}
		return s.stream(c, s.answers.Open(team.Name(), request.ID()), request.ID(), 0, shape, measure{route: route.Name(), start: request.At()})
	case wantsLater(c):
		if !s.desk.Post(rail.NewRequestArrived(request)) {
			return refuse(c, request.ID(), rail.KindOverloaded, "the entry's queue is full")
		}
		return later(c, request.ID())
	default:
		return s.whole(c, request, shape)
	}
}

func readCompletion(c echo.Context) (completionRequest, error) {
	var asked completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&asked); err != nil {
		return asked, bodyError(err)
	}
	if asked.Model == "" || asked.prompt() == "" {
		return asked, rail.NewError(rail.KindBadRequest, "state model, and prompt or messages")
	}
	if asked.MaxTokens < 0 {
		return asked, rail.NewError(rail.KindBadRequest, "state max_tokens above zero")
	}
	if asked.MaxTokens == 0 {
		asked.MaxTokens = defaultMaxTokens
	}
	return asked, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rail.WrapError(err, rail.KindTooLarge, "the body is over the limit of this entry")
	}
	if errors.Is(err, io.EOF) {
		return rail.NewError(rail.KindBadRequest, "the body is empty")
	}
	return rail.NewError(rail.KindBadRequest, "the body is not the JSON expected: %v", err)
}

// wantsLater reports whether the caller asks for 202 and a location.
func wantsLater(c echo.Context) bool {
	return strings.Contains(c.Request().Header.Get("Prefer"), "respond-async")
}

// later answers that the result will be found at its location.
func later(c echo.Context, id rail.RequestID) error {
	c.Response().Header().Set(echo.HeaderLocation, "/v1/answers/"+string(id))
	return c.NoContent(http.StatusAccepted)
}

// whole waits for the end of the answer and writes it in one piece.
func (s *Server) whole(c echo.Context, request rail.Request, shape form) error {
	return s.await(c, request, func(ctx context.Context, _ rail.CallEffect) error {
		return s.writeWhole(ctx, c, s.answers.Open(request.Team(), request.ID()), request.ID(), shape)
	})
}

// await waits for the end of a request and lets write write a whole answer.
func (s *Server) await(c echo.Context, request rail.Request, write func(ctx context.Context, end rail.CallEffect) error) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.patience)
	defer cancel()
	end, err := s.desk.Ask(ctx, request.ID(), rail.NewRequestArrived(request))
	if err != nil {
		return refuseError(c, request.ID(), err)
	}
	if _, ok := end.(answer.Moved); ok {
		return later(c, request.ID())
	}
	kind := kindOf(end)
	s.recorder.RequestDone(request.Route(), kind, time.Since(request.At()))
	if kind != rail.KindNone {
		return refuse(c, request.ID(), kind, messageOf(end))
	}
	return write(ctx, end)
}

// writeWhole writes an answer that has ended.
func (s *Server) writeWhole(ctx context.Context, c echo.Context, reader *answer.Reader, id rail.RequestID, shape form) error {
	var text strings.Builder
	next := 0
	for {
		piece, err := reader.Next(ctx, next)
		if err != nil {
			return refuseError(c, id, err)
		}
		for _, k := range piece.Chunks() {
			text.WriteString(k.Text())
		}
		next += len(piece.Chunks())
		if piece.Done() {
			s.recorder.Tokens(next)
			return writeEnd(c, id, piece, shape, text.String())
		}
	}
}

// writeEnd writes the answer of a model or a service, or why there is none.
func writeEnd(c echo.Context, id rail.RequestID, last answer.ReadResult, shape form, text string) error {
	if last.Kind() != rail.KindNone {
		return refuse(c, id, last.Kind(), "")
	}
	if reply := last.Reply(); reply.Status() != 0 {
		return c.Blob(reply.Status(), reply.ContentType(), reply.Body())
	}
	return c.JSON(http.StatusOK, shape.whole(id, text))
}

// kindOf returns the kind of an effect that refuses or ends a request.
func kindOf(e rail.CallEffect) rail.Kind {
	if k, ok := e.(interface{ Kind() rail.Kind }); ok {
		return k.Kind()
	}
	return rail.KindNone
}

// messageOf returns the message of an effect that refuses a request.
func messageOf(e rail.CallEffect) string {
	if m, ok := e.(interface{ Message() string }); ok {
		return m.Message()
	}
	return ""
}
