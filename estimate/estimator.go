package estimate

import (
	"math"
	"time"
)

const (
	// windowBuckets of bucketLength are the time that an estimate covers: a slow period of 600 ms fills less than half of it.
	windowBuckets = 6
	bucketLength  = 250 * time.Millisecond
	// observationMemory is how long observations count if there are too few newer ones, estimateMemory how long an estimate holds
	// without observations: an engine that is always processing prompts gives none, and one that was wrongly taken for slow and gets
	// no requests must be tried again.
	observationMemory = 30 * time.Second
	estimateMemory    = 2 * time.Minute
	// minObservations is the weight of the observations that an estimate needs: the gaps of a stream of half a second or more, or
	// some requests.
	minObservations = 24
	// quietShare is the quantile that is the estimate. Observations that met the work of other requests are longer, so that the
	// lower third shows the upstream itself; a slowdown shows after two thirds of the window.
	quietShare = 1.0 / 3
)

// Estimator estimates the ratio of the times of an upstream to the expected ones. The zero value has no estimate.
type Estimator struct {
	buckets [windowBuckets]bucket // The latest one is first.
	ratio   float64
	at      time.Time
}

// bucket holds the observations of one interval.
type bucket struct {
	number int64
	ratios Histogram
}

// Observe records the ratio of an observed time to the expected one, with a weight.
func (e *Estimator) Observe(now time.Time, ratio float64, weight int) {
	number := now.UnixNano() / int64(bucketLength)
	if e.buckets[0].number != number {
		copy(e.buckets[1:], e.buckets[:windowBuckets-1])
		e.buckets[0] = bucket{number: number}
	}
	e.buckets[0].ratios.Add(ratio, weight)
}

// Recent returns the observations of the last 1.5 seconds.
func (e *Estimator) Recent(now time.Time) Histogram {
	return e.since(now, windowBuckets*bucketLength)
}

func (e *Estimator) since(now time.Time, age time.Duration) Histogram {
	var sum Histogram
	oldest := now.UnixNano()/int64(bucketLength) - int64(age/bucketLength)
	for _, b := range e.buckets {
		if b.number > oldest {
			sum.Merge(b.ratios)
		}
	}
	return sum
}

// Update updates the estimate with what the other gateways observed recently. If all of that is too little, this gateway's earlier
// observations count too. While requests are queued at the upstream, it may have no quiet time at all, so that the observations can show
// that it is faster, but not that it is slower.
func (e *Estimator) Update(now time.Time, others Histogram, queued bool) {
	h := others
	h.Merge(e.Recent(now))
	if h.Count() < minObservations {
		h = others
		h.Merge(e.since(now, observationMemory))
	}
	if h.Count() < minObservations {
		if now.Sub(e.at) > estimateMemory {
			e.ratio = 0
		}
		return
	}
	ratio, reference := h.quantile(quietShare), e.ratio
	if reference == 0 {
		reference = noRatio
	}
	if queued && math.Log(ratio/reference) > tolerance {
		return
	}
	e.ratio, e.at = ratio, now
}

// Ratio returns the estimate, false if there is none.
func (e *Estimator) Ratio() (float64, bool) { return e.ratio, e.ratio > 0 }
