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
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case Arrived:
		return p.arrived(e)
	case Ended:
		return p.ended(e.request)
	case Capacity:
		p.entries, p.lastShareAt = max(1, e.entries), time.Time{}
	case rail.DocumentInForce:
		p.document(e.Document())
	case rail.ListRead:
		p.list(e.Instances())
	case rail.LoadRead:
		return p.load(e.Load())
	case rail.FactsLearned:
		p.facts(e.Facts())
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return p.tick()
		}
	}
	return nil
}

// Retry takes a retry from the team's budget and reports whether there was one.
func (p *Reducer) Retry(team rail.TeamName) bool {
	b := p.bucketsOf(team)
	if b.retries.filledAt.IsZero() {
		b.retries.fill(0, p.settings.retryBurst, p.now)
	}
	return b.retries.take()
}

func (p *Reducer) bucketsOf(team rail.TeamName) *teamBuckets {
	b, ok := p.buckets[team]
	if !ok {
		b = &teamBuckets{}
		p.buckets[team] = b
	}
	return b
}

func (p *Reducer) document(d rail.Document) {
	p.teams = d.Teams()
	for _, pl := range p.pools {
		pl.setTeams(p.teams)
	}
}

// pool returns the pool of the model or service, created if it is missing.
func (p *Reducer) pool(serves string) *pool {
	pl, ok := p.pools[serves]
	if !ok {
		pl = newPool(serves, p.teams)
		pl.slots = p.countSlots(serves)
		p.pools[serves] = pl
	}
	return pl
}

// sortedPools returns the pools sorted by the names of their models and services.
func (p *Reducer) sortedPools() []*pool {
	pools := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		pools = append(pools, pl)
	}
	slices.SortFunc(pools, func(a, b *pool) int { return cmp.Compare(a.serves, b.serves) })
	return pools
}

func (p *Reducer) list(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]upstreamSlots, len(p.upstreams))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry && !i.Leaving() {
			listed[i.ID()] = upstreamSlots{serves: i.Serves(), slots: p.upstreams[i.ID()].slots}
		}
	}
	p.upstreams = listed
	for serves, pl := range p.pools {
		pl.slots = p.countSlots(serves)
	}
}

// load applies the slots of a load report; the common report without a change returns early.
func (p *Reducer) load(r rail.Load) []rail.Effect {
	s, ok := p.upstreams[r.Instance()]
	if !ok || s.slots == r.Slots() {
		return nil
	}
	p.upstreams[r.Instance()] = upstreamSlots{serves: s.serves, slots: r.Slots()}
	pl, ok := p.pools[s.serves]
	if !ok {
		return nil
	}
	pl.slots += float64(r.Slots() - s.slotsOr(p.settings.defaultSlots))
	return p.admit(pl)
}

// countSlots returns the total slots of all upstreams of a model or service.
func (p *Reducer) countSlots(serves string) float64 {
	sum := 0
	for _, s := range p.upstreams {
		if s.serves == serves {
			sum += s.slotsOr(p.settings.defaultSlots)
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
func (p *Reducer) reachableShare() float64 {
	if !p.lastShareAt.IsZero() && p.now.Sub(p.lastShareAt) < p.settings.tickInterval {
		return p.lastShare
	}
	n := 1
	for _, at := range p.lastReceived {
		if p.now.Sub(at) <= p.settings.peerTimeout {
			n++
		}
	}
	p.lastShare, p.lastShareAt = min(1, float64(n)/float64(p.entries)), p.now
	return p.lastShare
}

func (p *Reducer) facts(facts []rail.Fact) {
	for _, f := range facts {
		origin := f.Key().Origin()
		if origin == p.self {
			continue
		}
		if _, ok := p.lastReceived[origin]; !ok {
			p.lastShareAt = time.Time{}
		}
		p.lastReceived[origin] = p.now
		if f.Key().Kind() != rail.FactDemand {
			continue
		}
		if all, ok := parseDemand(f.Value()); ok {
			p.pool(f.Key().Subject()).setPeerRates(origin, all)
		}
	}
}
