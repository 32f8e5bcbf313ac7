package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	// TickInterval is the time between two Ticked events.
	TickInterval = 100 * time.Millisecond
	// maxTickGap is the time between two of them beyond which the process was paused, or waited for its processor.
	maxTickGap = 250 * time.Millisecond
	// delayReportInterval is the time between two reports of such a gap.
	delayReportInterval = 5 * time.Second
)

// excusePause moves the last events of all streams by the time in which this process did not run: what came meanwhile has not
// been read yet, and the silence was its own.
func (s *State) excusePause() []Effect {
	gap := s.now.Sub(s.tickedAt)
	known := !s.tickedAt.IsZero()
	s.tickedAt = s.now
	if !known || gap <= maxTickGap {
		return nil
	}
	excused := func(at time.Time) time.Time {
		if at = at.Add(gap - TickInterval); at.After(s.now) {
			return s.now
		}
		return at
	}
	for c, p := range s.calls {
		p.lastEventAt = excused(p.lastEventAt)
		if _, waits := s.moves[c]; waits {
			p.previous.eventAt = excused(p.previous.eventAt)
		}
	}
	return s.reportDelay(gap)
}

// reportDelay returns a log line for a late tick, unless there was one shortly before.
func (s *State) reportDelay(gap time.Duration) []Effect {
	if !s.delayReportedAt.IsZero() && s.now.Sub(s.delayReportedAt) < delayReportInterval {
		return nil
	}
	s.delayReportedAt = s.now
	return []Effect{report(rail.EventProcessDelayed, NewField("gapMs", gap.Milliseconds()), NewField("peers", s.recentPeers()), NewField("calls", len(s.calls)), NewField("suspects", len(s.quarantine.suspects)))}
}
