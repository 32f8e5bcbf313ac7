package upstream

import (
	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	maxReplicas = 8
	maxSamples  = 16
	// holdersConsidered is the number of prefix holders after which a choice stops looking up shorter prefixes.
	holdersConsidered = 6
)

// candidateSet caches what a choice needs of the candidates of one model or
// service. It is valid as long as the caller passes the same slice, which the
// caller replaces when a candidate changes.
type candidateSet struct {
	first  *rail.Instance
	size   int
	loads  []*load
	hashes []uint64
	index  map[*load]int
}

// candidate is one upstream that a choice considers.
type candidate struct {
	index int
	load  *load
}

// candidateSet returns the cached set of the candidates, rebuilt if they have changed.
func (r *Reducer) candidateSet(criteria rail.Criteria, candidates []rail.Instance) *candidateSet {
	k := servedVersion{serves: criteria.Route().Serves(), version: criteria.Version()}
	s, ok := r.candidateSets[k]
	if ok && s.first == &candidates[0] && s.size == len(candidates) {
		return s
	}
	s = &candidateSet{first: &candidates[0], size: len(candidates), index: make(map[*load]int, len(candidates))}
	for i := range candidates {
		l := r.load(candidates[i].ID())
		s.loads = append(s.loads, l)
		s.hashes = append(s.hashes, xxhash.Sum64String(string(candidates[i].ID())))
		s.index[l] = i
	}
	r.candidateSets[k] = s
	return s
}

// Choose implements rail.Chooser; the candidates must not be changed after the call.
func (r *Reducer) Choose(criteria rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	if len(candidates) == 0 {
		return rail.Instance{}, false
	}
	s := r.candidateSet(criteria, candidates)
	prefixes, tokens := r.memo.get(criteria.Request(), r.settings.prefixBlocks)
	r.choiceSeq++
	r.considered = r.considered[:0]
	r.addHolders(s, prefixes)
	r.addReplicas(s, criteria, prefixes)
	r.addSamples(s, random)
	if i := r.lowestCost(criteria, candidates, tokens); i >= 0 {
		return candidates[i], true
	}
	for i := range candidates {
		r.consider(i, s.loads[i], 0)
	}
	if i := r.lowestCost(criteria, candidates, tokens); i >= 0 {
		return candidates[i], true
	}
	return rail.Instance{}, false
}

// consider adds an upstream to the choice unless it is there already; hit is the number of prompt blocks it is believed to hold.
func (r *Reducer) consider(index int, l *load, hit int) {
	if l.choiceSeq == r.choiceSeq {
		return
	}
	l.choiceSeq, l.hitBlocks = r.choiceSeq, hit
	r.considered = append(r.considered, candidate{index: index, load: l})
}

// addHolders considers the upstreams that hold the longest prefixes of the prompt.
func (r *Reducer) addHolders(s *candidateSet, prefixes []uint64) {
	now := r.now.UnixNano()
	for n := len(prefixes); n > 0 && len(r.considered) < holdersConsidered; n-- {
		r.prefixes.each(prefixes[n-1], now, func(l *load) {
			if i, ok := s.index[l]; ok {
				r.consider(i, l, n)
			}
		})
	}
}

// affinityBlocks is the number of leading blocks hashed for rendezvous hashing, by which entries agree on an upstream without communicating.
const affinityBlocks = 8

// addReplicas considers the upstreams with the highest rendezvous hash weights for the leading blocks.
func (r *Reducer) addReplicas(s *candidateSet, criteria rail.Criteria, prefixes []uint64) {
	key := xxhash.Sum64String(criteria.Route().Serves())
	leading := min(len(prefixes), affinityBlocks)
	switch {
	case leading > 0:
		key = mix(key, prefixes[leading-1])
	case criteria.Request().Prompt() != "":
		key = mix(key, xxhash.Sum64String(criteria.Request().Prompt()))
	default: // A service call has no prompt and is distributed by its id.
		key = mix(key, xxhash.Sum64String(string(criteria.Request().ID())))
	}
	var top [maxReplicas]int
	var weights [maxReplicas]uint64
	count := r.settings.replicas
	for i, h := range s.hashes {
		weight := mix(key, h)
		if weight <= weights[count-1] {
			continue
		}
		at := count - 1
		for at > 0 && weight > weights[at-1] {
			top[at], weights[at] = top[at-1], weights[at-1]
			at--
		}
		top[at], weights[at] = i, weight
	}
	hit := int(r.settings.assumedHit * float64(leading))
	for _, i := range top[:min(count, s.size)] {
		r.consider(i, s.loads[i], hit)
		hit = 0
	}
}

// addSamples considers a few random upstreams, so that load can move away from the upstreams that all entries prefer.
func (r *Reducer) addSamples(s *candidateSet, random uint64) {
	for range r.settings.samples {
		random = mix(random, 1)
		i := int(random % uint64(s.size))
		r.consider(i, s.loads[i], 0)
	}
}

// lowestCost returns the index of the considered upstream with the lowest expected cost, or -1 if all are excluded.
func (r *Reducer) lowestCost(criteria rail.Criteria, candidates []rail.Instance, tokens int) int {
	best, lowest := -1, 0.0
	for _, c := range r.considered {
		if excluded(criteria, c.load.id) {
			continue
		}
		if cost := r.cost(&candidates[c.index], c.load, tokens); best < 0 || cost < lowest {
			best, lowest = c.index, cost
		}
	}
	return best
}

// cost returns the expected time to the first token in seconds, plus the penalties for another failure domain and for on-demand instances.
func (r *Reducer) cost(i *rail.Instance, l *load, tokens int) float64 {
	pending, slots := l.pending(), l.slots()
	missing := max(0, tokens-l.hitBlocks*BlockTokens)
	cost := float64(missing+l.tokenDelta) / r.settings.prefillRate
	cost += r.settings.contentionDelay.Seconds() * float64(pending) / float64(slots)
	if excess := pending + 1 - slots; l.reported && excess > 0 {
		cost += r.serviceTime * float64(excess) / float64(slots)
	}
	if i.Domain() != r.domain {
		cost += r.settings.crossDomainCost.Seconds()
	}
	if i.Class() == rail.ClassOnDemand {
		cost += r.settings.onDemandCost.Seconds()
	}
	return cost
}

// prefixMemo caches the prefixes of the last request, which are needed for its choice and again for its Sent event.
type prefixMemo struct {
	request  rail.RequestID
	length   int
	prefixes []uint64
	tokens   int
}

func (m *prefixMemo) get(r rail.Request, blocks int) ([]uint64, int) {
	if m.request == r.ID() && m.length == len(r.Prompt()) && m.prefixes != nil {
		return m.prefixes, m.tokens
	}
	m.request, m.length = r.ID(), len(r.Prompt())
	m.prefixes, m.tokens = hashPrefixes(r.Prompt(), blocks)
	return m.prefixes, m.tokens
}

func excluded(criteria rail.Criteria, id rail.InstanceID) bool {
	for _, x := range criteria.Excluded() {
		if x == id {
			return true
		}
	}
	return false
}
