package instance

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// forgetAfter is how long an instance may be missing from the list before it is forgotten.
	forgetAfter = 30 * time.Second
	// markRetention is how long the marks of an instance are kept after it was forgotten, so that a lagging list cannot restore it.
	markRetention = 10 * time.Minute
	// unreachableDuration is how long an upstream counts as unreachable after a failure.
	unreachableDuration = 3 * time.Second

	retryTimer rail.TimerName = "instance.passOver"
)

// The sources that report a leaving instance.
const (
	SourceList     = "list"
	SourceNotice   = "notice"
	SourcePeer     = "peer"
	SourceUpstream = "upstream"
)

// member is the known state of one instance.
type member struct {
	instance rail.Instance
	// lastList is the number of the last list that showed the instance.
	lastList uint64
	// missingSince is the time of the first list without it, zero while it is listed.
	missingSince time.Time
	// unreachableUntil is the time until which the instance counts as unreachable.
	unreachableUntil time.Time
}

// Reducer keeps the membership as one entry sees it.
type Reducer struct {
	me       rail.Instance
	members  map[rail.InstanceID]*member
	leaving  marks
	replaced marks
	// forgottenAt holds the time at which an instance was forgotten, while its marks are kept.
	forgottenAt map[rail.InstanceID]time.Time
	upstreams   index
	// entries maps an entry's incarnation to its id.
	entries map[rail.Incarnation]rail.InstanceID
	// peers caches the result of Peers, nil after a change.
	peers []rail.Instance
	// listCount is the number of lists read.
	listCount uint64
}

// New returns the membership of an entry that knows no other instance.
func New(me rail.Instance) *Reducer {
	return &Reducer{
		me:          me,
		members:     map[rail.InstanceID]*member{},
		leaving:     marks{},
		replaced:    marks{},
		forgottenAt: map[rail.InstanceID]time.Time{},
		upstreams:   newIndex(),
		entries:     map[rail.Incarnation]rail.InstanceID{},
	}
}

var _ rail.Directory = (*Reducer)(nil)

// Me returns this entry, leaving or not.
func (r *Reducer) Me() rail.Instance { return r.me }

// Peers returns the other entries that are not leaving, sorted by id; the slice must not be changed.
func (r *Reducer) Peers() []rail.Instance {
	if r.peers != nil {
		return r.peers
	}
	r.peers = []rail.Instance{}
	for _, m := range r.members {
		if m.instance.Role() == rail.RoleEntry && !m.instance.Leaving() {
			r.peers = append(r.peers, m.instance)
		}
	}
	slices.SortFunc(r.peers, byID)
	return r.peers
}

// Peer returns the entry with the incarnation, leaving or not.
func (r *Reducer) Peer(n rail.Incarnation) (rail.Instance, bool) {
	if m, ok := r.members[r.entries[n]]; ok && m.instance.Incarnation() == n {
		return m.instance, true
	}
	return rail.Instance{}, false
}

// Instance returns the known state of an instance.
func (r *Reducer) Instance(id rail.InstanceID) (rail.Instance, bool) {
	if m, ok := r.members[id]; ok {
		return m.instance, true
	}
	return rail.Instance{}, false
}

// All returns all known instances except this entry, sorted by id.
func (r *Reducer) All() []rail.Instance {
	all := make([]rail.Instance, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m.instance)
	}
	slices.SortFunc(all, byID)
	return all
}

// Upstreams returns the reachable instances of the model or service in the version that are not leaving, sorted by id; if none is reachable, the unreachable ones.
func (r *Reducer) Upstreams(serves string, version rail.Version) []rail.Instance {
	return r.upstreams.get(servingKey{serves, version}, r.members)
}

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.ListRead:
		return r.applyList(e.Instances(), in.At())
	case Fetched:
		return r.applyFetched(e.instances)
	case rail.InstanceLeaving:
		return r.markLeaving(e.Instance(), r.incarnation(e.Instance()), e.Source())
	case rail.FactsLearned:
		return r.applyFacts(e.Facts())
	case rail.LoadRead:
		return r.applyLoad(e.Load())
	case rail.ShutdownStarted:
		return r.startShutdown()
	case Query:
		return []rail.Effect{QueryResult{call: e.call, instances: append(r.All(), r.me)}}
	case Unreachable:
		return r.markUnreachable(e.instance, in.At())
	case Reachable:
		r.markReachable(e.instance)
	case rail.TimerFired:
		if e.Name() == retryTimer {
			return r.expireUnreachable(in.At())
		}
	}
	return nil
}

// startShutdown marks this entry as leaving and publishes that to its peers.
func (r *Reducer) startShutdown() []rail.Effect {
	if r.me.Leaving() {
		return nil
	}
	r.me = r.me.WithLeaving()
	return []rail.Effect{rail.NewPublish(rail.FactLeaving, string(r.me.ID()), string(r.me.Incarnation()))}
}

// incarnation returns the known incarnation of an instance, anyIncarnation if there is none.
func (r *Reducer) incarnation(id rail.InstanceID) rail.Incarnation {
	if m, ok := r.members[id]; ok {
		return m.instance.Incarnation()
	}
	return anyIncarnation
}

func byID(a, b rail.Instance) int {
	switch {
	case a.ID() < b.ID():
		return -1
	case a.ID() > b.ID():
		return 1
	}
	return 0
}
