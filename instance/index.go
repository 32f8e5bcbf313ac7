package instance

import (
	"slices"

	"dandelionrail.org/rail"
)

// servingKey identifies what an upstream serves.
type servingKey struct {
	serves  string
	version rail.Version
}

func servingKeyOf(i rail.Instance) servingKey { return servingKey{i.Serves(), i.Version()} }

// index finds the upstreams of a model or service without a scan of all instances.
type index struct {
	ids   map[servingKey][]rail.InstanceID
	ready map[servingKey][]rail.Instance
}

func newIndex() index {
	return index{ids: map[servingKey][]rail.InstanceID{}, ready: map[servingKey][]rail.Instance{}}
}

func (x index) add(i rail.Instance) {
	if i.Role() == rail.RoleEntry {
		return
	}
	s := servingKeyOf(i)
	at, found := slices.BinarySearch(x.ids[s], i.ID())
	if !found {
		x.ids[s] = slices.Insert(x.ids[s], at, i.ID())
	}
	x.invalidate(i)
}

func (x index) remove(i rail.Instance) {
	s := servingKeyOf(i)
	at, found := slices.BinarySearch(x.ids[s], i.ID())
	if found {
		x.ids[s] = slices.Delete(x.ids[s], at, at+1)
	}
	if len(x.ids[s]) == 0 {
		delete(x.ids, s)
	}
	x.invalidate(i)
}

func (x index) invalidate(i rail.Instance) { delete(x.ready, servingKeyOf(i)) }

// get returns the upstreams to use, from a cache that is invalidated when one of them changes.
func (x index) get(s servingKey, members map[rail.InstanceID]*member) []rail.Instance {
	if ready, ok := x.ready[s]; ok {
		return ready
	}
	ids, ok := x.ids[s]
	if !ok {
		return nil
	}
	var reachable, unreachable []rail.Instance
	for _, id := range ids {
		m := members[id]
		switch {
		case m.instance.Leaving():
		case m.unreachableUntil.IsZero():
			reachable = append(reachable, m.instance)
		default:
			unreachable = append(unreachable, m.instance)
		}
	}
	if len(reachable) == 0 {
		reachable = unreachable
	}
	x.ready[s] = reachable
	return reachable
}
