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

// CompletionRequest is a request for a streamed answer.
type CompletionRequest struct {
	token string
	body  string
	want  string
}

// NewCompletionRequest returns a question under the team's token; want is the answer that the model gives.
func NewCompletionRequest(token, model, prompt string, maxTokens int, want string) (CompletionRequest, error) {
	body, err := json.Marshal(completionBody{Model: model, Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	return CompletionRequest{token: token, body: string(body), want: want}, errors.Wrap(err, "encode the question")
}

// asking is one question on its way.
type asking struct {
	client   *Client
	question CompletionRequest
	start    time.Time
	last     time.Time
	text     strings.Builder
	lastID   string
	resent   bool
	result   Result
}

// Stream asks the question until it is answered whole, refused for good, or the deadline has passed.
func (c *Client) Stream(ctx context.Context, q CompletionRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Deadline)
	defer cancel()
	a := &asking{client: c, question: q, start: time.Now()}
	for !a.try(ctx) {
	}
	a.result.total = time.Since(a.start)
	return a.result
}

// try sends the question, or takes its answer up again, and reports whether the caller is done.
func (a *asking) try(ctx context.Context) bool {
	w, stop, err := a.open(ctx)
	if err == nil {
		defer stop()
		defer func() { _ = w.Body.Close() }()
		if w.StatusCode != http.StatusOK {
			return a.refused(ctx, w)
		}
		if id := w.Header.Get(headerRequest); id != "" {
			a.result.request = id
		}
		err = a.read(w.Body)
	}
	if err == nil {
		a.finish()
		return true
	}
	a.result.detail = err.Error()
	if !pause(ctx, nil) {
		a.result.seen = TimedOut
		return true
	}
	a.again()
	return false
}

// again counts a further try.
func (a *asking) again() {
	if a.result.request != "" {
		a.result.reconnects++
		return
	}
	a.result.retries++
}

// open sends one request; the context of its answer ends once the connection has been silent for too long.
func (a *asking) open(ctx context.Context) (*http.Response, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(a.patience(), cancel)
	stop := func() {
		watchdog.Stop()
		cancel()
	}
	r, err := a.next(ctx)
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
	w.Body = &watched{ReadCloser: w.Body, watchdog: watchdog, silence: a.client.limits.IdleTimeout}
	return w, stop, nil
}

// patience returns how long the caller waits for the head of an answer.
func (a *asking) patience() time.Duration {
	if a.result.request != "" {
		return a.client.limits.SearchTimeout
	}
	return a.client.limits.IdleTimeout
}

// next returns the question, or the request for the rest of its answer.
func (a *asking) next(ctx context.Context) (*http.Request, error) {
	entry, token := a.client.next(), a.question.token
	if a.result.request == "" {
		return a.client.request(ctx, http.MethodPost, entry, "/v1/completions", token, a.question.body)
	}
	r, err := a.client.request(ctx, http.MethodGet, entry, "/v1/answers/"+url.PathEscape(a.result.request), token, "")
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerAccept, mediaStream)
	if a.lastID != "" {
		r.Header.Set(headerLast, a.lastID)
	}
	return r, nil
}

// refused takes in an answer that is no stream and reports whether the caller is done.
func (a *asking) refused(ctx context.Context, w *http.Response) bool {
	body, _ := io.ReadAll(io.LimitReader(w.Body, maxReplySize))
	a.result.detail = w.Status + " " + strings.TrimSpace(string(body))
	switch {
	case a.result.request != "" && w.StatusCode == http.StatusNotFound:
		a.unknownAnswer()
	case worthRetry(w.StatusCode), w.StatusCode >= http.StatusInternalServerError:
		a.again()
	case w.Header.Get(headerRun) == runNotRun:
		a.result.seen = NotRun
		return true
	default:
		a.result.seen = Failed
		return true
	}
	if !pause(ctx, w.Header) {
		a.result.seen = TimedOut
		if w.Header.Get(headerRun) == runNotRun {
			a.result.seen = NotRun
		}
		return true
	}
	return false
}

// unknownAnswer sends the question anew: the entry has asked all others that it can reach.
func (a *asking) unknownAnswer() {
	a.resent, a.result.request, a.lastID = true, "", ""
	a.text.Reset()
	a.result.retries++
}

// read takes in events until the answer is whole.
func (a *asking) read(body io.Reader) error {
	events := newEvents(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		switch {
		case e.data == doneMark:
			return nil
		case e.name == "error":
			return errors.Errorf("error event: %s", e.data)
		}
		if e.id != "" {
			a.lastID = e.id
		}
		if text := e.text(); text != "" {
			a.text.WriteString(text)
			a.mark(time.Now())
		}
	}
}

// mark measures one token.
func (a *asking) mark(now time.Time) {
	a.result.tokens++
	if a.last.IsZero() {
		a.result.firstToken = now.Sub(a.start)
	} else {
		a.result.gaps = append(a.result.gaps, now.Sub(a.last))
	}
	a.last = now
}

// finish compares the joined answer with the model's.
func (a *asking) finish() {
	switch {
	case a.text.String() != a.question.want:
		a.result.seen = Wrong
		a.result.detail = difference(a.text.String(), a.question.want)
	case a.resent:
		a.result.seen = Resent
	default:
		a.result.seen = Complete
	}
}

// difference names the first byte that differs.
func difference(got, want string) string {
	n := 0
	for n < len(got) && n < len(want) && got[n] == want[n] {
		n++
	}
	return errors.Errorf("answer differs at byte %d: %d bytes of %d", n, len(got), len(want)).Error()
}

// watched restarts the watchdog at each read.
type watched struct {
	io.ReadCloser
	watchdog *time.Timer
	silence  time.Duration
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	w.watchdog.Reset(w.silence)
	return n, err
}
