package digest

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	tickTimer   rail.TimerName = "digest.tick"
	urgentTimer rail.TimerName = "digest.urgent"

	// roundInterval is the time between two gossip rounds.
	roundInterval = time.Second
	// urgentRoundInterval is the time between two rounds while urgent facts are pushed.
	urgentRoundInterval = 150 * time.Millisecond
	// urgentRounds is the number of rounds in which an urgent fact is pushed.
	urgentRounds = 8
	// maxPushed bounds the urgent facts in one request.
	maxPushed = 200
	// maxPublished bounds the contents recorded as published.
	maxPublished = 10000
	// aliveInterval is the maximum time between two writes of a process.
	aliveInterval = 20 * time.Second
	// silenceTimeout is how long an unlisted process may publish no new fact before it is forgotten.
	silenceTimeout = time.Minute
	// sweepInterval is the minimum time between two sweeps.
	sweepInterval = 5 * time.Second
)

// Members looks up the entries.
type Members interface {
	// Me returns this entry.
	Me() rail.Instance
	// Peers returns the other entries that are not leaving.
	Peers() []rail.Instance
	// Peer returns the entry with the incarnation, leaving or not.
	Peer(n rail.Incarnation) (rail.Instance, bool)
}

// Reducer exchanges facts with peers.
type Reducer struct {
	members Members
	state   *State
	pacer   pacer

	started        bool
	lastWrite      time.Time
	lastSweep      time.Time
	urgentTimerSet bool
	pushQueue      []pushedFact
	suspects       map[rail.InstanceID]time.Time
	lastReceived   map[rail.Incarnation]time.Time
	expiring       []expiringFact
	// published holds the contents of urgent facts that some process has published, so that they are not pushed again for another one.
	published map[content]bool
}

// content is a fact without its origin and sequence number.
type content struct {
	kind    rail.FactKind
	subject string
	value   string
}

// pushedFact is an urgent fact and the number of rounds in which it will still be pushed.
type pushedFact struct {
	fact   rail.Fact
	rounds int
}

// expiringFact is the key of a fact that expires, and when the fact was learnt.
type expiringFact struct {
	key rail.FactKey
	at  time.Time
}

// New returns a reducer without facts.
func New(members Members) *Reducer {
	return &Reducer{
		members:      members,
		state:        NewState(members.Me().Incarnation()),
		pacer:        newPacer(),
		suspects:     map[rail.InstanceID]time.Time{},
		lastReceived: map[rail.Incarnation]time.Time{},
		published:    map[content]bool{},
	}
}

// State returns the facts held; it must not be changed.
func (r *Reducer) State() *State { return r.state }

// LastReceived returns when the last new fact of a process was received, the zero time for never.
func (r *Reducer) LastReceived(n rail.Incarnation) time.Time { return r.lastReceived[n] }

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	if !r.started {
		r.started, r.lastWrite, r.lastSweep = true, in.At(), in.At()
		// Peers learn of a process only by the facts that it has written.
		r.state.Put(rail.FactAlive, "", "")
		effects = append(effects, r.setTick(in))
	}
	switch e := in.Event().(type) {
	case FactPublished:
		return append(effects, r.publish(e.fact, in.At())...)
	case RequestReceived:
		return append(effects, r.handleRequest(e, in.At())...)
	case ResponseReceived:
		return append(effects, r.handleResponse(e, in.At())...)
	case ExchangeFailed:
		return append(effects, r.handleFailure(e.peer, in.At())...)
	case rail.TimerFired:
		return append(effects, r.handleTimer(e.Name(), in)...)
	}
	return effects
}

func (r *Reducer) handleTimer(name rail.TimerName, in rail.Input) []rail.Effect {
	switch name {
	case tickTimer:
		r.write(in.At())
		r.sweep(in.At())
		return append(r.startRound(in), r.setTick(in))
	case urgentTimer:
		r.urgentTimerSet = false
		return append(r.startRound(in), r.setUrgent()...)
	}
	return nil
}

// setTick varies the time between rounds by a tenth, so that entries started together do not stay synchronised.
func (r *Reducer) setTick(in rail.Input) rail.Effect {
	spread := int64(roundInterval / 5)
	shift := time.Duration(int64(in.Random()%uint64(spread)) - spread/2)
	return rail.NewSetTimer(tickTimer, roundInterval+shift)
}

func (r *Reducer) setUrgent() []rail.Effect {
	if r.urgentTimerSet || len(r.pushQueue) == 0 {
		return nil
	}
	r.urgentTimerSet = true
	return []rail.Effect{rail.NewSetTimer(urgentTimer, urgentRoundInterval)}
}

// publish writes an urgent fact at once and queues any other one at the pacer.
func (r *Reducer) publish(f rail.Publish, at time.Time) []rail.Effect {
	key := rail.NewFactKey(f.Kind(), f.Subject(), r.state.self)
	if current, ok := r.state.Fact(key); ok && current.Value() == f.Value() {
		return nil
	}
	alreadyPublished := r.published[content{f.Kind(), f.Subject(), f.Value()}]
	if alreadyPublished && expires(f.Kind()) {
		return nil // Another process has published the same about the instance.
	}
	if !urgent(f.Kind()) || alreadyPublished && f.Kind() == rail.FactDocument {
		r.pacer.add(register{f.Kind(), f.Subject()}, f.Value())
		return nil
	}
	r.lastWrite = at
	r.trackUrgent([]rail.Fact{r.state.Put(f.Kind(), f.Subject(), f.Value())}, at)
	return r.setUrgent()
}

// write writes the queued facts that the pacer permits, and an alive fact if nothing was written for aliveInterval.
func (r *Reducer) write(at time.Time) {
	r.pacer.refill(at, len(r.members.Peers())+1)
	for {
		reg, value, ok := r.pacer.next()
		if !ok {
			break
		}
		r.lastWrite = at
		r.state.Put(reg.kind, reg.subject, value)
	}
	if at.Sub(r.lastWrite) >= aliveInterval {
		r.lastWrite = at
		r.state.Put(rail.FactAlive, "", "")
	}
}

// trackUrgent queues new urgent facts for the next rounds and records those that expire.
func (r *Reducer) trackUrgent(facts []rail.Fact, at time.Time) {
	for _, f := range facts {
		if !urgent(f.Key().Kind()) {
			continue
		}
		if expires(f.Key().Kind()) {
			r.expiring = append(r.expiring, expiringFact{key: f.Key(), at: at})
		}
		if r.markPublished(f) && len(r.pushQueue) < maxPushed {
			r.pushQueue = append(r.pushQueue, pushedFact{fact: f, rounds: urgentRounds})
		}
	}
}

// markPublished records the content as published and reports whether no process had published it before.
func (r *Reducer) markPublished(f rail.Fact) bool {
	c := content{f.Key().Kind(), f.Key().Subject(), f.Value()}
	if r.published[c] {
		return false
	}
	if len(r.published) >= maxPublished {
		clear(r.published)
	}
	r.published[c] = true
	return true
}

// merge applies batches and raises FactsLearned for the new facts.
func (r *Reducer) merge(batches []Batch, at time.Time) []rail.Effect {
	added := r.state.Merge(batches)
	if len(added) == 0 {
		return nil
	}
	for _, f := range added {
		r.lastReceived[f.Key().Origin()] = at
	}
	r.trackUrgent(added, at)
	return append(r.setUrgent(), rail.NewRaise(rail.NewFactsLearned(added)))
}

// handleRequest responds to a peer's request and merges the facts that it pushes.
func (r *Reducer) handleRequest(e RequestReceived, at time.Time) []rail.Effect {
	batches, readable := r.state.Missing(e.request.summary)
	var shared []rail.Incarnation
	if _, set := r.state.sortedOrigins(); set == e.request.summary.set {
		shared = r.state.Origins()
	}
	effects := []rail.Effect{SendResponse{call: e.call, response: NewResponse(!readable, batches, shared)}}
	return append(effects, r.merge(e.request.pushed, at)...)
}

// handleResponse merges a peer's response and sends a summary with ids if the peer has another set of origins.
func (r *Reducer) handleResponse(e ResponseReceived, at time.Time) []rail.Effect {
	delete(r.suspects, e.peer.ID())
	effects := r.merge(e.response.batches, at)
	if e.response.unknownSet {
		effects = append(effects, Exchange{peer: e.peer, request: r.request(false, nil)})
	}
	return effects
}

// request returns a request with the current summary.
func (r *Reducer) request(short bool, pushed []Batch) Request {
	return NewRequest(r.state.Summary(short), pushed, r.state.Origins())
}

// sweep forgets unlisted processes without new facts for silenceTimeout, and drops expired facts.
func (r *Reducer) sweep(at time.Time) {
	if at.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = at
	for _, id := range r.state.Origins() {
		_, listed := r.members.Peer(id)
		if listed || id == r.state.self {
			continue
		}
		if r.lastReceived[id].IsZero() {
			r.lastReceived[id] = at
		}
		if at.Sub(r.lastReceived[id]) >= silenceTimeout {
			r.state.Forget(id)
			delete(r.lastReceived, id)
		}
	}
	for len(r.expiring) > 0 && at.Sub(r.expiring[0].at) >= expireAfter {
		r.state.Drop(r.expiring[0].key)
		r.expiring = r.expiring[1:]
	}
}
