package instance

import (
	"dandelionrail.org/rail"
)

// leave marks an incarnation as leaving and tells the other parts of it.
func (p *Reducer) leave(id rail.InstanceID, n rail.Incarnation, source string) []rail.Effect {
	effects := p.mark(id, n, source)
	if len(effects) > 0 && p.incarnation(id) == n {
		effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(id, source)))
	}
	return effects
}

// mark marks an incarnation as leaving; only the first source has an effect.
func (p *Reducer) mark(id rail.InstanceID, n rail.Incarnation, source string) []rail.Effect {
	if id == p.me.ID() || !p.leaving.add(id, n) {
		return nil
	}
	if m, ok := p.members[id]; ok && m.instance.Incarnation() == n {
		m.instance = m.instance.WithLeaving()
		p.changed(m.instance)
	}
	effects := []rail.Effect{rail.NewReport(rail.EventInstanceLeaving, string(id), source)}
	// Peers have told their peers.
	if source != SourcePeer {
		effects = append(effects, rail.NewPublish(rail.FactLeaving, string(id), string(n)))
	}
	return effects
}

// learn takes what peers say of new and leaving instances.
func (p *Reducer) learn(facts []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range facts {
		switch f.Key().Kind() {
		case rail.FactInstance:
			effects = append(effects, p.hear(f)...)
		case rail.FactLeaving:
			id := rail.InstanceID(f.Key().Subject())
			effects = append(effects, p.leave(id, rail.Incarnation(f.Value()), SourcePeer)...)
		}
	}
	return effects
}

// load takes an upstream's own word that it leaves, and that it can be reached.
func (p *Reducer) load(l rail.Load) []rail.Effect {
	p.reachable(l.Instance())
	if !l.Leaving() {
		return nil
	}
	return p.leave(l.Instance(), p.incarnation(l.Instance()), SourceUpstream)
}
