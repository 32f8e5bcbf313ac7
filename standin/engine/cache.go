package engine

import (
	"container/list"
	"fmt"
	"slices"
	"strconv"
	"time"

	"dandelionrail.org/rail/standin"
)

const maxCacheEvents = 4096

// block is one block of the prefix cache, identified by the hash of the prompt up to its end.
type block struct {
	prefix uint64
	parent uint64
	depth  int
}

type cacheEvent struct {
	sequence  uint64
	prefix    uint64
	held      bool
	visibleAt time.Time
}

// cache is an LRU cache of complete prompt blocks.
type cache struct {
	maxBlocks int
	eventLag  time.Duration
	gapShare  float64
	blocks    map[uint64]*list.Element
	lru       *list.List
	events    []cacheEvent
	sequence  uint64
}

func newCache(settings Settings) *cache {
	return &cache{
		maxBlocks: settings.CacheBlocks,
		eventLag:  max(settings.CacheEventLag, 0),
		gapShare:  settings.CacheGapShare,
		blocks:    map[uint64]*list.Element{},
		lru:       list.New(),
	}
}

// matchAndAdd returns how many tokens of the prompt were cached and adds the rest of its blocks.
func (c *cache) matchAndAdd(prefixes []uint64, now time.Time) int {
	cached := 0
	for cached < len(prefixes) && c.blocks[prefixes[cached]] != nil {
		cached++
	}
	c.add(prefixes, now)
	return cached * standin.BlockTokens
}

// add adds the blocks and evicts the least recently used; the longest prefix counts as the least recent, so that it is evicted first.
func (c *cache) add(prefixes []uint64, now time.Time) {
	prefixes = prefixes[:min(len(prefixes), c.maxBlocks)]
	for i, p := range slices.Backward(prefixes) {
		if e, ok := c.blocks[p]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		b := block{prefix: p, depth: i + 1}
		if i > 0 {
			b.parent = prefixes[i-1]
		}
		c.blocks[p] = c.lru.PushFront(b)
		c.recordEvent(p, true, now)
	}
	for c.lru.Len() > c.maxBlocks {
		b := c.lru.Remove(c.lru.Back()).(block)
		delete(c.blocks, b.prefix)
		c.recordEvent(b.prefix, false, now)
	}
}

// recordEvent numbers an event and drops it if it belongs to the share that is lost.
func (c *cache) recordEvent(prefix uint64, held bool, now time.Time) {
	c.sequence++
	if standin.HashFraction("gap"+strconv.FormatUint(c.sequence, 10)) < c.gapShare {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.sequence, prefix: prefix, held: held, visibleAt: now.Add(c.eventLag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsFrom returns the published events that have the sequence number or a later one.
func (c *cache) eventsFrom(from uint64, now time.Time) []cacheEvent {
	var es []cacheEvent
	for _, e := range c.events {
		if e.sequence >= from && !e.visibleAt.After(now) {
			es = append(es, e)
		}
	}
	return es
}

// prefixChain returns the prefixes of a cached block, the shortest first; it reports false if one of them is not cached.
func (c *cache) prefixChain(prefix uint64) ([]uint64, bool) {
	var ps []uint64
	for {
		e, ok := c.blocks[prefix]
		if !ok {
			return nil, false
		}
		b := e.Value.(block)
		ps = append(ps, b.prefix)
		if b.depth == 1 {
			slices.Reverse(ps)
			return ps, true
		}
		prefix = b.parent
	}
}

func formatPrefix(p uint64) string { return fmt.Sprintf("%016x", p) }
