package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Sink receives the timers that expired.
type Sink func(ctx context.Context, e rail.TimerFired)

// Service runs the timers of one process.
type Service struct {
	sink   Sink
	mu     sync.Mutex
	byName map[rail.TimerName]*entry
	queue  queue
	wake   chan struct{}
}

// New returns a service that passes each expired timer to the sink; the caller must start Run.
func New(sink Sink) *Service {
	return &Service{sink: sink, byName: map[rail.TimerName]*entry{}, wake: make(chan struct{}, 1)}
}

// Set starts a timer that fires once after the duration; it replaces a running timer of the same name.
func (s *Service) Set(name rail.TimerName, after time.Duration) {
	at := time.Now().Add(after)
	s.mu.Lock()
	if e, ok := s.byName[name]; ok {
		e.at = at
		heap.Fix(&s.queue, e.index)
	} else {
		e = &entry{name: name, at: at}
		s.byName[name] = e
		heap.Push(&s.queue, e)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run fires timers until the context ends.
func (s *Service) Run(ctx context.Context) {
	wakeup := time.NewTimer(time.Hour)
	defer wakeup.Stop()
	for {
		due, next := s.due(time.Now())
		for _, n := range due {
			s.sink(ctx, rail.NewTimerFired(n))
		}
		wakeup.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-wakeup.C:
		}
	}
}

// due removes the expired timers from the queue and returns their names and the time until the next one.
func (s *Service) due(now time.Time) ([]rail.TimerName, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []rail.TimerName
	for len(s.queue) > 0 && !s.queue[0].at.After(now) {
		e := heap.Pop(&s.queue).(*entry)
		delete(s.byName, e.name)
		names = append(names, e.name)
	}
	if len(s.queue) == 0 {
		return names, time.Hour
	}
	return names, s.queue[0].at.Sub(now)
}

type entry struct {
	name  rail.TimerName
	at    time.Time
	index int
}

// queue is a min-heap of timers by expiry time.
type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
