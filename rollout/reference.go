package rollout

import (
	"math"
	"time"
)

const (
	longHalfLife  = 30 * time.Second
	shortHalfLife = 2 * time.Second
	// minShortTotal is the minimum number of requests for the short window to be used.
	minShortTotal = 20
	// priorWeight is the initial weight of the assumed rate in requests.
	priorWeight = 50
	// upperLimitZ is the distance of the upper confidence limit in standard deviations.
	upperLimitZ  = 2
	maxReference = 0.9
)

// decayingCounts are counts that decay with a half-life; without new requests they keep their values.
type decayingCounts struct {
	halfLife  time.Duration
	total     float64
	faulty    float64
	updatedAt time.Time
}

func (c *decayingCounts) add(total, faulty int, at time.Time) {
	if elapsed := at.Sub(c.updatedAt); elapsed > 0 {
		if !c.updatedAt.IsZero() {
			weight := math.Exp2(-float64(elapsed) / float64(c.halfLife))
			c.total *= weight
			c.faulty *= weight
		}
		c.updatedAt = at
	}
	c.total += float64(total)
	c.faulty += float64(faulty)
}

// reference is the current fault rate of the old version, with the tolerance by which the new one may be worse.
type reference struct {
	long   decayingCounts
	short  decayingCounts
	factor float64
	margin float64
}

// newReference returns a reference that starts at the assumed rate.
func newReference(assumedRate, factor, margin float64) reference {
	r := reference{factor: factor, margin: margin}
	r.long = decayingCounts{halfLife: longHalfLife, total: priorWeight, faulty: assumedRate * priorWeight}
	r.short = decayingCounts{halfLife: shortHalfLife}
	return r
}

func (r *reference) add(total, faulty int, at time.Time) {
	if total == 0 {
		return
	}
	r.long.add(total, faulty, at)
	r.short.add(total, faulty, at)
}

// rate returns the highest fault rate at which the new version is considered good.
func (r *reference) rate() float64 {
	rate := upperLimit(r.long.total, r.long.faulty)
	if r.short.total >= minShortTotal {
		rate = math.Max(rate, r.short.faulty/r.short.total)
	}
	return math.Min(maxReference, r.factor*rate+r.margin)
}

// upperLimit returns the upper limit of the Wilson score interval of a rate.
func upperLimit(total, faulty float64) float64 {
	const z2 = upperLimitZ * upperLimitZ
	if total <= 0 {
		return 1
	}
	rate := faulty / total
	centre := rate + z2/(2*total)
	width := upperLimitZ * math.Sqrt(rate*(1-rate)/total+z2/(4*total*total))
	return math.Min(1, (centre+width)/(1+z2/total))
}
