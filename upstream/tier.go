package upstream

import "dandelionrail.org/rail"

const (
	// hotRequests is the decayed request count from which a prefix is hot.
	hotRequests = 8
	// hotPeriod is the number of requests after which the counts are halved.
	hotPeriod = 512
)

// Tiered chooses on a ring of the on-demand upstreams for hot prefixes and on a
// ring of all others for the rest, after the hierarchical consistent hashing of
// Zhou et al. (a fast ring before a large one).
type Tiered struct {
	blocks   int
	reducer  *Reducer
	fast     *ConsistentHash
	large    *ConsistentHash
	counts   map[uint64]int
	requests int
	first    *rail.Instance
	size     int
	tiers    [2][]rail.Instance
}

// NewTiered returns a chooser that hashes that many leading prompt blocks and reads the load from the reducer.
func NewTiered(blocks int, reducer *Reducer) *Tiered {
	return &Tiered{
		blocks: blocks, reducer: reducer, counts: map[uint64]int{},
		fast: NewBoundedLoadHash(blocks, reducer), large: NewBoundedLoadHash(blocks, reducer),
	}
}

// Choose implements rail.Chooser.
func (t *Tiered) Choose(criteria rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	if len(candidates) == 0 {
		return rail.Instance{}, false
	}
	t.split(candidates)
	if t.hot(affinityHash(criteria, t.blocks)) {
		if chosen, ok := t.fast.Choose(criteria, t.tiers[0], random); ok && !t.reducer.full(chosen.ID()) {
			return chosen, true
		}
	}
	if chosen, ok := t.large.Choose(criteria, t.tiers[1], random); ok {
		return chosen, true
	}
	return t.fast.Choose(criteria, t.tiers[0], random)
}

// hot counts a request for the prefix and reports whether the prefix is hot.
func (t *Tiered) hot(prefix uint64) bool {
	t.counts[prefix]++
	t.requests++
	if t.requests%hotPeriod == 0 {
		for k := range t.counts {
			if t.counts[k] /= 2; t.counts[k] == 0 {
				delete(t.counts, k)
			}
		}
	}
	return t.counts[prefix] >= hotRequests
}

// split divides the candidates into the on-demand tier and the other tier if they have changed.
func (t *Tiered) split(candidates []rail.Instance) {
	if t.first == &candidates[0] && t.size == len(candidates) {
		return
	}
	t.first, t.size = &candidates[0], len(candidates)
	t.tiers = [2][]rail.Instance{}
	for _, c := range candidates {
		tier := 1
		if c.Class() == rail.ClassOnDemand {
			tier = 0
		}
		t.tiers[tier] = append(t.tiers[tier], c)
	}
}
