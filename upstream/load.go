package upstream

import (
	"time"

	"dandelionrail.org/rail"
)

// maxDeltas is the maximum number of deltas kept between two load reports of one upstream.
const maxDeltas = 128

// delta is the change in load when an attempt of this entry starts or ends.
type delta struct {
	at       time.Time
	attempts int
	tokens   int
}

// load is the known load of one upstream: its last report and this entry's attempts since.
type load struct {
	id           rail.InstanceID
	report       rail.Load
	reported     bool
	ownAttempts  int
	deltas       []delta
	attemptDelta int
	tokenDelta   int

	// choiceSeq is the last choice that considered the upstream, hitBlocks the prompt blocks it was believed to hold then.
	choiceSeq uint64
	hitBlocks int
}

// applyReport replaces the last report unless the new one is older, and drops the deltas that it already covers.
func (l *load) applyReport(report rail.Load) {
	if l.reported && report.AsOf().Before(l.report.AsOf()) {
		return
	}
	l.report, l.reported = report, true
	n := 0
	for n < len(l.deltas) && !l.deltas[n].at.After(report.AsOf()) {
		n++
	}
	l.deltas = append(l.deltas[:0], l.deltas[n:]...)
	l.recount()
}

func (l *load) recount() {
	l.attemptDelta, l.tokenDelta = 0, 0
	for _, d := range l.deltas {
		l.attemptDelta += d.attempts
		l.tokenDelta += d.tokens
	}
}

// record applies the delta of an attempt that started or ended.
func (l *load) record(d delta) {
	l.ownAttempts += d.attempts
	if len(l.deltas) == maxDeltas {
		l.deltas = append(l.deltas[:0], l.deltas[1:]...)
		l.recount()
	}
	l.deltas = append(l.deltas, d)
	l.attemptDelta += d.attempts
	l.tokenDelta += d.tokens
}

// pending returns the estimated number of attempts that run or wait at the upstream.
func (l *load) pending() int {
	if !l.reported {
		return max(0, l.ownAttempts)
	}
	return max(0, l.ownAttempts, l.report.Running()+l.report.Waiting()+l.attemptDelta)
}

// slots returns how many attempts the upstream runs at once.
func (l *load) slots() int { return max(1, l.report.Slots()) }
