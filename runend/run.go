package runend

import "time"

// Run is a stream at an engine, as the attempt shows it.
type Run struct {
	id string
	// sentAt is when the request was sent, or is known to have been sent before.
	sentAt time.Time
	// eventAt is when the first event of the attempt arrived, zero if none has.
	eventAt time.Time
	// abandonedAt is when the attempt ended without the end of the stream, zero while it is in progress.
	abandonedAt time.Time
	// closed reports whether the connection ended by itself, timedOut whether it did for want of acknowledgements. Both are false if the
	// attempt was aborted.
	closed, timedOut bool
}

// NewRun returns the run of a request that was sent at the time, whose attempt is in progress and has had no event.
func NewRun(id string, sentAt time.Time) Run { return Run{id: id, sentAt: sentAt} }

// SentAt returns when the request was sent, or is known to have been sent before.
func (r Run) SentAt() time.Time { return r.sentAt }

// WithEvent returns the run with the time of its first event.
func (r Run) WithEvent(at time.Time) Run {
	r.eventAt = at
	return r
}

// Aborted returns the run of an attempt that was aborted at the time.
func (r Run) Aborted(at time.Time) Run {
	r.abandonedAt = at
	return r
}

// BrokenOff returns the run of an attempt whose connection ended at the time.
func (r Run) BrokenOff(at time.Time) Run {
	r.abandonedAt, r.closed = at, true
	return r
}

// TimedOut returns the run of an attempt whose connection ended at the time, since the other side acknowledged nothing.
func (r Run) TimedOut(at time.Time) Run {
	r.abandonedAt, r.closed, r.timedOut = at, true, true
	return r
}

// hasEvent reports whether the attempt has had an event.
func (r Run) hasEvent() bool { return !r.eventAt.IsZero() }
