package team

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// tickTimer fires while requests are queued or running, or a demand is published.
const tickTimer rail.TimerName = "team.tick"

// Reducer admits the requests of one entry.
type Reducer struct {
	settings Settings
	self     rail.Incarnation
	now      time.Time

	teams    []rail.Team
	buckets  map[rail.TeamName]*teamBuckets
	pools    map[string]*pool
	requests map[rail.RequestID]*activeRequest

	upstreams    map[rail.InstanceID]upstreamSlots
	entries      int
	lastReceived map[rail.Incarnation]time.Time
	lastShare    float64
	lastShareAt  time.Time

	timerSet    bool
	publishedAt time.Time
}

// teamBuckets are the token buckets of a team at this entry.
type teamBuckets struct {
	retries bucket
	limit   bucket
}

// upstreamSlots is the number of slots of one upstream, zero until its first load report.
type upstreamSlots struct {
	serves string
	slots  int
}

// New returns a reducer for the entry's incarnation.
func New(settings Settings, self rail.Incarnation) *Reducer {
	return &Reducer{
		settings:     settings,
		self:         self,
		buckets:      map[rail.TeamName]*teamBuckets{},
		pools:        map[string]*pool{},
		requests:     map[rail.RequestID]*activeRequest{},
		upstreams:    map[rail.InstanceID]upstreamSlots{},
		entries:      1,
		lastReceived: map[rail.Incarnation]time.Time{},
	}
}

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	r.now = in.At()
	switch e := in.Event().(type) {
	case Arrived:
		return r.arrived(e)
	case Ended:
		return r.ended(e.request)
	case Capacity:
		r.entries, r.lastShareAt = max(1, e.entries), time.Time{}
	case rail.DocumentInForce:
		r.document(e.Document())
	case rail.ListRead:
		r.list(e.Instances())
	case rail.LoadRead:
		return r.load(e.Load())
	case rail.FactsLearned:
		r.facts(e.Facts())
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return r.tick()
		}
	}
	return nil
}

// Retry takes a retry from the team's budget and reports whether there was one.
func (r *Reducer) Retry(team rail.TeamName) bool {
	b := r.bucketsOf(team)
	if b.retries.filledAt.IsZero() {
		b.retries.fill(0, r.settings.retryBurst, r.now)
	}
	return b.retries.take()
}

func (r *Reducer) bucketsOf(team rail.TeamName) *teamBuckets {
	b, ok := r.buckets[team]
	if !ok {
		b = &teamBuckets{}
		r.buckets[team] = b
	}
	return b
}

func (r *Reducer) document(d rail.Document) {
	r.teams = d.Teams()
	for _, pl := range r.pools {
		pl.setTeams(r.teams)
	}
}

// pool returns the pool of the model or service, created if it is missing.
func (r *Reducer) pool(serves string) *pool {
	pl, ok := r.pools[serves]
	if !ok {
		pl = newPool(serves, r.teams)
		pl.slots = r.countSlots(serves)
		r.pools[serves] = pl
	}
	return pl
}

// sortedPools returns the pools sorted by the names of their models and services.
func (r *Reducer) sortedPools() []*pool {
	pools := make([]*pool, 0, len(r.pools))
	for _, pl := range r.pools {
		pools = append(pools, pl)
	}
	slices.SortFunc(pools, func(a, b *pool) int { return cmp.Compare(a.serves, b.serves) })
	return pools
}

func (r *Reducer) list(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]upstreamSlots, len(r.upstreams))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry && !i.Leaving() {
			listed[i.ID()] = upstreamSlots{serves: i.Serves(), slots: r.upstreams[i.ID()].slots}
		}
	}
	r.upstreams = listed
	for serves, pl := range r.pools {
		pl.slots = r.countSlots(serves)
	}
}

// load applies the slots of a load report; the common report without a change returns early.
func (r *Reducer) load(report rail.Load) []rail.Effect {
	s, ok := r.upstreams[report.Instance()]
	if !ok || s.slots == report.Slots() {
		return nil
	}
	r.upstreams[report.Instance()] = upstreamSlots{serves: s.serves, slots: report.Slots()}
	pl, ok := r.pools[s.serves]
	if !ok {
		return nil
	}
	pl.slots += float64(report.Slots() - s.slotsOr(r.settings.defaultSlots))
	return r.admit(pl)
}

// countSlots returns the total slots of all upstreams of a model or service.
func (r *Reducer) countSlots(serves string) float64 {
	sum := 0
	for _, s := range r.upstreams {
		if s.serves == serves {
			sum += s.slotsOr(r.settings.defaultSlots)
		}
	}
	return float64(sum)
}

// slotsOr returns the reported slots, or the given number before the first report.
func (s upstreamSlots) slotsOr(unreported int) int {
	if s.slots == 0 {
		return unreported
	}
	return s.slots
}

// reachableShare returns the fraction of the entries that are reachable, this one included. It is cached for one tick.
func (r *Reducer) reachableShare() float64 {
	if !r.lastShareAt.IsZero() && r.now.Sub(r.lastShareAt) < r.settings.tickInterval {
		return r.lastShare
	}
	n := 1
	for _, at := range r.lastReceived {
		if r.now.Sub(at) <= r.settings.peerTimeout {
			n++
		}
	}
	r.lastShare, r.lastShareAt = min(1, float64(n)/float64(r.entries)), r.now
	return r.lastShare
}

func (r *Reducer) facts(facts []rail.Fact) {
	for _, f := range facts {
		origin := f.Key().Origin()
		if origin == r.self {
			continue
		}
		if _, ok := r.lastReceived[origin]; !ok {
			r.lastShareAt = time.Time{}
		}
		r.lastReceived[origin] = r.now
		if f.Key().Kind() != rail.FactDemand {
			continue
		}
		if all, ok := parseDemand(f.Value()); ok {
			r.pool(f.Key().Subject()).setPeerRates(origin, all)
		}
	}
}
