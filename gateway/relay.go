package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// ErrAborted reports that an answer was aborted, possibly after its headers were sent; the connection must not end as if it were complete.
var ErrAborted = errors.New("Serve: answer aborted before its end")

const (
	// answerGrace is the time after a call's deadline in which an upstream's own answer is still accepted.
	answerGrace = 60 * time.Millisecond
	// maxBufferedBytes is the size from which on an answer is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	// progressInterval is the minimum time between two StreamProgressed events of a stream.
	progressInterval = 100 * time.Millisecond
	// maxGaps bounds the gaps in a StreamProgressed event.
	maxGaps = 32
	// readBufferBytes is the size of the buffer for reading a stream.
	readBufferBytes = 8 << 10
	// statusOK and statusMultipleChoices bound the range of successful HTTP statuses.
	statusOK              = 200
	statusMultipleChoices = 300
)

// relay runs the attempts of one call and forwards the answer to the caller.
type relay struct {
	gateway *Gateway
	call    *Call
	route   rail.RouteName
	writer  http.ResponseWriter
	// upstreamID is the id of the upstream of the last attempt.
	upstreamID string
	events     eventSplitter
	// headerSent reports whether the answer's status and headers were sent, streaming whether they are those of a stream.
	headerSent, streaming bool
	// failedAnswer is an upstream's error answer, forwarded if no other attempt follows.
	failedAnswer *bufferedAnswer
	disconnected bool
	kind         rail.Kind
	// reservation is what the call's answers hold of the gateway's memory.
	reservation *Reservation
}

type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Serve answers the call; ctx ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, c *Call, w http.ResponseWriter) (err error) {
	r := &relay{gateway: g, call: c, writer: w, reservation: g.memory.Reserve()}
	defer r.reservation.Release()
	defer func() {
		if cause := recover(); cause != nil {
			err = r.endAfterPanic(cause)
		}
		g.metrics.RequestDone(r.route, r.kind, time.Since(c.arrived))
	}()
	if c.resume != "" {
		r.events.resumeAfter(c.resume)
	}
	return r.run(ctx)
}

// endAfterPanic ends the call and answers it, unless a part of an answer was sent.
func (r *relay) endAfterPanic(cause any) error {
	r.kind = rail.KindInternal
	err := rail.NewError(r.kind, "panic: %v", cause)
	r.gateway.log.Write(rail.EventRequestPanicked, NewField("request", r.call.id), ErrorField(err), NewField("stack", string(debug.Stack())))
	r.gateway.Post(AttemptEnded{call: r.call, outcome: Outcome{kind: r.kind, err: err, final: true}})
	return r.refuse(Refuse{call: r.call, kind: r.kind})
}

func (r *relay) run(ctx context.Context) error {
	effect := r.gateway.Post(CallArrived{call: r.call})
	for {
		switch e := effect.(type) {
		case Send:
			r.route = rail.RouteName(e.route.name)
			r.gateway.metrics.Attempt(r.route)
			r.upstreamID = e.upstream.id
			o := r.attempt(ctx, e)
			if ctx.Err() != nil || r.disconnected {
				r.gateway.Post(CallerDisconnected{call: r.call})
				r.kind = rail.KindCancelled
				return ErrAborted
			}
			effect = r.gateway.Post(AttemptEnded{call: r.call, outcome: o})
		case Hold:
			select {
			case effect = <-e.next:
			case <-ctx.Done():
				r.gateway.Post(CallerDisconnected{call: r.call})
				r.kind = rail.KindCancelled
				return ErrAborted
			}
		case Refuse:
			r.kind = e.kind
			return r.refuse(e)
		case Deliver:
			r.kind = rail.KindUpstreamFailed
			return r.deliver(r.failedAnswer)
		default:
			return nil
		}
	}
}

// attempt performs one attempt and forwards the upstream's answer.
func (r *relay) attempt(ctx context.Context, e Send) Outcome {
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	ctx, cancel := context.WithDeadlineCause(ctx, e.deadline.Add(answerGrace), rail.NewError(rail.KindDeadlinePassed, "no answer before the deadline"))
	defer cancel()
	r.gateway.setAbort(r.call, abort)
	defer r.gateway.setAbort(r.call, nil)
	stopTimer := func() bool { return true }
	if e.failoverTimeout > 0 {
		stopTimer = r.gateway.startFailover(ctx, e).stop
	}
	defer stopTimer()
	r.failedAnswer = nil
	t := r.gateway.startTransfer(e)
	defer t.record()
	answer, err := r.gateway.sender.Send(ctx, e)
	if err != nil {
		var said *NoticeError
		if errors.As(err, &said) {
			r.reportNotice(e, said.notice)
		}
		return r.attemptFailure(ctx, err)
	}
	r.reportNotice(e, answer.notice)
	t.count(answer)
	defer func() { _ = answer.body.Close() }() // Ends the attempt; the error does not matter any more.
	if !e.route.mayRunAgain() && promisesNotRun(answer.status) {
		return r.attemptFailure(ctx, rail.NewError(rail.KindUpstreamFailed, "status %d of an upstream that does not say that the request was not run", answer.status))
	}
	forward := r.forwardAnswer
	if e.route.streaming && answer.status >= statusOK && answer.status < statusMultipleChoices {
		forward = r.forwardStream
	}
	o := forward(ctx, answer, stopTimer)
	o.endedWithConnection, o.placement, o.headRead, o.connection = answer.endsWithConnection, answer.placement, true, answer.connection
	return o
}

// promisesNotRun reports whether callers take the status for the promise that the request was not run, and send it again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reportNotice reports what an answer says of its upstream; a request limit also if there was one before and the answer names none.
func (r *relay) reportNotice(e Send, n Notice) {
	if n.answered && (n.limit.named || e.limited) {
		r.gateway.Post(LimitRead{call: r.call, limit: n.limit})
	}
	if n.leaving || n.wait > 0 {
		r.gateway.Post(NoticeRead{call: r.call, notice: n})
	}
}

// attemptFailure returns the outcome of a failed attempt; the kind is the cause of the abort if there was one.
func (r *relay) attemptFailure(ctx context.Context, err error) Outcome {
	kind := rail.KindOf(err)
	if cause := context.Cause(ctx); cause != nil && kind.Reply().Run() != rail.NotRun {
		kind = rail.KindOf(cause)
	}
	var timeout interface{ Timeout() bool }
	timedOut := kind == rail.KindUpstreamSilent || (errors.As(err, &timeout) && timeout.Timeout())
	o := Outcome{kind: kind, err: err, events: r.events.delivered, lastEventID: r.events.lastEventID, timedOut: timedOut, final: r.final()}
	var said *NoticeError
	o.refused = errors.As(err, &said) && said.notice.answered
	var placed *PlacementError
	if errors.As(err, &placed) {
		o.placement, o.idsOnce = placed.upstreamID, placed.idsOnce
	}
	var used *ConnectionError
	if errors.As(err, &used) {
		o.connection = used.use
	}
	return o
}

// final reports whether the caller has a part of an answer that no other attempt can complete.
func (r *relay) final() bool { return r.headerSent && (!r.streaming || !r.events.resumable()) }

// forwardAnswer forwards an answer that is no stream. One that fits into the buffer is read completely first, so that the
// call can go to another upstream if it breaks off; a larger one is forwarded as it arrives.
func (r *relay) forwardAnswer(ctx context.Context, a *Answer, stopTimer func() bool) Outcome {
	body := NewBuffer(r.reservation, maxBufferedBytes)
	err := body.ReadAll(a.body)
	switch {
	case err == nil:
		return r.answerRead(ctx, a, body.Bytes())
	case !errors.Is(err, ErrFull) && !errors.Is(err, ErrNoMemory):
		return r.attemptFailure(ctx, rail.WrapError(err, rail.KindUpstreamFailed, "read upstream answer"))
	case a.status >= minServerErrorStatus || r.headerSent:
		return r.attemptFailure(ctx, rail.NewError(rail.KindUpstreamFailed, "failure of more than %d bytes", len(body.Bytes())))
	case !stopTimer(): // Once the caller has a part of the answer, no other attempt can replace this one.
		return r.attemptFailure(ctx, rail.NewError(rail.KindUpstreamSilent, "answer is slower than the failover timeout"))
	}
	return r.forwardLarge(ctx, a, body.Bytes())
}

// answerRead delivers a complete answer, or keeps it if it is a failure.
func (r *relay) answerRead(ctx context.Context, a *Answer, body []byte) Outcome {
	if a.length >= 0 && int64(len(body)) != a.length {
		return r.attemptFailure(ctx, rail.NewError(rail.KindUpstreamFailed, "upstream answer ended after %d of %d bytes", len(body), a.length))
	}
	buffered := &bufferedAnswer{status: a.status, header: a.header, body: body}
	if a.status >= minServerErrorStatus {
		r.failedAnswer = buffered
		return Outcome{kind: rail.KindUpstreamFailed, answered: true, status: a.status, events: r.events.delivered, lastEventID: r.events.lastEventID, final: r.final()}
	}
	if r.headerSent {
		return Outcome{kind: rail.KindUpstreamFailed, status: a.status, events: r.events.delivered, lastEventID: r.events.lastEventID, final: true}
	}
	_ = r.deliver(buffered) // A disconnected caller is detected by the context.
	return Outcome{status: a.status, answered: true}
}

// forwardLarge forwards an answer whose first bytes have been read, and the rest as it arrives.
func (r *relay) forwardLarge(ctx context.Context, a *Answer, begin []byte) Outcome {
	control := http.NewResponseController(r.writer)
	if a.length >= 0 {
		r.writer.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	r.sendHeader(a)
	if !r.write(control, begin) {
		return Outcome{kind: rail.KindCancelled}
	}
	buffer := make([]byte, readBufferBytes)
	for forwarded := int64(len(begin)); ; {
		n, err := a.body.Read(buffer)
		if forwarded += int64(n); n > 0 && !r.write(control, buffer[:n]) {
			return Outcome{kind: rail.KindCancelled}
		}
		if errors.Is(err, io.EOF) && (a.length < 0 || forwarded == a.length) {
			return Outcome{status: a.status, answered: true}
		}
		if err != nil {
			return r.attemptFailure(ctx, rail.WrapError(err, rail.KindUpstreamFailed, "read upstream answer"))
		}
	}
}

// forwardStream forwards the events of a stream as they arrive. What is no event is forwarded after the first event only,
// so that a stream that never has one can still be answered otherwise.
func (r *relay) forwardStream(ctx context.Context, a *Answer, stopTimer func() bool) Outcome {
	r.streaming = true
	r.events.restart()
	buffer := make([]byte, readBufferBytes)
	control := http.NewResponseController(r.writer)
	var held []byte
	first, progressedAt, lastAt := true, time.Time{}, time.Time{}
	var gaps []time.Duration
	for {
		n, err := a.body.Read(buffer)
		complete, events, splitErr := r.events.add(buffer[:n])
		if events > 0 {
			if first {
				first = false
				stopTimer()
				r.gateway.Post(AnswerStarted{call: r.call})
				r.gateway.metrics.FirstToken(r.route, time.Since(r.call.arrived))
				progressedAt = time.Now()
				lastAt = progressedAt
			} else {
				now := time.Now()
				for range min(events, maxGaps-len(gaps)) { // Those that arrive together came one after the other.
					gaps = append(gaps, now.Sub(lastAt)/time.Duration(events))
				}
				lastAt = now
				if now.Sub(progressedAt) >= progressInterval {
					r.gateway.Post(StreamProgressed{call: r.call, gaps: gaps})
					progressedAt, gaps = now, nil
				}
			}
			r.sendHeader(a)
		}
		if held = append(held, complete...); r.headerSent && len(held) > 0 {
			if !r.write(control, held) {
				return Outcome{kind: rail.KindCancelled}
			}
			held = held[:0]
		}
		if splitErr == nil && !r.reservation.await(ctx, int64(len(r.events.buffer)-minBufferBytes)) {
			splitErr = ErrNoMemory
		}
		if splitErr != nil {
			return r.attemptFailure(ctx, rail.WrapError(splitErr, rail.KindUpstreamFailed, "split upstream stream into events"))
		}
		if errors.Is(err, io.EOF) {
			if !r.events.ended() {
				return r.attemptFailure(ctx, rail.WrapError(io.ErrUnexpectedEOF, rail.KindUpstreamFailed, "upstream stream ended within an event"))
			}
			if first && a.endsWithConnection {
				return r.attemptFailure(ctx, rail.WrapError(io.ErrUnexpectedEOF, rail.KindUpstreamFailed, "upstream stream ended without an event"))
			}
			r.sendHeader(a)
			if len(held) > 0 && !r.write(control, held) {
				return Outcome{kind: rail.KindCancelled}
			}
			return Outcome{status: a.status, answered: true, events: r.events.delivered, lastEventID: r.events.lastEventID}
		}
		if err != nil {
			return r.attemptFailure(ctx, rail.WrapError(err, rail.KindUpstreamFailed, "read upstream stream"))
		}
	}
}

// write sends bytes to the caller, flushes them and reports whether this succeeded.
func (r *relay) write(control *http.ResponseController, data []byte) bool {
	if _, err := r.writer.Write(data); err != nil {
		r.disconnected = true
		return false
	}
	if err := control.Flush(); err != nil {
		r.disconnected = true
		return false
	}
	return true
}

// sendHeader sends the answer's status and headers once; a resumed stream keeps those of its first upstream.
func (r *relay) sendHeader(a *Answer) {
	if r.headerSent {
		return
	}
	r.headerSent = true
	r.placed(r.upstreamID, rail.KindNone)
	copyHeader(r.writer.Header(), a.header)
	r.writer.WriteHeader(a.status)
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // Prevents net/http from detecting a content type.
	}
}

// placed tells the writer of a forwarded call what became of the call.
func (r *relay) placed(upstreamID string, kind rail.Kind) {
	if w, ok := r.writer.(PlacementWriter); ok {
		w.Placed(upstreamID, kind)
	}
}

// deliver forwards a buffered answer to the caller.
func (r *relay) deliver(buffered *bufferedAnswer) error {
	if r.headerSent || buffered == nil {
		return ErrAborted
	}
	r.headerSent = true
	r.placed(r.upstreamID, rail.KindNone)
	copyHeader(r.writer.Header(), buffered.header)
	if r.call.message.method != http.MethodHead {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	}
	r.writer.WriteHeader(buffered.status)
	if _, err := r.writer.Write(buffered.body); err != nil {
		return ErrAborted
	}
	return nil
}

// refuse answers the call with the status and advice of the error kind.
func (r *relay) refuse(e Refuse) error {
	if r.headerSent {
		return ErrAborted
	}
	r.headerSent = true
	r.placed(r.upstreamID, e.kind)
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
