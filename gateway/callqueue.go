package gateway

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/admission"
)

const (
	// maxQueuedCalls, queuedBytesDivisor and maxQueueTime bound the calls for one service that wait in this gateway: their number, the part
	// of the memory for messages that their bodies take, and the time. At about five streaming requests a second, a queue of two
	// seconds has ten calls.
	maxQueuedCalls     = 64
	queuedBytesDivisor = 4
	maxQueueTime       = 10 * time.Second
	// idleBacklog is the time that the waiting prompts of an upstream take at which it gets calls that miss their goals. It is longer than
	// the time between two ticks, so that the upstream does not run out of work.
	idleBacklog = 150 * time.Millisecond
	// contendedDomainFactor multiplies the cost of an upstream in another failure domain in the random choice: those of the own domain get
	// nearly all calls as long as they have room.
	contendedDomainFactor = 10
	// unknownGateways is the number of gateways that a gateway assumes before it has read their registrations: that of the largest
	// deployments, so that gateways that start together do not each use the whole capacity.
	unknownGateways = 195
)

// The reasons for which calls leave a queue, in log lines and metrics.
const (
	leftDispatched   = "dispatched"
	leftForwarded    = "forwarded"
	leftDisconnected = "disconnected"
	leftDisplaced    = "displaced"
	leftFull         = "full"
	leftDeadline     = "deadline"
	leftRefused      = "refused" // For what concerns the call, or since no upstream is left.
	leftShutdown     = "shutdown"
)

// callQueue holds the calls for one service that wait until upstream capacity is available.
type callQueue struct {
	queue   *admission.Queue
	calls   map[*admission.Request]*queuedCall
	share   *admission.Share
	retries admission.Retries
	// rate is the share's tokens a second at ratedAt.
	rate    float64
	ratedAt time.Time
}

// queuedCall is a call that waits; it has not run.
type queuedCall struct {
	call    *Call
	pending *pendingCall
	request *admission.Request
}

// callQueues are the queues of this gateway, by service.
type callQueues struct {
	limits    admission.Limits
	byService map[string]*callQueue
	waiting   map[*Call]*queuedCall
}

// queueLimits returns the bounds of a queue in a gateway with so much memory for messages.
func queueLimits(messageMemory int64) admission.Limits {
	return admission.NewLimits(maxQueuedCalls, messageMemory/queuedBytesDivisor, maxQueueTime)
}

func newCallQueues(limits admission.Limits) *callQueues {
	return &callQueues{limits: limits, byService: map[string]*callQueue{}, waiting: map[*Call]*queuedCall{}}
}

func (q *callQueues) ofService(name string) *callQueue {
	x, ok := q.byService[name]
	if !ok {
		x = &callQueue{queue: admission.New(q.limits), share: admission.NewShare(lowestPriority + 1), calls: map[*admission.Request]*queuedCall{}}
		q.byService[name] = x
	}
	return x
}

// queues reports whether the call waits in this gateway while capacity is occupied. Plain requests take less time than a load report is
// old, peers hold the calls that they forward, and a call that was sent before has waited.
func (s *State) queues(p *pendingCall) bool {
	return s.queued.limits.Enabled() && p.service.isEngine() && p.route.goal > 0 && !p.forwarded && p.attempts == 0
}

// hasRoom reports whether the upstream can take the call now, given the expected time to its first token there: it has a free slot, and
// the call meets its goal or almost no prompts wait.
func (s *State) hasRoom(c *Call, p *pendingCall, t *target, first time.Duration) bool {
	if t.slots > 0 && t.ownLoad.running+t.peerLoad.running >= t.slots {
		return false
	}
	return !s.now.Add(first).After(c.arrived.Add(p.route.goal)) || float64(s.promptsBefore(t, p.priority())) <= float64(idleBacklog)*s.queued.ofService(t.service).share.Left(p.priority())
}

// promptsBefore returns the time that an upstream takes for the waiting prompts that it processes before one of the priority.
func (s *State) promptsBefore(t *target, priority int) time.Duration {
	load := t.ownLoad
	load.add(t.peerLoad)
	return s.rates(t).Prefill(load.waitingBefore(priority))
}

// chooseWithRoom selects an upstream that has room for the call, nil if none has, and returns the expected time to the first token there. Loads
// of peers are up to one second old, so that gateways that all chose the lowest cost would fill the same upstream: the choice is random,
// weighted by the costs, with a hash of the call's id.
func (s *State) chooseWithRoom(c *Call, p *pendingCall) (*target, time.Duration) {
	pl := s.placementOf(p)
	pl.contended, pl.priority, pl.left = true, p.priority(), s.queued.ofService(p.service.name).share.Left(p.priority())
	candidates := s.registry.ofService(p.service.name)
	version := s.versionRuleFor(p.service.name, c)
	shared := affinityParts(c.parts)
	for _, tier := range []tier{preferred, anyHealth, fallback} {
		allow := func(t *target) bool { return s.allows(t, p, version, tier) }
		if !slices.ContainsFunc(candidates, allow) {
			continue
		}
		affine := pl.preferred(shared, candidates, allow)
		var best *target
		var wait time.Duration
		minKey := math.Inf(1)
		for _, t := range candidates {
			if !allow(t) {
				continue
			}
			first, cost := pl.cost(c, t, shared, t == affine)
			if !s.hasRoom(c, p, t, first) {
				continue
			}
			if t.domain != s.settings.domain {
				cost *= contendedDomainFactor
			}
			if key := weightedKey(c.id, t.id, cost); key < minKey {
				best, wait, minKey = t, first, key
			}
		}
		return best, wait
	}
	return nil, 0
}

// weightedKey returns the key of the upstream in a random choice in which the lowest key wins: the chances are inverse to the squares of
// the costs.
func weightedKey(request, upstream string, cost time.Duration) float64 {
	const bits = 53
	uniform := (float64(hashWeight(request, upstream)>>(64-bits)) + 0.5) / (1 << bits)
	weight := max(cost, time.Millisecond).Seconds()
	return -math.Log(uniform) * weight * weight
}

// hold makes a call wait if the capacity that it may use is occupied, or others wait; false if it is to be dispatched at once. The
// upstream is the one that was chosen for it.
func (s *State) hold(c *Call, p *pendingCall, t *target, first time.Duration) ([]Effect, bool) {
	chosen, wait := s.chooseUnlessHeld(c, p, t, first)
	switch {
	case chosen == t:
		return nil, false
	case chosen != nil:
		s.accept(c, p)
		return s.dispatch(c, p, chosen, wait), true
	case s.leaving:
		s.refund(p)
		return s.refuse(c, p, rail.KindLeaving, 0), true
	}
	return s.enqueue(c, p, t), true
}

// chooseUnlessHeld returns the upstream for a call for which one was chosen by its cost, or another one if that has no room; nil if the call is
// to wait.
func (s *State) chooseUnlessHeld(c *Call, p *pendingCall, t *target, first time.Duration) (*target, time.Duration) {
	if !s.queues(p) {
		return t, first
	}
	q := s.queued.ofService(p.service.name)
	if q.queue.Len() > 0 {
		return nil, 0
	}
	contended := s.meanWait(p.service.name, p.priority()) > p.route.goal/2
	if !contended && s.hasRoom(c, p, t, first) {
		return t, first
	}
	if contended && !q.share.Free(p.priority()) {
		return nil, 0
	}
	return s.chooseWithRoom(c, p)
}

// admissionRequest describes the call to the queue; its tokens are those that the upstream would have to process.
func (s *State) admissionRequest(c *Call, p *pendingCall, t *target) *admission.Request {
	missing := expectedMissing(c, c.prompt-t.cache.hitTokens(c.parts, s.now))
	rates := s.rates(t)
	first := rates.Prefill(missing) + rates.Step(1)*time.Duration(missing/prefillChunkTokens+1)
	return admission.NewRequest(c.id, p.teamName(), p.priority(), missing, int64(len(c.message.body))).
		WithTimes(c.arrived, c.arrived.Add(p.route.goal), p.deadline.Add(-deadlineMargin), first)
}

// expectedMissing returns the prompt tokens that an upstream is expected to process, given those that this gateway has not sent there: other
// gateways have sent the parts that requests share.
func expectedMissing(c *Call, missing int64) int64 {
	return max(0, min(missing, c.prompt-int64(affinityShare*float64(sumTokens(shareableParts(c.parts))))))
}

// enqueue adds the call to the queue of its service, or refuses it if it would not be served in time or there is no place.
func (s *State) enqueue(c *Call, p *pendingCall, t *target) []Effect {
	q := s.queued.ofService(p.service.name)
	r := s.admissionRequest(c, p, t)
	rate := s.shareRate(p.service.name)
	q.share.Advance(rate, s.now)
	if wait := q.queue.Wait(r, s.backlog(p.service.name, p.priority()), rate, s.now); !r.MeetsDeadline(s.now.Add(wait)) {
		return s.refuseUnqueued(q, &queuedCall{c, p, r}, leftDeadline)
	}
	displaced, ok := q.queue.Add(r, s.now)
	if !ok {
		return s.refuseUnqueued(q, &queuedCall{c, p, r}, leftFull)
	}
	x := &queuedCall{call: c, pending: p, request: r}
	q.calls[r], s.queued.waiting[c] = x, x
	effects := []Effect{
		report(rail.EventRequestQueued, NewField("request", c.id), NewField("service", p.service.name), NewField("route", p.route.name), NewField("team", p.teamName()), NewField("priority", p.priority()),
			NewField("tokens", r.Tokens()), NewField("queued", q.queue.Len()), NewField("share", int64(rate)), NewField("leftMs", p.deadline.Sub(s.now).Milliseconds())),
		Hold{call: c},
		QueueChanged{service: p.service.name, length: q.queue.Len()},
	}
	for _, d := range displaced {
		effects = append(effects, s.refuseQueued(q, q.calls[d], leftDisplaced, rail.KindOverloaded)...)
	}
	return append(effects, s.releaseQueue(p.service.name)...)
}

// backlog returns the time after which the upstreams of the service have almost no waiting prompts of the priority or a more urgent one.
func (s *State) backlog(service string, priority int) time.Duration {
	mean := float64(s.meanWait(service, priority)) / s.queued.ofService(service).share.Left(priority)
	return max(0, time.Duration(mean)-idleBacklog)
}

// meanWait returns the mean of the times that the upstreams of the service take for these prompts.
func (s *State) meanWait(service string, priority int) time.Duration {
	total, count := time.Duration(0), 0
	for _, t := range s.registry.ofService(service) {
		if !t.leaving && !s.evacuations.Contains(t.domain) && t.health.available(s.now) {
			total += s.promptsBefore(t, priority)
			count++
		}
	}
	return total / time.Duration(max(1, count))
}

// shareRate returns the prompt tokens a second that this gateway may use of the service's upstreams. While upstreams have nothing to
// do, others do not use their shares, and this one grows with the part of those upstreams, to twice of it.
func (s *State) shareRate(service string) float64 {
	total, idle, count := 0.0, 0, 0
	for _, t := range s.registry.ofService(service) {
		if t.leaving || s.evacuations.Contains(t.domain) || !t.health.available(s.now) {
			continue
		}
		total += s.rates(t).PromptTokensPerSecond()
		count++
		if t.ownLoad.waitingTokens+t.peerLoad.waitingTokens == 0 && (t.slots == 0 || t.ownLoad.running+t.peerLoad.running < t.slots) {
			idle++
		}
	}
	gateways := s.gateways()
	if !s.registrations.read {
		gateways = max(gateways, unknownGateways)
	}
	return total * (1 + float64(idle)/float64(max(1, count))) / float64(gateways)
}

// chargeShare charges the prompt tokens of a dispatched call to this gateway's share of the service.
func (s *State) chargeShare(c *Call, p *pendingCall) {
	if !s.queued.limits.Enabled() || !p.service.isEngine() {
		return
	}
	q := s.queued.ofService(p.service.name)
	if s.now.Sub(q.ratedAt) >= TickInterval { // The rate changes slowly, and its sum over the upstreams costs time.
		q.rate, q.ratedAt = s.shareRate(p.service.name), s.now
	}
	q.share.Advance(q.rate, s.now)
	q.share.Take(p.priority(), expectedMissing(c, p.load.waitingTokens))
}

// capacityChanges reports whether the event may bring capacity, or time has passed.
func capacityChanges(e Event) bool {
	switch e.(type) {
	case Ticked, AttemptEnded, AnswerStarted, CallerDisconnected, UpstreamsRead, EvacuationsRead:
		return true
	}
	return false
}

// releaseQueues refuses the queued calls that cannot be served in time any more and dispatches those for which there is capacity.
func (s *State) releaseQueues(e Event) []Effect {
	if len(s.queued.waiting) == 0 || !capacityChanges(e) {
		return nil
	}
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.queued.byService)) {
		q := s.queued.byService[name]
		if _, ok := e.(Ticked); ok {
			for _, r := range q.queue.Hopeless(0, s.shareRate(name), s.now) {
				effects = append(effects, s.refuseQueued(q, q.calls[r], leftDeadline, rail.KindOverloaded)...)
			}
			effects = append(effects, s.refuseBlocked(q)...)
		}
		effects = append(effects, s.releaseQueue(name)...)
	}
	return effects
}

// refuseBlocked refuses the queued calls that were blocked meanwhile, wherever they stand in the queue.
func (s *State) refuseBlocked(q *callQueue) []Effect {
	if s.quarantine.blocked.Len() == 0 {
		return nil
	}
	var effects []Effect
	for _, r := range q.queue.Order(s.now) {
		x := q.calls[r]
		if wait, refused := s.quarantine.blockOfCall(x.call, x.pending.teamName(), s.trueTime()).Refused(); refused {
			effects = append(effects, s.refuseQuarantined(q, x, wait)...)
		}
	}
	return effects
}

// refuseQuarantined refuses a queued call under which upstreams crash.
func (s *State) refuseQuarantined(q *callQueue, x *queuedCall, wait time.Duration) []Effect {
	effects := s.leaveQueue(q, x, leftRefused)
	s.refund(x.pending)
	return append(effects, s.refuse(x.call, x.pending, rail.KindQuarantined, wait)...)
}

// releaseQueue dispatches the queued calls for which there is capacity, in their order.
func (s *State) releaseQueue(service string) []Effect {
	q := s.queued.byService[service]
	q.share.Advance(s.shareRate(service), s.now)
	var effects []Effect
	for q.queue.Len() > 0 {
		n := q.queue.Len()
		for _, r := range q.queue.Order(s.now) {
			x := q.calls[r]
			effects = append(effects, s.tryQueued(q, x)...)
			if q.queue.Len() < n || !x.pending.restricted() {
				break // The order may have changed, or those behind it find no room either.
			}
		}
		if q.queue.Len() == n {
			break
		}
	}
	return effects
}

// restricted reports whether the call may be sent to some of the regions only.
func (p *pendingCall) restricted() bool {
	return len(p.route.regions) > 0 || (p.team != nil && len(p.team.regions) > 0)
}

// tryQueued dispatches the call if there is capacity for it, or ends its wait if there will be none.
func (s *State) tryQueued(q *callQueue, x *queuedCall) []Effect {
	c, p := x.call, x.pending
	verdict := s.quarantineVerdict(c, p.teamName())
	if wait, refused := verdict.Refused(); refused {
		return s.refuseQuarantined(q, x, wait)
	}
	if effects, elsewhere := s.tryElsewhere(c, p, verdict); elsewhere {
		return append(s.leaveQueue(q, x, leftForwarded), effects...)
	}
	if s.partitioned(p.service.name) {
		return append(s.leaveQueue(q, x, leftForwarded), s.forwardFirst(c, p)...)
	}
	if t, _ := s.chooseUpstream(c, p); t == nil {
		return append(s.leaveQueue(q, x, leftRefused), s.refuseUnplaced(c, p)...)
	}
	t, first := s.chooseWithRoom(c, p)
	if t == nil || !q.share.Free(p.priority()) {
		return nil
	}
	q.queue.Dispatch(x.request, s.now)
	effects := s.leaveQueue(q, x, leftDispatched)
	s.accept(c, p)
	return append(effects, s.dispatch(c, p, t, first)...)
}

// leaveQueue removes the call from its queue.
func (s *State) leaveQueue(q *callQueue, x *queuedCall, reason string) []Effect {
	q.queue.Remove(x.request)
	delete(q.calls, x.request)
	delete(s.queued.waiting, x.call)
	return []Effect{QueueChanged{service: x.pending.service.name, length: q.queue.Len(), reason: reason, priority: x.pending.priority(), waited: x.request.Waited(s.now)}}
}

// refuseQueued refuses a queued call, which has not run.
func (s *State) refuseQueued(q *callQueue, x *queuedCall, reason string, kind rail.Kind) []Effect {
	return append(s.leaveQueue(q, x, reason), s.refuseOccupied(q, x, reason, kind)...)
}

// refuseUnqueued refuses a call that was not queued.
func (s *State) refuseUnqueued(q *callQueue, x *queuedCall, reason string) []Effect {
	changed := QueueChanged{service: x.pending.service.name, length: q.queue.Len(), reason: reason, priority: x.pending.priority()}
	return append([]Effect{changed}, s.refuseOccupied(q, x, reason, rail.KindOverloaded)...)
}

func (s *State) refuseOccupied(q *callQueue, x *queuedCall, reason string, kind rail.Kind) []Effect {
	s.refund(x.pending)
	var wait time.Duration
	if kind == rail.KindOverloaded {
		wait = s.retryAfter(x.call, x.pending, s.backlog(x.pending.service.name, x.pending.priority())+admission.TimeFor(q.queue.Tokens(), s.shareRate(x.pending.service.name)))
	}
	return append([]Effect{report(rail.EventQueueRefused, NewField("request", x.call.id), NewField("service", x.pending.service.name), NewField("priority", x.pending.priority()), NewField("reason", reason),
		NewField("waitedMs", x.request.Waited(s.now).Milliseconds()), NewField("queued", q.queue.Len()))}, s.refuse(x.call, x.pending, kind, wait)...)
}

// retryAfter returns when a call that is refused for lack of capacity may be sent again, later for each further one, if capacity is
// available after the wait.
func (s *State) retryAfter(c *Call, p *pendingCall, wait time.Duration) time.Duration {
	if !s.queues(p) {
		return wait
	}
	return s.queued.ofService(p.service.name).retries.After(wait, c.prompt, s.shareRate(p.service.name), s.now)
}

// refuseAllQueued refuses all queued calls with the kind.
func (s *State) refuseAllQueued(reason string, kind rail.Kind) []Effect {
	var effects []Effect
	for _, name := range slices.Sorted(maps.Keys(s.queued.byService)) {
		q := s.queued.byService[name]
		for _, r := range q.queue.Order(s.now) {
			effects = append(effects, s.refuseQueued(q, q.calls[r], reason, kind)...)
		}
	}
	return effects
}

// queuedDisconnected ends the wait of a call whose caller disconnected.
func (s *State) queuedDisconnected(c *Call) []Effect {
	x, ok := s.queued.waiting[c]
	if !ok {
		return nil
	}
	effects := s.leaveQueue(s.queued.byService[x.pending.service.name], x, leftDisconnected)
	s.refund(x.pending)
	return append(effects, s.reportDisconnected(c, "", ""))
}
