package answer

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// state is the state of a request in progress.
type state int

const (
	// waiting requests have no attempt and start one at startAt.
	waiting state = iota
	// running requests have an attempt at an upstream.
	running
	// stopped requests have no attempt and wait to be handed over.
	stopped
)

// inFlight is one request in progress.
type inFlight struct {
	request rail.Request
	route   rail.Route
	state   state
	attempt int
	offset  int
	usage   rail.Usage

	// upstream, resumeOffset and lastProgressAt belong to the running attempt.
	upstream       rail.Instance
	resumeOffset   int
	lastProgressAt time.Time
	// firstMarkAt and firstMarkOffset are the first mark of the attempt; the token rate is measured from it.
	firstMarkAt     time.Time
	firstMarkOffset int
	// moveAt is when the attempt is moved off a leaving upstream, zero for never.
	moveAt time.Time

	startAt           time.Time
	standby           bool
	failures          int
	refusals          int
	waitingSince      time.Time
	mayHaveRun        bool
	preferredUpstream rail.InstanceID
	failedUpstreams   []rail.InstanceID
	excludedUpstreams []rail.InstanceID
	detachedAt        time.Time
	timerDueAt        time.Time
	copySent          bool
	// sentInHandover is the number of the last handover that carried the request after it was stopped.
	sentInHandover int
	lastFailure    rail.Kind
}

func (f *inFlight) id() rail.RequestID { return f.request.ID() }

// repeatable reports whether the request may be sent again after it may have run.
func (f *inFlight) repeatable() bool {
	return f.route.Kind() == rail.RouteModel || f.route.Idempotent()
}

// resumeUpstream returns the upstream of the last attempt, empty if it is leaving or the request failed there.
func (f *inFlight) resumeUpstream() rail.InstanceID {
	id := f.upstream.ID()
	if slices.Contains(f.excludedUpstreams, id) || slices.Contains(f.failedUpstreams, id) {
		return ""
	}
	return id
}

// estimateTransferBytes estimates the size of the request in a handover.
func (f *inFlight) estimateTransferBytes() int {
	const tokenBytes = 8
	return len(f.request.Prompt()) + len(f.request.Body()) + tokenBytes*f.offset
}

// silenceTimeoutAt returns when the running attempt times out without progress, zero for never.
func (f *inFlight) silenceTimeoutAt(s Settings) time.Time {
	switch {
	case !f.repeatable() && !f.request.Deadline().IsZero():
		// It can't be retried, so its outcome is awaited until the caller's deadline.
		return time.Time{}
	case f.route.Kind() == rail.RouteService:
		return f.lastProgressAt.Add(s.replyTimeout)
	case f.offset == f.resumeOffset:
		return f.lastProgressAt.Add(s.firstTokenTimeout)
	}
	return f.lastProgressAt.Add(s.interTokenTimeout)
}

// nextCheckAt returns the next time at which the request's timer must fire, zero for never.
func (f *inFlight) nextCheckAt(s Settings) time.Time {
	var at time.Time
	switch f.state {
	case waiting:
		at = f.startAt
	case running:
		at = earliest(f.silenceTimeoutAt(s), f.moveAt)
	case stopped:
	}
	if !f.detachedAt.IsZero() {
		at = earliest(at, f.detachedAt.Add(s.reconnectTimeout))
	}
	return earliest(at, f.request.Deadline())
}

// estimateRemaining estimates how long the running stream still takes, false if its token rate is unknown.
func (f *inFlight) estimateRemaining() (time.Duration, bool) {
	tokens, elapsed := f.offset-f.firstMarkOffset, f.lastProgressAt.Sub(f.firstMarkAt)
	if f.state != running || f.firstMarkAt.IsZero() || tokens <= 0 || elapsed <= 0 {
		return 0, false
	}
	remaining := max(f.request.MaxTokens()-f.offset, 0)
	return elapsed / time.Duration(tokens) * time.Duration(remaining), true
}

// expectedToEndBy reports whether the running attempt is expected to end before the limit.
func (f *inFlight) expectedToEndBy(now, limit time.Time) bool {
	if f.route.Kind() == rail.RouteService {
		return f.state == running
	}
	remaining, known := f.estimateRemaining()
	return known && now.Add(remaining).Before(limit)
}

func (f *inFlight) excludeUpstream(id rail.InstanceID) {
	if !slices.Contains(f.excludedUpstreams, id) {
		f.excludedUpstreams = append(f.excludedUpstreams, id)
	}
}

func (f *inFlight) recordFailedUpstream(id rail.InstanceID) {
	if !slices.Contains(f.failedUpstreams, id) {
		f.failedUpstreams = append(f.failedUpstreams, id)
	}
}

// earliest returns the earlier time; zero stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
