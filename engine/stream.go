package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// drainTimeout bounds the wait for the end of the body after the end event.
const drainTimeout = 20 * time.Millisecond

// errSilent is the cause of a context that was cancelled because no token arrived in time.
var errSilent = errors.New("no token within the timeout")

// Stream runs one attempt from the resume offset on and passes each chunk to take until the end.
func (c *Client) Stream(ctx context.Context, d rail.Dispatch, delivered string, take func(rail.Chunk) error) (rail.Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.settings.firstTokenTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	r, err := c.send(ctx, d.Upstream(), http.MethodPost, "/v1/stream", newStreamBody(d, delivered))
	if err != nil {
		return rail.Usage{}, silentError(ctx, err)
	}
	// Closing an unfinished stream closes its connection, so that the engine detects the disconnect.
	defer func() { _ = r.Body.Close() }()
	s := stream{take: take, progress: func() { timer.Reset(c.settings.interTokenTimeout) }}
	usage, err := s.read(r.Body, c.settings.maxLineBytes)
	if err != nil {
		return usage, silentError(ctx, err)
	}
	// The connection can be reused if the body ends right after the end event.
	timer.Reset(drainTimeout)
	c.drainAndClose(r)
	return usage, nil
}

// silentError returns upstreamSilent for an error caused by a token timeout; an error of a kind that means not run is returned unchanged.
func silentError(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errSilent) || rail.KindOf(err).Reply().Run() == rail.NotRun {
		return err
	}
	return rail.WrapError(errSilent, rail.KindUpstreamSilent, "stream")
}

func newStreamBody(d rail.Dispatch, delivered string) streamBody {
	r := d.Request()
	return streamBody{
		RequestID: r.ID(), Attempt: d.Attempt(), Model: d.Upstream().Serves(), Version: d.Upstream().Version(),
		Prompt: r.Prompt(), MaxTokens: r.MaxTokens(), Priority: r.Priority(),
		Resume: resumeBody{Offset: d.Resume(), Text: delivered},
	}
}

// stream parses the event stream of one attempt.
type stream struct {
	take     func(rail.Chunk) error
	progress func() // restarts the token timeout
	event    string // the event field of the current event
}

// read handles the lines up to the end event; a body that ends before it is a failure.
func (s *stream) read(body io.Reader, lineBytes int) (rail.Usage, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, min(lineBytes, 4<<10)), lineBytes)
	for scanner.Scan() {
		usage, ended, err := s.handleLine(scanner.Bytes())
		if ended || err != nil {
			return usage, err
		}
	}
	if err := scanner.Err(); err != nil {
		return rail.Usage{}, rail.WrapError(err, rail.KindUpstreamFailed, "reading the stream")
	}
	return rail.Usage{}, rail.NewError(rail.KindUpstreamFailed, "stream ended without its end event")
}

func (s *stream) handleLine(line []byte) (rail.Usage, bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case len(line) == 0:
		s.event = ""
	case string(name) == "event":
		s.event = string(value)
	case string(name) == "data" && s.event == "end":
		return decodeUsage(value)
	case string(name) == "data" && s.event == "":
		return rail.Usage{}, false, s.handleToken(value)
	}
	return rail.Usage{}, false, nil
}

func (s *stream) handleToken(data []byte) error {
	var b tokenBody
	if err := json.Unmarshal(data, &b); err != nil {
		return rail.WrapError(err, rail.KindUpstreamFailed, "decoding a token")
	}
	if b.Offset == nil {
		return rail.NewError(rail.KindUpstreamFailed, "token without offset")
	}
	// Only tokens restart the timeout: an engine may send comments without end and make no progress.
	s.progress()
	return s.take(rail.NewChunk(*b.Offset, b.Text))
}

func decodeUsage(data []byte) (rail.Usage, bool, error) {
	var b usageBody
	if err := json.Unmarshal(data, &b); err != nil {
		return rail.Usage{}, false, rail.WrapError(err, rail.KindUpstreamFailed, "decoding the end event")
	}
	return rail.NewUsage(b.Prompt, b.Recomputed, b.Generated), true, nil
}
