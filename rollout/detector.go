package rollout

import (
	"math"
	"time"
)

// effectSizes are the increases in the fault rate that a detector tests for, as fractions of the requests that are not faulty at the reference rate.
var effectSizes = [...]float64{0.03, 0.1, 0.3, 0.7}

const (
	// suspicionThreshold is the log-likelihood ratio from which evidence is published in every tick.
	suspicionThreshold = 1
	// outageErrorRate is the maximum probability that an entry mistakes an outage of both versions for a fault of the new one.
	outageErrorRate = 0.002
)

// detector is a sequential probability ratio test for an increase of a fault
// rate over a variable reference. Each statistic restarts at zero (CUSUM), so
// that a fault is detected as fast after a million good requests as after none.
// The counts of both versions since a statistic started to rise are kept, so
// that an outage of both at the same time is not mistaken for a fault of one.
type detector struct {
	statistics  [len(effectSizes)]float64
	risingSince time.Time
	newVersion  ratio
	oldVersion  ratio
}

// ratio counts requests of which some were faulty.
type ratio struct {
	total  int
	faulty int
}

func (r *ratio) add(total, faulty int) {
	r.total += total
	r.faulty += faulty
}

func (r ratio) rate() float64 { return float64(r.faulty) / float64(max(1, r.total)) }

// logLikelihood returns the log of the probability of the counts at the rate.
func (r ratio) logLikelihood(rate float64) float64 {
	sum := 0.0
	if r.faulty > 0 {
		sum += float64(r.faulty) * math.Log(rate)
	}
	if good := r.total - r.faulty; good > 0 {
		sum += float64(good) * math.Log(1-rate)
	}
	return sum
}

// addOld adds requests of the old version that ended after since; their faults
// are already in the reference. Counts of a peer that began before the statistic
// started to rise can't be compared and are ignored.
func (d *detector) addOld(total, faulty int, since time.Time) {
	if !d.risingSince.IsZero() && !since.Before(d.risingSince) {
		d.oldVersion.add(total, faulty)
	}
}

// addNew adds requests of the new version, with the reference rate at this time.
func (d *detector) addNew(total, faulty int, reference float64, now time.Time) {
	if total == 0 {
		return
	}
	for i, effectSize := range effectSizes {
		d.statistics[i] = math.Max(0, d.statistics[i]+logLikelihoodRatio(total, faulty, reference, effectSize))
	}
	switch rising := d.rising(); {
	case !rising:
		d.risingSince, d.newVersion, d.oldVersion = time.Time{}, ratio{}, ratio{}
		return
	case d.risingSince.IsZero():
		d.risingSince = now
	}
	d.newVersion.add(total, faulty)
}

// rising reports whether a statistic exceeds the suspicion threshold.
func (d *detector) rising() bool { return d.exceeds(suspicionThreshold) }

func (d *detector) exceeds(threshold float64) bool {
	for _, s := range d.statistics {
		if s > threshold {
			return true
		}
	}
	return false
}

// alarm reports whether a statistic exceeds the threshold of the false alarm
// rate and the requests of the old version since the rise rule out that it is
// as faulty. Without requests on the old version, twice the threshold is needed.
func (d *detector) alarm(reference, falseAlarmRate float64, oldServed bool) bool {
	threshold := math.Log(float64(len(effectSizes)) / falseAlarmRate)
	if !oldServed {
		return d.exceeds(2 * threshold)
	}
	return d.exceeds(threshold) && d.onlyNewFaulty(reference)
}

// onlyNewFaulty reports whether the requests of both versions since the rise are
// more likely with separate fault rates, the old version's within the reference,
// than with one rate for both, by a factor of at least 1/outageErrorRate.
func (d *detector) onlyNewFaulty(reference float64) bool {
	both := ratio{total: d.oldVersion.total + d.newVersion.total, faulty: d.oldVersion.faulty + d.newVersion.faulty}
	separate := d.newVersion.logLikelihood(d.newVersion.rate()) + d.oldVersion.logLikelihood(math.Min(reference, d.oldVersion.rate()))
	return separate-both.logLikelihood(both.rate()) >= math.Log(1/outageErrorRate)
}

// logLikelihoodRatio returns the log of the ratio of the counts' probability at the raised rate to that at the reference rate.
func logLikelihoodRatio(total, faulty int, reference, effectSize float64) float64 {
	raised := reference + (1-reference)*effectSize
	bad, good := float64(faulty), float64(total-faulty)
	return bad*math.Log(raised/reference) + good*math.Log((1-raised)/(1-reference))
}

// rulesOut reports whether the counts rule out, up to the miss rate, that the rate is raised by the effect size.
func rulesOut(total, faulty int, reference, effectSize, missRate float64) bool {
	return -logLikelihoodRatio(total, faulty, reference, effectSize) >= math.Log(1/missRate)
}
