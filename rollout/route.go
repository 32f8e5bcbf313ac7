package rollout

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	assumedFailureRate = 0.02
	failureRateFactor  = 1.5
	failureRateMargin  = 0.005
	slowRateFactor     = 1.3
	slowRateMargin     = 0.03
)

// route is the state of one rollout on one route.
type route struct {
	key       key
	seed      uint64
	deadline  time.Time
	startedAt time.Time

	step             int
	stepStartedAt    time.Time
	expired          bool
	braked           bool
	reason           string
	evidenceReceived bool

	standing standingVerdict
	pending  pending

	own             tally
	total           tally
	peers           map[rail.Incarnation]peerTally
	latency         quantile
	failureRate     reference
	slowRate        reference
	failureDetector detector
	slowDetector    detector

	share float64
}

func newRoute(k key, deadline, now time.Time) *route {
	return &route{
		key:           k,
		seed:          seedOf(k),
		deadline:      deadline,
		startedAt:     now,
		stepStartedAt: now,
		peers:         map[rail.Incarnation]peerTally{},
		failureRate:   newReference(assumedFailureRate, failureRateFactor, failureRateMargin),
		slowRate:      newReference(1-slowQuantile, slowRateFactor, slowRateMargin),
	}
}

// observe counts one request of this entry; shortly after a step, requests of the new version count for the previous one.
func (r *route) observe(e Observed, now time.Time, settleTime time.Duration) {
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
		r.own.oldVersion = r.own.oldVersion.plus(c)
		r.addOld(c, now, now)
		return
	}
	step := r.step
	if step > 0 && now.Sub(r.stepStartedAt) < settleTime {
		step--
	}
	r.own.steps[step] = r.own.steps[step].plus(c)
	r.addNew(step, c, now)
}

// peerTally is the latest tally received from another entry.
type peerTally struct {
	tally      tally
	receivedAt time.Time
}

// applyTally adds the increase in the cumulative counts of another entry since its last tally; tallies in between may have been lost.
func (r *route) applyTally(from rail.Incarnation, t tally, now time.Time) {
	last := r.peers[from]
	if !t.oldVersion.atLeast(last.tally.oldVersion) || !t.newVersion().atLeast(last.tally.newVersion()) {
		return
	}
	r.peers[from] = peerTally{tally: t, receivedAt: now}
	r.addOld(t.oldVersion.minus(last.tally.oldVersion), last.receivedAt, now)
	for i := range t.steps {
		r.addNew(i, t.steps[i].minus(last.tally.steps[i]), now)
	}
}

// addOld adds requests of the old version that ended after since.
func (r *route) addOld(c counts, since, now time.Time) {
	r.total.oldVersion = r.total.oldVersion.plus(c)
	r.failureRate.add(c.total, c.failed, now)
	r.slowRate.add(c.answered(), c.slow, now)
	r.failureDetector.addOld(c.total, c.failed, since)
	r.slowDetector.addOld(c.answered(), c.slow, since)
}

func (r *route) addNew(step int, c counts, now time.Time) {
	if c.total <= 0 {
		return
	}
	r.total.steps[step] = r.total.steps[step].plus(c)
	r.failureDetector.addNew(c.total, c.failed, r.failureRate.rate(), now)
	r.slowDetector.addNew(c.answered(), c.slow, r.slowRate.rate(), now)
}

// suspicious reports whether a detector has evidence for a fault, sufficient for an alarm or not.
func (r *route) suspicious() bool {
	return r.failureDetector.rising() || r.slowDetector.rising()
}

// fault returns the fault that the detectors have found, or the empty string.
func (r *route) fault(falseAlarmRate float64) string {
	oldServed := r.share < 1
	switch {
	case r.failureDetector.alarm(r.failureRate.rate(), falseAlarmRate, oldServed):
		return "fails more often than the old version"
	case r.slowDetector.alarm(r.slowRate.rate(), falseAlarmRate, oldServed):
		return "slower than the old version"
	}
	return ""
}

// stepPassed reports whether the evidence of the current step allows the next one.
func (r *route) stepPassed(s Settings) bool {
	c, effectSize := r.total.steps[r.step], s.steps[r.step].effectSize
	return rulesOut(c.total, c.failed, r.failureRate.rate(), effectSize, s.missRate) &&
		rulesOut(c.answered(), c.slow, r.slowRate.rate(), effectSize, s.missRate)
}

// plannedShare is the fraction of the time to the deadline that is divided among the steps.
const plannedShare = 0.75

// dwell returns the minimum time on a step.
func (r *route) dwell(s Settings, now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return s.maxDwell
	}
	window := time.Duration(plannedShare * float64(r.deadline.Sub(r.startedAt)))
	if now.Sub(r.startedAt) >= window {
		return s.minDwell
	}
	return max(s.minDwell, min(s.maxDwell, window/time.Duration(len(s.steps))))
}

// setStep moves to a step that the evidence of this entry or a peer allows.
func (r *route) setStep(step int, now time.Time) {
	r.step, r.stepStartedAt = step, now
}

// updateShare computes the share of the new version; it must be called after every change of the state.
func (r *route) updateShare(s Settings, caughtUp bool) {
	switch {
	case r.braked || r.standing.verdict.Outcome == OutcomeRolledBack || r.standing.verdict.Braked:
		r.share = 0
	case r.standing.verdict.Outcome == OutcomeDone:
		r.share = 1
	case r.expired || (!caughtUp && !r.evidenceReceived):
		r.share = 0
	default:
		r.share = s.steps[r.step].share
	}
}

// final reports whether no further evidence can change the rollout.
func (r *route) final() bool {
	return r.standing.verdict.Outcome == OutcomeRolledBack || r.standing.verdict.Braked
}
