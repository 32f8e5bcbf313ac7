package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"
)

const (
	defaultMaxTokens = 64
	maxMaxTokens     = 1 << 16
	// noOffset stands for no offset; no stream reaches it.
	noOffset = -1
)

// streamKey identifies one attempt of a request.
type streamKey struct {
	request string
	attempt int
}

// endReason is the way in which a stream ended.
type endReason int

const (
	endComplete endReason = iota
	endCancelled
	endFailed
)

// stream is one attempt that is running or waiting.
type stream struct {
	key          streamKey
	answer       standin.Answer
	prefixes     []uint64
	promptTokens int
	recomputed   int
	priority     int
	sequence     uint64
	failureScore float64
	start        int
	next         int
	end          int
	failAt       int
	silentAt     int
	due          time.Time
	index        int
	running      bool
	ended        bool
	endReason    endReason
	offsets      chan int
}

type resumeBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

type streamBody struct {
	RequestID string      `json:"requestId"`
	Attempt   int         `json:"attempt"`
	Model     string      `json:"model"`
	Version   string      `json:"version"`
	Prompt    string      `json:"prompt"`
	MaxTokens int         `json:"maxTokens"`
	Priority  int         `json:"priority"`
	Resume    *resumeBody `json:"resume"`
}

// validate returns the first error in the request, or an empty string.
func (b streamBody) validate() string {
	switch {
	case b.RequestID == "":
		return "requestId is required"
	case b.MaxTokens < 0 || b.MaxTokens > maxMaxTokens:
		return "maxTokens is out of range"
	case b.Resume != nil && b.Resume.Offset < 0:
		return "resume.offset is out of range"
	case b.Resume != nil && standin.NewAnswer(b.Model, b.Prompt).Text(0, min(b.Resume.Offset, maxMaxTokens)) != b.Resume.Text:
		return "resume.text is not the answer's text up to resume.offset"
	}
	return ""
}

func newStream(b streamBody) *stream {
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	input := b.Prompt
	start := 0
	if b.Resume != nil {
		input += " " + b.Resume.Text
		start = b.Resume.Offset
	}
	return &stream{
		key:          streamKey{request: b.RequestID, attempt: b.Attempt},
		answer:       standin.NewAnswer(b.Model, b.Prompt),
		prefixes:     standin.PrefixHashes(input),
		promptTokens: standin.CountTokens(input),
		priority:     b.Priority,
		failureScore: standin.HashFraction(b.RequestID + "/" + strconv.Itoa(b.Attempt)),
		start:        start,
		next:         start,
		end:          b.MaxTokens,
		failAt:       noOffset,
		silentAt:     noOffset,
		offsets:      make(chan int, streamBufferTokens),
	}
}

func (s *Server) postStream(c echo.Context) error {
	var b streamBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if reason := b.validate(); reason != "" {
		return c.JSON(http.StatusBadRequest, problem{Reason: reason})
	}
	if !s.serving.matches(b.Model, b.Version) {
		return c.JSON(http.StatusNotFound, problem{Reason: "another model or version"})
	}
	st := newStream(b)
	if reason, ok := s.batch.enqueue(st); !ok {
		return c.JSON(http.StatusServiceUnavailable, problem{Reason: reason})
	}
	defer s.batch.release(st)
	return s.send(c, st)
}

// send writes the tokens as they are generated; status and headers are sent with the first token or failure.
func (s *Server) send(c echo.Context, st *stream) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.Header().Set(echo.HeaderCacheControl, "no-cache")
	var events []byte
	for {
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case offset, ok := <-st.offsets:
			if !ok {
				return s.sendEnd(c, st)
			}
			events = appendToken(events[:0], st.answer, offset)
		}
		more := true
		for more {
			select {
			case offset, ok := <-st.offsets:
				if more = ok; ok {
					events = appendToken(events, st.answer, offset)
				}
			default:
				more = false
			}
		}
		if _, err := w.Write(events); err != nil {
			return err
		}
		w.Flush()
	}
}

// appendToken appends the event of one token; the texts of answers need no escaping in JSON.
func appendToken(events []byte, a standin.Answer, offset int) []byte {
	events = append(events, "id: "...)
	events = strconv.AppendInt(events, int64(offset), 10)
	events = append(events, "\ndata: {\"offset\":"...)
	events = strconv.AppendInt(events, int64(offset), 10)
	events = append(events, ",\"text\":\""...)
	events = append(events, a.Token(offset)...)
	return append(events, "\"}\n\n"...)
}

type endBody struct {
	PromptTokens     int `json:"promptTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	GeneratedTokens  int `json:"generatedTokens"`
}

// sendEnd writes the end event of a complete stream and nothing for a cancelled one. A failed stream gets
// status 500, or an aborted connection if the response has begun or the engine was killed.
func (s *Server) sendEnd(c echo.Context, st *stream) error {
	switch st.endReason {
	case endFailed:
		if !c.Response().Committed && !s.batch.currentControl().killed {
			c.Response().Header().Del(echo.HeaderContentType)
			return c.JSON(http.StatusInternalServerError, problem{Reason: "failed"})
		}
		panic(http.ErrAbortHandler)
	case endCancelled:
		return nil
	}
	data, err := json.Marshal(endBody{
		PromptTokens:     st.promptTokens,
		RecomputedTokens: st.recomputed,
		GeneratedTokens:  st.end - st.start,
	})
	if err != nil {
		return err
	}
	_, err = c.Response().Write([]byte("event: end\ndata: " + string(data) + "\n\n"))
	c.Response().Flush()
	return err
}

type cancelBody struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
}

func (s *Server) postCancel(c echo.Context) error {
	var b cancelBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	s.batch.cancel(streamKey{request: b.RequestID, attempt: b.Attempt})
	return c.NoContent(http.StatusNoContent)
}
