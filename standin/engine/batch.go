package engine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// coalesceWindow is how early a token may be emitted, so that one wake-up serves several streams.
	coalesceWindow = 500 * time.Microsecond
	idleWait       = time.Hour
	// streamBufferTokens is how many tokens a stream buffers for a slow reader.
	streamBufferTokens = 64
)

// batch is the engine's continuous batch; one goroutine emits the tokens of all streams.
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

func (b *batch) updateControl(f func(*control)) {
	b.mu.Lock()
	f(&b.control)
	b.mu.Unlock()
	b.notify()
}

func (b *batch) currentControl() control {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.control
}

// notify wakes the goroutine that emits tokens.
func (b *batch) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run emits tokens until the context ends.
func (b *batch) run(ctx context.Context) {
	next := time.NewTimer(idleWait)
	defer next.Stop()
	for {
		next.Reset(b.step(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-next.C:
		}
	}
}

// step emits the tokens that are due and returns the time until the next one.
func (b *batch) step(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := b.control.pausedUntil.Sub(now); d > 0 {
		return d
	}
	b.admit(now)
	for len(b.due) > 0 && !b.due[0].due.After(now.Add(coalesceWindow)) {
		b.emitToken(b.due[0], now)
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
		s.recomputed = s.promptTokens - b.cache.matchAndAdd(s.prefixes, now)
		b.totals.Streams++
		b.totals.PromptTokens += s.promptTokens
		b.totals.RecomputedTokens += s.recomputed
		prefill := time.Duration(float64(s.recomputed) / b.settings.PrefillTokensPerSecond * float64(time.Second))
		s.due = now.Add(b.withSlowdown(prefill) + b.tokenInterval())
		if b.shouldFail(s) {
			s.failAt = s.next + b.control.failAfter
		}
		if b.control.silentAfter > 0 {
			s.silentAt = s.next + b.control.silentAfter
		}
		heap.Push(&b.due, s)
	}
}

// shouldFail reports whether the injected failures apply to the stream; b.mu must be held.
func (b *batch) shouldFail(s *stream) bool {
	return b.running >= b.control.failWhenRunning && s.failureScore < b.control.failShare
}

func (b *batch) withSlowdown(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.control.slowdown(b.running))
}

func (b *batch) tokenInterval() time.Duration { return b.withSlowdown(b.settings.TokenTime) }

// emitToken sends the next token of a stream to its reader; b.mu must be held.
func (b *batch) emitToken(s *stream, now time.Time) {
	if s.next >= s.end { // it was resumed at its end
		b.finish(s, endComplete, now)
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
	case s.offsets <- s.next:
		s.next++
		b.totals.GeneratedTokens++
	default: // the buffer of a slow reader is full: retry this token after the next interval
	}
	if s.next >= s.end {
		b.finish(s, endComplete, now)
		return
	}
	s.due = s.due.Add(b.tokenInterval())
	if s.due.Before(now) {
		s.due = now.Add(b.tokenInterval())
	}
	heap.Fix(&b.due, s.index)
}

// finish removes a stream from the batch or the queue and closes its channel; b.mu must be held.
func (b *batch) finish(s *stream, reason endReason, now time.Time) {
	if s.ended {
		return
	}
	s.ended, s.endReason = true, reason
	if b.streams[s.key] == s {
		delete(b.streams, s.key)
	}
	switch {
	case s.index < 0: // silent: it has a slot but is not in the due queue
	case s.running:
		heap.Remove(&b.due, s.index)
	default:
		heap.Remove(&b.waiting, s.index)
	}
	if s.running {
		b.running--
	}
	b.samples.add(now, b.running, len(b.waiting))
	close(s.offsets)
}

// enqueue adds a stream to the waiting ones; if the stream is refused, it returns the reason and false.
func (b *batch) enqueue(s *stream) (string, bool) {
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
	b.notify()
	return "", true
}

// release cancels the stream if its reader disconnected before the end.
func (b *batch) release(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(s, endCancelled, time.Now())
	b.notify()
}

// cancel ends the stream of the key, if there is one.
func (b *batch) cancel(key streamKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok := b.streams[key]; ok {
		b.finish(s, endCancelled, time.Now())
		b.notify()
	}
}

// kill fails all streams, as a crash of the process would.
func (b *batch) kill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control.killed = true
	for _, s := range b.streams {
		b.finish(s, endFailed, time.Now())
	}
}
