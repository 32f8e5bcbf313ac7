package digest

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	timerTick   rail.TimerName = "digest.tick"
	timerUrgent rail.TimerName = "digest.urgent"

	// tickEvery is the time between two rounds.
	tickEvery = time.Second
	// urgentEvery is the time between two rounds while there is urgent news.
	urgentEvery = 150 * time.Millisecond
	// urgentRounds is the number of rounds in which an urgent fact is pushed.
	urgentRounds = 8
	// maxPushed bounds the urgent facts in one request.
	maxPushed = 200
	// maxPublished bounds the contents that are remembered as published.
	maxPublished = 10000
	// aliveEvery is how often a process writes something at least.
	aliveEvery = 20 * time.Second
	// deadAfter is how long a process that no list shows may be silent before it is forgotten.
	deadAfter = time.Minute
	// sweepEvery is the time between two looks for what to forget.
	sweepEvery = 5 * time.Second
)

// Members knows the entries.
type Members interface {
	// Me returns this entry.
	Me() rail.Instance
	// Peers returns the other entries that are not leaving.
	Peers() []rail.Instance
	// Peer returns the entry of an incarnation, leaving or not.
	Peer(n rail.Incarnation) (rail.Instance, bool)
}

// Reducer exchanges facts with peers.
type Reducer struct {
	members Members
	state   *State
	pacer   pacer

	started   bool
	wroteAt   time.Time
	sweptAt   time.Time
	urgentSet bool
	pushing   []pushed
	suspects  map[rail.InstanceID]time.Time
	heard     map[rail.Incarnation]time.Time
	expiring  []held
	// published holds the contents of urgent facts that some process has published, so that they are not news from another one.
	published map[content]bool
}

// content is what a fact says, whichever process wrote it.
type content struct {
	kind    rail.FactKind
	subject string
	value   string
}

// pushed is an urgent fact and the rounds in which it is still sent unasked.
type pushed struct {
	fact   rail.Fact
	rounds int
}

// held is a fact that is needed for a while only, and when it was learnt.
type held struct {
	key rail.FactKey
	at  time.Time
}

// New returns a part without facts.
func New(members Members) *Reducer {
	return &Reducer{
		members:   members,
		state:     NewState(members.Me().Incarnation()),
		pacer:     newPacer(),
		suspects:  map[rail.InstanceID]time.Time{},
		heard:     map[rail.Incarnation]time.Time{},
		published: map[content]bool{},
	}
}

// State returns the facts held; it must not be changed.
func (p *Reducer) State() *State { return p.state }

// Heard returns when something new of a process came last, the zero time for never.
func (p *Reducer) Heard(n rail.Incarnation) time.Time { return p.heard[n] }

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	if !p.started {
		p.started, p.wroteAt, p.sweptAt = true, in.At(), in.At()
		// Peers know of a process only by what it has written.
		p.state.Put(rail.FactAlive, "", "")
		effects = append(effects, p.setTick(in))
	}
	switch e := in.Event().(type) {
	case FactPublished:
		return append(effects, p.put(e.fact, in.At())...)
	case Asked:
		return append(effects, p.answer(e, in.At())...)
	case Replied:
		return append(effects, p.replied(e, in.At())...)
	case ExchangeFailed:
		return append(effects, p.failed(e.peer, in.At())...)
	case rail.TimerFired:
		return append(effects, p.timer(e.Name(), in)...)
	}
	return effects
}

func (p *Reducer) timer(name rail.TimerName, in rail.Input) []rail.Effect {
	switch name {
	case timerTick:
		p.write(in.At())
		p.sweep(in.At())
		return append(p.round(in), p.setTick(in))
	case timerUrgent:
		p.urgentSet = false
		return append(p.round(in), p.setUrgent()...)
	}
	return nil
}

// setTick varies the time between rounds by a tenth, so that entries started together do not stay in step.
func (p *Reducer) setTick(in rail.Input) rail.Effect {
	spread := int64(tickEvery / 5)
	shift := time.Duration(int64(in.Random()%uint64(spread)) - spread/2)
	return rail.NewSetTimer(timerTick, tickEvery+shift)
}

func (p *Reducer) setUrgent() []rail.Effect {
	if p.urgentSet || len(p.pushing) == 0 {
		return nil
	}
	p.urgentSet = true
	return []rail.Effect{rail.NewSetTimer(timerUrgent, urgentEvery)}
}

// put writes an urgent fact at once and lets another one wait for its turn.
func (p *Reducer) put(f rail.Publish, at time.Time) []rail.Effect {
	key := rail.NewFactKey(f.Kind(), f.Subject(), p.state.self)
	if held, ok := p.state.Fact(key); ok && held.Value() == f.Value() {
		return nil
	}
	known := p.published[content{f.Kind(), f.Subject(), f.Value()}]
	if known && expires(f.Kind()) {
		return nil // Another process has published this of the instance.
	}
	if !urgent(f.Kind()) || known && f.Kind() == rail.FactDocument {
		p.pacer.add(register{f.Kind(), f.Subject()}, f.Value())
		return nil
	}
	p.wroteAt = at
	p.note([]rail.Fact{p.state.Put(f.Kind(), f.Subject(), f.Value())}, at)
	return p.setUrgent()
}

// write writes the waiting facts whose turn it is, and a sign of life if there was nothing else for long.
func (p *Reducer) write(at time.Time) {
	p.pacer.fill(at, len(p.members.Peers())+1)
	for {
		r, value, ok := p.pacer.next()
		if !ok {
			break
		}
		p.wroteAt = at
		p.state.Put(r.kind, r.subject, value)
	}
	if at.Sub(p.wroteAt) >= aliveEvery {
		p.wroteAt = at
		p.state.Put(rail.FactAlive, "", "")
	}
}

// note keeps the urgent ones of new facts for the next rounds.
func (p *Reducer) note(facts []rail.Fact, at time.Time) {
	for _, f := range facts {
		if !urgent(f.Key().Kind()) {
			continue
		}
		if expires(f.Key().Kind()) {
			p.expiring = append(p.expiring, held{key: f.Key(), at: at})
		}
		if p.first(f) && len(p.pushing) < maxPushed {
			p.pushing = append(p.pushing, pushed{fact: f, rounds: urgentRounds})
		}
	}
}

// first reports whether no process has published the same before, and remembers that one has.
func (p *Reducer) first(f rail.Fact) bool {
	w := content{f.Key().Kind(), f.Key().Subject(), f.Value()}
	if p.published[w] {
		return false
	}
	if len(p.published) >= maxPublished {
		clear(p.published)
	}
	p.published[w] = true
	return true
}

// merge takes batches and tells the other parts what was new.
func (p *Reducer) merge(batches []Batch, at time.Time) []rail.Effect {
	news := p.state.Merge(batches)
	if len(news) == 0 {
		return nil
	}
	for _, f := range news {
		p.heard[f.Key().Origin()] = at
	}
	p.note(news, at)
	return append(p.setUrgent(), rail.NewRaise(rail.NewFactsLearned(news)))
}

// answer serves a peer's request.
func (p *Reducer) answer(e Asked, at time.Time) []rail.Effect {
	batches, readable := p.state.Missing(e.request.summary)
	var shared []rail.Incarnation
	if _, set := p.state.order(); set == e.request.summary.set {
		shared = p.state.Origins()
	}
	effects := []rail.Effect{Answered{call: e.call, response: NewResponse(!readable, batches, shared)}}
	return append(effects, p.merge(e.request.pushed, at)...)
}

// replied takes a peer's response and asks again with ids if the peer knows another set of origins.
func (p *Reducer) replied(e Replied, at time.Time) []rail.Effect {
	delete(p.suspects, e.peer.ID())
	effects := p.merge(e.response.batches, at)
	if e.response.unknownSet {
		effects = append(effects, Exchange{peer: e.peer, request: p.request(false, nil)})
	}
	return effects
}

// request returns what to send to a peer.
func (p *Reducer) request(short bool, pushed []Batch) Request {
	return NewRequest(p.state.Summary(short), pushed, p.state.Origins())
}

// sweep forgets processes that no list shows and that nobody hears of, and facts that are no longer needed.
func (p *Reducer) sweep(at time.Time) {
	if at.Sub(p.sweptAt) < sweepEvery {
		return
	}
	p.sweptAt = at
	for _, id := range p.state.Origins() {
		_, listed := p.members.Peer(id)
		if listed || id == p.state.self {
			continue
		}
		if p.heard[id].IsZero() {
			p.heard[id] = at
		}
		if at.Sub(p.heard[id]) >= deadAfter {
			p.state.Forget(id)
			delete(p.heard, id)
		}
	}
	for len(p.expiring) > 0 && at.Sub(p.expiring[0].at) >= expireAfter {
		p.state.Drop(p.expiring[0].key)
		p.expiring = p.expiring[1:]
	}
}
