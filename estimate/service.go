package estimate

import (
	"maps"
	"math"
	"slices"
)

const (
	// tolerance is the logarithm of the factor within which rates count as the same. It exceeds the error of an estimate, so that
	// upstreams that are alike are treated alike.
	tolerance = 0.2
	// noRatio is the ratio to the default rates of upstreams at them.
	noRatio = 1
)

// snap returns one if the ratio is about one, the ratio otherwise.
func snap(ratio float64) float64 {
	if math.Abs(math.Log(ratio)) <= tolerance {
		return noRatio
	}
	return ratio
}

// Speeds groups the upstreams of a service by speed. Those of a group have the same rates: if each had its own estimate, all gateways
// would prefer the one whose estimate is lowest by chance.
type Speeds struct {
	// median is the median of the ratios, typical one if that is about one.
	median, typical float64
	groups          map[int]float64
}

// NewSpeeds returns the groups of upstreams with the ratios of their times to the default ones.
func NewSpeeds(ratios []float64) Speeds {
	s := Speeds{median: noRatio, typical: noRatio, groups: map[int]float64{}}
	if len(ratios) == 0 {
		return s
	}
	ratios = slices.Sorted(slices.Values(ratios))
	s.median = ratios[(len(ratios)-1)/2]
	s.typical = snap(s.median)
	members := map[int][]float64{}
	for _, ratio := range ratios {
		g := s.group(ratio)
		members[g] = append(members[g], ratio)
	}
	for g, m := range members {
		s.groups[g] = m[(len(m)-1)/2]
	}
	s.groups[0] = s.typical // The median is of this group.
	return s
}

// Groups returns the ratios of the groups in ascending order.
func (s Speeds) Groups() []float64 { return slices.Sorted(maps.Values(s.groups)) }

// group returns the number of the group, zero for that of the typical upstream.
func (s Speeds) group(ratio float64) int {
	return int(math.Round(math.Log(ratio/s.median) / (2 * tolerance)))
}

// Typical returns the ratio of the typical upstream, one if it is about one.
func (s Speeds) Typical() float64 { return s.typical }

// Of returns the ratio of the group of an upstream with the ratio.
func (s Speeds) Of(ratio float64) float64 {
	if r, ok := s.groups[s.group(ratio)]; ok {
		return r
	}
	return ratio
}

// Engine returns the rates of an engine: slowness is the ratio of its steps to the default ones, prompt the further ratio of the
// service's prompt times. The result is that of Default if nothing differs.
func Engine(slowness, prompt float64) Rates {
	prompt = snap(prompt)
	r := Default()
	r.known = true
	if slowness == noRatio && prompt == noRatio {
		return r
	}
	r.promptTokensPerSecond /= slowness * prompt
	r.step, r.stepPerRequest = scale(r.step, slowness), scale(r.stepPerRequest, slowness)
	r.pairs = slowness * secondsPerPair
	return r
}

// Plain returns the rates of an upstream of a plain service: ratio is that of its service time to the default one.
func Plain(ratio float64) Rates {
	r := Default()
	r.known = true
	r.service = scale(r.service, ratio)
	return r
}
