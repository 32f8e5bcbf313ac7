package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// ErrAborted tells that an answer was broken off after its head was sent; the connection must not look complete.
var ErrAborted = errors.New("Serve: the answer was broken off")

const (
	// answerReserve is how long after its deadline an upstream's own answer is waited for.
	answerReserve = 60 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole before it is handed on.
	maxAnswerBytes = 16 << 20
	// markInterval is the least time between two marks of one stream's progress.
	markInterval = 100 * time.Millisecond
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
	// statusOK and statusMultiple bound the statuses of success.
	statusOK       = 200
	statusMultiple = 300
)

// relay carries one call.
type relay struct {
	gateway *Gateway
	call    *Call
	writer  http.ResponseWriter
	events  events
	// begun says that the head of the answer was sent.
	begun bool
	// kept is an upstream's own failure, delivered if no other attempt follows.
	kept *wholeAnswer
	gone bool
	kind rail.Kind
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Serve answers the call; ctx ends when its caller leaves.
func (g *Gateway) Serve(ctx context.Context, c *Call, w http.ResponseWriter) error {
	r := &relay{gateway: g, call: c, writer: w}
	if c.resume != "" {
		r.events.resumeAfter(c.resume)
	}
	route := rail.RouteName("")
	err := r.run(ctx, &route)
	g.metrics.RequestDone(route, r.kind, time.Since(c.arrived))
	return err
}

func (r *relay) run(ctx context.Context, route *rail.RouteName) error {
	effect := r.gateway.Post(CallArrived{call: r.call})
	for {
		switch e := effect.(type) {
		case Send:
			*route = rail.RouteName(e.route.name)
			r.gateway.metrics.Attempt(*route)
			o := r.attempt(ctx, e)
			if ctx.Err() != nil || r.gone {
				r.gateway.Post(CallerDisconnected{call: r.call})
				r.kind = rail.KindCancelled
				return ErrAborted
			}
			effect = r.gateway.Post(AttemptEnded{call: r.call, outcome: o})
		case Refuse:
			r.kind = e.kind
			return r.refuse(e)
		case Deliver:
			r.kind = rail.KindUpstreamFailed
			return r.deliver(r.kept)
		default:
			return nil
		}
	}
}

// attempt sends the call once and hands on what comes.
func (r *relay) attempt(ctx context.Context, e Send) Outcome {
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline.Add(answerReserve), rail.NewError(rail.KindDeadlinePassed, "no answer before the deadline"))
	defer cancel()
	r.gateway.watch(r.call, abort)
	defer r.gateway.watch(r.call, nil)
	stop := func() bool { return true }
	if e.patience > 0 {
		stop = time.AfterFunc(e.patience, func() { abort(rail.NewError(rail.KindUpstreamSilent, "no answer after %v", e.patience)) }).Stop
	}
	defer stop()
	r.kept = nil
	answer, err := r.gateway.sender.Send(ctx, e)
	if err != nil {
		return r.outcome(ctx, err)
	}
	defer func() { _ = answer.body.Close() }() // Ends the attempt; there is nothing left to lose.
	if e.route.streaming && answer.status >= statusOK && answer.status < statusMultiple {
		return r.stream(ctx, e, answer, stop)
	}
	return r.whole(ctx, answer)
}

// outcome returns how an attempt failed, by its cause if it was broken off.
func (r *relay) outcome(ctx context.Context, err error) Outcome {
	kind := rail.KindOf(err)
	if cause := context.Cause(ctx); cause != nil && kind.Reply().Run() != rail.NotRun {
		kind = rail.KindOf(cause)
	}
	var timeout interface{ Timeout() bool }
	timedOut := kind == rail.KindUpstreamSilent || (errors.As(err, &timeout) && timeout.Timeout())
	return Outcome{kind: kind, err: err, events: r.events.count, last: r.events.last, timedOut: timedOut}
}

// whole reads a whole answer and hands it on, or keeps it if it is a failure.
func (r *relay) whole(ctx context.Context, a *Answer) Outcome {
	body, err := io.ReadAll(io.LimitReader(a.body, maxAnswerBytes))
	if err != nil {
		return r.outcome(ctx, rail.WrapError(err, rail.KindUpstreamFailed, "the answer broke off"))
	}
	if a.length >= 0 && int64(len(body)) != a.length {
		return r.outcome(ctx, rail.NewError(rail.KindUpstreamFailed, "the answer has %d of %d bytes", len(body), a.length))
	}
	w := &wholeAnswer{status: a.status, header: a.header, body: body}
	if a.status >= firstServerError {
		r.kept = w
		return Outcome{kind: rail.KindUpstreamFailed, answered: true, status: a.status, events: r.events.count, last: r.events.last}
	}
	if r.begun {
		return Outcome{kind: rail.KindUpstreamFailed, status: a.status, events: r.events.count, last: r.events.last}
	}
	_ = r.deliver(w) // A caller that left is seen by the context.
	return Outcome{status: a.status, answered: true}
}

// stream hands on the events as they come.
func (r *relay) stream(ctx context.Context, e Send, a *Answer, answered func() bool) Outcome {
	r.events.restart()
	buffer := make([]byte, readBytes)
	control := http.NewResponseController(r.writer)
	first, marked := true, time.Time{}
	for {
		n, err := a.body.Read(buffer)
		if n > 0 {
			whole, takeErr := r.events.take(buffer[:n])
			if takeErr != nil {
				return r.outcome(ctx, rail.WrapError(takeErr, rail.KindUpstreamFailed, "the stream is damaged"))
			}
			if len(whole) > 0 {
				if first {
					first = false
					answered()
					r.gateway.Post(AnswerStarted{call: r.call})
					r.gateway.metrics.FirstToken(rail.RouteName(e.route.name), time.Since(r.call.arrived))
					marked = time.Now()
				} else if now := time.Now(); now.Sub(marked) >= markInterval {
					marked = now
					r.gateway.Post(StreamProgressed{call: r.call})
				}
				r.head(a)
				if !r.write(control, whole) {
					return Outcome{kind: rail.KindCancelled}
				}
			}
		}
		if errors.Is(err, io.EOF) {
			if len(r.events.buffer) > 0 {
				return r.outcome(ctx, rail.NewError(rail.KindUpstreamFailed, "the stream ended within an event"))
			}
			r.head(a)
			return Outcome{status: a.status, answered: true, events: r.events.count, last: r.events.last}
		}
		if err != nil {
			return r.outcome(ctx, rail.WrapError(err, rail.KindUpstreamFailed, "the stream broke off"))
		}
	}
}

// write hands bytes to the caller at once and reports whether it takes them.
func (r *relay) write(control *http.ResponseController, data []byte) bool {
	if _, err := r.writer.Write(data); err != nil {
		r.gone = true
		return false
	}
	if err := control.Flush(); err != nil {
		r.gone = true
		return false
	}
	return true
}

// head sends the head of the answer once; a resumed stream keeps that of its first upstream.
func (r *relay) head(a *Answer) {
	if r.begun {
		return
	}
	r.begun = true
	copyHeader(r.writer.Header(), a.header)
	r.writer.WriteHeader(a.status)
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps the server from guessing one.
	}
}

// deliver hands a whole answer of an upstream to the caller.
func (r *relay) deliver(w *wholeAnswer) error {
	if r.begun || w == nil {
		return ErrAborted
	}
	r.begun = true
	copyHeader(r.writer.Header(), w.header)
	r.writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	r.writer.WriteHeader(w.status)
	if _, err := r.writer.Write(w.body); err != nil {
		return ErrAborted
	}
	return nil
}

// refuse answers the call by the table of error kinds.
func (r *relay) refuse(e Refuse) error {
	if r.begun {
		return ErrAborted
	}
	r.begun = true
	reply := e.kind.Reply()
	h := r.writer.Header()
	if e.retryAfter > 0 && reply.Run() == rail.NotRun {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(e.kind) + ": " + reply.Advice() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.writer.WriteHeader(reply.Status())
	if _, err := io.WriteString(r.writer, body); err != nil {
		return ErrAborted
	}
	return nil
}
