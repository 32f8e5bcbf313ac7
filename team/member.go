package team

import (
	"math"
	"time"

	"dandelionrail.org/rail"
)

// member is the state of one team in one pool at this entry. allocated and
// reserved are slots, peerRate is the requests per second at the other entries.
type member struct {
	team      rail.Team
	queue     []*activeRequest
	running   int
	allocated float64
	reserved  float64
	peerRate  float64
	arrivals  meter
}

// belowReserved reports whether the team has queued requests and runs fewer than its reserved share allows.
func (m *member) belowReserved() bool {
	return len(m.queue) > 0 && float64(m.running) < m.reserved
}

func (m *member) remove(r *activeRequest) {
	for i, q := range m.queue {
		if q == r {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return
		}
	}
}

// activeRequest is a queued or running request.
type activeRequest struct {
	request   rail.Request
	pool      *pool
	member    *member
	arrivedAt time.Time
	startedAt time.Time
	expiresAt time.Time
	resumable bool
	preempted bool
}

// meter measures an exponentially decaying rate per second.
type meter struct {
	rate      float64
	updatedAt time.Time
}

// rateWindow is the time constant of the decay.
const rateWindow = 10 * time.Second

func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.rate += n / rateWindow.Seconds()
}

func (m *meter) decay(now time.Time) {
	if !m.updatedAt.IsZero() && now.After(m.updatedAt) {
		m.rate *= math.Exp(-now.Sub(m.updatedAt).Seconds() / rateWindow.Seconds())
	}
	m.updatedAt = now
}
