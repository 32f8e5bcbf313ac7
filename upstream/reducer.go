package upstream

import (
	"time"

	"dandelionrail.org/rail"
)

// Reducer tracks the load and the cached prefixes of upstreams and chooses the one with the lowest expected cost.
type Reducer struct {
	settings      Settings
	domain        rail.Domain
	now           time.Time
	loads         map[rail.InstanceID]*load
	inFlight      map[rail.RequestID]attempt
	prefixes      *prefixIndex
	serviceTime   float64
	candidateSets map[servedVersion]*candidateSet
	memo          prefixMemo
	choiceSeq     uint64
	considered    []candidate
}

// attempt is an in-flight attempt of this entry.
type attempt struct {
	upstream rail.InstanceID
	sentAt   time.Time
}

// servedVersion identifies a set of candidates by model or service and version.
type servedVersion struct {
	serves  string
	version rail.Version
}

// New returns a reducer for an entry in the failure domain.
func New(settings Settings, domain rail.Domain) *Reducer {
	return &Reducer{
		settings:      settings,
		domain:        domain,
		loads:         map[rail.InstanceID]*load{},
		inFlight:      map[rail.RequestID]attempt{},
		prefixes:      newPrefixIndex(settings.maxPrefixes, settings.prefixTTL),
		serviceTime:   settings.serviceTime.Seconds(),
		candidateSets: map[servedVersion]*candidateSet{},
	}
}

// Reduce implements rail.Reducer.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case rail.LoadRead:
		p.load(e.Load().Instance()).applyReport(e.Load())
	case rail.ListRead:
		p.removeUnlisted(e.Instances())
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

// removeUnlisted removes upstreams that are no longer listed and have no attempt of this entry in flight.
func (p *Reducer) removeUnlisted(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID()] = true
	}
	for id, l := range p.loads {
		if !listed[id] && l.ownAttempts <= 0 {
			delete(p.loads, id)
			clear(p.candidateSets)
		}
	}
}

func (p *Reducer) sent(e Sent) {
	l := p.load(e.upstream)
	prefixes, tokens := p.memo.get(e.request, p.settings.prefixBlocks)
	missing := tokens
	if l.choiceSeq == p.choiceSeq {
		missing = max(0, tokens-l.hitBlocks*BlockTokens)
	}
	l.record(delta{at: p.now, attempts: 1, tokens: missing})
	p.inFlight[e.request.ID()] = attempt{upstream: e.upstream, sentAt: p.now}
	for _, prefix := range prefixes {
		p.prefixes.add(prefix, l, p.now)
	}
}

// serviceTimeGain is the weight of the latest attempt in the moving average of the time for which a slot is held.
const serviceTimeGain = 0.02

func (p *Reducer) ended(e Ended) {
	s, ok := p.inFlight[e.request.ID()]
	if !ok || s.upstream != e.upstream {
		return
	}
	delete(p.inFlight, e.request.ID())
	p.load(e.upstream).record(delta{at: p.now, attempts: -1})
	p.serviceTime += serviceTimeGain * (p.now.Sub(s.sentAt).Seconds() - p.serviceTime)
}

func (p *Reducer) cacheRead(events []rail.CacheEvent) {
	for _, e := range events {
		l := p.load(e.Instance())
		if e.Held() {
			p.prefixes.add(e.Prefix(), l, p.now)
		} else {
			p.prefixes.remove(e.Prefix(), l)
		}
	}
}

func (p *Reducer) pending(id rail.InstanceID) int {
	if l, ok := p.loads[id]; ok {
		return l.pending()
	}
	return 0
}

// full reports whether all slots of the upstream are estimated to be in use.
func (p *Reducer) full(id rail.InstanceID) bool {
	l, ok := p.loads[id]
	return ok && l.reported && l.pending() >= l.slots()
}
