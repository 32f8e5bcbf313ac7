package capacity

import (
	"math"
	"time"
)

const (
	// HoldTime is how long a need is provided for after it was seen: bursts come in series, and an engine that is removed needs bootTime to
	// return.
	HoldTime = 20 * time.Second
	// fallInterval is the time between two reductions by one. Days on which several domains are reclaimed within seconds are served worse if the
	// number follows the demand faster, by more than the engines that it saves.
	fallInterval = 5 * time.Second
	// maxGap is how long needs may be missing: after a longer time the number is held as if it had been needed until then.
	maxGap = 5 * time.Second
)

// Requirement is the required number of engines over time: it rises at once, and falls in steps to the greatest need of the last HoldTime.
type Requirement struct {
	number    int
	needs     window
	updatedAt time.Time
	loweredAt time.Time
}

// NewRequirement returns a requirement that begins at the number of engines that a fleet already provides for.
func NewRequirement(number int) *Requirement { return &Requirement{number: number} }

// Number returns the required number.
func (r *Requirement) Number() int { return r.number }

// Raise raises the number to a need that is only a part of the whole one, and reports whether it changed.
func (r *Requirement) Raise(engines float64) bool {
	before := r.number
	r.number = max(r.number, int(math.Ceil(engines)))
	return r.number != before
}

// Update adds a need and reports whether the number changed.
func (r *Requirement) Update(engines float64, now time.Time) bool {
	if now.Sub(r.updatedAt) > maxGap { // Also at the first one: what the fleet provides for is held.
		r.needs.add(float64(r.number), now)
	}
	r.updatedAt = now
	r.needs.add(engines, now)
	r.needs.trim(now.Add(-HoldTime))
	before, greatest := r.number, int(math.Ceil(r.needs.max()))
	switch {
	case greatest >= r.number:
		r.number, r.loweredAt = greatest, now
	case now.Sub(r.loweredAt) >= fallInterval:
		r.number, r.loweredAt = max(greatest, r.number-1), now
	}
	return r.number != before
}
