package gateway

import (
	"math"
	"time"
)

// quota bounds what a team may have admitted in any window, over all gateways.
// It answers one team that sends many times its usual: far from the limit each
// gateway admits what comes, near it each keeps to its part of what is left
// until it has heard from its peers again.
type quota struct {
	// slots hold what was admitted in the last window, own only what this gateway admitted.
	slots, own [quotaSlots]float64
	at         int64
	total      float64
	limit      float64
}

const (
	// quotaWindow is the span over which a team's limit is measured.
	quotaWindow = 8 * time.Second
	// quotaSlots is the number of parts of the window.
	quotaSlots = 32
	// quotaSlackShare and quotaOverShare are the parts of the slack and of a window's limit that are granted above it; the rest covers what peers admitted and have not told yet.
	quotaSlackShare = 0.45
	quotaOverShare  = 0.04
	// startFill is the part of the limit that a fresh gateway takes as used in the window before its start, about which it knows nothing.
	startFill = 0.85
	// nearLimit is the part of the limit that is left when gateways begin to keep to their parts.
	nearLimit = 0.3
	// recentSlots is the slots in which peers may not have heard of what was admitted here.
	recentSlots = 2
	// unevenness is how many times its even part a gateway may use, since callers do not spread evenly.
	unevenness = 2
)

// newQuota returns the quota of a team at the steady time.
func newQuota(steady time.Duration, limit float64) *quota {
	q := &quota{at: slotOf(steady), limit: limit, total: startFill * limit}
	for i := range q.slots {
		q.slots[i] = q.total / quotaSlots
	}
	return q
}

func slotOf(steady time.Duration) int64 { return int64(steady / (quotaWindow / quotaSlots)) }

// advance drops what has left the window and sets the limit.
func (q *quota) advance(steady time.Duration, limit float64) {
	q.limit = limit
	now := slotOf(steady)
	if now-q.at >= quotaSlots {
		q.slots, q.own, q.at, q.total = [quotaSlots]float64{}, [quotaSlots]float64{}, now, 0
	}
	for q.at < now {
		q.at++
		i := q.at % quotaSlots
		q.total -= q.slots[i]
		q.slots[i], q.own[i] = 0, 0
	}
}

// take admits the cost and reports whether there was room; otherwise it returns how long until there is.
func (q *quota) take(cost float64, gateways int) (bool, time.Duration) {
	left := q.limit - q.total
	recent := 0.0
	for i := range int64(recentSlots) {
		recent += q.own[(q.at-i+quotaSlots)%quotaSlots]
	}
	part := unevenness * (left + recent) / float64(max(1, gateways))
	if gateways <= unevenness {
		part = left + recent
	}
	far := left-cost > nearLimit*q.limit
	if far || (cost <= left && recent+cost <= math.Max(part, cost/unevenness)) {
		q.add(cost)
		q.own[q.at%quotaSlots] += cost
		return true, 0
	}
	return false, q.wait(cost - left)
}

// wait returns how long until enough has left the window.
func (q *quota) wait(missing float64) time.Duration {
	const slot = quotaWindow / quotaSlots
	freed := 0.0
	for i := int64(1); i <= quotaSlots; i++ {
		freed += q.slots[(q.at+i)%quotaSlots]
		if freed >= missing {
			return time.Duration(i) * slot
		}
	}
	return quotaWindow
}

// add counts what was admitted here or by a peer.
func (q *quota) add(cost float64) {
	q.slots[q.at%quotaSlots] += cost
	q.total += cost
}

// refund takes back what did not run.
func (q *quota) refund(cost float64) {
	q.add(-cost)
	q.own[q.at%quotaSlots] -= cost
}
