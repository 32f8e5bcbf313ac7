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

// defaultMaxTokens bounds an answer whose request states no max_tokens.
const defaultMaxTokens = 256

// handleCompletion handles a model request; it streams the answer, sends it complete, or replies with its location.
func (s *Server) handleCompletion(c echo.Context) error {
	document := s.documents.InForce()
	team, err := s.authenticate(c, document)
	if err != nil {
		return refuseError(c, "", err)
	}
	body, err := readCompletion(c)
	if err != nil {
		return refuseError(c, "", err)
	}
	route, ok := document.RouteByModel(body.Model)
	if !ok {
		return refuse(c, "", rail.KindUnknownModel, "no route serves the model "+body.Model)
	}
	request := s.newRequest(team, route).WithPrompt(body.prompt(), body.MaxTokens)
	format := responseFormat{chat: strings.HasSuffix(c.Path(), "/chat/completions"), model: body.Model}
	c.Response().Header().Set(headerRequestID, string(request.ID()))
	s.store.Open(request.ID(), team.Name())
	switch {
	case body.Stream:
		if !s.mailbox.Post(rail.NewRequestArrived(request)) {
			return refuse(c, request.ID(), rail.KindOverloaded, "the entry's queue is full")
		}
		return s.stream(c, s.source.Open(team.Name(), request.ID()), request.ID(), 0, format, timing{route: route.Name(), start: request.At()})
	case wantsAsync(c):
		if !s.mailbox.Post(rail.NewRequestArrived(request)) {
			return refuse(c, request.ID(), rail.KindOverloaded, "the entry's queue is full")
		}
		return replyAccepted(c, request.ID())
	default:
		return s.replyComplete(c, request, format)
	}
}

func readCompletion(c echo.Context) (completionRequest, error) {
	var request completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return request, bodyError(err)
	}
	if request.Model == "" || request.prompt() == "" {
		return request, rail.NewError(rail.KindBadRequest, "state model, and prompt or messages")
	}
	if request.MaxTokens < 0 {
		return request, rail.NewError(rail.KindBadRequest, "state max_tokens above zero")
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return request, nil
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

// wantsAsync reports whether the caller asks for status 202 and the answer's location at once.
func wantsAsync(c echo.Context) bool {
	return strings.Contains(c.Request().Header.Get("Prefer"), "respond-async")
}

// replyAccepted replies with status 202 and the answer's location.
func replyAccepted(c echo.Context, id rail.RequestID) error {
	c.Response().Header().Set(echo.HeaderLocation, "/v1/answers/"+string(id))
	return c.NoContent(http.StatusAccepted)
}

// replyComplete waits for the end of the answer and writes it as one body.
func (s *Server) replyComplete(c echo.Context, request rail.Request, format responseFormat) error {
	return s.await(c, request, func(ctx context.Context, _ rail.CallEffect) error {
		return s.writeComplete(ctx, c, s.source.Open(request.Team(), request.ID()), request.ID(), format)
	})
}

// await waits for the end of a request and, if it succeeded, calls write to send the answer.
func (s *Server) await(c echo.Context, request rail.Request, write func(ctx context.Context, end rail.CallEffect) error) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), s.maxWait)
	defer cancel()
	end, err := s.mailbox.Ask(ctx, request.ID(), rail.NewRequestArrived(request))
	if err != nil {
		return refuseError(c, request.ID(), err)
	}
	if _, ok := end.(answer.Moved); ok {
		return replyAccepted(c, request.ID())
	}
	kind := kindOf(end)
	s.recorder.RequestDone(request.Route(), kind, time.Since(request.At()))
	if kind != rail.KindNone {
		return refuse(c, request.ID(), kind, messageOf(end))
	}
	return write(ctx, end)
}

// writeComplete writes an answer that has ended.
func (s *Server) writeComplete(ctx context.Context, c echo.Context, reader *answer.Reader, id rail.RequestID, format responseFormat) error {
	var text strings.Builder
	next := 0
	for {
		result, err := reader.Next(ctx, next)
		if err != nil {
			return refuseError(c, id, err)
		}
		for _, k := range result.Chunks() {
			text.WriteString(k.Text())
		}
		next += len(result.Chunks())
		if result.Done() {
			s.recorder.Tokens(next)
			return writeResult(c, id, result, format, text.String())
		}
	}
}

// writeResult writes the answer of a model or a service, or its error.
func writeResult(c echo.Context, id rail.RequestID, last answer.ReadResult, format responseFormat, text string) error {
	if last.Kind() != rail.KindNone {
		return refuse(c, id, last.Kind(), "")
	}
	if reply := last.Reply(); reply.Status() != 0 {
		return writeReply(c, id, reply)
	}
	return c.JSON(http.StatusOK, format.complete(id, text))
}

// kindOf returns the error kind of an effect that refuses or ends a request.
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
