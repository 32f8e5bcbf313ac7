package concurrency

import "time"

const (
	// enough is the limit from which it is lifted.
	enough = 32
	// quietTime is the time without a failure after which the limit is lifted.
	quietTime = 10 * time.Second
)

// Limit is the number of requests that may wait for an answer at once. It rises by one with each answer and is halved by each failure, so that
// upstreams that answer new connections slowly are not kept busy with those of requests that are given up.
type Limit struct {
	most     int
	failedAt time.Time
}

// New returns the limit of a service that may have failed at the time.
func New(most int, failedAt time.Time) *Limit { return &Limit{most: max(1, most), failedAt: failedAt} }

// Most returns the number of requests that may wait at once.
func (l *Limit) Most() int { return l.most }

// Allows reports whether another request may be sent while so many wait for an answer.
func (l *Limit) Allows(waiting int) bool { return waiting < l.most }

// Answered records an answer.
func (l *Limit) Answered() { l.most++ }

// Failed records a request that was not answered.
func (l *Limit) Failed(at time.Time) { l.most, l.failedAt = max(1, l.most/2), at }

// Lifted reports whether the service has recovered.
func (l *Limit) Lifted(now time.Time) bool {
	return l.most >= enough || now.Sub(l.failedAt) >= quietTime
}
