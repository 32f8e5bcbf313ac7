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
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	r.now = in.At()
	switch e := in.Event().(type) {
	case rail.LoadRead:
		r.load(e.Load().Instance()).applyReport(e.Load())
	case rail.ListRead:
		r.removeUnlisted(e.Instances())
	case Sent:
		r.sent(e)
	case Ended:
		r.ended(e)
	case CacheRead:
		r.cacheRead(e.events)
	}
	return nil
}

func (r *Reducer) load(id rail.InstanceID) *load {
	l, ok := r.loads[id]
	if !ok {
		l = &load{id: id}
		r.loads[id] = l
	}
	return l
}

// removeUnlisted removes upstreams that are no longer listed and have no attempt of this entry in flight.
func (r *Reducer) removeUnlisted(instances []rail.Instance) {
	listed := make(map[rail.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID()] = true
	}
	for id, l := range r.loads {
		if !listed[id] && l.ownAttempts <= 0 {
			delete(r.loads, id)
			clear(r.candidateSets)
		}
	}
}

func (r *Reducer) sent(e Sent) {
	l := r.load(e.upstream)
	prefixes, tokens := r.memo.get(e.request, r.settings.prefixBlocks)
	missing := tokens
	if l.choiceSeq == r.choiceSeq {
		missing = max(0, tokens-l.hitBlocks*BlockTokens)
	}
	l.record(delta{at: r.now, attempts: 1, tokens: missing})
	r.inFlight[e.request.ID()] = attempt{upstream: e.upstream, sentAt: r.now}
	for _, prefix := range prefixes {
		r.prefixes.add(prefix, l, r.now)
	}
}

// serviceTimeGain is the weight of the latest attempt in the moving average of the time for which a slot is held.
const serviceTimeGain = 0.02

func (r *Reducer) ended(e Ended) {
	s, ok := r.inFlight[e.request.ID()]
	if !ok || s.upstream != e.upstream {
		return
	}
	delete(r.inFlight, e.request.ID())
	r.load(e.upstream).record(delta{at: r.now, attempts: -1})
	r.serviceTime += serviceTimeGain * (r.now.Sub(s.sentAt).Seconds() - r.serviceTime)
}

func (r *Reducer) cacheRead(events []rail.CacheEvent) {
	for _, e := range events {
		l := r.load(e.Instance())
		if e.Held() {
			r.prefixes.add(e.Prefix(), l, r.now)
		} else {
			r.prefixes.remove(e.Prefix(), l)
		}
	}
}

func (r *Reducer) pending(id rail.InstanceID) int {
	if l, ok := r.loads[id]; ok {
		return l.pending()
	}
	return 0
}

// full reports whether all slots of the upstream are estimated to be in use.
func (r *Reducer) full(id rail.InstanceID) bool {
	l, ok := r.loads[id]
	return ok && l.reported && l.pending() >= l.slots()
}
