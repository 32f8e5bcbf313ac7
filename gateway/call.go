package gateway

import (
	"net/http"
	"strings"
	"time"
)

// Message is a request as it is forwarded to an upstream.
type Message struct {
	method, target, host string
	header               http.Header
	body                 []byte
}

// NewMessage returns a message; target is the path and query as the caller sent them.
func NewMessage(method, target, host string, header http.Header, body []byte) Message {
	return Message{method: method, target: target, host: host, header: header, body: body}
}

// Method returns the request's method.
func (m Message) Method() string { return m.method }

// Target returns the path and the query.
func (m Message) Target() string { return m.target }

// Host returns the host as the caller sent it.
func (m Message) Host() string { return m.host }

// Header returns the headers to forward; they must not be modified.
func (m Message) Header() http.Header { return m.header }

// Body returns the complete body.
func (m Message) Body() []byte { return m.body }

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	id     string
	tokens int64
}

// NewPromptPart returns a part with its id and its size in tokens.
func NewPromptPart(id string, tokens int64) PromptPart { return PromptPart{id: id, tokens: tokens} }

// shareableParts returns the parts of a prompt that other requests may have too: all but the last.
func shareableParts(parts []PromptPart) []PromptPart {
	return parts[:max(0, len(parts)-1)]
}

// sumTokens returns the tokens of the parts.
func sumTokens(parts []PromptPart) int64 {
	var n int64
	for _, p := range parts {
		n += p.tokens
	}
	return n
}

// partIDs returns the ids of the parts, separated by commas.
func partIDs(parts []PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.id
	}
	return strings.Join(ids, ",")
}

// Call is a caller's request.
type Call struct {
	id       string
	path     string
	key      string
	message  Message
	arrived  time.Time
	deadline time.Time
	sized    bool
	prompt   int64
	output   int64
	parts    []PromptPart
	resume   string
	// connectionAge is how long the caller's connection had been open when the call arrived.
	connectionAge time.Duration
	// requestKeyCache is the key of the request, empty until it is needed.
	requestKeyCache string
	// forwarded is set if a peer forwarded the call.
	forwarded *Forwarded
}

// NewCall returns a call with its arrival time and the deadline until which the caller waits.
func NewCall(id, path, key string, message Message, arrived, deadline time.Time) *Call {
	return &Call{id: id, path: path, key: key, message: message, arrived: arrived, deadline: deadline}
}

// WithTokens returns the call with the number of prompt tokens, the maximum number of output tokens and the parts of the prompt.
func (c *Call) WithTokens(prompt, output int64, parts []PromptPart) *Call {
	c.sized, c.prompt, c.output, c.parts = true, prompt, output, parts
	return c
}

// WithParts returns the call with the parts of its prompt, if the number of its tokens is not known.
func (c *Call) WithParts(parts []PromptPart) *Call {
	c.parts = parts
	return c
}

// WithResume returns the call as one that resumes a stream after the event with the id.
func (c *Call) WithResume(lastEvent string) *Call {
	c.resume = lastEvent
	return c
}

// WithConnectionAge returns the call with the time for which its caller's connection had been open when it arrived.
func (c *Call) WithConnectionAge(d time.Duration) *Call {
	c.connectionAge = d
	return c
}

// ID returns the id that the caller gave the request.
func (c *Call) ID() string { return c.id }

// Message returns the request to forward.
func (c *Call) Message() Message { return c.message }

// Deadline returns the time until which the caller waits.
func (c *Call) Deadline() time.Time { return c.deadline }
