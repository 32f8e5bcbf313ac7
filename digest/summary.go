package digest

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// maxResponseFacts bounds the facts in one response.
	maxResponseFacts = 4000
	// maxSummaryOrigins bounds the origins in a peer's summary.
	maxSummaryOrigins = 10000
)

// Summary returns the summary of the state; only a peer that knows the same origins can decode the short form.
func (s *State) Summary(short bool) Summary {
	sorted, set := s.sortedOrigins()
	summary := Summary{set: set, sequences: make([]uint64, 0, 2*len(sorted))}
	for _, o := range sorted {
		summary.sequences = append(summary.sequences, o.lanes[frequentLane].complete, o.lanes[urgentLane].complete)
		if !short {
			summary.ids = append(summary.ids, idHash(o.id))
		}
	}
	return summary
}

// Missing returns the facts that a peer with the summary lacks, urgent ones first; false if its short form cannot be decoded here.
func (s *State) Missing(summary Summary) ([]Batch, bool) {
	sorted, set := s.sortedOrigins()
	if len(summary.ids) == 0 {
		if summary.set != set || len(summary.sequences) != 2*len(sorted) {
			return nil, false
		}
		return s.missingBatches(func(origin, lane int) uint64 { return summary.sequences[2*origin+lane] }), true
	}
	n := len(summary.ids)
	if len(summary.sequences) != 2*n || n > maxSummaryOrigins {
		return nil, false
	}
	positions := make(map[uint64]int, n)
	for i, id := range summary.ids {
		positions[id] = i
	}
	return s.missingBatches(func(origin, lane int) uint64 {
		position, ok := positions[idHash(sorted[origin].id)]
		if !ok {
			return 0
		}
		return summary.sequences[2*position+lane]
	}), true
}

// missingBatches returns the batches that a peer lacks; held returns the peer's sequence number for the index of an origin and a lane.
func (s *State) missingBatches(held func(origin, lane int) uint64) []Batch {
	sorted, _ := s.sortedOrigins()
	var batches []Batch
	remaining := maxResponseFacts
	for _, lane := range []int{urgentLane, frequentLane} {
		for i, o := range sorted {
			after := held(i, lane)
			if after >= o.lanes[lane].complete || remaining <= 0 {
				continue
			}
			b := o.since(lane, after, remaining)
			remaining -= len(b.facts)
			batches = append(batches, b)
		}
	}
	return batches
}

// since returns the registers whose latest write is after the sequence number; if there are more than limit, the batch ends at a smaller number.
func (o *origin) since(lane int, after uint64, limit int) Batch {
	l := &o.lanes[lane]
	var facts []rail.Fact
	for _, f := range l.facts {
		if f.Sequence() > after && f.Sequence() <= l.complete {
			facts = append(facts, f)
		}
	}
	slices.SortFunc(facts, func(a, b rail.Fact) int { return cmp.Compare(a.Sequence(), b.Sequence()) })
	upTo := l.complete
	if len(facts) > limit {
		facts = facts[:limit]
		upTo = facts[limit-1].Sequence()
	}
	return NewBatch(o.id, lane == urgentLane, after, upTo, facts)
}

func idHash(id rail.Incarnation) uint64 { return xxhash.Sum64String(string(id)) }
