package estimate

import (
	"slices"
	"time"
)

const (
	// overheadSamples is the number of first events from which the overhead is estimated, minOverheadSamples the least one.
	overheadSamples    = 32
	minOverheadSamples = 8
)

// Overhead estimates the part of the time to the first event that does not depend on the prompt. Without it, an engine that takes 60 ms for any
// request looks six times slower at prompts than it is. The zero value has no overhead.
type Overhead struct {
	samples []time.Duration
	next    int
}

// Observe records what the time to the first event of a short prompt was beyond the expected one.
func (o *Overhead) Observe(beyond time.Duration) {
	if len(o.samples) < overheadSamples {
		o.samples = append(o.samples, beyond)
		return
	}
	o.samples[o.next] = beyond
	o.next = (o.next + 1) % overheadSamples
}

// Time returns the overhead: the lower third of the latest observations, since some met the work of other requests.
func (o *Overhead) Time() time.Duration {
	if len(o.samples) < minOverheadSamples {
		return 0
	}
	sorted := slices.Clone(o.samples)
	slices.Sort(sorted)
	return max(0, sorted[int(quietShare*float64(len(sorted)))])
}
