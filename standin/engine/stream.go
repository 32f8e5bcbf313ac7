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
	// never is an offset that no stream reaches.
	never = -1
)

// streamKey names one attempt of a request.
type streamKey struct {
	request string
	attempt int
}

// ending says how a stream ended.
type ending int

const (
	endWhole ending = iota
	endCancelled
	endFailed
)

// stream is one attempt in the batch or waiting for it.
type stream struct {
	key          streamKey
	answer       standin.Answer
	prefixes     []uint64
	promptTokens int
	recomputed   int
	priority     int
	sequence     uint64
	lot          float64
	start        int
	next         int
	end          int
	failAt       int
	silentAt     int
	due          time.Time
	index        int
	running      bool
	ended        bool
	ending       ending
	out          chan int
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

// fault returns what is wrong with the request, empty for nothing.
func (b streamBody) fault() string {
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
	context := b.Prompt
	start := 0
	if b.Resume != nil {
		context += " " + b.Resume.Text
		start = b.Resume.Offset
	}
	return &stream{
		key:          streamKey{request: b.RequestID, attempt: b.Attempt},
		answer:       standin.NewAnswer(b.Model, b.Prompt),
		prefixes:     standin.PrefixHashes(context),
		promptTokens: standin.CountTokens(context),
		priority:     b.Priority,
		lot:          standin.HashFraction(b.RequestID + "/" + strconv.Itoa(b.Attempt)),
		start:        start,
		next:         start,
		end:          b.MaxTokens,
		failAt:       never,
		silentAt:     never,
		out:          make(chan int, outBuffer),
	}
}

func (s *Server) postStream(c echo.Context) error {
	var b streamBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if f := b.fault(); f != "" {
		return c.JSON(http.StatusBadRequest, problem{Reason: f})
	}
	if !s.serving.is(b.Model, b.Version) {
		return c.JSON(http.StatusNotFound, problem{Reason: "another model or version"})
	}
	t := newStream(b)
	if reason, ok := s.batch.enter(t); !ok {
		return c.JSON(http.StatusServiceUnavailable, problem{Reason: reason})
	}
	defer s.batch.leave(t)
	return s.send(c, t)
}

// send writes the tokens as they come; the answer's head waits for the first token or failure.
func (s *Server) send(c echo.Context, t *stream) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.Header().Set(echo.HeaderCacheControl, "no-cache")
	var line []byte
	for {
		select {
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		case n, ok := <-t.out:
			if !ok {
				return s.sendEnd(c, t)
			}
			line = appendToken(line[:0], t.answer, n)
		}
		more := true
		for more {
			select {
			case n, ok := <-t.out:
				if more = ok; ok {
					line = appendToken(line, t.answer, n)
				}
			default:
				more = false
			}
		}
		if _, err := w.Write(line); err != nil {
			return err
		}
		w.Flush()
	}
}

// appendToken adds one event; the words of answers need no escape in JSON.
func appendToken(line []byte, a standin.Answer, offset int) []byte {
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(offset), 10)
	line = append(line, "\ndata: {\"offset\":"...)
	line = strconv.AppendInt(line, int64(offset), 10)
	line = append(line, ",\"text\":\""...)
	line = append(line, a.Token(offset)...)
	return append(line, "\"}\n\n"...)
}

type endBody struct {
	PromptTokens     int `json:"promptTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	GeneratedTokens  int `json:"generatedTokens"`
}

// sendEnd ends a whole stream by its end event, a cancelled one without, and breaks the connection of a failed one.
func (s *Server) sendEnd(c echo.Context, t *stream) error {
	switch t.ending {
	case endFailed:
		if !c.Response().Committed && !s.batch.controlNow().dead {
			c.Response().Header().Del(echo.HeaderContentType)
			return c.JSON(http.StatusInternalServerError, problem{Reason: "failed"})
		}
		panic(http.ErrAbortHandler)
	case endCancelled:
		return nil
	}
	data, err := json.Marshal(endBody{
		PromptTokens:     t.promptTokens,
		RecomputedTokens: t.recomputed,
		GeneratedTokens:  t.end - t.start,
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
