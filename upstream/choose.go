package upstream

import (
	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	maxReplicas = 8
	maxSamples  = 16
	// holdersLooked is the number of holders of the longest prefixes that a choice looks at.
	holdersLooked = 6
)

// set is the candidates of one model or service, with what a choice needs of
// them side by side. The slice of candidates stays the same until one changes.
type set struct {
	first  *rail.Instance
	size   int
	loads  []*load
	hashes []uint64
	index  map[*load]int
}

// candidate is one upstream that a choice looks at.
type candidate struct {
	index int
	load  *load
}

// set returns the index of the candidates, made anew if they have changed.
func (p *Reducer) set(w rail.Criteria, candidates []rail.Instance) *set {
	k := serving{serves: w.Route().Serves(), version: w.Version()}
	s, ok := p.sets[k]
	if ok && s.first == &candidates[0] && s.size == len(candidates) {
		return s
	}
	s = &set{first: &candidates[0], size: len(candidates), index: make(map[*load]int, len(candidates))}
	for i := range candidates {
		l := p.load(candidates[i].ID())
		s.loads = append(s.loads, l)
		s.hashes = append(s.hashes, xxhash.Sum64String(string(candidates[i].ID())))
		s.index[l] = i
	}
	p.sets[k] = s
	return s
}

// Choose implements rail.Chooser; the candidates must not be changed after the call.
func (p *Reducer) Choose(w rail.Criteria, candidates []rail.Instance, random uint64) (rail.Instance, bool) {
	if len(candidates) == 0 {
		return rail.Instance{}, false
	}
	s := p.set(w, candidates)
	prefixes, tokens := p.memo.of(w.Request(), p.settings.blocks)
	p.choice++
	p.list = p.list[:0]
	p.holders(s, prefixes)
	p.replicas(s, w, prefixes)
	p.samples(s, random)
	if i := p.cheapest(w, candidates, tokens); i >= 0 {
		return candidates[i], true
	}
	for i := range candidates {
		p.look(i, s.loads[i], 0)
	}
	if i := p.cheapest(w, candidates, tokens); i >= 0 {
		return candidates[i], true
	}
	return rail.Instance{}, false
}

// look takes an upstream into the choice, once, with the blocks that it is believed to hold.
func (p *Reducer) look(index int, l *load, hit int) {
	if l.candidate == p.choice {
		return
	}
	l.candidate, l.hit = p.choice, hit
	p.list = append(p.list, candidate{index: index, load: l})
}

// holders looks at the upstreams that hold the longest part of the prompt.
func (p *Reducer) holders(s *set, prefixes []uint64) {
	now := p.now.UnixNano()
	for n := len(prefixes); n > 0 && len(p.list) < holdersLooked; n-- {
		p.holdings.each(prefixes[n-1], now, func(l *load) {
			if i, ok := s.index[l]; ok {
				p.look(i, l, n)
			}
		})
	}
}

// affinityBlocks is the number of leading blocks by which entries agree without talking.
const affinityBlocks = 8

// replicas looks at the upstreams that rendezvous hashing ranks first for the leading blocks.
func (p *Reducer) replicas(s *set, w rail.Criteria, prefixes []uint64) {
	key := xxhash.Sum64String(w.Route().Serves())
	leading := min(len(prefixes), affinityBlocks)
	switch {
	case leading > 0:
		key = mix(key, prefixes[leading-1])
	case w.Request().Prompt() != "":
		key = mix(key, xxhash.Sum64String(w.Request().Prompt()))
	default: // A service call has no prompt; its id spreads the calls.
		key = mix(key, xxhash.Sum64String(string(w.Request().ID())))
	}
	var top [maxReplicas]int
	var ranks [maxReplicas]uint64
	count := p.settings.replicas
	for i, h := range s.hashes {
		rank := mix(key, h)
		if rank <= ranks[count-1] {
			continue
		}
		at := count - 1
		for at > 0 && rank > ranks[at-1] {
			top[at], ranks[at] = top[at-1], ranks[at-1]
			at--
		}
		top[at], ranks[at] = i, rank
	}
	hit := int(p.settings.affinity * float64(leading))
	for _, i := range top[:min(count, s.size)] {
		p.look(i, s.loads[i], hit)
		hit = 0
	}
}

// samples looks at a few random upstreams, so that work leaves those that all entries prefer.
func (p *Reducer) samples(s *set, random uint64) {
	for range p.settings.samples {
		random = mix(random, 1)
		i := int(random % uint64(s.size))
		p.look(i, s.loads[i], 0)
	}
}

// cheapest returns the index of the upstream with the least expected cost, -1 if all are excluded.
func (p *Reducer) cheapest(w rail.Criteria, candidates []rail.Instance, tokens int) int {
	best, least := -1, 0.0
	for _, c := range p.list {
		if excluded(w, c.load.id) {
			continue
		}
		if cost := p.cost(&candidates[c.index], c.load, tokens); best < 0 || cost < least {
			best, least = c.index, cost
		}
	}
	return best
}

// cost returns the expected time to the first token in seconds, and what distance and price are worth.
func (p *Reducer) cost(i *rail.Instance, l *load, tokens int) float64 {
	pending, slots := l.pending(), l.slots()
	missing := max(0, tokens-l.hit*BlockTokens)
	cost := float64(missing+l.tokens) / p.settings.prefill
	cost += p.settings.crowd.Seconds() * float64(pending) / float64(slots)
	if over := pending + 1 - slots; l.known && over > 0 {
		cost += p.service * float64(over) / float64(slots)
	}
	if i.Domain() != p.domain {
		cost += p.settings.distance.Seconds()
	}
	if i.Class() == rail.ClassOnDemand {
		cost += p.settings.price.Seconds()
	}
	return cost
}

// memo keeps the prefixes of the last request, which is chosen for and then sent.
type memo struct {
	request  rail.RequestID
	length   int
	prefixes []uint64
	tokens   int
}

func (m *memo) of(r rail.Request, blocks int) ([]uint64, int) {
	if m.request == r.ID() && m.length == len(r.Prompt()) && m.prefixes != nil {
		return m.prefixes, m.tokens
	}
	m.request, m.length = r.ID(), len(r.Prompt())
	m.prefixes, m.tokens = leading(r.Prompt(), blocks)
	return m.prefixes, m.tokens
}

func excluded(w rail.Criteria, id rail.InstanceID) bool {
	for _, x := range w.Excluded() {
		if x == id {
			return true
		}
	}
	return false
}
