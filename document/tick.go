package document

import (
	"time"

	"dandelionrail.org/rail"
)

// Ready reports whether the process may serve by its document: it knows the version accepted last in the log, or a peer has answered, or none did in time.
func (p *Reducer) Ready(at time.Time) bool {
	if p.current.Number() == 0 {
		return false
	}
	if p.settled() {
		return true
	}
	return p.peers.answers || at.Sub(p.startedAt) >= readyTimeout
}

// settled reports whether the process has read the log to its end and knows the version accepted last.
func (p *Reducer) settled() bool { return p.history.known && !p.caughtUpAt.IsZero() }

// tick repeats what was not answered: the question to peers, and the checkpoint in the log.
func (p *Reducer) tick(in rail.Input) []rail.Effect {
	effects := []rail.Effect{rail.NewSetTimer(timerTick, tickEvery)}
	effects = append(effects, p.writeCheckpoint(in.At())...)
	if fetch := p.fetch(in); len(fetch) > 0 {
		return append(effects, fetch...)
	}
	return append(effects, p.askAny(in)...)
}

// askAny asks any peer while a fresh process has neither read the log nor heard from a peer.
func (p *Reducer) askAny(in rail.Input) []rail.Effect {
	if p.peers.answers || p.settled() || in.At().Before(p.peers.asked) {
		return nil
	}
	p.peers.asked = in.At().Add(fetchTimeout)
	return []rail.Effect{Fetch{}}
}
