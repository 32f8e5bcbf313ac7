package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Runner carries out one effect without blocking; the events that it returns are
// reduced next.
type Runner func(e rail.Effect) []rail.Event

// Loop runs the reducer, whose state only its goroutine accesses; it implements rail.Mailbox.
type Loop struct {
	reducer rail.Reducer
	runner  Runner
	inbox   chan rail.Event
	random  *rand.Rand

	mu      sync.Mutex
	waiters map[rail.RequestID]chan rail.CallEffect
}

// NewLoop returns a loop whose queue holds queueLength events; random is the source of each input's random number.
func NewLoop(reducer rail.Reducer, queueLength int, random *rand.Rand) *Loop {
	return &Loop{
		reducer: reducer,
		inbox:   make(chan rail.Event, queueLength),
		random:  random,
		waiters: map[rail.RequestID]chan rail.CallEffect{},
	}
}

// SetRunner sets the function that carries out the effects; it must be called before Run.
func (l *Loop) SetRunner(r Runner) { l.runner = r }

// Post queues an event and reports false if the bounded queue is full.
func (l *Loop) Post(e rail.Event) bool {
	select {
	case l.inbox <- e:
		return true
	default:
		return false
	}
}

// PostWait queues an event; while the queue is full, it blocks, at most until the context ends.
func (l *Loop) PostWait(ctx context.Context, e rail.Event) error {
	select {
	case l.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ask queues an event and waits for the first CallEffect of the id.
func (l *Loop) Ask(ctx context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	result := make(chan rail.CallEffect, 1)
	l.mu.Lock()
	l.waiters[id] = result
	l.mu.Unlock()
	defer l.removeWaiter(id)
	if !l.Post(e) {
		return nil, rail.NewError(rail.KindOverloaded, "the entry's queue is full")
	}
	select {
	case effect := <-result:
		return effect, nil
	case <-ctx.Done():
		return nil, rail.WrapError(ctx.Err(), rail.KindCancelled, "the caller went away")
	}
}

func (l *Loop) removeWaiter(id rail.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
}

// Run reduces events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case e := <-l.inbox:
			l.process(e)
		case <-ctx.Done():
			return
		}
	}
}

// process reduces the event and all events that its effects raise.
func (l *Loop) process(first rail.Event) {
	pending := []rail.Event{first}
	for len(pending) > 0 {
		e := pending[0]
		pending = pending[1:]
		in := rail.NewInput(e, time.Now(), l.random.Uint64())
		for _, effect := range l.reducer.Reduce(in) {
			pending = append(pending, l.run(effect)...)
		}
	}
}

// run returns the event of a raise effect; it passes any other effect to the runner, and a call effect to its waiting call as well.
func (l *Loop) run(effect rail.Effect) []rail.Event {
	if raised, ok := effect.(rail.Raise); ok {
		return []rail.Event{raised.Event()}
	}
	if call, ok := effect.(rail.CallEffect); ok {
		l.notifyWaiter(call)
	}
	return l.runner(effect)
}

func (l *Loop) notifyWaiter(call rail.CallEffect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := l.waiters[call.Call()]; ok {
		w <- call
		delete(l.waiters, call.Call())
	}
}
