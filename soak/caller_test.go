package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one request of a caller, and its result.
type request struct {
	id, method, path, body, team, key string
	// attempt tells the attempts of a caller that sends an id again from each other.
	attempt    string
	tokens     int64
	eventCount int
	// parts are the parts of the prompt before its own; poisonous reports whether upstreams crash under one of them.
	parts     string
	poisonous bool
	// timeout is the time that the caller gives, deadline the time by which it has passed.
	timeout  time.Duration
	deadline time.Time

	sentAt, doneAt time.Time
	gateway        string
	answered       bool // An answer has come, whose status may be zero.
	status         int
	stamp          string
	received       int // Number of events, as long as they are in order.
	err            error
	leaving        bool // The answer said that its upstream leaves.
	steady         bool // It was sent whether earlier ones were answered or not.
}

// attemptID returns the id under which the attempt is recorded.
func (q *request) attemptID() string { return q.id + q.attempt }

func (q *request) service() string {
	if q.eventCount > 0 {
		return "models"
	}
	return "desk"
}

func (q *request) tokenCountHeader() string {
	if q.eventCount == 0 {
		return ""
	}
	return fmt.Sprintf("%d,%d", q.tokens-int64(q.eventCount), q.eventCount)
}

// atMostOnce reports whether the request must not run more than once.
func (q *request) atMostOnce() bool {
	return !strings.HasPrefix(q.path, "/lookup/") && !strings.HasPrefix(q.path, "/draft/")
}

// newRequest returns a random request; requests under /draft/ may be resumed, those under /chat/ may not.
func newRequest(r *rand.Rand, number int, team string) *request {
	id := fmt.Sprintf("q%d-%d", number, r.Int64())
	q := &request{id: id, method: http.MethodPost, body: id, team: team, key: "key-of-" + team, sentAt: time.Now()}
	timeout := 3 * time.Second
	switch kind := r.IntN(10); {
	case kind < 3:
		q.path, q.eventCount = "/draft/"+id, 5+r.IntN(20)
	case kind < 5:
		q.path, q.eventCount = "/chat/"+id, 5+r.IntN(20)
	case kind < 8:
		q.path, timeout = "/order/"+id, 1500*time.Millisecond
	default:
		q.path, q.method, q.body, timeout = "/lookup/"+id, http.MethodGet, "", 1500*time.Millisecond
	}
	q.tokens = 200
	if q.eventCount > 0 {
		q.tokens = int64(500 + r.IntN(3000))
	}
	q.timeout, q.deadline = timeout, q.sentAt.Add(timeout)
	return q
}

// send sends the request and reads the complete answer.
func (q *request) send(ctx context.Context, client *http.Client, address string) {
	defer func() { q.doneAt = time.Now() }()
	ctx, cancel := context.WithDeadline(ctx, q.deadline.Add(time.Second))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		q.err = err
		return
	}
	if q.body == "" {
		r.Body = http.NoBody
	}
	r.GetBody = nil // Keeps the client from retrying by itself.
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", q.id)
	if q.attempt != "" {
		r.Header.Set(attemptHeader, q.attempt)
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+q.key)
	r.Header.Set("X-Tenant", "somebody") // The gateway must replace it by the team of the key.
	if c := q.tokenCountHeader(); c != "" {
		r.Header.Set("X-Token-Count", c)
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%saa:%d", q.parts, q.tokens-int64(q.eventCount)))
	}
	resp, err := client.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	q.answered, q.status, q.stamp = true, resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	q.leaving = resp.Header.Get("Server-Leaving") != ""
	if q.status != http.StatusOK {
		_, q.err = io.Copy(io.Discard, resp.Body)
		return
	}
	if q.eventCount == 0 {
		b, err := io.ReadAll(resp.Body)
		if q.err = err; err == nil && string(b) != answerData(q.path, 0) {
			q.err = errWrongAnswer
		}
		return
	}
	q.err = q.readEvents(resp.Body)
}

var errWrongAnswer = fmt.Errorf("MIXED or ORDER: the answer is not what the upstreams sent")

func (q *request) readEvents(body io.Reader) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" && q.received == q.eventCount {
			return nil
		}
		if err == io.EOF {
			return errWrongAnswer // The body ended normally, but events are missing or there are too many.
		}
		if err != nil {
			return err
		}
		data, err := lines.ReadString('\n')
		if err != nil {
			continue // The next read returns the error.
		}
		if _, err = lines.ReadString('\n'); err != nil {
			continue
		}
		q.received++
		if line != fmt.Sprintf("id: %d\n", q.received) || data != "data: "+answerData(q.path, q.received)+"\n" {
			return errWrongAnswer
		}
	}
}
