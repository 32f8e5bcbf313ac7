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
func (h *prefixIndex) add(prefix uint64, l *load, now time.Time) {
	x, ok := h.byPrefix[prefix]
	if !ok {
		x = h.insert(prefix)
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
	x.upstreams[slot], x.expiresAt[slot] = l, now.Add(h.ttl).UnixNano()
}

// insert returns an empty record for the prefix and evicts the oldest prefix if the index is full.
func (h *prefixIndex) insert(prefix uint64) *holders {
	x := &holders{}
	if len(h.ring) < h.maxPrefixes {
		h.ring = append(h.ring, prefix)
	} else {
		x = h.byPrefix[h.ring[h.oldest]]
		delete(h.byPrefix, h.ring[h.oldest])
		*x = holders{}
		h.ring[h.oldest] = prefix
		h.oldest = (h.oldest + 1) % h.maxPrefixes
	}
	h.byPrefix[prefix] = x
	return x
}

// remove deletes the record that the upstream holds the prefix.
func (h *prefixIndex) remove(prefix uint64, l *load) {
	x, ok := h.byPrefix[prefix]
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
func (h *prefixIndex) each(prefix uint64, now int64, f func(*load)) {
	x, ok := h.byPrefix[prefix]
	if !ok {
		return
	}
	for i, u := range x.upstreams {
		if u != nil && x.expiresAt[i] > now {
			f(u)
		}
	}
}
