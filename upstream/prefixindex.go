package upstream

import "time"

// holdersKept is the number of upstreams remembered for a prefix.
const holdersKept = 4

// holding is the upstreams that are believed to hold a prefix.
type holding struct {
	upstreams [holdersKept]*load
	until     [holdersKept]int64
}

// holdings remembers which upstreams hold which prefixes, the oldest first out.
type holdings struct {
	most  int
	trust time.Duration
	byKey map[uint64]*holding
	ring  []uint64
	next  int
}

func newHoldings(most int, trust time.Duration) *holdings {
	return &holdings{most: most, trust: trust, byKey: map[uint64]*holding{}}
}

// add remembers that the upstream holds the prefix from now on.
func (h *holdings) add(prefix uint64, l *load, now time.Time) {
	x, ok := h.byKey[prefix]
	if !ok {
		x = h.room(prefix)
	}
	oldest := 0
	for i, u := range x.upstreams {
		if u == l {
			oldest = i
			break
		}
		if x.until[i] < x.until[oldest] {
			oldest = i
		}
	}
	x.upstreams[oldest], x.until[oldest] = l, now.Add(h.trust).UnixNano()
}

// room returns an empty holding for the prefix and drops the oldest one if there are too many.
func (h *holdings) room(prefix uint64) *holding {
	x := &holding{}
	if len(h.ring) < h.most {
		h.ring = append(h.ring, prefix)
	} else {
		x = h.byKey[h.ring[h.next]]
		delete(h.byKey, h.ring[h.next])
		*x = holding{}
		h.ring[h.next] = prefix
		h.next = (h.next + 1) % h.most
	}
	h.byKey[prefix] = x
	return x
}

// drop forgets that the upstream holds the prefix.
func (h *holdings) drop(prefix uint64, l *load) {
	x, ok := h.byKey[prefix]
	if !ok {
		return
	}
	for i, u := range x.upstreams {
		if u == l {
			x.upstreams[i], x.until[i] = nil, 0
		}
	}
}

// each calls f for the upstreams that hold the prefix.
func (h *holdings) each(prefix uint64, now int64, f func(*load)) {
	x, ok := h.byKey[prefix]
	if !ok {
		return
	}
	for i, u := range x.upstreams {
		if u != nil && x.until[i] > now {
			f(u)
		}
	}
}
