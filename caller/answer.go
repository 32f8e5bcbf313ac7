package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// handleAnswer sends an answer by its id; a stream resumes after the caller's last event.
func (s *Server) handleAnswer(c echo.Context) error {
	team, err := s.authenticate(c, s.documents.InForce())
	if err != nil {
		return refuseError(c, "", err)
	}
	id := rail.RequestID(c.Param("id"))
	first, err := firstMissingOffset(c, id)
	if err != nil {
		return refuseError(c, id, err)
	}
	c.Response().Header().Set(headerRequestID, string(id))
	s.mailbox.Post(answer.NewAttached(id))
	reader := s.source.Open(team.Name(), id)
	if !wantsStream(c) {
		ctx, cancel := context.WithTimeout(c.Request().Context(), s.maxWait)
		defer cancel()
		return s.writeComplete(ctx, c, reader, id, responseFormat{})
	}
	return s.stream(c, reader, id, first, responseFormat{}, timing{})
}

func wantsStream(c echo.Context) bool {
	h := c.Request().Header
	return h.Get("Last-Event-ID") != "" || strings.Contains(h.Get(echo.HeaderAccept), "text/event-stream")
}

// firstMissingOffset returns the offset of the first token that the caller lacks.
func firstMissingOffset(c echo.Context, id rail.RequestID) (int, error) {
	last := c.Request().Header.Get("Last-Event-ID")
	if last == "" {
		return 0, nil
	}
	eventAnswer, offset, ok := strings.Cut(last, ":")
	n, err := strconv.Atoi(offset)
	if !ok || err != nil || n < 0 || eventAnswer != string(id) {
		return 0, rail.NewError(rail.KindBadRequest, "Last-Event-ID is not an event of this answer")
	}
	return n, nil
}

// timing is the route and the start time for the latency metrics of a stream; with the zero value none are recorded.
type timing struct {
	route rail.RouteName
	start time.Time
}

// stream writes the answer as server-sent events as its tokens arrive. The id of
// an event contains the offset of the token that follows it, at which a caller
// that has the event resumes.
func (s *Server) stream(c echo.Context, reader *answer.Reader, id rail.RequestID, first int, format responseFormat, t timing) error {
	ctx := c.Request().Context()
	w := c.Response()
	next := first
	for {
		result, err := reader.Next(ctx, next)
		if err != nil {
			return s.abortStream(c, id, err)
		}
		chunks := result.Chunks()
		if next == 0 && len(chunks) > 0 && t.route != "" {
			s.recorder.FirstToken(t.route, time.Since(t.start))
		}
		if len(chunks) > 0 {
			startStream(w)
			if err := writeChunks(w, id, chunks, format); err != nil {
				return s.abortStream(c, id, err)
			}
			next = chunks[len(chunks)-1].Offset() + 1
			s.recorder.Tokens(len(chunks))
		}
		if result.Done() {
			if t.route != "" {
				s.recorder.RequestDone(t.route, result.Kind(), time.Since(t.start))
			}
			return endStream(c, id, result)
		}
	}
}

func startStream(w *echo.Response) {
	if w.Committed {
		return
	}
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.Header().Set(echo.HeaderCacheControl, "no-cache")
	w.WriteHeader(http.StatusOK)
}

func writeChunks(w *echo.Response, id rail.RequestID, chunks []rail.Chunk, format responseFormat) error {
	for _, k := range chunks {
		data, err := json.Marshal(format.chunk(id, k.Text()))
		if err != nil {
			return errors.Wrap(err, "caller.writeChunks")
		}
		if _, err := fmt.Fprintf(w, "id: %s:%d\ndata: %s\n\n", id, k.Offset()+1, data); err != nil {
			return errors.Wrap(err, "caller.writeChunks")
		}
	}
	w.Flush()
	return nil
}

// endStream ends a stream with the end marker if the answer is complete, and with its error otherwise.
func endStream(c echo.Context, id rail.RequestID, last answer.ReadResult) error {
	w, kind := c.Response(), last.Kind()
	if reply := last.Reply(); reply.Status() != 0 {
		return writeReply(c, id, reply)
	}
	if kind != rail.KindNone && !w.Committed {
		return refuse(c, id, kind, "")
	}
	startStream(w)
	if kind == rail.KindNone {
		_, err := fmt.Fprint(w, "data: [DONE]\n\n")
		w.Flush()
		return errors.Wrap(err, "caller.endStream")
	}
	data, err := json.Marshal(newRefusal(kind, "", id))
	if err != nil {
		return errors.Wrap(err, "caller.endStream")
	}
	_, err = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
	w.Flush()
	return errors.Wrap(err, "caller.endStream")
}

// abortStream handles a failed read: it sends the error if the stream has not
// started. A started stream ends without an end marker, and the caller resumes it.
func (s *Server) abortStream(c echo.Context, id rail.RequestID, err error) error {
	s.mailbox.Post(answer.NewDetached(id))
	if c.Response().Committed {
		return nil
	}
	return refuseError(c, id, err)
}
