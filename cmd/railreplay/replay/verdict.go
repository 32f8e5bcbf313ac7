package replay

import (
	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// met reports whether what was seen is what the trace states.
func (l line) met() bool {
	switch l.request.Outcome() {
	case trace.Complete:
		return l.seen == caller.Complete
	case trace.CompleteOrResent:
		return l.seen == caller.Complete || l.seen == caller.Resent
	case trace.ExactlyOnce:
		return l.seen == caller.Complete && l.counted && l.runs == 1
	case trace.AtMostOnce:
		return l.atMostOnce()
	case trace.Refused:
		return l.seen == caller.NotRun && l.runs == 0
	}
	return false
}

// atMostOnce reports whether the answer agrees with the number of runs, as far as all services could be asked.
func (l line) atMostOnce() bool {
	switch l.seen {
	case caller.Complete, caller.Failed:
		return l.runs == 1 || l.runs == 0 && !l.counted
	case caller.NotRun:
		return l.runs == 0
	case caller.Unknown, caller.TimedOut:
		return l.runs <= 1
	}
	return false
}

// doubled reports whether an order ran more than once.
func (l line) doubled() bool { return l.runs > 1 }
