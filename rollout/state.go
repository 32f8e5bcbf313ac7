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

// rolloutState is the state of one rollout on one route.
type rolloutState struct {
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

func newRolloutState(k key, deadline, now time.Time) *rolloutState {
	return &rolloutState{
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
func (state *rolloutState) observe(e Observed, now time.Time, settleTime time.Duration) {
	c := counts{total: 1}
	switch {
	case !e.ok:
		c.failed = 1
	case state.latency.slow(e.latency):
		c.slow = 1
	}
	if e.version == state.key.stable {
		if e.ok {
			state.latency.add(e.latency)
		}
		state.own.oldVersion = state.own.oldVersion.plus(c)
		state.addOld(c, now, now)
		return
	}
	step := state.step
	if step > 0 && now.Sub(state.stepStartedAt) < settleTime {
		step--
	}
	state.own.steps[step] = state.own.steps[step].plus(c)
	state.addNew(step, c, now)
}

// peerTally is the latest tally received from another entry.
type peerTally struct {
	tally      tally
	receivedAt time.Time
}

// applyTally adds the increase in the cumulative counts of another entry since its last tally; tallies in between may have been lost.
func (state *rolloutState) applyTally(from rail.Incarnation, t tally, now time.Time) {
	last := state.peers[from]
	if !t.oldVersion.atLeast(last.tally.oldVersion) || !t.newVersion().atLeast(last.tally.newVersion()) {
		return
	}
	state.peers[from] = peerTally{tally: t, receivedAt: now}
	state.addOld(t.oldVersion.minus(last.tally.oldVersion), last.receivedAt, now)
	for i := range t.steps {
		state.addNew(i, t.steps[i].minus(last.tally.steps[i]), now)
	}
}

// addOld adds requests of the old version that ended after since.
func (state *rolloutState) addOld(c counts, since, now time.Time) {
	state.total.oldVersion = state.total.oldVersion.plus(c)
	state.failureRate.add(c.total, c.failed, now)
	state.slowRate.add(c.answered(), c.slow, now)
	state.failureDetector.addOld(c.total, c.failed, since)
	state.slowDetector.addOld(c.answered(), c.slow, since)
}

func (state *rolloutState) addNew(step int, c counts, now time.Time) {
	if c.total <= 0 {
		return
	}
	state.total.steps[step] = state.total.steps[step].plus(c)
	state.failureDetector.addNew(c.total, c.failed, state.failureRate.rate(), now)
	state.slowDetector.addNew(c.answered(), c.slow, state.slowRate.rate(), now)
}

// suspicious reports whether a detector has evidence for a fault, sufficient for an alarm or not.
func (state *rolloutState) suspicious() bool {
	return state.failureDetector.rising() || state.slowDetector.rising()
}

// fault returns the fault that the detectors have found, or the empty string.
func (state *rolloutState) fault(falseAlarmRate float64) string {
	oldServed := state.share < 1
	switch {
	case state.failureDetector.alarm(state.failureRate.rate(), falseAlarmRate, oldServed):
		return "fails more often than the old version"
	case state.slowDetector.alarm(state.slowRate.rate(), falseAlarmRate, oldServed):
		return "slower than the old version"
	}
	return ""
}

// stepPassed reports whether the evidence of the current step allows the next one.
func (state *rolloutState) stepPassed(s Settings) bool {
	c, effectSize := state.total.steps[state.step], s.steps[state.step].effectSize
	return rulesOut(c.total, c.failed, state.failureRate.rate(), effectSize, s.missRate) &&
		rulesOut(c.answered(), c.slow, state.slowRate.rate(), effectSize, s.missRate)
}

// plannedShare is the fraction of the time to the deadline that is divided among the steps.
const plannedShare = 0.75

// dwell returns the minimum time on a step.
func (state *rolloutState) dwell(s Settings, now time.Time) time.Duration {
	if state.deadline.IsZero() {
		return s.maxDwell
	}
	window := time.Duration(plannedShare * float64(state.deadline.Sub(state.startedAt)))
	if now.Sub(state.startedAt) >= window {
		return s.minDwell
	}
	return max(s.minDwell, min(s.maxDwell, window/time.Duration(len(s.steps))))
}

// setStep moves to a step that the evidence of this entry or a peer allows.
func (state *rolloutState) setStep(step int, now time.Time) {
	state.step, state.stepStartedAt = step, now
}

// updateShare computes the share of the new version; it must be called after every change of the state.
func (state *rolloutState) updateShare(s Settings, caughtUp bool) {
	switch {
	case state.braked || state.standing.verdict.Outcome == OutcomeRolledBack || state.standing.verdict.Braked:
		state.share = 0
	case state.standing.verdict.Outcome == OutcomeDone:
		state.share = 1
	case state.expired || (!caughtUp && !state.evidenceReceived):
		state.share = 0
	default:
		state.share = s.steps[state.step].share
	}
}

// final reports whether no further evidence can change the rollout.
func (state *rolloutState) final() bool {
	return state.standing.verdict.Outcome == OutcomeRolledBack || state.standing.verdict.Braked
}
