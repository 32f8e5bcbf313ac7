package runend

import (
	"maps"
	"slices"
	"time"
)

// Ending is how a run was seen to end.
type Ending string

const (
	// Unseen is a run that may be in progress.
	Unseen Ending = "unseen"
	// Unlisted is a run that a report of its engine does not list.
	Unlisted Ending = "unlisted"
	// Gone is a run whose connection ended and whose engine accepts no connections.
	Gone Ending = "gone"
	// Unreachable is a run at an engine to which no connection can be established.
	Unreachable Ending = "unreachable"
	// Closed is a run that had an event, and whose connection was ended by an engine that is reached and does not list its runs.
	Closed Ending = "closed"
)

// interval is the time from the beginning of a check to its answer.
type interval struct{ from, to time.Time }

const (
	// reportAge is how old the content of a report of an engine that is not paused may be.
	reportAge = 500 * time.Millisecond
	// memory is how long it is known that a report came, or listed a run.
	memory = 20 * time.Second
	// maxListed bounds the runs that are known to have been listed: a faulty engine may list others in each report.
	maxListed = 10_000
	// minTimeouts is the number of consecutive timeouts from which an engine counts as unreachable: one may be a lost packet.
	minTimeouts = 2
)

// History is what the checks of one engine have shown.
type History struct {
	last Check // The last one that brought a report.
	// lists reports whether the engine has ever listed its runs.
	lists bool
	// listedAt holds when the last report that listed a run was asked for, by the id of its request.
	listedAt map[string]time.Time
	// reported are the times of the checks that brought a report lately, oldest first.
	reported []interval
	// refusedAt is when the last check began that was refused, timedOutAt those of the last checks, as far as all of them timed out.
	refusedAt  time.Time
	timedOutAt []time.Time
}

// Record records a check.
func (h *History) Record(c Check) {
	if c.answer == TimedOut {
		h.timedOutAt = append(h.timedOutAt, c.startedAt)
		h.timedOutAt = h.timedOutAt[max(0, len(h.timedOutAt)-minTimeouts):]
		return
	}
	h.timedOutAt = nil
	switch c.answer {
	case Refused:
		h.refusedAt = c.startedAt
	case Reported:
		h.last = c
		h.lists = h.lists || c.report.lists()
		h.recordReport(c)
	}
}

// recordReport records that the report came and which runs it lists, and drops what is old.
func (h *History) recordReport(c Check) {
	oldest := c.startedAt.Add(-memory)
	h.reported = append(slices.DeleteFunc(h.reported, func(i interval) bool { return i.from.Before(oldest) }), interval{c.startedAt, c.endedAt})
	maps.DeleteFunc(h.listedAt, func(_ string, at time.Time) bool { return at.Before(oldest) })
	if h.listedAt == nil || len(h.listedAt) > maxListed {
		h.listedAt = map[string]time.Time{}
	}
	for id := range c.report.runs {
		h.listedAt[id] = c.startedAt
	}
}

// Begun reports whether the engine is known to have read the request of the run: there was an event, or a report that listed it.
func (h *History) Begun(r Run) bool { return r.hasEvent() || h.listed(r) }

// listed reports whether a report since the request was sent has listed the run.
func (h *History) listed(r Run) bool {
	at, ok := h.listedAt[r.id]
	return ok && !at.Before(r.sentAt)
}

// Ending returns how the run was seen to end, Unseen if it was not. Only what was asked for after the end of the attempt counts.
func (h *History) Ending(r Run) Ending {
	switch {
	case h.unlisted(r):
		return Unlisted
	case r.closed && !h.refusedAt.Before(r.abandonedAt):
		return Gone
	case h.unreachable(r):
		return Unreachable
	case r.closed && !r.timedOut && r.hasEvent() && !h.lists && h.last.answer == Reported && !h.last.startedAt.Before(r.abandonedAt):
		return Closed
	}
	return Unseen
}

// unlisted reports whether a report shows that the run is not in progress and does not wait. A report shows nothing of a request that its
// engine has not read, however late that is, so that the run must have been listed, or have had an event.
func (h *History) unlisted(r Run) bool {
	report := h.last.report
	if !report.complete() || report.runs[r.id] || h.last.startedAt.Before(r.abandonedAt) {
		return false
	}
	if report.waiting > 0 {
		return false // It may be among those that wait: not begun yet, or preempted.
	}
	return h.listed(r) || (r.hasEvent() && h.isNewerThanRun(r))
}

// isNewerThanRun reports whether the content of the last report is newer than the beginning of a run that has had an event. That of a report
// that was asked for while the engine was paused is older than reportAge: another one must have come before, since the end of the attempt.
func (h *History) isNewerThanRun(r Run) bool {
	since := r.eventAt.Add(reportAge)
	if r.abandonedAt.After(since) {
		since = r.abandonedAt
	}
	return slices.ContainsFunc(h.reported, func(i interval) bool {
		return !i.from.Before(since) && h.last.startedAt.Sub(i.to) >= reportAge
	})
}

// unreachable reports whether the engine cannot be reached. While the connection of the run is open, or was aborted, new connections may
// also time out because the engine accepts none and its queue is full.
func (h *History) unreachable(r Run) bool {
	timeouts := minTimeouts
	if r.timedOut {
		timeouts-- // The connection of the run was the first.
	}
	n := len(h.timedOutAt)
	return r.closed && n >= timeouts && !h.timedOutAt[n-timeouts].Before(r.abandonedAt)
}

// Observable reports whether the end of the run is likely to be seen if it is aborted now: it has begun, the engine has listed all its runs
// since the time, and no request waits there, which a report would not tell apart from the aborted one.
func (h *History) Observable(r Run, since time.Time) bool {
	report := h.last.report
	return report.complete() && report.waiting == 0 && !h.last.startedAt.Before(since) && h.Begun(r)
}
