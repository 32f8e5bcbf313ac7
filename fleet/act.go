package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// decay counts events and forgets half of them in each half-life.
type decay struct {
	count float64
	at    time.Time
}

// reclaimMemory is the half-life of a reclaim in the rates.
const reclaimMemory = time.Hour

func (d *decay) value(now time.Time) float64 {
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(reclaimMemory))
}

func (d *decay) add(now time.Time) { d.count, d.at = d.value(now)+1, now }

// peak is the largest need seen lately; it falls only after a calm time.
type peak struct {
	need  int
	at    time.Time
	first time.Time
}

func (p *peak) take(need int, calm time.Duration, now time.Time) int {
	if p.first.IsZero() {
		p.first = now
	}
	if need >= p.need || now.Sub(p.at) > calm {
		p.need, p.at = need, now
	}
	return p.need
}

func (p *Reducer) list(instances []rail.Instance) []rail.Effect {
	listed := make(map[rail.InstanceID]rail.Instance, len(instances))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry {
			listed[i.ID()] = i
		}
	}
	p.instances = listed
	for id := range p.loads {
		if _, ok := listed[id]; !ok {
			delete(p.loads, id)
		}
	}
	for id := range p.book.releasing {
		if _, ok := listed[id]; !ok {
			delete(p.book.releasing, id)
			delete(p.drained, id)
		}
	}
	for id, s := range p.book.starting {
		if _, ok := listed[id]; ok || p.now.Sub(s.at) > p.settings.startup {
			delete(p.book.starting, id)
		}
	}
	if len(p.book.releasing) == 0 {
		return nil
	}
	return p.leaving()
}

// sorted returns the ids of the upstreams in order.
func (p *Reducer) sorted() []rail.InstanceID { return slices.Sorted(maps.Keys(p.instances)) }

// notices counts each reclaim once, for the rate of its domain and class.
func (p *Reducer) notices(notices []rail.Notice) {
	current := map[rail.InstanceID]bool{}
	for _, n := range notices {
		current[n.Instance()] = true
		i, ok := p.instances[n.Instance()]
		if !ok || p.seen[n.Instance()] {
			continue
		}
		k := place{i.Domain(), i.Class()}
		if p.reclaims[k] == nil {
			p.reclaims[k] = &decay{}
		}
		p.reclaims[k].add(p.now)
	}
	p.seen = current
}

// groups returns the versions that the document asks for, in its order.
func (p *Reducer) groups() []group {
	var gs []group
	add := func(g group) {
		if g.version != "" && !slices.Contains(gs, g) {
			gs = append(gs, g)
		}
	}
	for _, r := range p.document.Routes() {
		add(group{r.Serves(), r.Stable()})
		if o, ok := p.document.Rollout(r.Name()); ok {
			add(group{r.Serves(), o.Version()})
		}
	}
	return gs
}

// need returns how many instances the work of the group asks for.
func (p *Reducer) need(g group) int {
	work, slots, reports := 0, 0, 0
	for id, i := range p.instances {
		if l, ok := p.loads[id]; ok && i.Serves() == g.serves && i.Version() == g.version {
			work += l.Running() + l.Waiting()
			slots += l.Slots()
			reports++
		}
	}
	each := float64(p.settings.slots)
	if reports > 0 {
		each = float64(max(1, slots)) / float64(reports)
	}
	need := max(1, int(math.Ceil(float64(work)/(each*p.settings.utilisation))))
	if p.peaks[g] == nil {
		p.peaks[g] = &peak{}
	}
	return p.peaks[g].take(need, p.settings.calm, p.now)
}

// options returns what is offered and what is there for the group, in order of domain and class.
func (p *Reducer) options(g group) []Pool {
	byPlace := map[place]*Pool{}
	at := func(k place, price float64) *Pool {
		if byPlace[k] == nil {
			byPlace[k] = &Pool{domain: k.domain, class: k.class, price: price, refused: true}
		}
		return byPlace[k]
	}
	for _, o := range p.offers {
		x := at(place{o.Domain(), o.Class()}, o.Price())
		since, ok := p.book.refusals[place{o.Domain(), o.Class()}]
		x.refused = ok && p.now.Sub(since) < p.settings.refusal
	}
	total := map[place]int{}
	for _, i := range p.instances {
		k := place{i.Domain(), i.Class()}
		total[k]++
		if !i.Leaving() && !p.book.releasing[i.ID()] && i.Serves() == g.serves && i.Version() == g.version {
			at(k, 0).have++
		}
	}
	for _, w := range p.book.open {
		if w.group() == g {
			at(w.place(), w.Price).have++
		}
	}
	for _, s := range p.book.starting {
		if s.want.group() == g {
			at(s.want.place(), s.want.Price).have++
		}
	}
	options := make([]Pool, 0, len(byPlace))
	for k, o := range byPlace {
		if r := p.reclaims[k]; r != nil {
			o.reclaims = r.value(p.now) / float64(max(1, total[k]))
		}
		options = append(options, *o)
	}
	slices.SortFunc(options, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.class, b.class))
	})
	return options
}

// planEvery is the time between two plans; one that was not read back by then is made anew.
const planEvery = 10 * time.Second

// act writes down what the plan asks for in one record; it is acted on when it has been read back.
func (p *Reducer) act() []rail.Effect {
	effects := p.giveBack()
	if p.now.Sub(p.plannedAt) < planEvery {
		return effects
	}
	p.plannedAt = p.now
	e := entry{Kind: entryPlanned, Fencing: p.book.lease.fencing, Base: p.book.version}
	for _, g := range p.groups() {
		wants, releases := p.plan(g)
		e.Wants = append(e.Wants, wants...)
		e.Releases = append(e.Releases, releases...)
	}
	if len(e.Wants)+len(e.Releases) == 0 {
		return effects
	}
	return append(effects, rail.NewAppend(rail.RecordFleet, body(e)))
}

// plan returns the purchases of a group, or its releases if it needs none and its demand has been watched long enough.
func (p *Reducer) plan(g group) ([]want, []rail.InstanceID) {
	var wants []want
	var releases []rail.InstanceID
	for _, c := range Plan(p.need(g), p.options(g), p.settings.restart) {
		for range min(c.count, p.settings.purchases) {
			p.serial++
			wants = append(wants, want{
				Token: fmt.Sprintf("%s-%d", p.me, p.serial), Domain: c.option.domain, Class: c.option.class,
				Price: c.option.price, Serves: g.serves, Version: g.version,
			})
		}
		releases = append(releases, p.idlest(g, c.option, -c.count)...)
	}
	if len(wants) > 0 || p.buying(g) || p.fallback(g) || p.now.Sub(p.peaks[g].first) < p.settings.calm {
		return wants, nil
	}
	return nil, releases
}

// fallback reports whether the group is what a rollout goes back to when its version is braked; it must be able to take all the work until the document says otherwise.
func (p *Reducer) fallback(g group) bool {
	for _, r := range p.document.Routes() {
		if _, moving := p.document.Rollout(r.Name()); moving && r.Serves() == g.serves && r.Stable() == g.version {
			return true
		}
	}
	return false
}

// buying reports whether a purchase of the group has no outcome yet; its instance may be listed all the same, and is then counted twice.
func (p *Reducer) buying(g group) bool {
	for _, w := range p.book.open {
		if w.group() == g {
			return true
		}
	}
	return false
}

// giveBack releases the instances that have been leaving for a while and have ended their work.
func (p *Reducer) giveBack() []rail.Effect {
	var effects []rail.Effect
	for _, id := range slices.Sorted(maps.Keys(p.drained)) {
		at := p.drained[id]
		l, known := p.loads[id]
		if known && p.now.Sub(at) >= p.settings.drain && l.AsOf().After(at) && l.Running()+l.Waiting() == 0 {
			effects = append(effects, Release{instance: id, until: p.sureUntil})
		}
	}
	return effects
}

// idlest returns the instances with the least work of those that the option has.
func (p *Reducer) idlest(g group, o Pool, n int) []rail.InstanceID {
	var ids []rail.InstanceID
	for id, i := range p.instances {
		if i.Domain() == o.domain && i.Class() == o.class && i.Serves() == g.serves && i.Version() == g.version && !i.Leaving() && !p.book.releasing[id] {
			ids = append(ids, id)
		}
	}
	work := func(id rail.InstanceID) int { return p.loads[id].Running() + p.loads[id].Waiting() }
	slices.SortFunc(ids, func(a, b rail.InstanceID) int {
		return cmp.Or(cmp.Compare(work(a), work(b)), cmp.Compare(a, b))
	})
	return ids[:max(0, min(n, len(ids)))]
}
