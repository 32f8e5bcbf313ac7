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

// block is one block of the prefix cache, named by the hash of the prompt up to its end.
type block struct {
	prefix uint64
	before uint64
	depth  int
}

type cacheEvent struct {
	sequence uint64
	prefix   uint64
	held     bool
	visible  time.Time
}

// cache is the prefix cache: whole blocks, the least recently used dropped first.
type cache struct {
	most     int
	lag      time.Duration
	gapShare float64
	blocks   map[uint64]*list.Element
	recent   *list.List
	events   []cacheEvent
	sequence uint64
}

func newCache(settings Settings) *cache {
	return &cache{
		most:     settings.CacheBlocks,
		lag:      max(settings.CacheEventLag, 0),
		gapShare: settings.CacheGapShare,
		blocks:   map[uint64]*list.Element{},
		recent:   list.New(),
	}
}

// use returns how many tokens of the prefixes were held and holds them all from now on.
func (c *cache) use(prefixes []uint64, now time.Time) int {
	held := 0
	for held < len(prefixes) && c.blocks[prefixes[held]] != nil {
		held++
	}
	c.hold(prefixes, now)
	return held * standin.BlockTokens
}

// hold adds the blocks; the longest prefix counts as the least recent, so that it goes first.
func (c *cache) hold(prefixes []uint64, now time.Time) {
	prefixes = prefixes[:min(len(prefixes), c.most)]
	for i, p := range slices.Backward(prefixes) {
		if e, ok := c.blocks[p]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		b := block{prefix: p, depth: i + 1}
		if i > 0 {
			b.before = prefixes[i-1]
		}
		c.blocks[p] = c.recent.PushFront(b)
		c.tell(p, true, now)
	}
	for c.recent.Len() > c.most {
		b := c.recent.Remove(c.recent.Back()).(block)
		delete(c.blocks, b.prefix)
		c.tell(b.prefix, false, now)
	}
}

// tell numbers an event and loses the share that is to be lost.
func (c *cache) tell(prefix uint64, held bool, now time.Time) {
	c.sequence++
	if standin.HashFraction("gap"+strconv.FormatUint(c.sequence, 10)) < c.gapShare {
		return
	}
	c.events = append(c.events, cacheEvent{sequence: c.sequence, prefix: prefix, held: held, visible: now.Add(c.lag)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the published events from the sequence number on.
func (c *cache) since(from uint64, now time.Time) []cacheEvent {
	var es []cacheEvent
	for _, e := range c.events {
		if e.sequence >= from && !e.visible.After(now) {
			es = append(es, e)
		}
	}
	return es
}

// chain returns the prefixes of a held block, the shortest first.
func (c *cache) chain(prefix uint64) ([]uint64, bool) {
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
		prefix = b.before
	}
}

func prefixName(p uint64) string { return fmt.Sprintf("%016x", p) }
