package team

import "math"

// teamDemand is a team's reserved share, from 0 to 1, and its demand in slots.
type teamDemand struct {
	share  float64
	demand float64
}

// minWeight is the weight of a team without a reserved share in the division of unreserved capacity.
const minWeight = 0.01

// divide grants each team its reserved share up to its demand, and divides the
// remaining capacity among the teams with more demand in proportion to their
// shares (weighted max-min fairness).
func divide(capacity float64, demands []teamDemand) []float64 {
	granted := make([]float64, len(demands))
	remaining := capacity
	for i, d := range demands {
		granted[i] = math.Min(d.demand, d.share*capacity)
		remaining -= granted[i]
	}
	for remaining > 1e-9 {
		weights := 0.0
		for i, d := range demands {
			if granted[i] < d.demand {
				weights += math.Max(minWeight, d.share)
			}
		}
		if weights == 0 {
			break
		}
		perWeight := remaining / weights
		remaining = 0
		for i, d := range demands {
			if granted[i] < d.demand {
				offered := perWeight * math.Max(minWeight, d.share)
				taken := math.Min(offered, d.demand-granted[i])
				granted[i] += taken
				remaining += offered - taken
			}
		}
	}
	return granted
}
