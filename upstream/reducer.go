package upstream

import (
	"time"

	"dandelionrail.org/rail"
)

// Reducer knows the load and the cached prefixes of upstreams and chooses by expected cost.
type Reducer struct {
	settings Settings
	domain   rail.Domain
	now      time.Time
	loads    map[rail.InstanceID]*load
	running  map[rail.RequestID]sent
	holdings *holdings
	service  float64
	sets     map[serving]*set
	memo     memo
	choice   uint64
	list     []candidate
}

// sent is an attempt of this entry that is not over.
type sent struct {
	upstream rail.InstanceID
	at       time.Time
}

// serving names a set of candidates.
type serving struct {
	serves  string
	version rail.Version
}

// New returns a part for an entry in the domain.
func New(settings Settings, domain rail.Domain) *Reducer {
	return &Reducer{
		settings: settings,
		domain:   domain,
		loads:    map[rail.InstanceID]*load{},
		running:  map[rail.RequestID]sent{},
		holdings: newHoldings(settings.holdings, settings.trust),
		service:  settings.service.Seconds(),
		sets:     map[serving]*set{},
	}
}

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case rail.LoadRead:
		p.load(e.Load().Instance()).read(e.Load())
	case rail.ListRead:
		p.forget(e.Instances())
	case Sent:
		p.sent(e)
	case Ended:
		p.ended(e)
	case CacheRead:
		p.cacheRead(e.events)
	}
	return nil
}

func (p *Reducer) load(id rail.InstanceID) *load {
	l, ok := p.loads[id]
	if !ok {
		l = &load{id: id}
		p.loads[id] = l
	}
	return l
}

// forget drops the upstreams that are gone and have nothing of this entry running.
func (p *Reducer) forget(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID()] = true
	}
	for id, l := range p.loads {
		if !listed[id] && l.own <= 0 {
			delete(p.loads, id)
			clear(p.sets)
		}
	}
}

func (p *Reducer) sent(e Sent) {
	l := p.load(e.upstream)
	prefixes, tokens := p.memo.of(e.request, p.settings.blocks)
	missing := tokens
	if l.candidate == p.choice {
		missing = max(0, tokens-l.hit*BlockTokens)
	}
	l.note(mark{at: p.now, change: 1, tokens: missing})
	p.running[e.request.ID()] = sent{upstream: e.upstream, at: p.now}
	for _, prefix := range prefixes {
		p.holdings.add(prefix, l, p.now)
	}
}

// serviceGain is the weight of one request in the mean time for which a slot is held.
const serviceGain = 0.02

func (p *Reducer) ended(e Ended) {
	s, ok := p.running[e.request.ID()]
	if !ok || s.upstream != e.upstream {
		return
	}
	delete(p.running, e.request.ID())
	p.load(e.upstream).note(mark{at: p.now, change: -1})
	p.service += serviceGain * (p.now.Sub(s.at).Seconds() - p.service)
}

func (p *Reducer) cacheRead(events []rail.CacheEvent) {
	for _, e := range events {
		l := p.load(e.Instance())
		if e.Held() {
			p.holdings.add(e.Prefix(), l, p.now)
		} else {
			p.holdings.drop(e.Prefix(), l)
		}
	}
}

func (p *Reducer) pending(id rail.InstanceID) int {
	if l, ok := p.loads[id]; ok {
		return l.pending()
	}
	return 0
}

// full reports whether all slots of the upstream are believed to be taken.
func (p *Reducer) full(id rail.InstanceID) bool {
	l, ok := p.loads[id]
	return ok && l.known && l.pending() >= l.slots()
}
