package rail

import "time"

// Request is one caller's request as the entry accepted it.
type Request struct {
	id        RequestID
	team      TeamName
	route     RouteName
	priority  int
	at        time.Time
	deadline  time.Time
	method    string
	path      string
	body      []byte
	prompt    string
	maxTokens int
	ticket    Ticket
	key       Key
}

// NewRequest returns a request of the team on the route, accepted at that time.
func NewRequest(id RequestID, team TeamName, route RouteName, at time.Time) Request {
	return Request{id: id, team: team, route: route, at: at}
}

// WithPriority returns a copy with the priority of its team; larger values are served first.
func (r Request) WithPriority(p int) Request { r.priority = p; return r }

// WithDeadline returns a copy that must be answered by that time.
func (r Request) WithDeadline(t time.Time) Request { r.deadline = t; return r }

// WithPrompt returns a copy for a model, with the prompt and the maximum number of tokens in the answer.
func (r Request) WithPrompt(prompt string, maxTokens int) Request {
	r.prompt, r.maxTokens = prompt, maxTokens
	return r
}

// WithCall returns a copy for a service, with the HTTP method, the path below the route, and the body.
func (r Request) WithCall(method, path string, body []byte) Request {
	r.method, r.path, r.body = method, path, body
	return r
}

// WithTicket returns a copy that runs under the ticket.
func (r Request) WithTicket(t Ticket) Request { r.ticket = t; return r }

// WithKey returns a copy that runs under the caller's idempotency key.
func (r Request) WithKey(k Key) Request { r.key = k; return r }

// ID returns the request's id.
func (r Request) ID() RequestID { return r.id }

// Team returns the team that sent the request.
func (r Request) Team() TeamName { return r.team }

// Route returns the route.
func (r Request) Route() RouteName { return r.route }

// Priority returns the priority; larger values are served first.
func (r Request) Priority() int { return r.priority }

// At returns when the entry accepted the request.
func (r Request) At() time.Time { return r.at }

// Deadline returns the time by which it must be answered, zero for no limit.
func (r Request) Deadline() time.Time { return r.deadline }

// Method returns the HTTP method of a service call.
func (r Request) Method() string { return r.method }

// Path returns the path of a service call below its route.
func (r Request) Path() string { return r.path }

// Body returns the body of a service call; it must not be changed.
func (r Request) Body() []byte { return r.body }

// Prompt returns the text of a model request.
func (r Request) Prompt() string { return r.prompt }

// MaxTokens returns the maximum number of tokens in a model's answer.
func (r Request) MaxTokens() int { return r.maxTokens }

// Ticket returns the ticket, empty for none.
func (r Request) Ticket() Ticket { return r.ticket }

// Key returns the idempotency key, empty for none.
func (r Request) Key() Key { return r.key }
