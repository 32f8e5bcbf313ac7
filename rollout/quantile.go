package rollout

import (
	"math"
	"time"
)

const (
	// slowQuantile is the fraction of the old version's answers that are not slow.
	slowQuantile = 0.9
	// slowTolerance is the part by which a slow answer exceeds the estimate at least: where the old version's answers hardly differ, the
	// load of a machine alone makes one version's slower than nearly all of the other's.
	slowTolerance = 0.1
	// initialGain and minGain are the largest and the smallest relative step of the estimate.
	initialGain = 0.5
	minGain     = 0.02
	// minQuantileSamples is the minimum number of answers for the estimate to be used.
	minQuantileSamples = 20
)

// quantile is a streaming estimate of the latency above which an answer is slow, from the old version's answers.
type quantile struct {
	value   float64
	samples int
}

func (q *quantile) add(latency time.Duration) {
	x := math.Max(float64(latency), 1)
	q.samples++
	if q.samples == 1 {
		q.value = x
		return
	}
	gain := math.Max(minGain, initialGain/math.Sqrt(float64(q.samples)))
	if x > q.value {
		q.value *= math.Exp(gain * slowQuantile)
	} else {
		q.value *= math.Exp(-gain * (1 - slowQuantile))
	}
}

// slow reports whether an answer counts as slow.
func (q *quantile) slow(latency time.Duration) bool {
	return q.samples >= minQuantileSamples && float64(latency) > q.value*(1+slowTolerance)
}
