package gateway

import (
	"math"
	"time"
)

// partUses counts how often parts of prompts were used at this gateway in about the time for which engines keep them cached.
type partUses map[string]partUse

type partUse struct {
	count float64
	at    time.Time
}

func (u partUses) count(id string, now time.Time) float64 {
	x := u[id]
	return x.count * math.Exp(-float64(now.Sub(x.at))/float64(cacheTTL))
}

// add counts a use of the part. An id that is too long to be tracked in the caches is not counted either.
func (u partUses) add(id string, now time.Time) {
	if len(id) > maxPartIDBytes {
		return
	}
	if _, known := u[id]; !known && len(u) >= maxCachedParts {
		for other, x := range u {
			if now.Sub(x.at) > cacheTTL {
				delete(u, other)
			}
		}
		if len(u) >= maxCachedParts {
			clear(u)
		}
	}
	u[id] = partUse{u.count(id, now) + 1, now}
}
