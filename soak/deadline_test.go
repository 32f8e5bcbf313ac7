package soak

import (
	"strconv"
	"time"
)

// deadlineSlack is how much later than the caller's deadline, and the first upstream's, that of a repeat may be; it applies to
// repeats that come later than this after the first attempt. More than maxLateDeadlines, and maxLateShare of all such repeats,
// break the users' rule.
const (
	deadlineSlack    = 500 * time.Millisecond
	maxLateDeadlines = 20
	maxLateShare     = 0.2
)

// deadlines records the deadlines that upstreams were given; it is guarded by the recorder's mutex.
type deadlines struct {
	first         map[string]givenDeadline // By the id of the attempt.
	repeats, late int
}

// givenDeadline is when an upstream read a request, and the deadline that it was given.
type givenDeadline struct{ readAt, deadline time.Time }

// checkDeadline checks the time in milliseconds that the request is forwarded with. The caller's own header bounds it whatever
// delays the machine causes; undisturbed reports whether the deadlines of repeats can be compared.
func (r *recorder) checkDeadline(q *request, header string, undisturbed bool) {
	ms, err := strconv.Atoi(header)
	forwarded := time.Duration(ms) * time.Millisecond
	if err != nil || forwarded > q.timeout {
		r.recordViolation("BUDGET: %s is forwarded with %q ms, the caller gave %v", q.id, header, q.timeout)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	first, repeated := r.deadlines.first[q.attemptID()]
	if !repeated {
		r.deadlines.first[q.attemptID()] = givenDeadline{now, now.Add(forwarded)}
		return
	}
	if !undisturbed || now.Sub(first.readAt) <= deadlineSlack {
		return
	}
	r.deadlines.repeats++
	if end := now.Add(forwarded); end.Sub(first.deadline) > deadlineSlack && end.Sub(q.deadline) > deadlineSlack {
		r.deadlines.late++
	}
}

// checkLateDeadlines checks the share of the repeats whose deadlines are too late.
func (d *deployment) checkLateDeadlines() {
	x := d.recorder.deadlines
	d.t.Logf("%d of %d late repeats were given more time than was left", x.late, x.repeats)
	if x.late > maxLateDeadlines && float64(x.late) > maxLateShare*float64(x.repeats) {
		d.recorder.recordViolation("BUDGET: %d of %d late repeats were given more time than was left", x.late, x.repeats)
	}
}
