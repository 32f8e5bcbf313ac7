package replay

import (
	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// passed reports whether the observed outcome is the one that the trace expects.
func (r requestResult) passed() bool {
	switch r.request.Outcome() {
	case trace.Complete:
		return r.observed == caller.Complete
	case trace.CompleteOrResent:
		return r.observed == caller.Complete || r.observed == caller.Resent
	case trace.ExactlyOnce:
		return r.observed == caller.Complete && r.countComplete && r.runs == 1
	case trace.AtMostOnce:
		return r.atMostOnce()
	case trace.Refused:
		return r.observed == caller.NotRun && r.runs == 0
	}
	return false
}

// atMostOnce reports whether the order ran at most once and the answer agrees with the number of runs. If a service could
// not be asked, an answered order may be missing from the count.
func (r requestResult) atMostOnce() bool {
	switch r.observed {
	case caller.Complete, caller.Failed:
		return r.runs == 1 || r.runs == 0 && !r.countComplete
	case caller.NotRun:
		return r.runs == 0
	case caller.Unknown, caller.TimedOut:
		return r.runs <= 1
	}
	return false
}

// ranTwice reports whether an order ran more than once.
func (r requestResult) ranTwice() bool { return r.runs > 1 }
