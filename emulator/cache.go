package emulator

import "container/list"

// cache is an LRU cache of prompt blocks, identified by the hash of the prompt up to their end.
type cache struct {
	maxBlocks int
	byHash    map[uint64]*list.Element
	lru       *list.List
}

func newCache(blocks int) *cache {
	return &cache{maxBlocks: blocks, byHash: map[uint64]*list.Element{}, lru: list.New()}
}

// match returns the number of leading blocks that are cached, and marks them as recently used.
func (c *cache) match(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) {
		e, ok := c.byHash[prefixes[n]]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		n++
	}
	return n
}

// add adds the blocks and returns the prefixes that were added and evicted.
func (c *cache) add(prefixes []uint64) (added, evicted []uint64) {
	for _, p := range prefixes {
		if e, ok := c.byHash[p]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.byHash[p] = c.lru.PushFront(p)
		added = append(added, p)
	}
	for len(c.byHash) > c.maxBlocks {
		e := c.lru.Back()
		p := c.lru.Remove(e).(uint64)
		delete(c.byHash, p)
		evicted = append(evicted, p)
	}
	return added, evicted
}
