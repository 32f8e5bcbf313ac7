package gateway

import "time"

// cacheEstimate estimates which prompt parts an engine has cached, from the requests that this gateway sent to it.
type cacheEstimate struct{ parts map[string]cachedPart }

type cachedPart struct {
	tokens int64
	used   time.Time
}

// cacheTTL is how long a part is assumed to stay cached after its last use.
const cacheTTL = 20 * time.Second

const (
	// maxCachedParts bounds the parts that are tracked for one engine.
	maxCachedParts = 4096
	// maxRequestParts bounds those of one request, and maxPartIDBytes their ids: a head of 16,384 bytes may have thousands of parts, or
	// one with an id of that size, and a caller could fill the memory with those that it sends.
	maxRequestParts = 64
	maxPartIDBytes  = 256
)

// trackedParts returns the first parts of a prompt, up to one that is not tracked.
func trackedParts(parts []PromptPart) []PromptPart {
	parts = parts[:min(len(parts), maxRequestParts)]
	for i, p := range parts {
		if len(p.id) > maxPartIDBytes {
			return parts[:i]
		}
	}
	return parts
}

func newCache() cacheEstimate { return cacheEstimate{parts: map[string]cachedPart{}} }

// hitTokens returns the number of tokens in the longest prefix of parts that is assumed to be cached.
func (c *cacheEstimate) hitTokens(parts []PromptPart, now time.Time) int64 {
	var n int64
	for _, p := range parts {
		h, ok := c.parts[p.id]
		if !ok || now.Sub(h.used) > cacheTTL {
			return n
		}
		n += p.tokens
	}
	return n
}

// add records that the engine processes the parts now.
func (c *cacheEstimate) add(parts []PromptPart, now time.Time) {
	if len(c.parts) > maxCachedParts {
		for id, h := range c.parts {
			if now.Sub(h.used) > cacheTTL/2 {
				delete(c.parts, id)
			}
		}
		if len(c.parts) > maxCachedParts {
			clear(c.parts)
		}
	}
	for _, p := range trackedParts(parts) {
		c.parts[p.id] = cachedPart{tokens: p.tokens, used: now}
	}
}
