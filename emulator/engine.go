package emulator

import (
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/upstream"
)

// blockTokens is the size of a cached block in tokens.
const blockTokens = upstream.BlockTokens

// engine is one emulated model worker.
type engine struct {
	instance     rail.Instance
	speed        float64
	slots        int
	running      map[*attempt]bool
	waiting      []*attempt
	prefillQueue []*attempt
	prefilling   bool
	cache        *cache
	sequence     uint64
	removed      bool
}

// attempt is one request at one engine.
type attempt struct {
	arrival        *Arrival
	entry          *entry
	engine         *engine
	prefixes       []uint64
	promptTokens   int
	delivered      int
	decodingSince  time.Duration
	tokenInterval  time.Duration
	interrupted    bool
	firstTokenSent bool
}

// maxPrefixBlocks is the number of leading blocks of a prompt that are hashed; later blocks are never cached.
const maxPrefixBlocks = 256

// accept adds an attempt to the engine's batch, or to its queue if the batch is full.
func (sim *simulation) accept(e *engine, a *attempt) {
	if e.removed {
		sim.redispatch(a)
		return
	}
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, a)
		return
	}
	e.running[a] = true
	e.prefillQueue = append(e.prefillQueue, a)
	sim.startPrefill(e)
}

// startPrefill starts computing the next prompt; an engine computes one at a time.
func (sim *simulation) startPrefill(e *engine) {
	if e.prefilling || len(e.prefillQueue) == 0 || e.removed {
		return
	}
	a := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	e.prefilling = true
	missing := a.promptTokens + a.delivered - e.cache.match(a.prefixes)*blockTokens
	sim.result.promptTokens += a.promptTokens
	sim.result.recomputedTokens += missing
	slowdown := 1 + sim.settings.batchSlowdown*float64(len(e.running))/float64(e.slots)
	took := time.Duration(float64(missing) / (sim.settings.prefillTokensPerSecond * e.speed) * slowdown * float64(time.Second))
	sim.scheduleAfter(took, func() { sim.finishPrefill(e, a) })
}

// finishPrefill caches a computed prompt, sends the first token and starts decoding.
func (sim *simulation) finishPrefill(e *engine, a *attempt) {
	e.prefilling = false
	added, evicted := e.cache.add(a.prefixes)
	sim.publishCacheEvents(e, added, evicted)
	sim.startPrefill(e)
	if a.interrupted {
		return
	}
	if !a.firstTokenSent {
		a.firstTokenSent = true
		sim.recordFirstToken(a)
	}
	slowdown := 1 + sim.settings.batchSlowdown*float64(len(e.running))
	interval := time.Duration(float64(sim.settings.tokenTime) * slowdown / e.speed)
	a.decodingSince, a.tokenInterval = sim.now, interval
	left := max(1, a.arrival.request.MaxTokens()-a.delivered)
	sim.scheduleAfter(time.Duration(left)*interval, func() { sim.finishAttempt(e, a) })
}

// finishAttempt frees the slot of an attempt that has generated all its tokens.
func (sim *simulation) finishAttempt(e *engine, a *attempt) {
	if a.interrupted {
		return
	}
	delete(e.running, a)
	sim.completeRequest(a)
	if len(e.waiting) > 0 && !e.removed {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		sim.accept(e, next)
	}
}

// loadReport returns the engine's load at the current time.
func (sim *simulation) loadReport(e *engine) rail.Load {
	return rail.NewLoad(e.instance.ID(), len(e.running), len(e.waiting), e.slots, startTime.Add(sim.now))
}

// publishCacheEvents delivers the events to the entries after the lag, except for the share that is lost.
func (sim *simulation) publishCacheEvents(e *engine, added, evicted []uint64) {
	var events []rail.CacheEvent
	for i, p := range append(added, evicted...) {
		e.sequence++
		if sim.rng.Float64() >= sim.settings.cacheEventLoss {
			events = append(events, rail.NewCacheEvent(e.instance.ID(), e.sequence, p, i < len(added)))
		}
	}
	if len(events) == 0 {
		return
	}
	sim.scheduleAfter(sim.settings.cacheEventLag, func() {
		for _, n := range sim.entries {
			sim.reduce(n, upstream.NewCacheRead(events))
		}
	})
}

// finishReclaim removes the engines of a domain at the end of the notice; their attempts are dispatched to others.
func (sim *simulation) finishReclaim(domain rail.Domain) {
	for _, e := range sim.engines {
		if e.instance.Domain() != domain {
			continue
		}
		interrupted := append([]*attempt(nil), e.waiting...)
		for _, a := range sim.runningByArrival(e) {
			if a.tokenInterval > 0 {
				a.delivered = min(a.arrival.request.MaxTokens(), a.delivered+int((sim.now-a.decodingSince)/a.tokenInterval))
			}
			interrupted = append(interrupted, a)
		}
		e.removed, e.waiting, e.prefillQueue, e.running = true, nil, nil, map[*attempt]bool{}
		e.cache = newCache(e.cache.maxBlocks)
		for _, a := range interrupted {
			a.interrupted = true
			sim.redispatch(a)
		}
	}
}
