package admission

import (
	"cmp"
	"slices"
	"time"
)

// agedInterval is the number of dispatches of a priority of which one goes to the largest request that missed its goal and has waited for
// long: large requests miss their goals first, and without it the largest tenth would wait until their deadlines.
const agedInterval = 10

// Limits bounds a queue.
type Limits struct {
	number int
	bytes  int64
	wait   time.Duration
}

// NewLimits returns the bounds on the number of requests, their bytes and the time for which one waits; a queue for no requests takes none.
func NewLimits(number int, bytes int64, wait time.Duration) Limits {
	return Limits{number: number, bytes: bytes, wait: wait}
}

// Enabled reports whether a queue with the bounds takes any request.
func (l Limits) Enabled() bool { return l.number > 0 }

// Queue holds the requests for one service that wait in a gateway.
type Queue struct {
	limits   Limits
	requests []*Request
	bytes    int64
	tokens   int64
	number   int64
	// shares are the teams' shares by priority.
	shares map[int]*shares
}

// shares holds what the teams of a priority got, in tokens divided by their weights (start-time fair queueing). A team without
// requests saves nothing: it continues at the least that a waiting team has got.
type shares struct {
	virtual float64
	used    map[string]float64
	// sinceAged is the number of dispatches since the last one of an aged request.
	sinceAged int
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, shares: map[int]*shares{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.requests) }

// Tokens returns the tokens of the waiting requests.
func (q *Queue) Tokens() int64 { return q.tokens }

func (q *Queue) sharesOf(priority int) *shares {
	s, ok := q.shares[priority]
	if !ok {
		s = &shares{used: map[string]float64{}}
		q.shares[priority] = s
	}
	return s
}

// Add adds the request. If there is no place for it, it takes that of less urgent ones, which are returned; ok is false if
// that does not suffice, and nothing has changed then.
func (q *Queue) Add(r *Request, now time.Time) (displaced []*Request, ok bool) {
	if !q.limits.Enabled() || r.bytes > q.limits.bytes {
		return nil, false
	}
	order := q.Order(now)
	number, bytes := len(q.requests)+1, q.bytes+r.bytes
	for i := len(order) - 1; number > q.limits.number || bytes > q.limits.bytes; i-- {
		if i < 0 || order[i].priority <= r.priority {
			return nil, false
		}
		displaced = append(displaced, order[i])
		number, bytes = number-1, bytes-order[i].bytes
	}
	for _, x := range displaced {
		q.Remove(x)
	}
	q.number++
	r.number = q.number
	q.requests = append(q.requests, r)
	q.bytes += r.bytes
	q.tokens += r.tokens
	return displaced, true
}

// Remove removes a request that is not dispatched.
func (q *Queue) Remove(r *Request) {
	i := slices.Index(q.requests, r)
	if i < 0 {
		return
	}
	q.requests = slices.Delete(q.requests, i, i+1)
	q.bytes -= r.bytes
	q.tokens -= r.tokens
	if len(q.requests) == 0 {
		q.shares = map[int]*shares{} // Shares count only while there is contention.
	}
}

// Dispatch removes a request that is dispatched, and charges it to its team.
func (q *Queue) Dispatch(r *Request, now time.Time) {
	s := q.sharesOf(r.priority)
	if s.sinceAged++; r.aged(now) && r.MeetsDeadline(now) {
		s.sinceAged = 0
	}
	s.virtual = s.start(r.team)
	s.used[r.team] = s.virtual + float64(r.tokens)/r.weight
	q.Remove(r)
}

// start returns what the team has got, at least as much as the team that was served last had.
func (s *shares) start(team string) float64 { return max(s.virtual, s.used[team]) }

// Order returns the waiting requests in the order in which they are to be dispatched: by priority, then those that can meet their goals,
// then by the teams' shares, then by the latest time of dispatch.
func (q *Queue) Order(now time.Time) []*Request {
	return q.orderOf(slices.Clone(q.requests), now)
}

// place is a request with what its place in the order depends on.
type place struct {
	*Request
	class       int
	latestStart time.Time
	aged, taken bool
}

func (q *Queue) orderOf(requests []*Request, now time.Time) []*Request {
	places := make([]*place, len(requests))
	for i, r := range requests {
		places[i] = &place{Request: r, class: class(r, now), latestStart: r.latestStart(now), aged: r.aged(now) && r.MeetsDeadline(now)}
	}
	slices.SortFunc(places, func(a, b *place) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), a.latestStart.Compare(b.latestStart), cmp.Compare(a.number, b.number))
	})
	order := make([]*Request, 0, len(places))
	for len(places) > 0 {
		end := slices.IndexFunc(places, func(r *place) bool { return r.priority != places[0].priority })
		if end < 0 {
			end = len(places)
		}
		order = q.appendPriority(order, places[:end])
		places = places[end:]
	}
	return order
}

// class returns the place of the request's class in its priority: those that can meet their goals, their deadlines, and none.
func class(r *Request, now time.Time) int {
	switch {
	case r.MeetsGoal(now):
		return 0
	case r.MeetsDeadline(now):
		return 1
	}
	return 2
}

// appendPriority appends the requests of one priority, which are sorted by class and latest time of dispatch, in their order.
func (q *Queue) appendPriority(order []*Request, places []*place) []*Request {
	s := q.sharesOf(places[0].priority)
	used := map[string]float64{}
	var aged []*place
	for _, r := range places {
		used[r.team] = s.start(r.team)
		if r.aged {
			aged = append(aged, r)
		}
	}
	slices.SortStableFunc(aged, func(a, b *place) int { return cmp.Compare(b.tokens, a.tokens) })
	sinceAged := s.sinceAged + 1
	take := func(r *place) {
		r.taken = true
		used[r.team] += float64(r.tokens) / r.weight
		order = append(order, r.Request)
		if sinceAged++; r.aged {
			sinceAged = 1
		}
	}
	for len(places) > 0 {
		end := slices.IndexFunc(places, func(r *place) bool { return r.class != places[0].class })
		if end < 0 {
			end = len(places)
		}
		for heads := newHeads(places[:end]); ; {
			for len(aged) > 0 && aged[0].taken {
				aged = aged[1:]
			}
			next := heads.least(used)
			if next == nil {
				break
			}
			if sinceAged >= agedInterval && len(aged) > 0 {
				next = aged[0]
			}
			take(next)
		}
		places = places[end:]
	}
	return order
}

// heads are the requests of a class by team, those of a team in their order.
type heads struct {
	teams  []string
	byTeam map[string][]*place
}

func newHeads(places []*place) *heads {
	h := &heads{byTeam: map[string][]*place{}}
	for _, r := range places {
		if h.byTeam[r.team] == nil {
			h.teams = append(h.teams, r.team)
		}
		h.byTeam[r.team] = append(h.byTeam[r.team], r)
	}
	return h
}

// least returns the first request of the team that has got the least, nil if there is none.
func (h *heads) least(used map[string]float64) *place {
	var best *place
	for _, team := range h.teams {
		rest := h.byTeam[team]
		for len(rest) > 0 && rest[0].taken {
			rest = rest[1:]
		}
		h.byTeam[team] = rest
		if len(rest) > 0 && (best == nil || used[team] < used[best.team]) {
			best = rest[0]
		}
	}
	return best
}

// Wait returns the time until the request, which need not be in the queue, is dispatched, if tokensPerSecond of the capacity are
// available after the time until the first of them is.
func (q *Queue) Wait(r *Request, first time.Duration, tokensPerSecond float64, now time.Time) time.Duration {
	requests := slices.Clone(q.requests)
	if !slices.Contains(requests, r) {
		r.number = q.number + 1
		requests = append(requests, r)
	}
	ahead := int64(0)
	for _, x := range q.orderOf(requests, now) {
		if x == r {
			break
		}
		ahead += x.tokens
	}
	return first + TimeFor(ahead, tokensPerSecond)
}

// Hopeless returns the requests that have waited for the longest time allowed, or cannot meet their deadlines at their places.
func (q *Queue) Hopeless(first time.Duration, tokensPerSecond float64, now time.Time) []*Request {
	var hopeless []*Request
	ahead := int64(0)
	for _, r := range q.Order(now) {
		if r.Waited(now) >= q.limits.wait || !r.MeetsDeadline(now.Add(first+TimeFor(ahead, tokensPerSecond))) {
			hopeless = append(hopeless, r)
			continue
		}
		ahead += r.tokens
	}
	return hopeless
}

// maxTime is returned for an amount that is never available.
const maxTime = time.Hour

// TimeFor returns the time in which so many tokens of capacity become available, at most an hour.
func TimeFor(tokens int64, tokensPerSecond float64) time.Duration {
	switch {
	case tokens <= 0:
		return 0
	case tokensPerSecond <= 0:
		return maxTime
	}
	return time.Duration(min(maxTime.Seconds(), float64(tokens)/tokensPerSecond) * float64(time.Second))
}
