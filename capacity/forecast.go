package capacity

import (
	"math"
	"time"
)

const (
	// levelTime is the time constant of the demand's level.
	levelTime = 5 * time.Second
	// floorTime is how long a level is the base of a burst: one that has reached its height is not extrapolated further.
	floorTime = 10 * time.Second
	// noiseDeviations is the number of standard deviations beyond which a change of the demand is not random.
	noiseDeviations = 3
)

// Forecast follows the work of a service and foresees its growth during the boot of an engine.
type Forecast struct {
	level, levelPerGateway float64
	floors                 window
	updatedAt              time.Time
}

// Update returns the work to plan for, in engines, after the measured work of a demand. The level is used unless the work exceeds it by more
// than the noise. Growth is that of the sum and of the work per reporting gateway: the sum alone also grows when gateways report again whose
// digests were late, and the work per gateway when callers of a failed gateway connect to others.
func (f *Forecast) Update(work float64, d Demand, now time.Time) float64 {
	perGateway := work / float64(d.gateways)
	if f.updatedAt.IsZero() {
		f.level, f.levelPerGateway = work, perGateway
	}
	weight := 1 - math.Exp(-max(0, now.Sub(f.updatedAt).Seconds())/levelTime.Seconds())
	if f.updatedAt.IsZero() {
		weight = 1
	}
	f.updatedAt = now
	noise := noiseDeviations * d.deviation() * f.level
	growth := min(work-f.level, (perGateway-f.levelPerGateway)*float64(d.gateways))
	planned := f.level
	if work-f.level > noise {
		planned = work
	}
	if growth > noise {
		// A steady rise is ahead of its level by what it gains in levelTime; what is measured is MeasuringTime old.
		foreseen := work + growth*(MeasuringTime+bootTime).Seconds()/levelTime.Seconds()
		planned = max(work, min(foreseen, burst*f.floors.min(now.Add(-floorTime), f.level)))
	}
	f.level += (work - f.level) * weight
	f.levelPerGateway += (perGateway - f.levelPerGateway) * weight
	f.floors.add(f.level, now)
	f.floors.trim(now.Add(-floorTime))
	return planned
}
