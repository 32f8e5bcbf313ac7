package instance

import (
	"strings"

	"dandelionrail.org/rail"
)

// A large list is read rarely. Entries therefore publish the instances that a
// list showed for the first time, so that all entries know an instance soon
// after the first one has read it.

// isNew reports whether the instance is live and neither a list nor a peer has shown its incarnation before.
func (r *Reducer) isNew(i rail.Instance) bool {
	if i.ID() == r.me.ID() || i.Leaving() {
		return false
	}
	m, known := r.members[i.ID()]
	return !known || m.instance.Incarnation() != i.Incarnation()
}

// applyPeerInstance applies an instance that a peer has read in its list. It never
// replaces an incarnation, because only the list shows which of two is the later one.
func (r *Reducer) applyPeerInstance(f rail.Fact) []rail.Effect {
	i, ok := decode(rail.InstanceID(f.Key().Subject()), f.Value())
	if _, known := r.members[i.ID()]; !ok || known || r.listCount == 0 {
		return nil
	}
	if _, forgotten := r.forgottenAt[i.ID()]; forgotten {
		return nil
	}
	return r.observe(i)
}

const (
	separator   = "|"
	fencedField = "fenced"
	// fieldCount is the number of fields in the text encoding of an instance.
	fieldCount = 9
)

// encode returns the text encoding of a live instance without its id.
func encode(i rail.Instance) string {
	checks := ""
	if i.ChecksFencing() {
		checks = fencedField
	}
	return strings.Join([]string{
		string(i.Incarnation()), string(i.Domain()), string(i.Role()), i.Address(), i.PeerAddress(),
		i.Serves(), string(i.Version()), string(i.Class()), checks,
	}, separator)
}

func decode(id rail.InstanceID, text string) (rail.Instance, bool) {
	f := strings.Split(text, separator)
	if len(f) != fieldCount {
		return rail.Instance{}, false
	}
	i := rail.NewInstance(id, rail.Domain(f[1]), rail.Role(f[2]), f[3]).
		WithIncarnation(rail.Incarnation(f[0])).
		WithPeerAddress(f[4]).
		WithServing(f[5], rail.Version(f[6])).
		WithClass(rail.Class(f[7])).
		WithFencing(f[8] == fencedField)
	return i, true
}
