package gateway

import (
	"math"
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

// Notice is what the answers to an attempt say of their upstream.
type Notice struct {
	// answered reports whether the attempt itself was answered, so that the limit is known.
	answered bool
	limit    RequestLimit
	leaving  bool
	// wait is the time for which the upstream wants no requests of this gateway.
	wait time.Duration
}

// WithAnswer returns the notice with the request limit that the answer to the attempt names.
func (n Notice) WithAnswer(l RequestLimit) Notice {
	n.answered, n.limit = true, l
	return n
}

// WithLeaving returns the notice of an upstream that leaves.
func (n Notice) WithLeaving() Notice {
	n.leaving = true
	return n
}

// WithWait returns the notice with the time for which the upstream wants no requests, zero for none.
func (n Notice) WithWait(d time.Duration) Notice {
	n.wait = d
	return n
}

// NoticeError is the error of an attempt whose upstream has said something of itself.
type NoticeError struct {
	cause  error
	notice Notice
}

// NewNoticeError returns the error with its cause.
func NewNoticeError(cause error, n Notice) *NoticeError { return &NoticeError{cause: cause, notice: n} }

// Error returns the text of the cause.
func (e *NoticeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *NoticeError) Unwrap() error { return e.cause }

// maxWait bounds the time for which a refusal keeps requests from an upstream: a mistaken value must not do so for good. After it,
// one request asks again.
const maxWait = time.Minute

// ParseWait returns the time in seconds that a refusal names, zero if it is not a decimal number above zero. Dates are not read, since
// the clocks of upstreams differ.
func ParseWait(header string) time.Duration {
	n, err := strconv.ParseFloat(header, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n <= 0 {
		return 0
	}
	return time.Duration(min(n, maxWait.Seconds()) * float64(time.Second))
}

// refusalTime is the time in which an upstream wants no requests of this gateway. When it has ended, one request is sent first.
type refusalTime struct {
	until time.Time
	// probing reports that the upstream has not answered since the time ended, probe is the request that asks.
	probing bool
	probe   *Call
}

// allows reports whether a request may be sent now.
func (r *refusalTime) allows(now time.Time) bool {
	return !now.Before(r.until) && (!r.probing || r.probe == nil)
}

// take notes that the call is sent.
func (r *refusalTime) take(c *Call) {
	if r.probing && r.probe == nil {
		r.probe = c
	}
}

// end notes the outcome of the call.
func (r *refusalTime) end(c *Call, o Outcome, now time.Time) {
	if r.probe != c {
		return
	}
	r.probe = nil
	if o.answered || o.kind == rail.KindUpstreamFull || o.kind == rail.KindUpstreamReplaced {
		r.probing = now.Before(r.until)
	}
}

// refuse notes that the upstream wants no requests for the time.
func (r *refusalTime) refuse(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(r.until) {
		r.until = until
	}
	r.probing = true
}

// noticeRead applies what an answer to the call's current attempt says of its upstream.
func (s *State) noticeRead(c *Call, n Notice) []Effect {
	p, ok := s.calls[c]
	if !ok || p.peer != "" {
		return nil
	}
	t := p.target
	var effects []Effect
	if n.leaving {
		effects = append(effects, s.registry.markLeaving(t.start(), "upstream")...)
	}
	if n.wait > 0 {
		t.refusal.refuse(s.now, n.wait)
		effects = append(effects, report(rail.EventUpstreamRefusal, NewField("upstream", t.id), NewField("waitMs", n.wait.Milliseconds())))
	}
	return effects
}

// upstreamWait returns the shortest time until an upstream of the service accepts a request of this gateway again, false if none of
// them has named a limit or a time.
func (s *State) upstreamWait(service string) (time.Duration, bool) {
	targets := s.registry.ofService(service)
	wait, named := s.limitWait(targets, func(t *target) bool { return !t.leaving && t.refusal.allows(s.now) })
	if w, cold := s.coldWait(targets); cold && (!named || w < wait) {
		wait, named = w, true
	}
	for _, t := range targets {
		left := t.refusal.until.Sub(s.now)
		switch {
		case t.leaving || left <= 0:
		case !named || left < wait:
			wait, named = left, true
		}
	}
	return wait, named
}
