package rollout

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	assumedFailed = 0.02
	failedRatio   = 1.5
	failedMargin  = 0.005
	slowRatio     = 1.3
	slowMargin    = 0.03
)

// route is the state of one rollout on one route.
type route struct {
	key      key
	seed     uint64
	deadline time.Time
	start    time.Time

	step    int
	stepAt  time.Time
	expired bool
	braked  bool
	reason  string
	heard   bool

	standing standing
	pending  pending

	mine     tally
	all      tally
	origins  map[rail.Incarnation]origin
	latency  quantile
	failures reference
	slowness reference
	failing  detector
	slowing  detector

	share float64
}

func newRoute(k key, deadline, now time.Time) *route {
	return &route{
		key:      k,
		seed:     seedOf(k),
		deadline: deadline,
		start:    now,
		stepAt:   now,
		origins:  map[rail.Incarnation]origin{},
		failures: newReference(assumedFailed, failedRatio, failedMargin),
		slowness: newReference(1-slowQuantile, slowRatio, slowMargin),
	}
}

// observe takes in one request of this entry.
func (r *route) observe(e Observed, now time.Time, settle time.Duration) {
	c := counts{total: 1}
	switch {
	case !e.ok:
		c.failed = 1
	case r.latency.slow(e.latency):
		c.slow = 1
	}
	if e.version == r.key.stable {
		if e.ok {
			r.latency.add(e.latency)
		}
		r.mine.old = r.mine.old.plus(c)
		r.addOld(c, now, now)
		return
	}
	step := r.step
	if step > 0 && now.Sub(r.stepAt) < settle {
		step--
	}
	r.mine.steps[step] = r.mine.steps[step].plus(c)
	r.addNew(step, c, now)
}

// origin is what another entry has told, and when.
type origin struct {
	tally tally
	at    time.Time
}

// learn takes in the counts of another entry, of which earlier values may have been lost.
func (r *route) learn(from rail.Incarnation, t tally, now time.Time) {
	last := r.origins[from]
	if !t.old.grown(last.tally.old) || !t.fresh().grown(last.tally.fresh()) {
		return
	}
	r.origins[from] = origin{tally: t, at: now}
	r.addOld(t.old.minus(last.tally.old), last.at, now)
	for i := range t.steps {
		r.addNew(i, t.steps[i].minus(last.tally.steps[i]), now)
	}
}

// addOld takes in requests of the old version that ended after the earlier time.
func (r *route) addOld(c counts, after, now time.Time) {
	r.all.old = r.all.old.plus(c)
	r.failures.add(c.total, c.failed, now)
	r.slowness.add(c.answered(), c.slow, now)
	r.failing.compare(c.total, c.failed, after)
	r.slowing.compare(c.answered(), c.slow, after)
}

func (r *route) addNew(step int, c counts, now time.Time) {
	if c.total <= 0 {
		return
	}
	r.all.steps[step] = r.all.steps[step].plus(c)
	r.failing.add(c.total, c.failed, r.failures.rate(), now)
	r.slowing.add(c.answered(), c.slow, r.slowness.rate(), now)
}

// suspicious reports whether a fault may be about to show.
func (r *route) suspicious() bool {
	return r.failing.rising() || r.slowing.rising()
}

// fault returns what the tests have found, empty for nothing.
func (r *route) fault(falseRate float64) string {
	compared := r.share < 1
	switch {
	case r.failing.alarm(r.failures.rate(), falseRate, compared):
		return "fails more often than the old version"
	case r.slowing.alarm(r.slowness.rate(), falseRate, compared):
		return "slower than the old version"
	}
	return ""
}

// proved reports whether the evidence of the present step allows the next one.
func (r *route) proved(s Settings) bool {
	c, effect := r.all.steps[r.step], s.steps[r.step].effect
	return rulesOut(c.total, c.failed, r.failures.rate(), effect, s.missRate) &&
		rulesOut(c.answered(), c.slow, r.slowness.rate(), effect, s.missRate)
}

// planned is the part of the time up to the deadline that the steps are spread over.
const planned = 0.75

// dwell returns how long to stay on a step.
func (r *route) dwell(s Settings, now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return s.maxDwell
	}
	window := time.Duration(planned * float64(r.deadline.Sub(r.start)))
	if now.Sub(r.start) >= window {
		return s.minDwell
	}
	return max(s.minDwell, min(s.maxDwell, window/time.Duration(len(s.steps))))
}

// climb goes to a step that this entry or a peer has found proved.
func (r *route) climb(step int, now time.Time) {
	r.step, r.stepAt = step, now
}

// settleShare works out the share of the new version; it must follow every change.
func (r *route) settleShare(s Settings, ready bool) {
	switch {
	case r.braked || r.standing.verdict.Outcome == OutcomeRolledBack || r.standing.verdict.Braked:
		r.share = 0
	case r.standing.verdict.Outcome == OutcomeDone:
		r.share = 1
	case r.expired || (!ready && !r.heard):
		r.share = 0
	default:
		r.share = s.steps[r.step].share
	}
}

// over reports whether no further evidence can change the rollout.
func (r *route) over() bool {
	return r.standing.verdict.Outcome == OutcomeRolledBack || r.standing.verdict.Braked
}
