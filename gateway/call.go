package gateway

import (
	"net/http"
	"time"
)

// Message is a request as it is passed on.
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

// Target returns path and query.
func (m Message) Target() string { return m.target }

// Host returns the host as the caller sent it.
func (m Message) Host() string { return m.host }

// Header returns the headers to pass on; they must not be changed.
func (m Message) Header() http.Header { return m.header }

// Body returns the whole body.
func (m Message) Body() []byte { return m.body }

// PromptPart is one part of a prompt that requests share.
type PromptPart struct {
	id     string
	tokens int64
}

// NewPromptPart returns the part of the id with its size in tokens.
func NewPromptPart(id string, tokens int64) PromptPart { return PromptPart{id: id, tokens: tokens} }

// Call is one request of a caller.
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
}

// NewCall returns a call that arrived now and that the caller waits for until the deadline.
func NewCall(id, path, key string, message Message, arrived, deadline time.Time) *Call {
	return &Call{id: id, path: path, key: key, message: message, arrived: arrived, deadline: deadline}
}

// WithTokens returns the call with the tokens of its prompt and of its answer at most.
func (c *Call) WithTokens(prompt, output int64, parts []PromptPart) *Call {
	c.sized, c.prompt, c.output, c.parts = true, prompt, output, parts
	return c
}

// WithResume returns the call as one that goes on after the event of the id.
func (c *Call) WithResume(lastEvent string) *Call {
	c.resume = lastEvent
	return c
}

// ID returns the caller's id of the request.
func (c *Call) ID() string { return c.id }

// Message returns what is passed on.
func (c *Call) Message() Message { return c.message }
