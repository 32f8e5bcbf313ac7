package upstream

import "time"

// maxHolders is the maximum number of upstreams recorded for a prefix.
const maxHolders = 4

// holders are the upstreams that are believed to have a prefix cached, each until its record expires (Unix time in nanoseconds).
type holders struct {
	upstreams [maxHolders]*load
	expiresAt [maxHolders]int64
}

// prefixIndex maps prefix hashes to the upstreams that hold them; it evicts the prefix that was inserted first.
type prefixIndex struct {
	maxPrefixes int
	ttl         time.Duration
	byPrefix    map[uint64]*holders
	ring        []uint64
	oldest      int
}

func newPrefixIndex(maxPrefixes int, ttl time.Duration) *prefixIndex {
	return &prefixIndex{maxPrefixes: maxPrefixes, ttl: ttl, byPrefix: map[uint64]*holders{}}
}

// add records that the upstream holds the prefix, in place of the record that expires first if there are maxHolders.
func (index *prefixIndex) add(prefix uint64, l *load, now time.Time) {
	x, ok := index.byPrefix[prefix]
	if !ok {
		x = index.insert(prefix)
	}
	slot := 0
	for i, u := range x.upstreams {
		if u == l {
			slot = i
			break
		}
		if x.expiresAt[i] < x.expiresAt[slot] {
			slot = i
		}
	}
	x.upstreams[slot], x.expiresAt[slot] = l, now.Add(index.ttl).UnixNano()
}

// insert returns an empty record for the prefix and evicts the oldest prefix if the index is full.
func (index *prefixIndex) insert(prefix uint64) *holders {
	x := &holders{}
	if len(index.ring) < index.maxPrefixes {
		index.ring = append(index.ring, prefix)
	} else {
		x = index.byPrefix[index.ring[index.oldest]]
		delete(index.byPrefix, index.ring[index.oldest])
		*x = holders{}
		index.ring[index.oldest] = prefix
		index.oldest = (index.oldest + 1) % index.maxPrefixes
	}
	index.byPrefix[prefix] = x
	return x
}

// remove deletes the record that the upstream holds the prefix.
func (index *prefixIndex) remove(prefix uint64, l *load) {
	x, ok := index.byPrefix[prefix]
	if !ok {
		return
	}
	for i, u := range x.upstreams {
		if u == l {
			x.upstreams[i], x.expiresAt[i] = nil, 0
		}
	}
}

// each calls f for the upstreams whose record for the prefix has not expired.
func (index *prefixIndex) each(prefix uint64, now int64, f func(*load)) {
	x, ok := index.byPrefix[prefix]
	if !ok {
		return
	}
	for i, u := range x.upstreams {
		if u != nil && x.expiresAt[i] > now {
			f(u)
		}
	}
}
