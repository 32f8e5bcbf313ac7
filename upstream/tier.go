package upstream

import "dandelionrail.org/rail"

const (
	// hotRequests is the number of requests in one period from which a prefix is hot.
	hotRequests = 8
	// hotPeriod is the number of requests after which the counts are halved.
	hotPeriod = 512
)

// Tiered chooses on a ring of the on-demand upstreams for hot prefixes and on a
// ring of all others for the rest, after the hierarchical consistent hashing of
// Zhou et al. (a fast ring before a large one).
type Tiered struct {
	blocks int
	part   *Reducer
	fast   *ConsistentHash
	large  *ConsistentHash
	counts map[uint64]int
	seen   int
	from   *rail.Instance
	size   int
	tiers  [2][]rail.Instance
}

// NewTiered returns a chooser by so many leading prompt blocks; the part knows the load.
func NewTiered(blocks int, part *Reducer) *Tiered {
	return &Tiered{
		blocks: blocks, part: part, counts: map[uint64]int{},
		fast: NewBoundedLoadHash(blocks, part), large: NewBoundedLoadHash(blocks, part),
	}
}

// Choose implements rail.Chooser.
func (t *Tiered) Choose(w rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	if len(candidates) == 0 {
		return rail.Instance{}, false
	}
	t.split(candidates)
	if t.hot(affinity(w, t.blocks)) {
		if chosen, ok := t.fast.Choose(w, t.tiers[0], random); ok && !t.part.full(chosen.ID()) {
			return chosen, true
		}
	}
	if chosen, ok := t.large.Choose(w, t.tiers[1], random); ok {
		return chosen, true
	}
	return t.fast.Choose(w, t.tiers[0], random)
}

// hot counts the prefix and reports whether it is asked for often.
func (t *Tiered) hot(prefix uint64) bool {
	t.counts[prefix]++
	t.seen++
	if t.seen%hotPeriod == 0 {
		for k := range t.counts {
			if t.counts[k] /= 2; t.counts[k] == 0 {
				delete(t.counts, k)
			}
		}
	}
	return t.counts[prefix] >= hotRequests
}

// split sorts the candidates into tiers if they have changed.
func (t *Tiered) split(candidates []rail.Instance) {
	if t.from == &candidates[0] && t.size == len(candidates) {
		return
	}
	t.from, t.size = &candidates[0], len(candidates)
	t.tiers = [2][]rail.Instance{}
	for _, c := range candidates {
		tier := 1
		if c.Class() == rail.ClassOnDemand {
			tier = 0
		}
		t.tiers[tier] = append(t.tiers[tier], c)
	}
}
