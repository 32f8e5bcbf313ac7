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

// Reducers are the reducers that an entry is composed of.
type Reducers struct {
	instances *instance.Reducer
	facts     *digest.Reducer
	documents *document.Reducer
	upstreams *upstream.Reducer
	rollouts  *rollout.Reducer
	teams     *team.Reducer
	orders    *order.Reducer
	answers   *answer.Reducer
	operators *operator.Reducer
	extra     []rail.Reducer
}

// NewReducers returns the reducers of one entry, with an operator reducer over them.
func NewReducers(instances *instance.Reducer, facts *digest.Reducer, documents *document.Reducer, upstreams *upstream.Reducer, rollouts *rollout.Reducer,
	teams *team.Reducer, orders *order.Reducer, answers *answer.Reducer,
) Reducers {
	operators := operator.New(documents, instances, facts, rollouts)
	return Reducers{instances, facts, documents, upstreams, rollouts, teams, orders, answers, operators, nil}
}

// With returns a copy with a further reducer, which receives every event.
func (r Reducers) With(reducer rail.Reducer) Reducers {
	r.extra = append(r.extra, reducer)
	return r
}

// Composite is the reducer of an entry: it passes each event to all its reducers and turns effects of one into events for others.
type Composite struct {
	me             rail.Instance
	reducers       Reducers
	all            []rail.Reducer
	requests       map[rail.RequestID]*requestState
	slots          map[rail.InstanceID]int
	totalSlots     int
	capacity       capacity
	publishedSteps map[rail.InstanceID]string
	leaving        leavingState
	logUnavailable bool
}

// requestState is the composite's state of a request in progress.
type requestState struct {
	request      rail.Request
	route        rail.Route
	attempt      int
	upstream     rail.Instance
	sentAt       time.Time
	firstTokenAt time.Time
}

// NewComposite returns the reducer of the entry that runs on the instance.
func NewComposite(me rail.Instance, reducers Reducers) *Composite {
	all := []rail.Reducer{
		reducers.instances, reducers.facts, reducers.documents, reducers.upstreams, reducers.rollouts, reducers.teams,
		reducers.orders, reducers.answers, reducers.operators,
	}
	c := &Composite{
		me:             me,
		reducers:       reducers,
		all:            append(all, reducers.extra...),
		requests:       map[rail.RequestID]*requestState{},
		slots:          map[rail.InstanceID]int{},
		publishedSteps: map[rail.InstanceID]string{},
	}
	reducers.answers.UseBacklog(c)
	reducers.answers.UseMembers(reducers.instances)
	return c
}

// Waiting returns the number of requests that the entry has accepted and not ended.
func (c *Composite) Waiting() int { return len(c.requests) }

// Reduce processes one input and all events that it raises, and returns the effects for the runner.
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

// reduceOne passes one event to the composite's own handlers and to each reducer.
func (c *Composite) reduceOne(in rail.Input) []rail.Effect {
	effects := c.reduceBefore(in)
	for _, r := range c.all {
		effects = append(effects, r.Reduce(in)...)
	}
	return append(effects, c.reduceAfter(in)...)
}

// reduceBefore handles the events that the composite processes before its reducers do.
func (c *Composite) reduceBefore(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.RequestArrived:
		return c.handleArrival(e.Request())
	case rail.LoadRead:
		return c.handleLoad(e.Load())
	case rail.FactsLearned:
		return c.handleRemoteLoads(e.Facts())
	case rail.LogUnavailable:
		return c.reportLogState(true, e.Err().Error())
	case rail.LogRead:
		return c.reportLogState(false, "")
	case rail.ShutdownStarted:
		return c.handleShutdown(e)
	case answer.Marked:
		c.recordFirstToken(e, in.At())
	case answer.Ended:
		return raise(c.observeAttempt(e.Request(), e.Attempt(), rail.KindNone, in.At()))
	case answer.Replied:
		return raise(c.observeAttempt(e.Request(), e.Attempt(), kindOfReply(e.Reply()), in.At()))
	}
	return nil
}

// reportLogState reports when the platform's log becomes unavailable and available again.
func (c *Composite) reportLogState(unavailable bool, detail string) []rail.Effect {
	if unavailable == c.logUnavailable {
		return nil
	}
	c.logUnavailable = unavailable
	number := rail.EventPlatformAvailable
	if unavailable {
		number = rail.EventPlatformUnavailable
	}
	return []rail.Effect{rail.NewReport(number, string(c.me.ID()), detail)}
}

// reduceAfter handles the events that the composite processes after its reducers, because it needs their new state.
func (c *Composite) reduceAfter(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case rail.ListRead, instance.Fetched:
		return c.updatePollTargets()
	case rail.TimerFired:
		if e.Name() == shutdownFinishedTimer {
			return []rail.Effect{ShutdownFinished{}}
		}
	case rail.DocumentInForce:
		return []rail.Effect{InForce{document: e.Document()}}
	}
	return nil
}

// handleArrival passes an order (a request of a non-idempotent route) to the order reducer and any other request to its team's queue.
func (c *Composite) handleArrival(r rail.Request) []rail.Effect {
	route, ok := c.reducers.documents.Current().Route(r.Route())
	if !ok {
		return []rail.Effect{refused{call: r.ID(), kind: rail.KindUnknownRoute}}
	}
	if c.leaving.refusesRequests {
		return []rail.Effect{refused{call: r.ID(), kind: rail.KindLeaving}}
	}
	if !route.Idempotent() {
		return []rail.Effect{rail.NewRaise(order.NewSubmitted(r))}
	}
	return c.admit(r, route)
}

// admit queues the request at its team, which decides when it starts.
func (c *Composite) admit(r rail.Request, route rail.Route) []rail.Effect {
	c.requests[r.ID()] = &requestState{request: r, route: route}
	return []rail.Effect{rail.NewRaise(team.NewArrived(r, route))}
}

// translate turns effects that are meant for another reducer into events; the effect that it returns goes to the runner.
func (c *Composite) translate(e rail.Effect, at time.Time) ([]rail.Event, rail.Effect) {
	switch e := e.(type) {
	case rail.Raise:
		return []rail.Event{e.Event()}, nil
	case rail.Publish:
		return []rail.Event{digest.NewFactPublished(e)}, nil
	case order.Proceed:
		return c.startOrder(e.Request())
	case team.Admitted:
		return c.acceptAdmitted(e.Call()), nil
	case team.Refused:
		return c.handleTeamRefusal(e)
	case rail.Dispatch:
		return c.recordDispatch(e, at), e
	case answer.AttemptFailed:
		return c.observeAttempt(e.Request(), e.Attempt(), e.Kind(), at), nil
	case answer.Finished:
		return c.finish(e)
	case answer.Moved:
		return c.removeRequest(e.Call()), e
	case answer.Drained:
		return c.handleDrained()
	default:
		return nil, e
	}
}

// startOrder queues an order at its team once the order reducer allows its dispatch.
func (c *Composite) startOrder(r rail.Request) ([]rail.Event, rail.Effect) {
	route, ok := c.reducers.documents.Current().Route(r.Route())
	if !ok {
		return []rail.Event{order.NewEnded(r.ID(), rail.KindUnknownRoute, rail.ServiceReply{})}, nil
	}
	c.requests[r.ID()] = &requestState{request: r, route: route}
	return []rail.Event{team.NewArrived(r, route)}, nil
}

// acceptAdmitted passes a request that its team has admitted to the answer reducer.
func (c *Composite) acceptAdmitted(id rail.RequestID) []rail.Event {
	s, ok := c.requests[id]
	if !ok {
		return []rail.Event{team.NewEnded(id)}
	}
	return []rail.Event{answer.NewAccepted(s.request, s.route)}
}

// handleTeamRefusal ends a request that the team reducer has refused.
func (c *Composite) handleTeamRefusal(e team.Refused) ([]rail.Event, rail.Effect) {
	id := e.Call()
	s, ok := c.requests[id]
	delete(c.requests, id)
	if ok && !s.route.Idempotent() {
		return []rail.Event{order.NewEnded(id, e.Kind(), rail.ServiceReply{})}, nil
	}
	return nil, refused{call: id, kind: e.Kind(), message: e.Message()}
}

// recordDispatch records an attempt that is sent, in place of the request's previous one.
func (c *Composite) recordDispatch(d rail.Dispatch, at time.Time) []rail.Event {
	id := d.Request().ID()
	s, ok := c.requests[id]
	if !ok { // Handed over by a peer: there was no arrival here.
		route, _ := c.reducers.documents.Current().Route(d.Request().Route())
		s = &requestState{request: d.Request(), route: route}
		c.requests[id] = s
	}
	events := c.closeAttempt(s)
	s.attempt, s.upstream, s.sentAt, s.firstTokenAt = d.Attempt(), d.Upstream(), at, time.Time{}
	return append(events, upstream.NewSent(s.request, s.upstream.ID()))
}

// closeAttempt reports to the upstream reducer that the last attempt no longer runs.
func (c *Composite) closeAttempt(s *requestState) []rail.Event {
	if s.attempt == 0 {
		return nil
	}
	s.attempt = 0
	return []rail.Event{upstream.NewEnded(s.request, s.upstream.ID())}
}

// recordFirstToken records the time of an attempt's first token.
func (c *Composite) recordFirstToken(e answer.Marked, at time.Time) {
	s, ok := c.requests[e.Request()]
	if ok && s.attempt == e.Attempt() && s.firstTokenAt.IsZero() {
		s.firstTokenAt = at
	}
}

// observeAttempt reports the outcome and latency of an attempt to the rollout reducer.
func (c *Composite) observeAttempt(id rail.RequestID, attempt int, kind rail.Kind, at time.Time) []rail.Event {
	s, ok := c.requests[id]
	if !ok || s.attempt != attempt || kind == rail.KindCancelled {
		return nil
	}
	end := s.firstTokenAt
	if end.IsZero() {
		end = at
	}
	observed := rollout.NewObserved(s.route.Name(), s.upstream.Version(), kind == rail.KindNone, end.Sub(s.sentAt)).WithUpstream(s.upstream.ID())
	if kind == rail.KindUpstreamSilent { // An upstream silent for one request is likely silent for the next, and each would wait for its timeout.
		return []rail.Event{observed, instance.NewUnreachable(s.upstream.ID())}
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
	s, ok := c.requests[id]
	events := c.removeRequest(id)
	if ok && !s.route.Idempotent() {
		events = append(events, order.NewEnded(id, e.Kind(), e.Reply()))
		return events, orderSettled{id: id, kind: e.Kind(), reply: e.Reply()}
	}
	return events, e
}

// removeRequest removes a request that needs no more work at this entry.
func (c *Composite) removeRequest(id rail.RequestID) []rail.Event {
	s, ok := c.requests[id]
	if !ok {
		return nil
	}
	delete(c.requests, id)
	return append(c.closeAttempt(s), team.NewEnded(id))
}

// kindOfReply returns the outcome that a service's status counts as for its version.
func kindOfReply(r rail.ServiceReply) rail.Kind {
	const firstServerError = 500
	if r.Status() >= firstServerError {
		return rail.KindUpstreamFailed
	}
	return rail.KindNone
}
