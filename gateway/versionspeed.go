package gateway

import (
	"maps"
	"math"
	"time"

	"dandelionrail.org/rail"
)

// speedKey identifies the answers of a version on a route during an order.
type speedKey struct {
	versionKey
	route rail.RouteName
}

// speed sums how long answers took, as the logarithm of the ratio to the time that was expected at the load that they met: the
// version on trial has another load than the others.
type speed struct {
	count        int64
	sum, squares float64
}

func (v *speed) add(o speed) {
	v.count += o.count
	v.sum += o.sum
	v.squares += o.squares
}

// without returns the sums without those of before.
func (v speed) without(before speed) speed {
	return speed{count: v.count - before.count, sum: v.sum - before.sum, squares: v.squares - before.squares}
}

func (v *speed) addRatio(ratio float64) {
	x := math.Log(max(ratio, minSpeedRatio))
	v.add(speed{count: 1, sum: x, squares: x * x})
}

func (v speed) mean() float64 { return v.sum / float64(v.count) }

// variance returns the variance of the logarithm, that of a narrow distribution at least: a few values may be alike by chance.
func (v speed) variance() float64 {
	return max(minSpeedVariance, v.squares/float64(v.count)-v.mean()*v.mean())
}

const (
	minSpeedRatio    = 0.01
	minSpeedVariance = 0.09
	// minSpeeds is the number of answers of each version from which their speeds are compared.
	minSpeeds = 8
	// tolerableSlowness is the factor by which a version may be slower than the others.
	tolerableSlowness = 1.4
	// slowDeviations is the number of standard errors by which a version must exceed tolerableSlowness for a bad verdict.
	slowDeviations = 3
	// lateRatio is the ratio from which an attempt counts that has not ended yet.
	lateRatio = 2
)

// slowness returns the difference between the logarithms of the versions' times and its standard error, false if there are too
// few answers.
func slowness(target, others speed) (difference, deviation float64, ok bool) {
	if target.count < minSpeeds || others.count < minSpeeds {
		return 0, 0, false
	}
	variance := target.variance()/float64(target.count) + others.variance()/float64(others.count)
	return target.mean() - others.mean(), math.Sqrt(variance), true
}

// significantlySlower reports whether the target is slower than tolerable beyond chance.
func significantlySlower(target, others speed) bool {
	difference, deviation, ok := slowness(target, others)
	return ok && difference > math.Log(tolerableSlowness)+slowDeviations*deviation
}

// expectedTime returns the time that the attempt's answer should take with the number of output tokens, one millisecond for a
// service whose answer times do not follow from the request.
func (p *pendingCall) expectedTime(tokens int64) time.Duration {
	if p.service == nil || !p.service.isEngine() {
		return time.Millisecond
	}
	return p.expectedFirst + time.Duration(tokens)*p.expectedStep
}

// speedRatio returns the ratio of the time since the attempt was sent to the expected one.
func (s *State) speedRatio(p *pendingCall, tokens int64) float64 {
	return s.now.Sub(p.sentAt).Seconds() / p.expectedTime(tokens).Seconds()
}

// speedKey returns the key under which the time of the attempt's answer counts, false if it does not tell the speed of a version
// with a rollout. A retry is late, and an upstream that is warming up is slow, for another reason.
func (s *State) speedKey(p *pendingCall) (speedKey, bool) {
	k, ok := s.presentKey(p.version)
	return speedKey{k, rail.RouteName(p.route.name)}, ok && p.attempts <= 1 && p.target.warmUp <= 0
}

// recordSpeed records how long a complete answer took.
func (s *State) recordSpeed(p *pendingCall, o Outcome) {
	k, ok := s.speedKey(p)
	if o.kind != rail.KindNone || !ok {
		return
	}
	v := s.speeds[k]
	v.addRatio(s.speedRatio(p, int64(o.events)*p.service.EventTokens()))
	s.speeds[k] = v
}

// currentSpeeds returns the speeds of the answers that have ended, and of those that are late already.
func (s *State) currentSpeeds() map[speedKey]speed {
	current := maps.Clone(s.speeds)
	if len(s.rollouts) == 0 {
		return current
	}
	for c, p := range s.calls {
		k, ok := s.speedKey(p)
		if !ok || !p.service.isEngine() || s.suspectsPartition(p.service.name) {
			continue
		}
		if ratio := s.speedRatio(p, c.output); ratio >= lateRatio {
			v := current[k]
			v.addRatio(ratio)
			current[k] = v
		}
	}
	return current
}

// versionSpeeds holds the speeds of the target version and of all other versions.
type versionSpeeds struct{ target, others speed }

// rolloutSpeeds holds the speeds of a rollout's versions over all gateways, by route, and over all routes.
type rolloutSpeeds struct {
	byRoute map[rail.RouteName]versionSpeeds
	all     versionSpeeds
}

// speedsOf returns the speeds of the rollout's versions.
func (s *State) speedsOf(r *rollout) rolloutSpeeds {
	x := rolloutSpeeds{byRoute: map[rail.RouteName]versionSpeeds{}}
	add := func(speeds map[speedKey]speed) {
		for k, v := range speeds {
			if k.service != r.service || !r.hasID(k.order) {
				continue
			}
			route := x.byRoute[k.route]
			if k.version == r.target {
				route.target.add(v)
				x.all.target.add(v)
			} else {
				route.others.add(v)
				x.all.others.add(v)
			}
			x.byRoute[k.route] = route
		}
	}
	add(s.currentSpeeds())
	for _, p := range s.peers {
		add(p.digest.speeds)
	}
	return x
}

// slow reports whether the target version is significantly slower than the others, on all routes together or on one, in all of its
// answers or in those since before, its speed at the last step.
func (x rolloutSpeeds) slow(before speed) bool {
	if significantlySlower(x.all.target, x.all.others) || significantlySlower(x.all.target.without(before), x.all.others) {
		return true
	}
	for _, v := range x.byRoute {
		if significantlySlower(v.target, v.others) {
			return true
		}
	}
	return false
}

// slowness returns how many times longer the answers of the target version take, zero if that is not known.
func (x rolloutSpeeds) slowness() float64 {
	difference, _, ok := slowness(x.all.target, x.all.others)
	if !ok {
		return 0
	}
	return math.Exp(difference)
}

// tolerable reports whether the target version is not much slower than the others, by what is known of their speeds, in all of its
// answers and in those since before, its speed at the last step.
func (x rolloutSpeeds) tolerable(before speed) bool {
	return isTolerable(x.all.target, x.all.others) && isTolerable(x.all.target.without(before), x.all.others)
}

// isTolerable reports whether the target is not known to be slower than tolerable.
func isTolerable(target, others speed) bool {
	difference, _, ok := slowness(target, others)
	return !ok || difference <= math.Log(tolerableSlowness)
}
