package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Sender sends attempts to upstreams.
type Sender interface {
	// Send sends the call once and returns the head of the answer; the kind of its error says whether the call may have run.
	Send(ctx context.Context, e Send) (*Answer, error)
}

// Log takes in log lines; it never blocks.
type Log interface {
	// Write writes the numbered event with its fields.
	Write(number rail.EventNumber, fields ...Field)
}

// Metrics counts what a gateway does.
type Metrics interface {
	// Attempt counts an attempt sent to an upstream.
	Attempt(route rail.RouteName)
	// RequestDone counts a request that ended and how long it took.
	RequestDone(route rail.RouteName, kind rail.Kind, took time.Duration)
	// FirstToken records the time to a request's first token.
	FirstToken(route rail.RouteName, took time.Duration)
}

// Answer is an upstream's answer; the body must be closed.
type Answer struct {
	status int
	header http.Header
	body   io.ReadCloser
	length int64
}

// NewAnswer returns an answer with the headers to hand on; length is that of the body, negative if it is not known.
func NewAnswer(status int, header http.Header, length int64, body io.ReadCloser) *Answer {
	return &Answer{status: status, header: header, length: length, body: body}
}

// Gateway runs the reducer; it is safe for concurrent use.
type Gateway struct {
	mu      sync.Mutex
	state   *State
	aborts  map[*Call]context.CancelCauseFunc
	sender  Sender
	log     Log
	metrics Metrics
}

// New returns a gateway around the state.
func New(state *State, sender Sender, log Log, metrics Metrics) *Gateway {
	return &Gateway{state: state, aborts: map[*Call]context.CancelCauseFunc{}, sender: sender, log: log, metrics: metrics}
}

// Post reduces the event and runs its effects; it returns the effect that is for a call, nil if there is none.
func (g *Gateway) Post(e Event) Effect {
	g.mu.Lock()
	effects := g.state.Reduce(time.Now(), e)
	var forCall Effect
	for _, x := range effects {
		switch x := x.(type) {
		case Send, Refuse, Deliver:
			forCall = x
		case Abort:
			if abort, ok := g.aborts[x.call]; ok {
				abort(rail.NewError(x.kind, "broken off"))
			}
		}
	}
	g.mu.Unlock()
	for _, x := range effects {
		if r, ok := x.(Report); ok {
			g.log.Write(r.number, r.fields...)
		}
	}
	return forCall
}

// View calls f with the state, which f must not keep.
func (g *Gateway) View(f func(*State)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.state)
}

// Digest returns what this gateway tells its peers.
func (g *Gateway) Digest() Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Digest(time.Now())
}

// Reply returns what this gateway tells a peer that asks.
func (g *Gateway) Reply(peer string) Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Reply(time.Now(), peer)
}

// Ready reports whether the gateway can serve.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Ready()
}

// Limits returns what callers may send; false before the first configuration.
func (g *Gateway) Limits() (Limits, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.catalogue == nil {
		return Limits{}, false
	}
	return g.state.catalogue.limits, true
}

// watch lets the reducer break off an attempt of the call.
func (g *Gateway) watch(c *Call, abort context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if abort == nil {
		delete(g.aborts, c)
		return
	}
	g.aborts[c] = abort
}
