package gateway

import "time"

const (
	// TickInterval is the time between two Ticked events.
	TickInterval = 100 * time.Millisecond
	// maxTickGap is the time between two of them beyond which the process was paused, or waited for its processor.
	maxTickGap = 250 * time.Millisecond
)

// excusePause moves the last events of all streams by the time in which this process did not run: what came meanwhile has not
// been read yet, and the silence was its own.
func (s *State) excusePause() {
	gap := s.now.Sub(s.tickedAt)
	known := !s.tickedAt.IsZero()
	s.tickedAt = s.now
	if !known || gap <= maxTickGap {
		return
	}
	for _, p := range s.calls {
		if p.lastEventAt = p.lastEventAt.Add(gap - TickInterval); p.lastEventAt.After(s.now) {
			p.lastEventAt = s.now
		}
	}
}
