package document

import (
	"time"

	"dandelionrail.org/rail"
)

// Ready reports whether the process may serve by its document: it knows the version accepted last in the log, or a peer has answered, or readyTimeout has passed.
func (r *Reducer) Ready(at time.Time) bool {
	if r.current.Number() == 0 {
		return false
	}
	if r.settled() {
		return true
	}
	return r.peers.anyAnswered || at.Sub(r.startedAt) >= readyTimeout
}

// settled reports whether the process has read the log to its end and knows the version accepted last.
func (r *Reducer) settled() bool { return r.history.known && !r.caughtUpAt.IsZero() }

// tick repeats the requests to peers and the checkpoint that were not answered.
func (r *Reducer) tick(in rail.Input) []rail.Effect {
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, tickInterval)}
	effects = append(effects, r.writeCheckpoint(in.At())...)
	if fetch := r.fetch(in); len(fetch) > 0 {
		return append(effects, fetch...)
	}
	return append(effects, r.fetchFromAny(in)...)
}

// fetchFromAny requests the document from any peer while a new process has neither read the log nor received a response from a peer.
func (r *Reducer) fetchFromAny(in rail.Input) []rail.Effect {
	if r.peers.anyAnswered || r.settled() || in.At().Before(r.peers.askedUntil) {
		return nil
	}
	r.peers.askedUntil = in.At().Add(fetchTimeout)
	return []rail.Effect{Fetch{}}
}
