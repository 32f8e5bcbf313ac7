package gateway

import (
	"math"
	"time"
)

// quota limits what is admitted for a team in any window, over all gateways. It
// guards against a team that suddenly sends many times its usual load: until
// the next digests arrive, a gateway admits at most its share of what remains,
// and until it would detect a partition, at most its share of a fraction of it.
type quota struct {
	// own is what this gateway admitted in each slot of the last window.
	own [quotaSlots]float64
	// restored is what the store recorded for the time before this start.
	restored [quotaSlots]float64
	// estimated is what is assumed to be admitted where no record exists: it counts against the limit, but is not sent to peers or stored.
	estimated   [quotaSlots]float64
	currentSlot int64
	// others is what the other gateways admitted; othersAt is the uptime at which it was known.
	others   buckets
	othersAt time.Duration
	total    float64
	bound
	// reserved is the part of the limit that silent gateways may use.
	reserved float64
}

// buckets is what was admitted in each eighth of the last window, latest first.
type buckets [quotaBuckets]float64

// shifted returns the buckets as they will be after the given number of eighths.
func (b buckets) shifted(by int) buckets {
	var s buckets
	for i := by; i < len(b); i++ {
		s[i] = b[i-by]
	}
	return s
}

// sum returns what was admitted in the window.
func (b buckets) sum() float64 {
	sum := 0.0
	for _, n := range b {
		sum += n
	}
	return sum
}

func (b *buckets) add(o buckets) {
	for i := range b {
		b[i] += o[i]
	}
}

// bound is the limit of a team in any window, over all gateways.
type bound struct {
	window time.Duration
	limit  float64
	// headroom is what may be admitted beyond the limit before the gateways have exchanged digests.
	headroom float64
	pacing
}

// newBound returns the bound for a rate in tokens a second and a burst in a fleet of the pacing.
func newBound(rate, burst float64, s Slack, p pacing) bound {
	inWindow := s.window.Seconds()*rate + burst
	limit := inWindow
	if p.grantsSlack {
		limit += inWindow*quotaOverShare*s.over + quotaSlackShare*s.tokens
	}
	return bound{window: s.window, limit: limit, headroom: inWindow*(1+s.over) + s.tokens - limit, pacing: p}
}

// slot returns the number of the slot at the uptime.
func (b bound) slot(uptime time.Duration) int64 { return int64(uptime / b.slotLength()) }

func (b bound) slotLength() time.Duration { return b.window / quotaSlots }

// pacing bounds what a gateway admits in the time in which the others do not know of it, or do not know yet that they are
// partitioned from it.
type pacing struct {
	// unsharedSlots is the number of slots whose admissions peers may not have received yet, and imbalance how many times
	// its share of the rest of the limit a gateway may use in them.
	unsharedSlots int64
	imbalance     float64
	// undetectedSlots is the number of slots in which a partition may not have been detected yet. In them a gateway may use
	// its share of burstShare of the rest of the limit, and of burstImbalance times the limit's rate.
	undetectedSlots            int64
	burstShare, burstImbalance float64
	// requestPart is the part of a request that must fit in a gateway's share. Gateways with a share of few requests would exceed
	// it by one each with none, and leave as much of it unused with the whole.
	requestPart float64
	// grantsSlack reports whether part of the slack is granted above the limit.
	grantsSlack bool
	// referenceHeadroom is the headroom, as a share of the limit, that burstShare and burstImbalance assume; smaller teams have
	// more of it, since the slack is the same for all.
	referenceHeadroom float64
}

var (
	// meshPacing is for fleets in which each gateway exchanges digests with all others. Peers know of an admission after one
	// exchange and of a partition after reserveTimeout, both rounded up. Callers are not distributed evenly, and those that
	// all use one gateway are served at their usual rate. If both halves of a partition use burstShare, and then each its
	// half of the limit, they stay within the slack.
	meshPacing = pacing{unsharedSlots: 2, imbalance: 1.3, undetectedSlots: 3, burstShare: 0.15, burstImbalance: 2, grantsSlack: true, referenceHeadroom: 0.17}
	// cellPacing is for large fleets, in which news passes two leaders, each at its next exchange: both take up to two seconds.
	// The slack covers what is admitted until then.
	cellPacing = pacing{unsharedSlots: 8, imbalance: 2.1, undetectedSlots: 8, burstShare: 1.7, burstImbalance: 1.2, requestPart: 0.4, referenceHeadroom: 0.22}
)

const (
	// quotaSlots is the number of slots of the window.
	quotaSlots = 32
	// quotaSlackShare and quotaOverShare are the shares of the slack that are granted above a limit; the rest covers what peers admitted and have not reported yet.
	quotaSlackShare = 0.3
	quotaOverShare  = 0.2
)

// newQuota returns the quota of a team at the gateway's uptime. Nothing was
// admitted before the first start of the whole system; before any other start,
// the full limit is assumed to be used until the store's record is restored.
func newQuota(uptime time.Duration, b bound, firstStart bool) *quota {
	q := &quota{currentSlot: b.slot(uptime), bound: b}
	if !firstStart {
		for i := q.currentSlot - quotaSlots + 1; i <= 0; i++ {
			q.estimated[(i+quotaSlots)%quotaSlots] = b.limit / quotaSlots
		}
	}
	q.updateTotal()
	return q
}

// advance clears the slots that left the window and sets the bound.
func (q *quota) advance(uptime time.Duration, b bound) {
	now := b.slot(uptime)
	if q.bound == b && now == q.currentSlot {
		return
	}
	q.bound = b
	if now-q.currentSlot >= quotaSlots {
		*q = quota{currentSlot: now, bound: b, others: q.others, othersAt: q.othersAt, reserved: q.reserved}
	}
	for q.currentSlot < now {
		q.currentSlot++
		i := q.currentSlot % quotaSlots
		q.own[i], q.restored[i], q.estimated[i] = 0, 0, 0
	}
	q.updateTotal()
}

// setOthers sets what the other gateways admitted, as known at the uptime. What was known to be admitted stays so until it
// leaves the window, also if no digest reports it any more because its gateway, or the leader that knew it, is silent.
func (q *quota) setOthers(others buckets, uptime time.Duration) {
	bucketLength := q.window / quotaBuckets
	age := int((uptime - q.othersAt) / bucketLength)
	// The buckets of different digests leave the window at different times within one bucket.
	if others.sum() >= q.others.shifted(age+1).sum() {
		q.others, q.othersAt = others, uptime
	} else {
		q.others, q.othersAt = q.others.shifted(age), q.othersAt+time.Duration(age)*bucketLength
	}
	q.updateTotal()
}

// updateTotal sums the window. What the other gateways admitted before this
// start is also in the store's record, which includes gateways that have
// stopped since, so that only the larger of the two counts.
func (q *quota) updateTotal() {
	own, restored := 0.0, 0.0
	for i := range quotaSlots {
		own += q.own[i]
		restored += q.restored[i] + q.estimated[i]
	}
	since, before := 0.0, 0.0
	for i, n := range q.others {
		if int64(i)*quotaSlots/quotaBuckets <= q.currentSlot {
			since += n
		} else {
			before += n
		}
	}
	q.total = own + since + math.Max(restored, before)
}

// ownBuckets returns what this gateway admitted, as digests report it.
func (q *quota) ownBuckets() buckets { return q.toBuckets(&q.own) }

// toBuckets sums the slots into buckets, latest first.
func (q *quota) toBuckets(slots *[quotaSlots]float64) buckets {
	var b buckets
	for i := range int64(quotaSlots) {
		b[i*quotaBuckets/quotaSlots] += slots[(q.currentSlot-i+quotaSlots)%quotaSlots]
	}
	return b
}

// take admits the cost if the limit has room. Otherwise it returns false and the time until it has.
// The share is this gateway's share of the callers of all gateways with recent digests.
func (q *quota) take(cost, share float64) (bool, time.Duration) {
	remaining := q.limit - q.total - q.reserved
	unshared, undetected := q.recent(q.unsharedSlots), q.recent(q.undetectedSlots)
	rate := q.limit * float64(q.undetectedSlots) / quotaSlots
	headroomFactor := math.Max(1, q.headroom/q.limit/q.referenceHeadroom)
	if cost <= remaining &&
		q.fits(cost, unshared, headroomFactor*q.imbalance*(remaining+unshared)*share) &&
		q.fits(cost, undetected, headroomFactor*(q.burstShare*(remaining+undetected)+q.burstImbalance*rate)*share) {
		q.own[q.currentSlot%quotaSlots] += cost
		q.total += cost
		return true, 0
	}
	return false, q.waitFor(cost - remaining)
}

// fits reports whether a request may be added to what this gateway admitted of its share. The first one may be larger than the share.
func (p pacing) fits(cost, admitted, share float64) bool {
	return admitted == 0 || admitted+p.requestPart*cost <= share
}

// recent returns what this gateway admitted in the latest slots.
func (q *quota) recent(slots int64) float64 {
	sum := 0.0
	for i := range slots {
		sum += q.own[(q.currentSlot-i+quotaSlots)%quotaSlots]
	}
	return sum
}

// silentAllowance returns how much of the limit may be used by gateways that have been silent for a time and have the
// share of all callers: their share of what remained at their last digest, and of what has left the window since.
func (q *quota) silentAllowance(remaining float64, silent time.Duration, share float64) float64 {
	freed := (q.limit - remaining) * math.Min(1, silent.Seconds()/q.window.Seconds())
	return share * (remaining + freed)
}

// quotaBuckets is the number of buckets of a window in digests and in the store.
const quotaBuckets = 8

// snapshot returns what all gateways admitted as the record for the store: tokens in each eighth of the window, latest first.
func (q *quota) snapshot() []int64 {
	all := q.ownBuckets()
	all.add(q.others)
	restored := q.toBuckets(&q.restored)
	stored := make([]int64, quotaBuckets)
	for i := range stored {
		stored[i] = int64(math.Max(all[i], restored[i]))
	}
	return stored
}

// restore replaces the assumption about the time before this gateway's start by
// the store's record. The record lacks what was admitted between its writing and
// the stop of the gateways; for this gap the limit's rate is assumed, or the last
// recorded rate if that is larger.
func (q *quota) restore(stored []int64, age time.Duration) {
	q.restored, q.estimated = [quotaSlots]float64{}, [quotaSlots]float64{}
	shift := max(0, q.slot(age-maxClockSkew))
	latest, sum := 0.0, 0.0
	for i, n := range stored {
		if i < restoreRateBuckets {
			latest = math.Max(latest, float64(n)*quotaBuckets/q.window.Seconds())
		}
		// A bucket counts as admitted at its end, so that it does not leave the window early.
		if back := int64(i)*quotaSlots/quotaBuckets + shift; back < quotaSlots {
			q.restored[(q.currentSlot-back+quotaSlots)%quotaSlots] += float64(n)
			sum += float64(n)
		}
	}
	unknown := math.Max(restoreGapSeconds, age.Seconds())
	rate := math.Max(latest, q.limit/q.window.Seconds())
	if missing := math.Min(math.Min(unknown, q.window.Seconds())*rate, q.limit-sum); missing > 0 {
		q.estimated[q.currentSlot%quotaSlots] += missing
	}
	q.updateTotal()
}

const (
	// restoreRateBuckets is the number of buckets that the last recorded rate is taken from.
	restoreRateBuckets = 3
	// maxClockSkew is the maximum difference between the clocks of two gateways.
	maxClockSkew = 250 * time.Millisecond
	// restoreGapSeconds is the minimum length of the gap in a record: the interval between two records, and what peers had not reported.
	restoreGapSeconds = 1.8
)

// waitFor returns the time until the missing amount has left the window.
func (q *quota) waitFor(missing float64) time.Duration {
	freed := 0.0
	for i := int64(1); i <= quotaSlots; i++ {
		freed += q.own[(q.currentSlot+i)%quotaSlots] + q.restored[(q.currentSlot+i)%quotaSlots] + q.estimated[(q.currentSlot+i)%quotaSlots] + q.others[(quotaSlots-i)*quotaBuckets/quotaSlots]*quotaBuckets/quotaSlots
		if freed >= missing {
			return time.Duration(i) * q.slotLength()
		}
	}
	return q.window
}

// refund returns the cost of a call that did not run.
func (q *quota) refund(cost float64) {
	q.own[q.currentSlot%quotaSlots] -= cost
	q.total -= cost
}
