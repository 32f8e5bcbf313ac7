package gateway

import (
	"container/list"
	"math/rand/v2"
	"time"
)

const (
	// maxNews bounds the prompt parts, and the requests, in a digest: a leader sends and receives dozens of digests a second, and the end
	// of many upstreams makes hundreds of them suspect. The others come by way of the store, or in a later digest.
	maxNews = 64
	// maxOwnNews and maxPeerNews are how many of them are the latest that this gateway saw, and the latest that peers reported. The
	// others take turns.
	maxOwnNews  = 16
	maxPeerNews = 32
)

// observe adds what this gateway saw.
func (q *quarantine) observe(key string, o suspect) {
	if q.merge(key, o) {
		q.noteOwnChange(key, q.suspects[key])
	}
}

// noteOwnChange notes that this gateway saw something new about the suspect.
func (q *quarantine) noteOwnChange(key string, x *suspect) {
	x.ownNews = toFront(q.kind(x.request).ownNews, x.ownNews, key)
}

// learn adds what a peer reported.
func (q *quarantine) learn(key string, o suspect) {
	if q.admits(key, o) && q.merge(key, o) {
		x := q.suspects[key]
		x.peerNews = toFront(q.kind(x.request).peerNews, x.peerNews, key)
	}
}

// toFront moves the element to the front of the list, or adds one for the key.
func toFront(l *list.List, e *list.Element, key string) *list.Element {
	if e == nil {
		return l.PushFront(key)
	}
	l.MoveToFront(e)
	return e
}

// dropNews removes the suspect from the lists.
func (k *suspectKind) dropNews(x *suspect) {
	if x.ownNews != nil {
		k.ownNews.Remove(x.ownNews)
	}
	if x.peerNews != nil {
		k.peerNews.Remove(x.peerNews)
	}
}

// news returns a copy of the suspects to report to peers in the digest with the sequence number.
func (q *quarantine) news(now time.Time, sequence int64) map[string]suspect {
	news := make(map[string]suspect, min(len(q.suspects), 2*maxNews))
	for _, request := range []bool{false, true} {
		q.addNews(news, request, now, sequence)
	}
	return news
}

// addNews adds the news about suspects of the kind: parts, and requests under which several upstreams crashed or that are new.
func (q *quarantine) addNews(news map[string]suspect, request bool, now time.Time, sequence int64) {
	add := func(key string) {
		if x := q.suspects[key]; !x.request || x.crashCount() > 1 || now.Sub(x.lastCrash()) < requestNewsTime {
			news[key] = x.clone()
		}
	}
	k, turns := q.kind(request), int64(1)
	if n := q.count(request); n > maxNews {
		turns = int64(n/(maxNews-maxOwnNews-maxPeerNews) + 1)
		addFirst(k.ownNews, maxOwnNews, add)
		addFirst(k.peerNews, maxPeerNews, add)
	}
	// Random, since the peers of successive digests must not always get the same ones.
	turn := rand.New(rand.NewPCG(uint64(sequence), 0)).Int64N(turns) //nolint:gosec // Nobody gains by a guess.
	for key, x := range q.suspects {
		if x.request == request && x.number%turns == turn {
			add(key)
		}
	}
}

// addFirst adds the first keys of the list.
func addFirst(l *list.List, n int, add func(key string)) {
	for e := l.Front(); e != nil && n > 0; e, n = e.Next(), n-1 {
		add(e.Value.(string)) //nolint:forcetypeassert,errcheck // Only keys are added.
	}
}
