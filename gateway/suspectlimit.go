package gateway

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// maxEvictable is the number of suspects that are ranked in advance, so that not each eviction goes through all of them.
const maxEvictable = 32

// suspectRank tells which suspects matter more: those with more crashes, and of those with as many the ones with the later last crash.
type suspectRank struct {
	crashes int
	last    time.Time
}

func (x suspect) rank() suspectRank { return suspectRank{crashes: x.crashCount(), last: x.lastCrash()} }

func (r suspectRank) compare(o suspectRank) int {
	return cmp.Or(cmp.Compare(r.crashes, o.crashes), r.last.Compare(o.last))
}

// rankedSuspect is a suspect with its rank at some time.
type rankedSuspect struct {
	key  string
	rank suspectRank
}

// suspectKind bounds the suspects of a kind, prompt parts or requests, and orders them by what is news.
type suspectKind struct {
	// most is the largest number of them.
	most int
	// evictable holds those that ranked lowest when they were compared last, evicted the rank of the last one that was dropped.
	evictable []rankedSuspect
	evicted   suspectRank
	// ownNews and peerNews hold the keys of those about which this gateway saw something, or a peer reported it, the latest ones first.
	ownNews, peerNews *list.List
}

func newSuspectKind(most int) suspectKind {
	return suspectKind{most: most, ownNews: list.New(), peerNews: list.New()}
}

// kind returns the kind of the requests, or of the parts.
func (q *quarantine) kind(request bool) *suspectKind {
	if request {
		return &q.requestKind
	}
	return &q.partKind
}

// count returns the number of suspects of the kind.
func (q *quarantine) count(request bool) int {
	if request {
		return q.requests
	}
	return len(q.suspects) - q.requests
}

// admits reports whether to take over what a peer or the store knows. If there is no room, what does not rank above the suspect that
// was dropped last is left out: gateways that know more than they have room for would make each other drop and add the same ones.
func (q *quarantine) admits(key string, o suspect) bool {
	request := isRequestKey(key)
	k := q.kind(request)
	if _, known := q.suspects[key]; known || q.count(request) < k.most {
		return true
	}
	r := o.rank()
	return r.crashes > k.evicted.crashes || r.last.After(k.evicted.last)
}

// makeRoom makes room for another request, or another part: the one that ranks lowest is dropped if there is none.
func (q *quarantine) makeRoom(request bool) {
	k := q.kind(request)
	for q.count(request) >= k.most {
		if len(k.evictable) == 0 {
			if k.evictable = q.lowestRanked(request); len(k.evictable) == 0 {
				return
			}
		}
		next := k.evictable[0]
		k.evictable = k.evictable[1:]
		if x, ok := q.suspects[next.key]; ok && x.rank() == next.rank {
			k.evicted = next.rank
			q.forget(next.key)
		}
	}
}

// lowestRanked returns the requests, or the parts, that rank lowest, in order.
func (q *quarantine) lowestRanked(request bool) []rankedSuspect {
	var ranked []rankedSuspect
	for key, x := range q.suspects {
		if x.request == request {
			ranked = append(ranked, rankedSuspect{key: key, rank: x.rank()})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedSuspect) int { return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.key, b.key)) })
	return ranked[:min(len(ranked), maxEvictable)]
}
