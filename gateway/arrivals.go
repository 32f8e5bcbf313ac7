package gateway

import (
	"math"
	"time"
)

// arrivals tracks the request rate of each team at this gateway. A rate above
// the baseline distinguishes gateways that failed, whose callers reconnect
// here, from partitioned gateways that still serve their callers.
type arrivals struct {
	teams     map[string]*arrivalRate
	updatedAt time.Time
}

// arrivalRate holds one team's requests since the last update, and their rates in requests a second.
type arrivalRate struct {
	count, recent, baseline float64
	// delayed is a ring buffer of the latest rates, which enter the baseline later: a gateway's silence is detected with a delay.
	delayed     [baselineDelayTicks]float64
	nextDelayed int
}

const (
	// recentTimeConstant and baselineTimeConstant are the time constants of the moving averages: callers reconnect within a second, and a burst lasts some seconds.
	recentTimeConstant   = 500 * time.Millisecond
	baselineTimeConstant = 3 * time.Second
	// baselineDelayTicks is the number of updates, one per tick, before a rate enters the baseline.
	baselineDelayTicks = 10
	// noiseDeviations is the number of standard deviations of a Poisson process by which the recent rate may exceed the baseline at random: requests also come in clusters.
	noiseDeviations = 3
	// minGrowth is the growth below which no callers are assumed to have come from other gateways: traffic also grows by itself, especially after a start.
	minGrowth = 2
)

func newArrivals(now time.Time) *arrivals {
	return &arrivals{teams: map[string]*arrivalRate{}, updatedAt: now}
}

func (a *arrivals) add(team string) {
	r, ok := a.teams[team]
	if !ok {
		r = &arrivalRate{}
		a.teams[team] = r
	}
	r.count++
}

// update adds the requests since the last update to the rates. The baseline does not change while gateways are silent.
func (a *arrivals) update(now time.Time, silent bool) {
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	for _, r := range a.teams {
		rate := r.count / elapsed
		r.count = 0
		r.recent += (rate - r.recent) * (1 - math.Exp(-elapsed/recentTimeConstant.Seconds()))
		delayedRate := r.delayed[r.nextDelayed%baselineDelayTicks]
		r.delayed[r.nextDelayed%baselineDelayTicks] = rate
		r.nextDelayed++
		if !silent {
			r.baseline += (delayedRate - r.baseline) * (1 - math.Exp(-elapsed/baselineTimeConstant.Seconds()))
		}
	}
}

// ratesWithoutTopTeam returns the recent and the baseline rate, in requests a second, of all teams except the one whose rate
// grew most: a single team may send more by itself.
func (a *arrivals) ratesWithoutTopTeam() (recent, baseline float64) {
	var maxIncrease float64
	var top *arrivalRate
	for _, r := range a.teams {
		recent, baseline = recent+r.recent, baseline+r.baseline
		if increase := r.recent - r.baseline; increase > maxIncrease {
			maxIncrease, top = increase, r
		}
	}
	if top != nil {
		recent, baseline = recent-top.recent, baseline-top.baseline
	}
	return recent, baseline
}

// growth returns the ratio of the recent rate to the baseline, or 1 if the difference may be random.
func growth(recent, baseline float64) float64 {
	deviation := math.Sqrt(baseline / (2 * recentTimeConstant.Seconds()))
	if significant := recent - noiseDeviations*deviation; baseline >= minBaseline && significant >= minGrowth*baseline {
		return significant / baseline
	}
	return 1
}

// minBaseline is the baseline rate, in requests a second, below which growth is not significant.
const minBaseline = 1.0
