package gateway

import (
	"math"
	"time"
)

// quota bounds what a team may have admitted in any window, over all gateways.
// It answers one team that sends many times its usual: until a gateway has
// heard from its peers again it admits no more than its part of what is left.
type quota struct {
	// slots hold what was admitted in the last window, own only what this gateway admitted.
	slots, own [quotaSlots]float64
	// guess holds what is taken as admitted where nothing is known: it counts, and is not passed on as known.
	guess [quotaSlots]float64
	at    int64
	total float64
	limit float64
}

const (
	// quotaWindow is the span over which a team's limit is measured.
	quotaWindow = 8 * time.Second
	// quotaSlots is the number of parts of the window.
	quotaSlots = 32
	// quotaSlackShare and quotaOverShare are the parts of the slack and of a window's limit that are granted above it; the rest covers what peers admitted and have not told yet.
	quotaSlackShare = 0.35
	quotaOverShare  = 0.02
	// recentSlots is the slots in which peers may not have heard of what was admitted here.
	recentSlots = 2
	// unevenness is how many times its even part a gateway may use, since callers do not spread evenly.
	unevenness = 1.3
)

// newQuota returns the quota of a team at the time since the gateway's start.
// Nothing was admitted before the first start of the whole system; before any
// other, the whole limit is taken as used until the store tells more.
func newQuota(steady time.Duration, limit float64, firstStart bool) *quota {
	q := &quota{at: slotOf(steady), limit: limit}
	if firstStart {
		return q
	}
	for i := q.at - quotaSlots + 1; i <= 0; i++ {
		q.guess[(i+quotaSlots)%quotaSlots] = limit / quotaSlots
		q.total += limit / quotaSlots
	}
	return q
}

func slotOf(steady time.Duration) int64 { return int64(steady / (quotaWindow / quotaSlots)) }

// advance drops what has left the window and sets the limit.
func (q *quota) advance(steady time.Duration, limit float64) {
	q.limit = limit
	now := slotOf(steady)
	if now-q.at >= quotaSlots {
		*q = quota{at: now, limit: limit}
	}
	for q.at < now {
		q.at++
		i := q.at % quotaSlots
		q.total -= q.slots[i] + q.guess[i]
		q.slots[i], q.own[i], q.guess[i] = 0, 0, 0
	}
}

// take admits the cost and reports whether there was room; otherwise it returns how long until there is.
func (q *quota) take(cost float64, gateways int) (bool, time.Duration) {
	left := q.limit - q.total
	recent := 0.0
	for i := range int64(recentSlots) {
		recent += q.own[(q.at-i+quotaSlots)%quotaSlots]
	}
	part := left + recent
	if gateways > 1 {
		part *= unevenness / float64(gateways)
	}
	if cost <= left && (recent+cost <= part || recent == 0) {
		q.add(cost)
		q.own[q.at%quotaSlots] += cost
		return true, 0
	}
	return false, q.wait(cost - left)
}

// recallSeconds is the parts in which the admitted of a window is kept in the store.
const recallSeconds = int(quotaWindow / time.Second)

// bySecond returns what was admitted in each second of the window, the oldest first.
func (q *quota) bySecond() []int64 {
	seconds := make([]int64, recallSeconds)
	perSecond := quotaSlots / recallSeconds
	for i := range quotaSlots {
		seconds[i/perSecond] += int64(q.slots[(q.at+1+int64(i))%quotaSlots])
	}
	return seconds
}

// recall replaces what a fresh gateway assumed of the time before its start by
// what the store kept. What was admitted between the last record and the end of
// the gateways is not in it; their last rate is taken for it.
func (q *quota) recall(seconds []int64, age time.Duration) {
	since := q.own
	q.slots, q.guess, q.total = [quotaSlots]float64{}, [quotaSlots]float64{}, 0
	perSecond := int64(quotaSlots / recallSeconds)
	shift := max(0, slotOf(age-clockDoubt))
	latest := 0.0
	for i, n := range seconds {
		if i >= len(seconds)-recallRate {
			latest = math.Max(latest, float64(n))
		}
		// All of a second is taken as admitted at its end, so that it does not leave the window early.
		if back := int64(len(seconds)-1-i)*perSecond + shift; back < quotaSlots {
			q.slots[(q.at-back+quotaSlots)%quotaSlots] += float64(n)
		}
	}
	for i, n := range since {
		q.slots[i] += n
	}
	for _, n := range q.slots {
		q.total += n
	}
	if missing := math.Min(recallGap*latest, q.limit-q.total); missing > 0 {
		q.guess[q.at%quotaSlots] += missing
		q.total += missing
	}
}

const (
	// recallRate is the number of seconds that the last rate is taken from.
	recallRate = 3
	// clockDoubt is how far the clocks of two gateways may be apart.
	clockDoubt = quotaWindow / quotaSlots
	// recallGap is the seconds that may be missing: those between two records, and what peers had not told.
	recallGap = 1.8
)

// wait returns how long until enough has left the window.
func (q *quota) wait(missing float64) time.Duration {
	const slot = quotaWindow / quotaSlots
	freed := 0.0
	for i := int64(1); i <= quotaSlots; i++ {
		freed += q.slots[(q.at+i)%quotaSlots] + q.guess[(q.at+i)%quotaSlots]
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
