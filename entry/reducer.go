package entry

import (
	"math/rand/v2"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/operator"
	"dandelionrail.org/rail/order"
	"dandelionrail.org/rail/rollout"
	"dandelionrail.org/rail/team"
	"dandelionrail.org/rail/upstream"
)

// Parts are the reducers that an entry is composed of.
type Parts struct {
	instances *instance.Reducer
	facts     *digest.Reducer
	documents *document.Reducer
	upstreams *upstream.Reducer
	rollouts  *rollout.Reducer
	teams     *team.Reducer
	orders    *order.Reducer
	answers   *answer.Part
	operators *operator.Reducer
	more      []rail.Reducer
}

// NewParts returns the parts of one entry.
func NewParts(instances *instance.Reducer, facts *digest.Reducer, documents *document.Reducer, upstreams *upstream.Reducer, rollouts *rollout.Reducer,
	teams *team.Reducer, orders *order.Reducer, answers *answer.Part,
) Parts {
	operators := operator.New(documents, instances, facts, rollouts)
	return Parts{instances, facts, documents, upstreams, rollouts, teams, orders, answers, operators, nil}
}

// With returns a copy with a further part, which takes in every event.
func (p Parts) With(part rail.Reducer) Parts {
	p.more = append(p.more, part)
	return p
}

// Composite is the one reducer over all events of an entry.
type Composite struct {
	me       rail.Instance
	parts    Parts
	all      []rail.Reducer
	requests map[rail.RequestID]*progress
	slots    map[rail.InstanceID]int
	total    int
	seats    seats
	loads    map[rail.InstanceID]string
	leaving  leaving
	logAway  bool
}

// progress is what the entry itself knows of a request in progress.
type progress struct {
	request  rail.Request
	route    rail.Route
	attempt  int
	upstream rail.Instance
	sent     time.Time
	first    time.Time
}

// NewComposite returns the reducer of the entry that runs on the instance.
func NewComposite(me rail.Instance, parts Parts) *Composite {
	all := []rail.Reducer{
		parts.instances, parts.facts, parts.documents, parts.upstreams, parts.rollouts, parts.teams,
		parts.orders, parts.answers, parts.operators,
	}
	c := &Composite{
		me:       me,
		parts:    parts,
		all:      append(all, parts.more...),
		requests: map[rail.RequestID]*progress{},
		slots:    map[rail.InstanceID]int{},
		loads:    map[rail.InstanceID]string{},
	}
	parts.answers.UseBacklog(c)
	parts.answers.UseMembers(parts.instances)
	return c
}

// Waiting returns the number of requests that the entry has taken in and not ended.
func (c *Composite) Waiting() int { return len(c.requests) }

// Reduce takes in one input, and all events that it raises, and returns the effects for the runner.
func (c *Composite) Reduce(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	// Each event raised within one input gets a random number of its own.
	random := rand.NewPCG(in.Random(), 0)
	events := []rail.Event{in.Event()}
	for len(events) > 0 {
		step := rail.NewInput(events[0], in.At(), random.Uint64())
		events = events[1:]
		for _, e := range c.reduceOne(step) {
			raised, kept := c.translate(e, in.At())
			events = append(events, raised...)
			if kept != nil {
				effects = append(effects, kept)
			}
		}
	}
	return effects
}

// reduceOne lets the entry itself and each part take in one event.
func (c *Composite) reduceOne(in rail.Input) []rail.Effect {
	effects := c.reduceOwn(in)
	for _, p := range c.all {
		effects = append(effects, p.Reduce(in)...)
	}
	return append(effects, c.reduceAfter(in)...)
}

// reduceOwn handles the events that bind the parts together.
func (c *Composite) reduceOwn(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.RequestArrived:
		return c.arrive(e.Request())
	case rail.LoadRead:
		return c.learnLoad(e.Load())
	case rail.FactsLearned:
		return c.learnRemoteLoads(e.Facts())
	case rail.LogUnavailable:
		return c.noteLog(true, e.Err().Error())
	case rail.LogRead:
		return c.noteLog(false, "")
	case rail.ShutdownStarted:
		return c.leave(e)
	case answer.Marked:
		c.mark(e, in.At())
	case answer.Ended:
		return raise(c.endAttempt(e.Request(), e.Attempt(), rail.KindNone, in.At()))
	case answer.Replied:
		return raise(c.endAttempt(e.Request(), e.Attempt(), kindOfReply(e.Reply()), in.At()))
	}
	return nil
}

// noteLog reports when the platform's log goes away and comes back.
func (c *Composite) noteLog(away bool, detail string) []rail.Effect {
	if away == c.logAway {
		return nil
	}
	c.logAway = away
	number := rail.EventPlatformAvailable
	if away {
		number = rail.EventPlatformUnavailable
	}
	return []rail.Effect{rail.NewReport(number, string(c.me.ID()), detail)}
}

// reduceAfter handles the events whose outcome in the parts the entry needs.
func (c *Composite) reduceAfter(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.ListRead, instance.Fetched:
		return c.assignPolls()
	case rail.TimerFired:
		if e.Name() == timerLeft {
			return []rail.Effect{Left{}}
		}
	case rail.DocumentInForce:
		return []rail.Effect{InForce{document: e.Document()}}
	}
	return nil
}

// arrive sends a request on its way: orders by the order part, all others to their team's queue.
func (c *Composite) arrive(r rail.Request) []rail.Effect {
	route, ok := c.parts.documents.Current().Route(r.Route())
	if !ok {
		return []rail.Effect{refused{call: r.ID(), kind: rail.KindUnknownRoute}}
	}
	if c.leaving.refuses {
		return []rail.Effect{refused{call: r.ID(), kind: rail.KindLeaving}}
	}
	if !route.Idempotent() {
		return []rail.Effect{rail.NewRaise(order.NewSubmitted(r))}
	}
	return c.admit(r, route)
}

// admit asks the team's queue to let the request start.
func (c *Composite) admit(r rail.Request, route rail.Route) []rail.Effect {
	c.requests[r.ID()] = &progress{request: r, route: route}
	return []rail.Effect{rail.NewRaise(team.NewArrived(r, route))}
}

// translate turns what one part wants of another into events; the kept effect goes to the runner.
func (c *Composite) translate(e rail.Effect, at time.Time) ([]rail.Event, rail.Effect) {
	switch e := e.(type) {
	case rail.Raise:
		return []rail.Event{e.Event()}, nil
	case rail.Publish:
		return []rail.Event{digest.NewFactPublished(e)}, nil
	case order.Proceed:
		return c.proceed(e.Request())
	case team.Admitted:
		return c.start(e.Call()), nil
	case team.Refused:
		return c.refuseByTeam(e)
	case rail.Dispatch:
		return c.dispatch(e, at), e
	case answer.AttemptFailed:
		return c.endAttempt(e.Request(), e.Attempt(), e.Kind(), at), nil
	case answer.Finished:
		return c.finish(e)
	case answer.Moved:
		return c.forget(e.Call()), e
	case answer.Drained:
		return c.drained()
	default:
		return nil, e
	}
}

// proceed starts an order that the order part allows.
func (c *Composite) proceed(r rail.Request) ([]rail.Event, rail.Effect) {
	route, ok := c.parts.documents.Current().Route(r.Route())
	if !ok {
		return []rail.Event{order.NewEnded(r.ID(), rail.KindUnknownRoute, rail.ServiceReply{})}, nil
	}
	c.requests[r.ID()] = &progress{request: r, route: route}
	return []rail.Event{team.NewArrived(r, route)}, nil
}

// start hands an admitted request to the answer part.
func (c *Composite) start(id rail.RequestID) []rail.Event {
	p, ok := c.requests[id]
	if !ok {
		return []rail.Event{team.NewEnded(id)}
	}
	return []rail.Event{answer.NewAccepted(p.request, p.route)}
}

// refuseByTeam ends a request that its team may not run now.
func (c *Composite) refuseByTeam(e team.Refused) ([]rail.Event, rail.Effect) {
	id := e.Call()
	p, ok := c.requests[id]
	delete(c.requests, id)
	if ok && !p.route.Idempotent() {
		return []rail.Event{order.NewEnded(id, e.Kind(), rail.ServiceReply{})}, nil
	}
	return nil, refused{call: id, kind: e.Kind(), message: e.Message()}
}

// dispatch keeps account of an attempt that is sent.
func (c *Composite) dispatch(d rail.Dispatch, at time.Time) []rail.Event {
	id := d.Request().ID()
	p, ok := c.requests[id]
	if !ok { // Handed over by a peer: there was no arrival here.
		route, _ := c.parts.documents.Current().Route(d.Request().Route())
		p = &progress{request: d.Request(), route: route}
		c.requests[id] = p
	}
	events := c.closeAttempt(p)
	p.attempt, p.upstream, p.sent, p.first = d.Attempt(), d.Upstream(), at, time.Time{}
	return append(events, upstream.NewSent(p.request, p.upstream.ID()))
}

// closeAttempt tells the choice of upstreams that the last attempt no longer runs.
func (c *Composite) closeAttempt(p *progress) []rail.Event {
	if p.attempt == 0 {
		return nil
	}
	p.attempt = 0
	return []rail.Event{upstream.NewEnded(p.request, p.upstream.ID())}
}

// mark notes the time of the first token of an attempt.
func (c *Composite) mark(e answer.Marked, at time.Time) {
	p, ok := c.requests[e.Request()]
	if ok && p.attempt == e.Attempt() && p.first.IsZero() {
		p.first = at
	}
}

// endAttempt gives the evidence of an attempt to the rollouts.
func (c *Composite) endAttempt(id rail.RequestID, attempt int, kind rail.Kind, at time.Time) []rail.Event {
	p, ok := c.requests[id]
	if !ok || p.attempt != attempt || kind == rail.KindCancelled {
		return nil
	}
	end := p.first
	if end.IsZero() {
		end = at
	}
	observed := rollout.NewObserved(p.route.Name(), p.upstream.Version(), kind == rail.KindNone, end.Sub(p.sent)).WithUpstream(p.upstream.ID())
	if kind == rail.KindUpstreamSilent { // What is silent for one request is so for the next, and each waits for its time-out.
		return []rail.Event{observed, instance.NewUnreachable(p.upstream.ID())}
	}
	return []rail.Event{observed}
}

// raise returns the effects that raise the events.
func raise(events []rail.Event) []rail.Effect {
	effects := make([]rail.Effect, 0, len(events))
	for _, e := range events {
		effects = append(effects, rail.NewRaise(e))
	}
	return effects
}

// finish ends a request for its team, its order and its caller.
func (c *Composite) finish(e answer.Finished) ([]rail.Event, rail.Effect) {
	id := e.Call()
	p, ok := c.requests[id]
	events := c.forget(id)
	if ok && !p.route.Idempotent() {
		events = append(events, order.NewEnded(id, e.Kind(), e.Reply()))
		return events, settled{id: id, kind: e.Kind(), reply: e.Reply()}
	}
	return events, e
}

// forget ends a request whose work here is over.
func (c *Composite) forget(id rail.RequestID) []rail.Event {
	p, ok := c.requests[id]
	if !ok {
		return nil
	}
	delete(c.requests, id)
	return append(c.closeAttempt(p), team.NewEnded(id))
}

// kindOfReply returns what a service's status says of the version that gave it.
func kindOfReply(r rail.ServiceReply) rail.Kind {
	const firstServerError = 500
	if r.Status() >= firstServerError {
		return rail.KindUpstreamFailed
	}
	return rail.KindNone
}
