package gateway

import "time"

// cache is what this gateway believes that an engine holds of the prompts it was sent.
type cache struct{ parts map[string]held }

type held struct {
	tokens int64
	used   time.Time
}

// cacheAge is how long a part is believed to be held after its last use.
const cacheAge = 20 * time.Second

// maxParts bounds the parts that are remembered for one engine.
const maxParts = 4096

func newCache() cache { return cache{parts: map[string]held{}} }

// hit returns the tokens of the leading parts that are held; a part counts only if all before it do.
func (c *cache) hit(parts []PromptPart, now time.Time) int64 {
	var n int64
	for _, p := range parts {
		h, ok := c.parts[p.id]
		if !ok || now.Sub(h.used) > cacheAge {
			return n
		}
		n += p.tokens
	}
	return n
}

// add notes that the engine reads the parts now.
func (c *cache) add(parts []PromptPart, now time.Time) {
	if len(c.parts) > maxParts {
		for id, h := range c.parts {
			if now.Sub(h.used) > cacheAge/2 {
				delete(c.parts, id)
			}
		}
		if len(c.parts) > maxParts {
			clear(c.parts)
		}
	}
	for _, p := range parts {
		c.parts[p.id] = held{tokens: p.tokens, used: now}
	}
}
