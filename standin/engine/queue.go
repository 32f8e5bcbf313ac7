package engine

// dueQueue is a heap of running streams, ordered by the time of their next token.
type dueQueue []*stream

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q dueQueue) Swap(i, j int)      { swap(q, i, j) }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = push(*q, x.(*stream)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	var s *stream
	*q, s = pop(*q)
	return s
}

// waitQueue is a heap of waiting streams: the highest priority first, then the oldest.
type waitQueue []*stream

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q waitQueue) Swap(i, j int) { swap(q, i, j) }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = push(*q, x.(*stream)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	var s *stream
	*q, s = pop(*q)
	return s
}

func swap(q []*stream, i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func push(q []*stream, s *stream) []*stream {
	s.index = len(q)
	return append(q, s)
}

func pop(q []*stream) ([]*stream, *stream) {
	s := q[len(q)-1]
	q[len(q)-1] = nil
	s.index = -1
	return q[:len(q)-1], s
}
