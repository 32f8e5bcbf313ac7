package instance

import (
	"strings"

	"dandelionrail.org/rail"
)

// A large list is read rarely, and entries tell each other what a list showed
// that they had not known, so that an instance is known everywhere soon after
// the first entry has read of it.

// isNews reports whether neither a list nor a peer has shown the incarnation before.
func (p *Reducer) isNews(i rail.Instance) bool {
	if i.ID() == p.me.ID() || i.Leaving() {
		return false
	}
	m, known := p.members[i.ID()]
	return !known || m.instance.Incarnation() != i.Incarnation()
}

// hear takes an instance that a peer has read of. It never replaces an
// incarnation, as only the list tells which of two is the later one.
func (p *Reducer) hear(f rail.Fact) []rail.Effect {
	i, ok := decode(rail.InstanceID(f.Key().Subject()), f.Value())
	if _, known := p.members[i.ID()]; !ok || known || p.lists == 0 {
		return nil
	}
	if _, gone := p.forgotten[i.ID()]; gone {
		return nil
	}
	return p.see(i)
}

const (
	separator = "|"
	fencing   = "fenced"
	// fields is the number of fields of an instance's text form.
	fields = 9
)

// encode returns all that a list says of a live instance but its id.
func encode(i rail.Instance) string {
	checks := ""
	if i.ChecksFencing() {
		checks = fencing
	}
	return strings.Join([]string{
		string(i.Incarnation()), string(i.Domain()), string(i.Role()), i.Address(), i.PeerAddress(),
		i.Serves(), string(i.Version()), string(i.Class()), checks,
	}, separator)
}

func decode(id rail.InstanceID, text string) (rail.Instance, bool) {
	f := strings.Split(text, separator)
	if len(f) != fields {
		return rail.Instance{}, false
	}
	i := rail.NewInstance(id, rail.Domain(f[1]), rail.Role(f[2]), f[3]).
		WithIncarnation(rail.Incarnation(f[0])).
		WithPeerAddress(f[4]).
		WithServing(f[5], rail.Version(f[6])).
		WithClass(rail.Class(f[7])).
		WithFencing(f[8] == fencing)
	return i, true
}
