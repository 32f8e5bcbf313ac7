package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// coalesce is how much earlier a token may come, so that one wake-up serves several streams.
	coalesce = 500 * time.Microsecond
	idleWait = time.Hour
	// outBuffer is how many tokens a stream keeps for a slow reader.
	outBuffer = 64
)

// batch is the engine's continuous batch; one goroutine gives the tokens of all streams.
type batch struct {
	settings Settings
	mu       sync.Mutex
	control  control
	cache    *cache
	streams  map[streamKey]*stream
	due      dueQueue
	waiting  waitQueue
	running  int
	sequence uint64
	samples  samples
	totals   totalsAnswer
	wake     chan struct{}
}

func newBatch(settings Settings) *batch {
	return &batch{
		settings: settings,
		cache:    newCache(settings),
		streams:  map[streamKey]*stream{},
		samples:  samples{lag: max(settings.LoadLag, 0)},
		wake:     make(chan struct{}, 1),
	}
}

func (b *batch) change(f func(*control)) {
	b.mu.Lock()
	f(&b.control)
	b.mu.Unlock()
	b.poke()
}

func (b *batch) controlNow() control {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.control
}

// poke wakes the loop.
func (b *batch) poke() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run gives tokens until the context ends.
func (b *batch) run(ctx context.Context) {
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		alarm.Reset(b.step(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-alarm.C:
		}
	}
}

// step gives the tokens that are due and returns the time until the next one.
func (b *batch) step(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.control.frozenUntil.Sub(now); d > 0 {
		return d
	}
	b.admit(now)
	for len(b.due) > 0 && !b.due[0].due.After(now.Add(coalesce)) {
		b.token(b.due[0], now)
	}
	b.admit(now)
	if len(b.due) == 0 {
		return idleWait
	}
	return b.due[0].due.Sub(now)
}

// admit moves waiting streams into free slots; b.mu must be held.
func (b *batch) admit(now time.Time) {
	for b.running < b.settings.Slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*stream)
		s.running = true
		b.running++
		b.samples.add(now, b.running, len(b.waiting))
		s.recomputed = s.promptTokens - b.cache.use(s.prefixes, now)
		b.totals.Streams++
		b.totals.PromptTokens += s.promptTokens
		b.totals.RecomputedTokens += s.recomputed
		prefill := time.Duration(float64(s.recomputed) / b.settings.PrefillTokensPerSecond * float64(time.Second))
		s.due = now.Add(b.slowed(prefill) + b.tokenTime())
		if b.fails(s) {
			s.failAt = s.next + b.control.failAfter
		}
		if b.control.silentAfter > 0 {
			s.silentAt = s.next + b.control.silentAfter
		}
		heap.Push(&b.due, s)
	}
}

// fails reports whether the stream is one of those that the faults strike; b.mu must be held.
func (b *batch) fails(s *stream) bool {
	return b.running >= b.control.failWhenRunning && s.lot < b.control.failShare
}

func (b *batch) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.control.slowdown(b.running))
}

func (b *batch) tokenTime() time.Duration { return b.slowed(b.settings.TokenTime) }

// token gives a stream its next token; b.mu must be held.
func (b *batch) token(s *stream, now time.Time) {
	if s.next >= s.end { // resumed at its end
		b.finish(s, endWhole, now)
		return
	}
	switch s.next {
	case s.failAt:
		b.finish(s, endFailed, now)
		return
	case s.silentAt:
		heap.Remove(&b.due, s.index)
		return
	}
	select {
	case s.out <- s.next:
		s.next++
		b.totals.GeneratedTokens++
	default: // the reader is slow: try the same token again later
	}
	if s.next >= s.end {
		b.finish(s, endWhole, now)
		return
	}
	s.due = s.due.Add(b.tokenTime())
	if s.due.Before(now) {
		s.due = now.Add(b.tokenTime())
	}
	heap.Fix(&b.due, s.index)
}

// finish takes a stream out and tells its reader how it ended; b.mu must be held.
func (b *batch) finish(s *stream, e ending, now time.Time) {
	if s.ended {
		return
	}
	s.ended, s.ending = true, e
	if b.streams[s.key] == s {
		delete(b.streams, s.key)
	}
	switch {
	case s.index < 0: // silent: in a slot, but not due
	case s.running:
		heap.Remove(&b.due, s.index)
	default:
		heap.Remove(&b.waiting, s.index)
	}
	if s.running {
		b.running--
	}
	b.samples.add(now, b.running, len(b.waiting))
	close(s.out)
}

// enter queues a stream and reports false with the reason if it is refused.
func (b *batch) enter(s *stream) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.control.leaving:
		return "leaving", false
	case len(b.waiting) >= b.settings.MaxWaiting:
		return "full", false
	}
	b.sequence++
	s.sequence = b.sequence
	b.streams[s.key] = s
	heap.Push(&b.waiting, s)
	b.samples.add(time.Now(), b.running, len(b.waiting))
	b.poke()
	return "", true
}

// leave ends a stream whose reader has gone.
func (b *batch) leave(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(s, endCancelled, time.Now())
	b.poke()
}

// cancel ends the stream of the key, if there is one.
func (b *batch) cancel(key streamKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.streams[key]; ok {
		b.finish(s, endCancelled, time.Now())
		b.poke()
	}
}

// kill breaks all streams, as the death of the process would.
func (b *batch) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control.dead = true
	for _, s := range b.streams {
		b.finish(s, endFailed, time.Now())
	}
}
