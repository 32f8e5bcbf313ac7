package upstream

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

// Random chooses a random candidate.
type Random struct{}

// Choose implements rail.Chooser.
func (Random) Choose(criteria rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	return nth(criteria, candidates, random)
}

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ next uint64 }

// Choose implements rail.Chooser.
func (r *RoundRobin) Choose(criteria rail.Criteria, candidates []rail.Instance, _ uint64) (rail.Instance, bool) {
	r.next++
	return nth(criteria, candidates, r.next)
}

// TwoChoices chooses the less loaded of two random candidates.
type TwoChoices struct{ reducer *Reducer }

// NewTwoChoices returns a chooser that reads the load from the reducer.
func NewTwoChoices(reducer *Reducer) TwoChoices { return TwoChoices{reducer: reducer} }

// Choose implements rail.Chooser.
func (t TwoChoices) Choose(criteria rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	a, ok := nth(criteria, candidates, random&0xffffffff)
	b, _ := nth(criteria, candidates, random>>32)
	if ok && t.reducer.pending(b.ID()) < t.reducer.pending(a.ID()) {
		return b, true
	}
	return a, ok
}

// nth returns the candidate at number modulo the count, or the next one that is not excluded.
func nth(criteria rail.Criteria, candidates []rail.Instance, number uint64) (rail.Instance, bool) {
	size := uint64(len(candidates))
	for i := range size {
		c := candidates[(number%size+i)%size]
		if !excluded(criteria, c.ID()) {
			return c, true
		}
	}
	return rail.Instance{}, false
}

// pointsPerUpstream is the number of virtual nodes of an upstream on the ring.
const pointsPerUpstream = 64

// ConsistentHash chooses by the prompt's prefix on a consistent hash ring.
type ConsistentHash struct {
	blocks  int
	reducer *Reducer
	ids     []rail.InstanceID
	ring    []point
}

// point is a virtual node on the ring; index is its candidate.
type point struct {
	hash  uint64
	index int
}

// NewConsistentHash returns a chooser that hashes that many leading prompt blocks.
func NewConsistentHash(blocks int) *ConsistentHash { return &ConsistentHash{blocks: blocks} }

// NewBoundedLoadHash returns a consistent hash chooser that skips upstreams whose slots are all in use, as estimated by the reducer.
func NewBoundedLoadHash(blocks int, reducer *Reducer) *ConsistentHash {
	return &ConsistentHash{blocks: blocks, reducer: reducer}
}

// Choose implements rail.Chooser.
func (c *ConsistentHash) Choose(criteria rail.Criteria, candidates []rail.Instance, _ uint64) (rail.Instance, bool) {
	c.rebuild(candidates)
	hash := affinityHash(criteria, c.blocks)
	start := sort.Search(len(c.ring), func(i int) bool { return c.ring[i].hash >= hash })
	var first rail.Instance
	found := false
	for i := range c.ring {
		chosen := candidates[c.ring[(start+i)%len(c.ring)].index]
		if excluded(criteria, chosen.ID()) {
			continue
		}
		if !c.full(chosen.ID()) {
			return chosen, true
		}
		if !found {
			first, found = chosen, true
		}
	}
	return first, found
}

func (c *ConsistentHash) full(id rail.InstanceID) bool {
	return c.reducer != nil && c.reducer.full(id)
}

// rebuild builds the ring again if the candidates have changed.
func (c *ConsistentHash) rebuild(candidates []rail.Instance) {
	if slices.EqualFunc(c.ids, candidates, func(id rail.InstanceID, i rail.Instance) bool { return id == i.ID() }) {
		return
	}
	c.ids, c.ring = c.ids[:0], c.ring[:0]
	for index, i := range candidates {
		c.ids = append(c.ids, i.ID())
		for n := range pointsPerUpstream {
			c.ring = append(c.ring, point{hash: mix(xxhash.Sum64String(string(i.ID())), uint64(n)), index: index})
		}
	}
	slices.SortFunc(c.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
}
