package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// CompletionRequest is a request for a streamed completion.
type CompletionRequest struct {
	token    string
	body     string
	wantText string
}

// NewCompletionRequest returns a request under the team's token; want is the text that the model must answer.
func NewCompletionRequest(token, model, prompt string, maxTokens int, want string) (CompletionRequest, error) {
	body, err := json.Marshal(completionBody{Model: model, Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	return CompletionRequest{token: token, body: string(body), wantText: want}, errors.Wrap(err, "encode the question")
}

// streamCall is one completion request in progress.
type streamCall struct {
	client      *Client
	request     CompletionRequest
	start       time.Time
	lastTokenAt time.Time
	text        strings.Builder
	lastID      string
	resent      bool
	result      Result
}

// Stream sends the request and resumes its stream until the answer is complete, the request is refused permanently, or the
// deadline has passed.
func (c *Client) Stream(ctx context.Context, q CompletionRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Deadline)
	defer cancel()
	a := &streamCall{client: c, request: q, start: time.Now()}
	for !a.try(ctx) {
	}
	a.result.total = time.Since(a.start)
	return a.result
}

// try sends the request, or resumes its answer, and reports whether the call is done.
func (a *streamCall) try(ctx context.Context) bool {
	w, stop, err := a.open(ctx)
	if err == nil {
		defer stop()
		defer func() { _ = w.Body.Close() }()
		if w.StatusCode != http.StatusOK {
			return a.handleRefusal(ctx, w)
		}
		if id := w.Header.Get(headerRequestID); id != "" {
			a.result.requestID = id
		}
		err = a.readEvents(w.Body)
	}
	if err == nil {
		a.compare()
		return true
	}
	a.result.detail = err.Error()
	if !waitBackoff(ctx, nil) {
		a.result.outcome = TimedOut
		return true
	}
	a.countRetry()
	return false
}

// countRetry counts a reconnect if the answer can be resumed, and a retry otherwise.
func (a *streamCall) countRetry() {
	if a.result.requestID != "" {
		a.result.reconnects++
		return
	}
	a.result.retries++
}

// open sends one request; a watchdog cancels the context of its response when the connection delivers no data within
// the timeout.
func (a *streamCall) open(ctx context.Context) (*http.Response, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(a.headerTimeout(), cancel)
	stop := func() {
		watchdog.Stop()
		cancel()
	}
	r, err := a.nextRequest(ctx)
	if err != nil {
		stop()
		return nil, nil, err
	}
	w, err := a.client.http.Do(r)
	if err != nil {
		stop()
		return nil, nil, errors.Wrap(err, "send")
	}
	watchdog.Reset(a.client.limits.IdleTimeout)
	w.Body = &watchedBody{ReadCloser: w.Body, watchdog: watchdog, timeout: a.client.limits.IdleTimeout}
	return w, stop, nil
}

// headerTimeout returns how long the caller waits for the status and headers of a response: the search timeout if the
// request resumes an answer, which the entry must first find.
func (a *streamCall) headerTimeout() time.Duration {
	if a.result.requestID != "" {
		return a.client.limits.SearchTimeout
	}
	return a.client.limits.IdleTimeout
}

// nextRequest returns the completion request, or the request for the rest of its answer.
func (a *streamCall) nextRequest(ctx context.Context) (*http.Request, error) {
	entry, token := a.client.nextEntry(), a.request.token
	if a.result.requestID == "" {
		return a.client.newRequest(ctx, http.MethodPost, entry, "/v1/completions", token, a.request.body)
	}
	r, err := a.client.newRequest(ctx, http.MethodGet, entry, "/v1/answers/"+url.PathEscape(a.result.requestID), token, "")
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerAccept, mediaTypeEventStream)
	if a.lastID != "" {
		r.Header.Set(headerLastEventID, a.lastID)
	}
	return r, nil
}

// handleRefusal processes a response that is not a stream and reports whether the call is done.
func (a *streamCall) handleRefusal(ctx context.Context, w *http.Response) bool {
	body, _ := io.ReadAll(io.LimitReader(w.Body, maxReplySize))
	a.result.detail = w.Status + " " + strings.TrimSpace(string(body))
	switch {
	case a.result.requestID != "" && w.StatusCode == http.StatusNotFound:
		a.restart()
	case retryable(w.StatusCode), w.StatusCode >= http.StatusInternalServerError:
		a.countRetry()
	case w.Header.Get(headerRun) == runNotRun:
		a.result.outcome = NotRun
		return true
	default:
		a.result.outcome = Failed
		return true
	}
	if !waitBackoff(ctx, w.Header) {
		a.result.outcome = TimedOut
		if w.Header.Get(headerRun) == runNotRun {
			a.result.outcome = NotRun
		}
		return true
	}
	return false
}

// restart makes the next attempt a new request: the entry has asked all other entries that it can reach, and none knows
// the answer.
func (a *streamCall) restart() {
	a.resent, a.result.requestID, a.lastID = true, "", ""
	a.text.Reset()
	a.result.retries++
}

// readEvents reads events until the answer is complete.
func (a *streamCall) readEvents(body io.Reader) error {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		switch {
		case e.data == doneData:
			return nil
		case e.name == "error":
			return errors.Errorf("error event: %s", e.data)
		}
		if e.id != "" {
			a.lastID = e.id
		}
		if text := e.text(); text != "" {
			a.text.WriteString(text)
			a.recordToken(time.Now())
		}
	}
}

// recordToken records the time of one token.
func (a *streamCall) recordToken(now time.Time) {
	a.result.tokens++
	if a.lastTokenAt.IsZero() {
		a.result.firstToken = now.Sub(a.start)
	} else {
		a.result.interTokenTimes = append(a.result.interTokenTimes, now.Sub(a.lastTokenAt))
	}
	a.lastTokenAt = now
}

// compare compares the assembled text with the expected one and sets the outcome.
func (a *streamCall) compare() {
	switch {
	case a.text.String() != a.request.wantText:
		a.result.outcome = Wrong
		a.result.detail = describeDifference(a.text.String(), a.request.wantText)
	case a.resent:
		a.result.outcome = Resent
	default:
		a.result.outcome = Complete
	}
}

// describeDifference states the first byte that differs.
func describeDifference(got, want string) string {
	n := 0
	for n < len(got) && n < len(want) && got[n] == want[n] {
		n++
	}
	return errors.Errorf("answer differs at byte %d: %d bytes of %d", n, len(got), len(want)).Error()
}

// watchedBody restarts the watchdog at each read.
type watchedBody struct {
	io.ReadCloser
	watchdog *time.Timer
	timeout  time.Duration
}

// Read implements io.Reader.
func (w *watchedBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	w.watchdog.Reset(w.timeout)
	return n, err
}
