package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all processes in causal order: by Lamport clock, then
// by wall clock, then by process.
func Merge(byProcess ...[]Entry) []Entry {
	remaining := make([][]Entry, 0, len(byProcess))
	for _, events := range byProcess {
		if len(events) > 0 {
			remaining = append(remaining, events)
		}
	}
	var merged []Entry
	for len(remaining) > 0 {
		i := earliest(remaining)
		merged = append(merged, remaining[i][0])
		remaining[i] = remaining[i][1:]
		if len(remaining[i]) == 0 {
			remaining = slices.Delete(remaining, i, i+1)
		}
	}
	return merged
}

// earliest returns the index of the process whose next event is the earliest.
func earliest(remaining [][]Entry) int {
	best := 0
	for i := 1; i < len(remaining); i++ {
		if before(remaining[i][0], remaining[best][0]) {
			best = i
		}
	}
	return best
}

func before(a, b Entry) bool {
	return cmp.Or(
		cmp.Compare(a.clock, b.clock),
		a.at.Compare(b.at),
		cmp.Compare(a.process, b.process),
		cmp.Compare(a.sequence, b.sequence),
	) < 0
}
