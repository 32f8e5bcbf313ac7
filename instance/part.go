package instance

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const (
	// goneAfter is how long an instance may miss from the list before it is forgotten.
	goneAfter = 30 * time.Second
	// marksKept is how long the marks of an instance stay after it was forgotten, so that a lagging list cannot bring it back.
	marksKept = 10 * time.Minute
	// passOver is how long an unreachable upstream is passed over.
	passOver = 3 * time.Second

	timerPassOver rail.TimerName = "instance.passOver"
)

// The sources of a leaving instance.
const (
	SourceList     = "list"
	SourceNotice   = "notice"
	SourcePeer     = "peer"
	SourceUpstream = "upstream"
)

// member is what is known of one instance.
type member struct {
	instance rail.Instance
	// list is the number of the last list that showed the instance.
	list uint64
	// missing is the time of the first list without it, zero while it is listed.
	missing time.Time
	// passedOver is the time until which the instance counts as unreachable.
	passedOver time.Time
}

// Reducer keeps the membership as one entry sees it.
type Reducer struct {
	me       rail.Instance
	members  map[rail.InstanceID]*member
	leaving  marks
	replaced marks
	// forgotten holds when an instance was dropped whose marks are still kept.
	forgotten map[rail.InstanceID]time.Time
	upstreams index
	// entries finds an entry by its incarnation.
	entries map[rail.Incarnation]rail.InstanceID
	// peers is made anew when it is nil.
	peers []rail.Instance
	// lists counts the lists read.
	lists uint64
}

// New returns the membership of an entry that knows only itself.
func New(me rail.Instance) *Reducer {
	return &Reducer{
		me:        me,
		members:   map[rail.InstanceID]*member{},
		leaving:   marks{},
		replaced:  marks{},
		forgotten: map[rail.InstanceID]time.Time{},
		upstreams: newIndex(),
		entries:   map[rail.Incarnation]rail.InstanceID{},
	}
}

var _ rail.Directory = (*Reducer)(nil)

// Me returns this entry, leaving or not.
func (p *Reducer) Me() rail.Instance { return p.me }

// Peers returns the other entries that are not leaving, in order of their ids; the slice must not be changed.
func (p *Reducer) Peers() []rail.Instance {
	if p.peers != nil {
		return p.peers
	}
	p.peers = []rail.Instance{}
	for _, m := range p.members {
		if m.instance.Role() == rail.RoleEntry && !m.instance.Leaving() {
			p.peers = append(p.peers, m.instance)
		}
	}
	slices.SortFunc(p.peers, byID)
	return p.peers
}

// Peer returns the entry of the incarnation, leaving or not.
func (p *Reducer) Peer(n rail.Incarnation) (rail.Instance, bool) {
	if m, ok := p.members[p.entries[n]]; ok && m.instance.Incarnation() == n {
		return m.instance, true
	}
	return rail.Instance{}, false
}

// Instance returns what is known of an instance.
func (p *Reducer) Instance(id rail.InstanceID) (rail.Instance, bool) {
	if m, ok := p.members[id]; ok {
		return m.instance, true
	}
	return rail.Instance{}, false
}

// All returns all known instances in order of their ids, this entry not among them.
func (p *Reducer) All() []rail.Instance {
	all := make([]rail.Instance, 0, len(p.members))
	for _, m := range p.members {
		all = append(all, m.instance)
	}
	slices.SortFunc(all, byID)
	return all
}

// Upstreams returns the instances of the model or service in the version that are not leaving and can be reached, in order of their ids; if none can be reached, those that cannot.
func (p *Reducer) Upstreams(serves string, version rail.Version) []rail.Instance {
	return p.upstreams.get(serving{serves, version}, p.members)
}

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.ListRead:
		return p.list(e.Instances(), in.At())
	case Fetched:
		return p.offered(e.instances)
	case rail.InstanceLeaving:
		return p.mark(e.Instance(), p.incarnation(e.Instance()), e.Source())
	case rail.FactsLearned:
		return p.learn(e.Facts())
	case rail.LoadRead:
		return p.load(e.Load())
	case rail.ShutdownStarted:
		return p.shutdown()
	case Query:
		return []rail.Effect{QueryResult{call: e.call, instances: append(p.All(), p.me)}}
	case Unreachable:
		return p.unreachable(e.instance, in.At())
	case Reachable:
		p.reachable(e.instance)
	case rail.TimerFired:
		if e.Name() == timerPassOver {
			return p.retry(in.At())
		}
	}
	return nil
}

// shutdown marks this entry as leaving and tells its peers.
func (p *Reducer) shutdown() []rail.Effect {
	if p.me.Leaving() {
		return nil
	}
	p.me = p.me.WithLeaving()
	return []rail.Effect{rail.NewPublish(rail.FactLeaving, string(p.me.ID()), string(p.me.Incarnation()))}
}

// incarnation returns the known incarnation of an instance.
func (p *Reducer) incarnation(id rail.InstanceID) rail.Incarnation {
	if m, ok := p.members[id]; ok {
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
