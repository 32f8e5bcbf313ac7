package spillover

import "time"

// byteCost is the engine time that costs as much as a byte between domains: with 0.02 a gigabyte and 3.60 an hour of an engine, a
// gigabyte costs as much as 20 s. Both prices are assumed.
const byteCost = 20 * time.Nanosecond

const (
	// minUses is the number of uses from which on a part is expected to stay cached.
	minUses = 3
	// reuseTimes is for how many of the times in which uses are counted a part is expected to stay in use at the same engine.
	reuseTimes = 3
)

// queueingLoad is the number of requests in flight for each slot from which on requests leave if there are free slots away. With 2, 0.26%
// of the plain requests of 6 gateways missed their goal while upstreams were slow for 600 ms, with 1.25 0.04%.
const queueingLoad = 1.25

// maxExtraFailures is how much larger the share of failing attempts may be at home before a request leaves.
const maxExtraFailures = 0.05

// Offer is what the best upstream of a domain offers for a request.
type Offer struct {
	wait, read time.Duration
	// load is the number of requests in flight for each slot.
	load, failures float64
}

// NewOffer returns an offer with the predicted time to the first token, and the engine time for the part of the prompt that is not cached.
func NewOffer(wait, read time.Duration) Offer { return Offer{wait: wait, read: read} }

// WithState returns the offer with the requests in flight for each slot, and the share of attempts that fail there.
func (o Offer) WithState(load, failures float64) Offer {
	o.load, o.failures = load, failures
	return o
}

// Late reports whether home endangers the goal while away does not: it is beyond half of the goal, and away takes less than half as
// long; or requests wait for slots at home while there are free ones away; or attempts fail at home that would not fail away.
// Then a request leaves whatever the share is.
func Late(home, away Offer, goal time.Duration) bool {
	if home.failures > away.failures+maxExtraFailures {
		return true
	}
	if home.load >= queueingLoad && away.load < 1 {
		return true
	}
	return goal > 0 && home.wait > goal/2 && away.wait < home.wait/2
}

// WorthCrossing reports whether the prompt's parts that are cached away are worth the bytes that cross with the request. A part that is
// read at home stays cached there as long as it is used; uses are those at home in the time for which an unused part stays cached. The
// requests of the next reuseTimes such times share the cost of reading it.
func WorthCrossing(home, away Offer, uses float64, bytes int64) bool {
	sharedBy := 1.0
	if uses >= minUses {
		sharedBy = uses * reuseTimes
	}
	return float64(home.read-away.read)/sharedBy > float64(bytes)*float64(byteCost)
}

// WorthCopying reports whether a copy of cached tokens from another domain costs less than reading them again.
func WorthCopying(read time.Duration, bytes int64) bool {
	return float64(read) > float64(bytes)*float64(byteCost)
}
