package emulator

import (
	"container/heap"
	"time"
)

// task is a function that runs at a simulated time.
type task struct {
	at       time.Duration
	sequence int
	run      func()
}

// queue is a heap of tasks, ordered by time and, at the same time, by insertion.
type queue []task

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(task)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = task{}
	*q = old[:len(old)-1]
	return t
}

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, task{at: at, sequence: sim.sequence, run: run})
}

func (sim *simulation) scheduleAfter(d time.Duration, run func()) { sim.schedule(sim.now+d, run) }
