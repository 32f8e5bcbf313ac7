package team

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"dandelionrail.org/rail"
)

// formatDemand returns the value of a FactDemand: pairs of team and requests per second, rounded so that small changes are not published.
func formatDemand(members []*member) string {
	var b []byte
	for _, m := range members {
		if m.arrivals.rate < minRate {
			continue
		}
		if len(b) > 0 {
			b = append(b, ' ')
		}
		b = append(append(b, m.team.Name()...), ' ')
		b = strconv.AppendFloat(b, m.arrivals.rate, 'g', 2, 64)
	}
	return string(b)
}

// minRate is the lowest rate, in requests per second, that is published to peers.
const minRate = 0.01

// parseDemand returns false for a value that this version of the program can't parse.
func parseDemand(text string) (map[rail.TeamName]float64, bool) {
	fields := strings.Fields(text)
	if len(fields)%2 != 0 {
		return nil, false
	}
	all := map[rail.TeamName]float64{}
	for f := range slices.Chunk(fields, 2) {
		rate, err := strconv.ParseFloat(f[1], 64)
		if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
			return nil, false
		}
		all[rail.TeamName(f[0])] = rate
	}
	return all, true
}
