package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/runend"
)

// Sender performs attempts at upstreams.
type Sender interface {
	// Send performs one attempt and returns the answer with its body unread; the error's kind tells whether the call may have run.
	Send(ctx context.Context, e Send) (*Answer, error)
	// Probe starts to ask the upstream for a sign that it is reached, without blocking, and reports whether it gave one in time. One that
	// comes late is reported, too.
	Probe(e Probe, report func(ok bool))
	// Check starts to ask an engine for its report, without blocking, and reports the answer.
	Check(e CheckEngine, report func(runend.Check))
}

// Log writes log lines without blocking.
type Log interface {
	// Write writes the event with its fields.
	Write(number rail.EventNumber, fields ...Field)
}

// Metrics records a gateway's metrics.
type Metrics interface {
	// Attempt counts an attempt at an upstream.
	Attempt(route rail.RouteName)
	// StreamMoved counts a stream that goes on at another upstream, by the cause and by how the run at the upstream before was seen to end.
	StreamMoved(cause, ending string)
	// RequestDone counts a completed request and records its duration.
	RequestDone(route rail.RouteName, kind rail.Kind, took time.Duration)
	// FirstToken records a request's time to first token.
	FirstToken(route rail.RouteName, took time.Duration)
	// Routed counts requests, and bytes of requests, answers and cache copies, from one failure domain to another.
	Routed(from, to string, requests, bytes int64)
	// SpilloverShare shows the share of a service's requests that is sent to the failure domain.
	SpilloverShare(service, domain string, share float64)
	// SpilloverInputs shows the inputs of a service's shares in a failure domain: its capacity and its requests in flight, and the
	// predicted time to the first token.
	SpilloverInputs(service, domain string, capacity, running float64, wait time.Duration)
	// QueueLength records the number of requests for a service that wait in this gateway.
	QueueLength(service string, n int)
	// QueueLeft counts a request that left the queue for a service, or was not queued, for a reason, and records its wait.
	QueueLeft(service, reason string, priority int, waited time.Duration)
}

// Answer is an upstream's answer; the body must be closed.
type Answer struct {
	status int
	header http.Header
	body   io.ReadCloser
	length int64
	// endsWithConnection reports whether only the end of the connection marks the end of the body.
	endsWithConnection bool
	notice             Notice
	// placement is the id of the upstream whose answer a peer forwarded.
	placement  string
	connection ConnectionUse
}

// NewAnswer returns an answer with the headers to forward; length is that of the body, negative if unknown.
func NewAnswer(status int, header http.Header, length int64, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, length: length, body: body}
}

// WithConnectionEnd states that only the end of the connection marks the end of the body, and returns the answer.
func (a *Answer) WithConnectionEnd() *Answer {
	a.endsWithConnection = true
	return a
}

// WithNotice sets what the answer says of the upstream, and returns the answer.
func (a *Answer) WithNotice(n Notice) *Answer {
	a.notice = n
	return a
}

// WithConnection sets which connection carried the attempt, and returns the answer.
func (a *Answer) WithConnection(u ConnectionUse) *Answer {
	a.connection = u
	return a
}

// Gateway applies events to the reducer and runs its effects; it is safe for concurrent use.
type Gateway struct {
	mu     sync.Mutex
	state  *State
	aborts map[*Call]context.CancelCauseFunc
	// waiting holds where the calls that wait get their next effects.
	waiting map[*Call]chan Effect
	sender  Sender
	log     Log
	metrics Metrics
	memory  *Memory
	domain  string
}

// New returns a gateway with the reducer's state.
func New(state *State, sender Sender, log Log, metrics Metrics) *Gateway {
	return &Gateway{state: state, aborts: map[*Call]context.CancelCauseFunc{}, waiting: map[*Call]chan Effect{}, sender: sender, log: log, metrics: metrics, domain: state.settings.domain, memory: NewMemory(state.settings.messageMemory)}
}

// Memory returns the memory that the messages of all calls share.
func (g *Gateway) Memory() *Memory { return g.memory }

// Post applies the event and runs its effects. It returns the effect that the event's call must carry out, nil if there is none.
func (g *Gateway) Post(e Event) Effect {
	callEffect, others := g.reduce(e)
	for _, x := range others {
		switch x := x.(type) {
		case Report:
			g.log.Write(x.number, x.fields...)
		case QueueChanged:
			g.metrics.QueueLength(x.service, x.length)
			if x.reason != "" {
				g.metrics.QueueLeft(x.service, x.reason, x.priority, x.waited)
			}
		case Probe:
			g.sender.Probe(x, func(ok bool) { g.Post(NewProbeEnded(x.upstream.id, ok)) })
		case CheckEngine:
			g.sender.Check(x, func(c runend.Check) { g.Post(NewEngineChecked(x, c)) })
		case StreamMoved:
			g.metrics.StreamMoved(string(x.cause), string(x.ending))
		case SpilloverUpdated:
			x.record(g.metrics)
		}
	}
	return callEffect
}

// reduce applies the event, runs its aborts, passes the effects of calls that wait on to them, and returns the effect of the event's call
// and the others.
func (g *Gateway) reduce(e Event) (callEffect Effect, others []Effect) {
	g.mu.Lock()
	defer g.mu.Unlock() // Also after a panic, from which net/http recovers.
	own := eventCall(e)
	if _, ok := e.(CallerDisconnected); ok {
		delete(g.waiting, own)
	}
	for _, x := range g.state.Reduce(time.Now(), e) {
		switch x := x.(type) {
		case Send, Refuse, Deliver, Hold:
			if c := effectCall(x); c == own {
				callEffect = x
			} else if next, ok := g.waiting[c]; ok {
				delete(g.waiting, c)
				next <- x
			}
		case Abort:
			if abort, ok := g.aborts[x.call]; ok {
				abort(rail.NewError(x.kind, "attempt aborted"))
			}
		default:
			others = append(others, x)
		}
	}
	if hold, ok := callEffect.(Hold); ok {
		next := make(chan Effect, 1) // Gets one effect only, so that sending it never blocks.
		g.waiting[hold.call] = next
		callEffect = Hold{call: hold.call, next: next}
	}
	return callEffect, others
}

// eventCall returns the call whose next step the poster of the event carries out, nil if there is none.
func eventCall(e Event) *Call {
	switch e := e.(type) {
	case CallArrived:
		return e.call
	case AttemptEnded:
		return e.call
	case CallerDisconnected:
		return e.call
	}
	return nil
}

// effectCall returns the call that must carry out the effect.
func effectCall(x Effect) *Call {
	switch x := x.(type) {
	case Send:
		return x.call
	case Refuse:
		return x.call
	case Deliver:
		return x.call
	case Hold:
		return x.call
	}
	return nil
}

// View calls f with the state under the lock; f must not retain it.
func (g *Gateway) View(f func(*State)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.state)
}

// Digest returns the digest to send to peers.
func (g *Gateway) Digest() Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Digest(time.Now())
}

// Reply returns the digest to send in reply to the peer's.
func (g *Gateway) Reply(peer string) Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Reply(time.Now(), peer)
}

// UnstoredSuspects returns the records of suspects to write to the store, by key.
func (g *Gateway) UnstoredSuspects() (map[string][]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.UnstoredSuspects(time.Now())
}

// Ready reports whether the gateway can serve.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Ready()
}

// Limits returns the limits on callers' requests, false before the first configuration.
func (g *Gateway) Limits() (Limits, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.config == nil {
		return Limits{}, false
	}
	return g.state.config.limits, true
}

// setAbort registers the function that aborts the call's current attempt; nil removes it.
func (g *Gateway) setAbort(c *Call, abort context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if abort == nil {
		delete(g.aborts, c)
		return
	}
	g.aborts[c] = abort
}
