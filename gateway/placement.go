package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillPerSecond is the prompt tokens that an engine reads in a second, from the users' sheet.
	prefillPerSecond = 55_000
	// chunkTokens is the part of a prompt that an engine reads between two steps.
	chunkTokens = 2048
	// stepTime is the time of a step of an engine without other requests, stepTimeSlot what each request adds; from the users' sheet.
	stepTime     = 2890 * time.Microsecond
	stepTimeSlot = 101 * time.Microsecond
	// crowding is the cost of each request that runs at an engine, for what it slows the others.
	crowding = 1500 * time.Microsecond
	// serviceTime is the cost of each request that is under way at a plain service.
	serviceTime = 15 * time.Millisecond
	// coldShare is the part of the time for which an upstream stays slow after its start that counts as waiting time.
	coldShare = 20
	// distance is the cost of an upstream in another failure domain.
	distance = 3 * time.Millisecond
	// rereadCost is the cost of a prompt token that is read again, beside the time that it takes.
	rereadCost = 40 * time.Microsecond
	// lateness is the weight of the expected time beyond half of the goal.
	lateness = 4
	// fullCost is the cost of a request beyond the slots or the memory of an engine.
	fullCost = 150 * time.Millisecond
	// memoryShare is the part of an engine's memory beyond which requests are preempted.
	memoryShare = 0.85
	// affinityShare is the part of a shared prefix that is believed to be held by the engine that all gateways rank first for it.
	affinityShare = 0.7
	// failureCost is the cost of an upstream of which all attempts fail.
	failureCost = 2 * time.Second
)

// placement chooses the upstream with the least expected time to the first
// token: what waits there, what of the prompt must be read, and how crowded it is.
type placement struct {
	service *Service
	domain  string
	goal    time.Duration
	now     time.Time
}

// choose returns the cheapest of the upstreams that allow reports true for, nil if there is none, and its expected time to the first token.
func (p placement) choose(c *Call, targets []*target, allow func(*target) bool) (*target, time.Duration) {
	shared := sharedParts(c.parts)
	preferred := p.preferred(shared, targets, allow)
	var best *target
	var least, wait time.Duration
	for _, t := range targets {
		if !allow(t) {
			continue
		}
		first, cost := p.cost(c, t, shared, t == preferred)
		if best == nil || cost < least || (cost == least && rank(c.id, t.id) > rank(c.id, best.id)) {
			best, least, wait = t, cost, first
		}
	}
	return best, wait
}

// sharedParts returns the parts of a prompt that other requests have too: all but the last.
func sharedParts(parts []PromptPart) []PromptPart {
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// source returns an upstream that holds more of the prompt's shared parts than
// the chosen one, as far as this gateway knows; otherwise the one that all
// gateways rank first for them.
func (p placement) source(c *Call, chosen *target, targets []*target) *target {
	shared := sharedParts(c.parts)
	if len(shared) == 0 || p.service == nil || !p.service.engine() {
		return nil
	}
	var best *target
	most := chosen.cache.hit(shared, p.now)
	for _, t := range targets {
		if t == chosen || !t.health.open(p.now) {
			continue
		}
		if n := t.cache.hit(shared, p.now); n > most {
			best, most = t, n
		}
	}
	if best != nil || most > 0 {
		return best
	}
	return p.preferred(shared, targets, func(t *target) bool { return t != chosen && t.health.open(p.now) })
}

// preferred returns the upstream that all gateways rank first for the deepest shared part.
func (p placement) preferred(shared []PromptPart, targets []*target, allow func(*target) bool) *target {
	if len(shared) == 0 {
		return nil
	}
	key := shared[len(shared)-1].id
	var best *target
	var top uint64
	for _, t := range targets {
		if !allow(t) {
			continue
		}
		if r := rank(key, t.id); best == nil || r > top {
			best, top = t, r
		}
	}
	return best
}

// rank orders upstreams for a key in the same way on all gateways.
func rank(key, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key) // A hash takes any bytes.
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(id)
	return h.Sum64()
}

// cost returns the expected time to the first token, and that plus what the choice costs others.
func (p placement) cost(c *Call, t *target, shared []PromptPart, preferred bool) (first, cost time.Duration) {
	load := t.own
	load.add(t.peers)
	if p.service == nil || !p.service.engine() {
		first = serviceTime * time.Duration(load.running) / time.Duration(max(1, t.slots))
		first += t.cold / coldShare
		cost = first
	} else {
		first, cost = p.engineCost(c, t, load, shared, preferred)
	}
	if t.domain != p.domain {
		cost += distance
	}
	if !t.lapsed.IsZero() {
		cost += fullCost
	}
	cost += time.Duration(t.health.share(p.now) * float64(failureCost))
	return first, cost
}

func (p placement) engineCost(c *Call, t *target, load Load, shared []PromptPart, preferred bool) (first, cost time.Duration) {
	hit := t.cache.hit(c.parts, p.now)
	if preferred {
		var n int64
		for _, s := range shared {
			n += s.tokens
		}
		hit = max(hit, int64(affinityShare*float64(n)))
	}
	missing := max(0, c.prompt-hit)
	read := load.waitingTokens + missing
	step := stepTime + stepTimeSlot*time.Duration(load.running+1)
	first = time.Duration(read)*time.Second/prefillPerSecond + step*time.Duration(read/chunkTokens+1)
	if over := load.running + 1 - t.slots; t.slots > 0 && over > 0 {
		first += fullCost * time.Duration(over)
	}
	if free := memoryShare*float64(p.service.memory) - float64(load.heldTokens+c.prompt+c.output); free < 0 {
		first += time.Duration(-free / float64(p.service.memory) * 10 * float64(time.Second))
	}
	cost = first + crowding*time.Duration(load.running) + rereadCost*time.Duration(missing)
	if late := first - p.goal/2; p.goal > 0 && late > 0 {
		cost += lateness * late
	}
	return first, cost
}
