package instance

import (
	"dandelionrail.org/rail"
)

// announceLeaving marks an incarnation as leaving and raises InstanceLeaving for the other reducers.
func (r *Reducer) announceLeaving(id rail.InstanceID, n rail.Incarnation, source string) []rail.Effect {
	effects := r.markLeaving(id, n, source)
	if len(effects) > 0 && r.incarnation(id) == n {
		effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(id, source)))
	}
	return effects
}

// markLeaving marks an incarnation as leaving; only the first source has an effect.
func (r *Reducer) markLeaving(id rail.InstanceID, n rail.Incarnation, source string) []rail.Effect {
	if id == r.me.ID() || !r.leaving.add(id, n) {
		return nil
	}
	if m, ok := r.members[id]; ok && m.instance.Incarnation() == n {
		m.instance = m.instance.WithLeaving()
		r.invalidate(m.instance)
	}
	effects := []rail.Effect{rail.NewReport(rail.EventInstanceLeaving, string(id), source)}
	// A fact from a peer already spreads by gossip.
	if source != SourcePeer {
		effects = append(effects, rail.NewPublish(rail.FactLeaving, string(id), string(n)))
	}
	return effects
}

// applyFacts applies the facts of peers about new and leaving instances.
func (r *Reducer) applyFacts(facts []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range facts {
		switch f.Key().Kind() {
		case rail.FactInstance:
			effects = append(effects, r.applyPeerInstance(f)...)
		case rail.FactLeaving:
			id := rail.InstanceID(f.Key().Subject())
			effects = append(effects, r.announceLeaving(id, rail.Incarnation(f.Value()), SourcePeer)...)
		}
	}
	return effects
}

// applyLoad marks an upstream as reachable, and as leaving if its load report says so.
func (r *Reducer) applyLoad(l rail.Load) []rail.Effect {
	r.markReachable(l.Instance())
	if !l.Leaving() {
		return nil
	}
	return r.announceLeaving(l.Instance(), r.incarnation(l.Instance()), SourceUpstream)
}
