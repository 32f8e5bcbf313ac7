package gateway

import (
	"slices"
	"time"
)

// clock estimates the true time of day as the median of the wall clocks of this
// gateway and its peers, relative to the monotonic clock, so that a step of the
// wall clock on a few of them has no effect.
type clock struct {
	start   time.Time
	offsets map[string]offset
}

// offset is the difference between a wall clock and the monotonic time since the start.
type offset struct {
	// median reports whether the value is already a median over many gateways.
	median bool
	value  time.Duration
	readAt time.Duration
}

// maxOffsetAge is how long a peer's offset is used.
const maxOffsetAge = 5 * time.Second

func newClock(now time.Time) *clock { return &clock{start: now, offsets: map[string]offset{}} }

// record stores the offset of the named gateway's wall clock, or of the median that it reports.
func (c *clock) record(name string, wall, now time.Time, median bool) {
	elapsed := now.Sub(c.start)
	c.offsets[name] = offset{median: median, value: time.Duration(wall.UnixNano()) - elapsed, readAt: elapsed}
}

// now returns the estimated true time.
func (c *clock) now(now time.Time) time.Time {
	elapsed := now.Sub(c.start)
	values := []time.Duration{time.Duration(now.UnixNano()) - elapsed}
	for name, o := range c.offsets {
		if elapsed-o.readAt > maxOffsetAge {
			delete(c.offsets, name)
			continue
		}
		values = append(values, o.value)
		if o.median {
			values = append(values, o.value) // Counted twice, so that it outweighs this gateway's own clock.
		}
	}
	slices.Sort(values)
	return time.Unix(0, int64(values[len(values)/2]+elapsed))
}
