package instance

import (
	"time"

	"dandelionrail.org/rail"
)

// list takes a snapshot of the platform's list.
func (p *Reducer) list(instances []rail.Instance, at time.Time) []rail.Effect {
	p.lists++
	var effects []rail.Effect
	for _, i := range instances {
		if p.lists > 1 && p.isNews(i) {
			effects = append(effects, rail.NewPublish(rail.FactInstance, string(i.ID()), encode(i)))
		}
		effects = append(effects, p.see(i)...)
	}
	p.forget(at)
	return effects
}

func (p *Reducer) seeAll(instances []rail.Instance) []rail.Effect {
	var effects []rail.Effect
	for _, i := range instances {
		effects = append(effects, p.see(i)...)
	}
	return effects
}

// offered takes a peer's instances while this entry has read no list.
func (p *Reducer) offered(instances []rail.Instance) []rail.Effect {
	if p.lists > 0 {
		return nil
	}
	return p.seeAll(instances)
}

// see takes one instance of a list.
func (p *Reducer) see(i rail.Instance) []rail.Effect {
	if i.ID() == p.me.ID() || p.replaced.has(i.ID(), i.Incarnation()) {
		return nil
	}
	listedLeaving := i.Leaving()
	p.leaving.bind(i.ID(), i.Incarnation())
	if p.leaving.has(i.ID(), i.Incarnation()) {
		i = i.WithLeaving()
	}
	p.put(i)
	if listedLeaving {
		return p.leave(i.ID(), i.Incarnation(), SourceList)
	}
	return nil
}

// put keeps the instance and renews what is derived from it, if it has changed.
func (p *Reducer) put(i rail.Instance) {
	delete(p.forgotten, i.ID())
	m, known := p.members[i.ID()]
	if !known {
		p.members[i.ID()] = &member{instance: i, list: p.lists}
		p.upstreams.add(i)
		p.enter(i)
		p.changed(i)
		return
	}
	m.list, m.missing = p.lists, time.Time{}
	if m.instance == i {
		return
	}
	old := m.instance
	m.instance = i
	if old.Incarnation() != i.Incarnation() {
		p.replaced.add(i.ID(), old.Incarnation())
		m.passedOver = time.Time{}
	}
	delete(p.entries, old.Incarnation())
	p.enter(i)
	p.upstreams.remove(old)
	p.upstreams.add(i)
	p.changed(i)
}

// forget drops the instances that miss from the lists for long, and later their marks.
//
// The time counts from the first list without the instance: during an outage
// of the platform no list is read and nothing is forgotten.
func (p *Reducer) forget(at time.Time) {
	for id, m := range p.members {
		if m.list == p.lists {
			continue
		}
		if m.missing.IsZero() {
			m.missing = at
		}
		if at.Sub(m.missing) >= goneAfter {
			delete(p.members, id)
			delete(p.entries, m.instance.Incarnation())
			p.upstreams.remove(m.instance)
			p.changed(m.instance)
			p.forgotten[id] = at
		}
	}
	for id, since := range p.forgotten {
		if at.Sub(since) >= marksKept {
			delete(p.forgotten, id)
			delete(p.leaving, id)
			delete(p.replaced, id)
		}
	}
}

// changed drops what is derived from an instance.
func (p *Reducer) changed(i rail.Instance) {
	if i.Role() == rail.RoleEntry {
		p.peers = nil
		return
	}
	p.upstreams.invalidate(i)
}

// enter lets an entry be found by its incarnation.
func (p *Reducer) enter(i rail.Instance) {
	if i.Role() == rail.RoleEntry {
		p.entries[i.Incarnation()] = i.ID()
	}
}
