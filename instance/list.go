package instance

import (
	"time"

	"dandelionrail.org/rail"
)

// applyList applies a snapshot of the platform's list.
func (r *Reducer) applyList(instances []rail.Instance, at time.Time) []rail.Effect {
	r.listCount++
	var effects []rail.Effect
	for _, i := range instances {
		if r.listCount > 1 && r.isNew(i) {
			effects = append(effects, rail.NewPublish(rail.FactInstance, string(i.ID()), encode(i)))
		}
		effects = append(effects, r.observe(i)...)
	}
	r.forget(at)
	return effects
}

func (r *Reducer) observeAll(instances []rail.Instance) []rail.Effect {
	var effects []rail.Effect
	for _, i := range instances {
		effects = append(effects, r.observe(i)...)
	}
	return effects
}

// applyFetched applies a peer's instances if this entry has read no list.
func (r *Reducer) applyFetched(instances []rail.Instance) []rail.Effect {
	if r.listCount > 0 {
		return nil
	}
	return r.observeAll(instances)
}

// observe applies one instance of a list.
func (r *Reducer) observe(i rail.Instance) []rail.Effect {
	if i.ID() == r.me.ID() || r.replaced.has(i.ID(), i.Incarnation()) {
		return nil
	}
	listedLeaving := i.Leaving()
	r.leaving.bind(i.ID(), i.Incarnation())
	if r.leaving.has(i.ID(), i.Incarnation()) {
		i = i.WithLeaving()
	}
	r.store(i)
	if listedLeaving {
		return r.announceLeaving(i.ID(), i.Incarnation(), SourceList)
	}
	return nil
}

// store stores the instance and, if it has changed, updates the data derived from it.
func (r *Reducer) store(i rail.Instance) {
	delete(r.forgottenAt, i.ID())
	m, known := r.members[i.ID()]
	if !known {
		r.members[i.ID()] = &member{instance: i, lastList: r.listCount}
		r.upstreams.add(i)
		r.indexEntry(i)
		r.invalidate(i)
		return
	}
	m.lastList, m.missingSince = r.listCount, time.Time{}
	if m.instance == i {
		return
	}
	old := m.instance
	m.instance = i
	if old.Incarnation() != i.Incarnation() {
		r.replaced.add(i.ID(), old.Incarnation())
		m.unreachableUntil = time.Time{}
	}
	delete(r.entries, old.Incarnation())
	r.indexEntry(i)
	r.upstreams.remove(old)
	r.upstreams.add(i)
	r.invalidate(i)
}

// forget drops the instances that were missing from the lists for forgetAfter, and later their marks.
//
// The time counts from the first list without the instance: during an outage
// of the platform no list is read and nothing is forgotten.
func (r *Reducer) forget(at time.Time) {
	for id, m := range r.members {
		if m.lastList == r.listCount {
			continue
		}
		if m.missingSince.IsZero() {
			m.missingSince = at
		}
		if at.Sub(m.missingSince) >= forgetAfter {
			delete(r.members, id)
			delete(r.entries, m.instance.Incarnation())
			r.upstreams.remove(m.instance)
			r.invalidate(m.instance)
			r.forgottenAt[id] = at
		}
	}
	for id := range r.leaving {
		_, forgotten := r.forgottenAt[id]
		if _, member := r.members[id]; !member && !forgotten {
			r.forgottenAt[id] = at // A peer reported an instance that was never listed.
		}
	}
	for id, since := range r.forgottenAt {
		if at.Sub(since) >= markRetention {
			delete(r.forgottenAt, id)
			delete(r.leaving, id)
			delete(r.replaced, id)
		}
	}
}

// invalidate drops the cached results that contain the instance.
func (r *Reducer) invalidate(i rail.Instance) {
	if i.Role() == rail.RoleEntry {
		r.peers = nil
		return
	}
	r.upstreams.invalidate(i)
}

// indexEntry adds an entry to the index by incarnation.
func (r *Reducer) indexEntry(i rail.Instance) {
	if i.Role() == rail.RoleEntry {
		r.entries[i.Incarnation()] = i.ID()
	}
}
