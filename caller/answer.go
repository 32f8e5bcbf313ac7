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

// answer gives out an answer by its id, from the caller's last event on.
func (s *Server) answer(c echo.Context) error {
	team, err := s.team(c, s.documents.InForce())
	if err != nil {
		return refuseError(c, "", err)
	}
	id := rail.RequestID(c.Param("id"))
	from, err := lastEvent(c, id)
	if err != nil {
		return refuseError(c, id, err)
	}
	c.Response().Header().Set(headerRequestID, string(id))
	s.desk.Post(answer.NewAttached(id))
	reader := s.answers.Open(team.Name(), id)
	if !wantsStream(c) {
		ctx, cancel := context.WithTimeout(c.Request().Context(), s.patience)
		defer cancel()
		return s.writeWhole(ctx, c, reader, id, form{})
	}
	return s.stream(c, reader, id, from, form{}, measure{})
}

func wantsStream(c echo.Context) bool {
	h := c.Request().Header
	return h.Get("Last-Event-ID") != "" || strings.Contains(h.Get(echo.HeaderAccept), "text/event-stream")
}

// lastEvent returns the offset of the first token that the caller lacks.
func lastEvent(c echo.Context, id rail.RequestID) (int, error) {
	last := c.Request().Header.Get("Last-Event-ID")
	if last == "" {
		return 0, nil
	}
	answer, offset, ok := strings.Cut(last, ":")
	n, err := strconv.Atoi(offset)
	if !ok || err != nil || n < 0 || answer != string(id) {
		return 0, rail.NewError(rail.KindBadRequest, "Last-Event-ID is not an event of this answer")
	}
	return n, nil
}

// measure is what a stream is timed against; its zero value is not recorded.
type measure struct {
	route rail.RouteName
	start time.Time
}

// stream writes the answer as server-sent events while it comes in. The id of
// an event names the first token that a caller who has it still lacks.
func (s *Server) stream(c echo.Context, reader *answer.Reader, id rail.RequestID, from int, shape form, m measure) error {
	ctx := c.Request().Context()
	w := c.Response()
	next := from
	for {
		piece, err := reader.Next(ctx, next)
		if err != nil {
			return s.breakStream(c, id, err)
		}
		chunks := piece.Chunks()
		if next == 0 && len(chunks) > 0 && m.route != "" {
			s.recorder.FirstToken(m.route, time.Since(m.start))
		}
		if len(chunks) > 0 {
			startStream(w)
			if err := writeChunks(w, id, chunks, shape); err != nil {
				return s.breakStream(c, id, err)
			}
			next = chunks[len(chunks)-1].Offset() + 1
			s.recorder.Tokens(len(chunks))
		}
		if piece.Done() {
			if m.route != "" {
				s.recorder.RequestDone(m.route, piece.Kind(), time.Since(m.start))
			}
			return endStream(c, id, piece)
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

func writeChunks(w *echo.Response, id rail.RequestID, chunks []rail.Chunk, shape form) error {
	for _, k := range chunks {
		data, err := json.Marshal(shape.piece(id, k.Text()))
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

// endStream ends a stream whose answer is whole, or says why it is not.
func endStream(c echo.Context, id rail.RequestID, last answer.ReadResult) error {
	w, kind := c.Response(), last.Kind()
	if reply := last.Reply(); reply.Status() != 0 {
		return c.Blob(reply.Status(), reply.ContentType(), reply.Body())
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

// breakStream answers a read that failed; a started stream just breaks, and the caller resumes it.
func (s *Server) breakStream(c echo.Context, id rail.RequestID, err error) error {
	s.desk.Post(answer.NewDetached(id))
	if c.Response().Committed {
		return nil
	}
	return refuseError(c, id, err)
}
