package team

import (
	"cmp"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// tickTimer fires while requests are queued or run.
const tickTimer rail.TimerName = "team.tick"

// Reducer admits requests for one entry.
type Reducer struct {
	settings Settings
	me       rail.Incarnation
	now      time.Time

	teams    []rail.Team
	accounts map[rail.TeamName]*account
	pools    map[string]*pool
	tickets  map[rail.RequestID]*ticket

	upstreams map[rail.InstanceID]seat
	entries   int
	heard     map[rail.Incarnation]time.Time
	reached   float64
	reachedAt time.Time

	ticking   bool
	published time.Time
}

// account is what a team may still spend at this entry.
type account struct {
	retries bucket
	limit   bucket
}

// seat is the slots of one upstream, zero until it has reported.
type seat struct {
	serves string
	slots  int
}

// New returns a part for the entry's incarnation.
func New(settings Settings, me rail.Incarnation) *Reducer {
	return &Reducer{
		settings:  settings,
		me:        me,
		accounts:  map[rail.TeamName]*account{},
		pools:     map[string]*pool{},
		tickets:   map[rail.RequestID]*ticket{},
		upstreams: map[rail.InstanceID]seat{},
		entries:   1,
		heard:     map[rail.Incarnation]time.Time{},
	}
}

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case Arrived:
		return p.arrived(e)
	case Ended:
		return p.ended(e.request)
	case Capacity:
		p.entries, p.reachedAt = max(1, e.entries), time.Time{}
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

// Retry spends from the team's retry budget and reports false when it is used up.
func (p *Reducer) Retry(team rail.TeamName) bool {
	a := p.account(team)
	if a.retries.at.IsZero() {
		a.retries.fill(0, p.settings.retryBurst, p.now)
	}
	return a.retries.take()
}

func (p *Reducer) account(team rail.TeamName) *account {
	a, ok := p.accounts[team]
	if !ok {
		a = &account{}
		p.accounts[team] = a
	}
	return a
}

func (p *Reducer) document(d rail.Document) {
	p.teams = d.Teams()
	for _, l := range p.pools {
		l.setTeams(p.teams)
	}
}

// pool returns the pool of what the route leads to.
func (p *Reducer) pool(serves string) *pool {
	l, ok := p.pools[serves]
	if !ok {
		l = newPool(serves, p.teams)
		l.slots = p.countSlots(serves)
		p.pools[serves] = l
	}
	return l
}

// ordered returns the pools in order of their names.
func (p *Reducer) ordered() []*pool {
	ls := make([]*pool, 0, len(p.pools))
	for _, l := range p.pools {
		ls = append(ls, l)
	}
	slices.SortFunc(ls, func(a, b *pool) int { return cmp.Compare(a.serves, b.serves) })
	return ls
}

func (p *Reducer) list(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]seat, len(p.upstreams))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry && !i.Leaving() {
			listed[i.ID()] = seat{serves: i.Serves(), slots: p.upstreams[i.ID()].slots}
		}
	}
	p.upstreams = listed
	for serves, l := range p.pools {
		l.slots = p.countSlots(serves)
	}
}

// load takes in an upstream's slots; a report that changes nothing costs no count.
func (p *Reducer) load(r rail.Load) []rail.Effect {
	s, ok := p.upstreams[r.Instance()]
	if !ok || s.slots == r.Slots() {
		return nil
	}
	p.upstreams[r.Instance()] = seat{serves: s.serves, slots: r.Slots()}
	l, ok := p.pools[s.serves]
	if !ok {
		return nil
	}
	l.slots += float64(r.Slots() - s.size(p.settings.slots))
	return p.admit(l)
}

// countSlots returns the slots of all upstreams of a model or service.
func (p *Reducer) countSlots(serves string) float64 {
	sum := 0
	for _, s := range p.upstreams {
		if s.serves == serves {
			sum += s.size(p.settings.slots)
		}
	}
	return float64(sum)
}

// size returns the slots, as many as expected until the upstream has reported.
func (s seat) size(expected int) int {
	if s.slots == 0 {
		return expected
	}
	return s.slots
}

// reach returns the part of the entries that this one has heard of lately, itself included; it is counted once a tick.
func (p *Reducer) reach() float64 {
	if !p.reachedAt.IsZero() && p.now.Sub(p.reachedAt) < p.settings.tick {
		return p.reached
	}
	n := 1
	for _, at := range p.heard {
		if p.now.Sub(at) <= p.settings.silence {
			n++
		}
	}
	p.reached, p.reachedAt = min(1, float64(n)/float64(p.entries)), p.now
	return p.reached
}

func (p *Reducer) facts(facts []rail.Fact) {
	for _, f := range facts {
		origin := f.Key().Origin()
		if origin == p.me {
			continue
		}
		if _, ok := p.heard[origin]; !ok {
			p.reachedAt = time.Time{}
		}
		p.heard[origin] = p.now
		if f.Key().Kind() != rail.FactDemand {
			continue
		}
		if all, ok := parseDemand(f.Value()); ok {
			p.pool(f.Key().Subject()).learn(origin, all)
		}
	}
}
