package gateway

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/runend"
)

// pendingCall is a call in flight.
type pendingCall struct {
	route    *Route
	team     *Team
	cost     float64
	service  *Service
	deadline time.Time
	target   *target
	load     Load
	attempts int
	// unproven reports that the attempt may be on a new connection, and has no answer yet.
	unproven bool
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	// refusals counts the attempts that did not run: the upstream refused them or was not reached.
	refusals      int
	tried         map[upstreamStart]bool
	usageCounted  bool // The call was counted in the team's usage.
	gotFirstToken bool // The current attempt has produced its first token.
	firstTokenAt  time.Time
	sentAt        time.Time
	lastEventAt   time.Time // Time of the current attempt's last event.
	resume        string
	promptCleared bool // The current attempt has gone on after its beginning.
	retryReserved bool // The retry budget was spent already for the attempt after the current one.
	version       versionKey
	// peer is the name of the peer that makes the current attempt, empty if this gateway does.
	peer string
	// refusedBy are the names of the peers that refused the call.
	refusedBy []string
	// hops counts the forwards that reached no upstream, unreachable the upstreams that were not reached.
	hops, unreachable int
	// triedIDs are the ids of the upstreams that must not get the call again.
	triedIDs []string
	// forwarded reports whether a peer forwarded the call, which leaves attemptsLeft to this gateway.
	forwarded    bool
	attemptsLeft int
	// previous is the last attempt of a stream that may have run, nil if there was none.
	previous *previousRun
	// expectedFirst is the expected time to the current attempt's first token, expectedStep that of each token after it.
	expectedFirst, expectedStep time.Duration
	// idlePrompt is the number of the prompt tokens that the current attempt's engine had to process, zero if that is not certain or it
	// had other prompts to process; running is how many requests it had.
	idlePrompt int64
	running    int
}

const (
	// maxRefusals bounds the attempts of one call that did not run.
	maxRefusals = 3
	// noUpstreamRetryAfter is the Retry-After value if no upstream is known.
	noUpstreamRetryAfter = time.Second
	// minRetryAfter is the smallest Retry-After value that a caller gets.
	minRetryAfter = 100 * time.Millisecond
	// notReadyRetryAfter is the Retry-After value of a gateway that has no configuration yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// deadlineMargin is the time before a deadline in which no further attempt is started.
	deadlineMargin = 30 * time.Millisecond
)

// callArrived decides whether a call is forwarded, and to which upstream.
func (s *State) callArrived(c *Call) []Effect {
	if s.config == nil || !s.upstreamsRead {
		return s.refuse(c, nil, rail.KindNotReady, notReadyRetryAfter)
	}
	if c.forwarded != nil {
		return s.forwardedArrived(c)
	}
	route := s.config.route(c.message.host, c.path)
	if route == nil {
		return s.refuse(c, nil, rail.KindUnknownRoute, 0)
	}
	var team *Team
	if len(s.config.teams) > 0 {
		team = s.config.team(c.key)
		if team == nil && !route.public {
			return s.refuse(c, nil, rail.KindUnknownTeam, 0)
		}
	}
	if team != nil {
		s.arrivals.add(team.name)
	}
	p := &pendingCall{route: route, team: team, tried: map[upstreamStart]bool{}, resume: c.resume}
	p.limitDeadline(c)
	verdict := s.quarantineVerdict(c, p.teamName())
	if wait, refused := verdict.Refused(); refused {
		return s.refuse(c, p, rail.KindQuarantined, wait)
	}
	if team != nil && team.rate > 0 {
		p.cost = team.cost(c)
		if ok, wait := s.admit(team, p.cost); !ok {
			return s.refuse(c, p, rail.KindLimited, wait)
		}
	}
	s.demand += c.prompt
	p.service = s.pickService(c, p)
	s.workMeter.add(p.service, c)
	if effects, elsewhere := s.tryElsewhere(c, p, verdict); elsewhere {
		return effects
	}
	if s.partitioned(p.service.name) {
		return s.forwardFirst(c, p)
	}
	return s.place(c, p)
}

// limitDeadline sets the call's deadline: the caller's, or the end of the route's timeout if that is earlier.
func (p *pendingCall) limitDeadline(c *Call) {
	p.deadline = c.deadline
	if limit := c.arrived.Add(p.route.timeout); p.route.timeout > 0 && limit.Before(p.deadline) {
		p.deadline = limit
	}
}

// forwardFirst forwards a call to a peer at once, or refuses it if there is none.
func (s *State) forwardFirst(c *Call, p *pendingCall) []Effect {
	peer, ok := s.choosePeer(c, p)
	if x := s.partitions[p.service.name]; !ok && len(x.reached) > 0 {
		return append(s.endPartition(p.service.name, x), s.place(c, p)...)
	}
	if !ok {
		s.refund(p)
		return s.refuse(c, p, rail.KindNoUpstream, noUpstreamRetryAfter)
	}
	s.accept(c, p)
	return s.forward(c, p, peer)
}

// accept makes the call one in flight.
func (s *State) accept(c *Call, p *pendingCall) {
	s.calls[c] = p
	s.quarantine.startTrials(c, p.teamName())
	if !p.forwarded {
		s.retryBudget(p.service.name).countFirst(s.uptime())
	}
}

// place sends a call to an upstream, makes it wait for one that has room, or refuses it if there is none.
func (s *State) place(c *Call, p *pendingCall) []Effect {
	t, wait := s.chooseUpstream(c, p)
	if t == nil {
		if s.limitsNewConnections(p.service.name, c) {
			return s.placeElsewhere(c, p)
		}
		return s.refuseUnplaced(c, p)
	}
	if left := p.deadline.Sub(s.now); wait > left {
		s.refund(p)
		return s.refuse(c, p, rail.KindOverloaded, s.retryAfter(c, p, wait-left))
	}
	if effects, held := s.hold(c, p, t, wait); held {
		return effects
	}
	s.accept(c, p)
	return s.dispatch(c, p, t, wait)
}

// refuseUnplaced refuses a call that may be sent to no upstream.
func (s *State) refuseUnplaced(c *Call, p *pendingCall) []Effect {
	s.refund(p)
	if wait, named := s.upstreamWait(p.service.name); named {
		return s.refuse(c, p, rail.KindOverloaded, wait)
	}
	return s.refuse(c, p, rail.KindNoUpstream, noUpstreamRetryAfter)
}

// admit charges the cost to the team's limit. If the limit has no room, it returns false and the time until it has.
func (s *State) admit(t *Team, cost float64) (bool, time.Duration) {
	return s.quota(t).take(cost, s.callerShare)
}

func (s *State) refund(p *pendingCall) {
	if p.cost > 0 {
		s.quota(p.team).refund(p.cost)
	}
}

// pickService selects a backend of the route by weight, using a hash of the call's id. Services without upstreams in domains that the
// call may be sent to are skipped if others have some. A service that the configuration does not define is returned with its name only, so that no
// upstream is found for it.
func (s *State) pickService(c *Call, p *pendingCall) *Service {
	route := p.route
	backends := slices.DeleteFunc(slices.Clone(route.backends), func(b Backend) bool {
		return !slices.ContainsFunc(s.registry.ofService(b.service), func(t *target) bool { return s.reachable(t, p) })
	})
	if len(backends) == 0 {
		backends = route.backends
	}
	total := 0
	for _, b := range backends {
		total += b.weight
	}
	if total <= 0 {
		return &Service{}
	}
	n := int(hashWeight(c.id, route.name) % uint64(total)) //nolint:gosec // The total of the weights is small.
	for _, b := range backends {
		if n -= b.weight; n < 0 {
			if service := s.config.services[b.service]; service != nil {
				return service
			}
			return &Service{name: b.service}
		}
	}
	return &Service{}
}

// chooseUpstream selects an upstream that the call has not tried yet. It first considers available upstreams in reachable
// failure domains, then any that the rollout allows, then any that may be used as a fallback.
func (s *State) chooseUpstream(c *Call, p *pendingCall) (*target, time.Duration) {
	pl := s.placementOf(p)
	candidates := s.registry.ofService(p.service.name)
	version := s.versionRuleFor(p.service.name, c)
	if t := s.recheckLimit(candidates, func(t *target) bool { return s.allows(t, p, version, preferred) }); t != nil {
		candidates = []*target{t}
	}
	if s.recovery(p.service.name) != nil {
		if t, wait := s.chooseDomain(pl, c, candidates, func(t *target) bool { return t.kept(s.now) && s.allows(t, p, version, preferred) }); t != nil {
			return t, wait
		}
		if s.limitsNewConnections(p.service.name, c) {
			return nil, 0
		}
	}
	for _, tier := range []tier{preferred, anyHealth, fallback} {
		allow := func(t *target) bool { return s.allows(t, p, version, tier) }
		if t, wait := s.chooseDomain(pl, c, candidates, allow); t != nil {
			return t, wait
		}
	}
	return nil, 0
}

// placementOf returns the placement of the request.
func (s *State) placementOf(p *pendingCall) placement {
	return placement{service: p.service, domain: s.settings.domain, goal: p.route.goal, now: s.now, rates: s.rates, typical: s.ServiceRates(p.service.name), uneven: s.uneven(p.service.name)}
}

// dispatch starts an attempt of the call at the upstream.
func (s *State) dispatch(c *Call, p *pendingCall, t *target, wait time.Duration) []Effect {
	p.attempts++
	p.peer = ""
	p.target, p.gotFirstToken, p.promptCleared, p.retryReserved, p.sentAt, p.lastEventAt = t, false, false, false, s.now, s.now
	p.tried[t.start()] = true
	p.unproven = !t.kept(s.now)
	if t.limit.named {
		t.limit.take()
	}
	t.cold.take()
	t.refusal.take(c)
	p.load = Load{running: 1, waitingTokens: max(0, c.prompt-t.cache.hitTokens(c.parts, s.now)), heldTokens: c.prompt + c.output/2}
	p.load.waitingBy[p.priority()] = p.load.waitingTokens
	s.expectAttempt(c, p, t, wait)
	t.ownLoad.add(p.load)
	s.chargeShare(c, p)
	cacheSource, copyFrom, copyBytes := "", "", int64(0)
	pl := placement{service: p.service, now: s.now, rates: s.rates}
	if source := pl.cacheSource(c, t, s.registry.ofService(p.service.name), func(x *target) bool { return s.reachable(x, p) && s.mayCopy(c, p.service, x, t) }); source != nil {
		cacheSource, copyFrom, copyBytes = source.address, source.domain, c.sharedTokens()*p.service.cacheTokenBytes
	}
	t.cache.add(c.parts, s.now)
	if shared := affinityParts(c.parts); len(shared) > 0 && !p.forwarded && s.settings.spillover {
		s.partUses.add(shared[len(shared)-1].id, s.now)
	}
	s.trackVersion(p, t)
	if cacheSource != "" {
		p.idlePrompt = 0
	}
	return []Effect{
		report(rail.EventAttemptSent, NewField("request", c.id), NewField("attempt", p.attempts), NewField("route", p.route.name), NewField("team", p.teamName()),
			NewField("upstream", t.id), NewField("address", t.address), NewField("startMs", t.startedAtMs), NewField("domain", t.domain), NewField("running", t.ownLoad.running+t.peerLoad.running), NewField("waitMs", wait.Milliseconds()),
			NewField("failing", t.health.decayedShare(s.now)), NewField("config", s.config.version), NewField("leftMs", p.deadline.Sub(s.now).Milliseconds()), NewField("resume", p.resume), NewField("fetch", cacheSource)),
		Send{
			call: c, upstream: t.Upstream, route: p.route, team: p.teamName(), attempt: p.attempts, priority: p.priority(), resume: p.resume, deadline: p.deadline,
			cacheSource: cacheSource, copyFrom: copyFrom, copyBytes: copyBytes, maxConns: s.connectionLimit(p.service), failoverTimeout: s.failoverTimeout(c, p, wait), limited: t.limit.named,
		},
	}
}

func (p *pendingCall) teamName() string {
	if p.team == nil {
		return ""
	}
	return p.team.name
}

func (p *pendingCall) serviceName() string {
	if p.service == nil {
		return ""
	}
	return p.service.name
}

const (
	// teamPriorityWeight is the weight of a team's priority relative to a route's.
	teamPriorityWeight = 3
	lowestPriority     = 9
)

// priority combines the priorities of team and route; the team's weighs more.
func (p *pendingCall) priority() int {
	r := p.route.priority
	if p.team != nil {
		r += teamPriorityWeight * p.team.priority
	}
	return min(r, lowestPriority)
}

// connectionLimit returns this gateway's share of the connections that an upstream accepts.
func (s *State) connectionLimit(service *Service) int {
	if service.maxConns <= 0 {
		return 0
	}
	return max(2, service.maxConns/s.gateways())
}

// failoverTimeout returns how long an attempt may take to answer before it is aborted if the call can go to another upstream;
// zero means no such timeout.
func (s *State) failoverTimeout(c *Call, p *pendingCall, wait time.Duration) time.Duration {
	if p.forwarded || p.runsLeft() <= 1 {
		return 0 // No further attempt is allowed.
	}
	if !p.route.streaming && s.quarantine.suspectsRequest(c, p.teamName()) {
		return 0 // Another upstream may end under it, and whether this one does must be known.
	}
	if p.route.streaming {
		if !p.route.mayResume() {
			return 0
		}
		return max(2*p.route.goal, wait+p.route.goal)
	}
	if p.route.repeat != Repeatable {
		return 0
	}
	return max(repeatableGoalTenths*p.route.goal/10, wait+p.route.goal/2)
}

// repeatableGoalTenths is the part of its goal, in tenths, that a repeatable request waits for one upstream.
const repeatableGoalTenths = 8

// answerStarted records the first token, or the answer, of an attempt.
func (s *State) answerStarted(c *Call) {
	p, ok := s.calls[c]
	if !ok {
		return
	}
	p.lastEventAt = s.now
	if !p.gotFirstToken {
		p.gotFirstToken, p.firstTokenAt = true, s.now
		if p.peer == "" {
			s.recordReachability(p.target, rail.KindNone, false)
			s.serviceReached(p.service.name)
			s.recordAnswered(p)
			s.confirmAnswers(p.target, p.sentAt)
			s.observeFirstEvent(c, p)
		}
		waiting := Load{waitingTokens: p.load.waitingTokens, waitingBy: p.load.waitingBy}
		p.load.waitingTokens, p.load.waitingBy = 0, [lowestPriority + 1]int64{}
		p.target.ownLoad.subtract(waiting)
	}
	s.countUsage(p)
}

func (s *State) streamProgressed(e StreamProgressed) {
	c := e.call
	if p, ok := s.calls[c]; ok {
		p.lastEventAt = s.now
		s.observeGaps(p, e.gaps)
		if !p.promptCleared && s.now.Sub(p.firstTokenAt) >= answerBeginning {
			p.promptCleared = true
			s.quarantine.recordAnswer(c.parts, s.trueTime())
			s.quarantine.recordRequestAnswer(c, p.teamName(), s.trueTime())
		}
	}
}

// callerDisconnected ends a call whose caller disconnected.
func (s *State) callerDisconnected(c *Call) []Effect {
	p, ok := s.calls[c]
	if !ok {
		if effects, waited := s.configWaitDisconnected(c); waited {
			return effects
		}
		return s.queuedDisconnected(c)
	}
	if _, waits := s.moves[c]; waits {
		delete(s.moves, c)
		delete(s.calls, c)
		return []Effect{s.reportDisconnected(c, p.previous.upstreamID, "")}
	}
	s.releaseLoad(p)
	p.target.refusal.end(c, Outcome{kind: rail.KindCancelled}, s.now)
	var effects []Effect
	if !p.gotFirstToken && p.peer == "" {
		p.target.abandon(c.requestKey(p.teamName()), s.now)
		if s.now.Sub(p.sentAt) >= minSilentWait {
			effects = s.recordNotReached(p.service.name, p.target)
		}
	}
	delete(s.calls, c)
	return append(effects, s.reportDisconnected(c, p.target.id, p.peer))
}

// reportDisconnected reports that the caller disconnected, and which upstream or peer had the call.
func (s *State) reportDisconnected(c *Call, upstreamID, peer string) Report {
	return report(rail.EventCallerDisconnected, NewField("request", c.id), NewField("upstream", upstreamID), NewField("peer", peer), NewField("tookMs", s.now.Sub(c.arrived).Milliseconds()))
}

// releaseLoad subtracts the attempt from the upstream's load.
func (s *State) releaseLoad(p *pendingCall) {
	p.target.ownLoad.subtract(p.load)
	p.load = Load{}
}

// attemptEnded decides whether the call is retried, served or refused after an attempt.
func (s *State) attemptEnded(c *Call, o Outcome) []Effect {
	p, ok := s.calls[c]
	if !ok {
		return nil
	}
	t := p.target
	s.releaseLoad(p)
	if s.mayBeCopied(p, o) {
		o.err = rail.WrapError(o.err, rail.KindUpstreamFailed, "the peer may have taken a copy of an earlier refusal for the answer")
		o.kind = rail.KindUpstreamFailed
	}
	effects := s.recordAttempt(c, p, o)
	if o.kind == rail.KindNone {
		if !p.route.streaming {
			s.countUsage(p)
		}
		return append(effects, s.finish(c, p, o, "served")...)
	}
	fields := []Field{
		NewField("request", c.id), NewField("attempt", p.attempts), NewField("upstream", t.id), NewField("peer", p.peer), NewField("placement", o.placement),
		NewField("kind", string(o.kind)), NewField("status", o.status), NewField("events", o.events), NewField("last", o.lastEventID),
		NewField("tookMs", s.now.Sub(p.sentAt).Milliseconds()), NewField("parts", partIDs(shareableParts(c.parts))), NewField("key", c.requestKey(p.teamName())), NewField("brokenOff", o.brokenOff()), ErrorField(o.err),
	}
	effects = append(effects, report(rail.EventAttemptEnded, append(fields, o.connection.fields()...)...))
	if o.lastEventID != "" {
		p.resume = o.lastEventID
	}
	if o.kind.Reply().Run() == rail.NotRun {
		p.countRefusal(o)
		if o.kind == rail.KindUpstreamReplaced && p.peer == "" {
			effects = append(effects, s.registry.markLeaving(t.start(), "upstream")...)
		}
	} else {
		p.possibleRuns++
		if !p.route.streaming {
			s.countUsage(p)
		}
		if s.tracksRuns(p) && !o.answered {
			p.previous = s.previousRun(c, p, o)
		}
	}
	return append(effects, s.continueCall(c, p, o)...)
}

// continueCall starts another attempt after one that ended with the outcome, or ends the call.
func (s *State) continueCall(c *Call, p *pendingCall, o Outcome) []Effect {
	notRun := o.kind.Reply().Run() == rail.NotRun
	if !o.final && !p.unknownToPeer(o) && !s.retryQuarantined(c, p, notRun) && !p.forwarded && s.mayRetry(p, notRun) && s.now.Add(deadlineMargin).Before(p.deadline) {
		if next := s.nextAttempt(c, p, o); next != nil {
			return next
		}
	}
	return s.endCall(c, p, o)
}

// endCall ends a call whose last attempt ended with the outcome.
func (s *State) endCall(c *Call, p *pendingCall, o Outcome) []Effect {
	blockedFor, blocked := s.quarantineVerdict(c, p.teamName()).Refused()
	if o.answered {
		return append(s.finish(c, p, o, "failed upstream"), Deliver{call: c})
	}
	kind, wait := o.kind, noUpstreamRetryAfter/2
	if kind == rail.KindUpstreamFull {
		if left, named := s.upstreamWait(p.service.name); named {
			wait = left
		}
	}
	if p.refusedByPeer(o) {
		switch {
		case p.unknownToPeer(o):
			wait = 0
		case o.kind == rail.KindQuarantined:
			wait = pendingTrialRetryAfter // Another call tries out the same parts there.
		default:
			kind, wait = rail.KindUpstreamUnreachable, noUpstreamRetryAfter
		}
	}
	if blocked {
		kind, wait = rail.KindQuarantined, blockedFor
	}
	if p.possibleRuns > 0 && (kind.Reply().Run() == rail.NotRun || promisesNotRun(kind.Reply().Status())) {
		kind = rail.KindUpstreamFailed // An attempt may have run, so the call must not be reported as not run.
	}
	delete(s.calls, c)
	if p.possibleRuns == 0 {
		s.refund(p)
	}
	return s.refuse(c, p, kind, wait)
}

// recordAttempt records what the outcome of an attempt tells of the upstream, or of the peer that made it.
func (s *State) recordAttempt(c *Call, p *pendingCall, o Outcome) []Effect {
	if p.peer != "" {
		return s.recordHop(c, p, o)
	}
	p.target.refusal.end(c, o, s.now)
	s.recordSpeed(p, o)
	s.observeService(p, o)
	s.recordOwnOutcome(p, o)
	if o.kind != rail.KindUpstreamUnreachable {
		p.triedIDs = append(p.triedIDs, p.target.id)
	}
	ended, at, seen := *p, s.now, s.trueTime()
	p.version = versionKey{}
	effects := s.recordAttemptReach(p, o, func() { s.recordVersionOutcome(ended, o, at) })
	if o.reached() || !s.partitioned(p.service.name) {
		s.recordPromptOutcome(c, ended, o, at, seen)
	}
	return effects
}

// countRefusal counts an attempt that did not run.
func (p *pendingCall) countRefusal(o Outcome) {
	if p.peer != "" && (o.placement == "" || o.kind == rail.KindUpstreamUnreachable) {
		p.hops++
		return
	}
	p.refusals++
	if o.kind == rail.KindUpstreamUnreachable {
		p.unreachable++
	}
}

// nextAttempt starts another attempt of the call, at a peer if this gateway does not seem to reach the service; nil if none may be made.
// An attempt that reached nothing costs none of the retry budget.
func (s *State) nextAttempt(c *Call, p *pendingCall, o Outcome) []Effect {
	free := o.kind == rail.KindUpstreamUnreachable || p.refusedByPeer(o)
	cut := s.partitioned(p.service.name)
	if p.previous != nil && p.previous.upstreamID == "" {
		return nil // A peer has lost the call, and did not say which upstream runs it.
	}
	if s.endingOf(p) == runend.Unseen && !s.now.Before(s.moveTimeout(p)) {
		return nil // A peer has waited for the end of the run.
	}
	if cut || p.unreachable >= minUnreachable {
		if peer, ok := s.choosePeer(c, p); ok {
			if free || s.spendRetry(p) {
				return append(s.reportMove(c, p, o), s.forward(c, p, peer)...)
			}
			return nil
		}
	}
	if cut {
		return nil
	}
	if next, wait := s.chooseUpstream(c, p); next != nil {
		if s.endingOf(p) == runend.Unseen {
			return s.holdMove(c, p, o)
		}
		if !free && !s.spendRetry(p) {
			return nil
		}
		return append(s.reportMove(c, p, o), s.dispatch(c, p, next, wait)...)
	}
	if peer, ok := s.choosePeer(c, p); ok && p.unreachable > 0 && free {
		return append(s.reportMove(c, p, o), s.forward(c, p, peer)...)
	}
	return nil
}

// countUsage adds the call to its team's usage, once.
func (s *State) countUsage(p *pendingCall) {
	if !p.usageCounted {
		p.usageCounted = true
		if p.team != nil {
			s.usage.count(s.window(), p.team.name, 1)
		}
	}
}

// mayRetry reports whether the route and the attempts so far allow another attempt.
func (s *State) mayRetry(p *pendingCall, notRun bool) bool {
	if notRun {
		return p.refusals < maxRefusals && p.hops < maxForwards && p.possibleRuns < p.route.attempts
	}
	return p.route.mayRunAgain() && p.possibleRuns < p.route.attempts
}

func (s *State) spendRetry(p *pendingCall) bool {
	return p.retryReserved || s.retryBudget(p.service.name).spend(s.uptime(), s.settings.retryRatio, s.settings.retryExtra/float64(s.gateways()))
}

// reserveRetry reserves what another attempt at an upstream that suits needs if the current one is aborted, and reports whether
// that may follow.
func (s *State) reserveRetry(c *Call, p *pendingCall, suits func(*target) bool) bool {
	if p.retryReserved {
		return true
	}
	if p.peer != "" && s.tracksRuns(p) {
		return false // The peer, which reaches the upstream, sees what becomes of the run.
	}
	if p.forwarded {
		return false // The gateway that has the caller decides.
	}
	if s.retryQuarantined(c, p, false) || !s.mayRetry(p, false) || !s.now.Add(deadlineMargin).Before(p.deadline) {
		return false
	}
	if !s.hasNext(c, p, suits) {
		return false
	}
	p.retryReserved = s.spendRetry(p)
	return p.retryReserved
}

// hasNext reports whether there is an upstream that suits, or another peer, for the next attempt of a call.
func (s *State) hasNext(c *Call, p *pendingCall, suits func(*target) bool) bool {
	if p.peer != "" || s.partitioned(p.service.name) {
		return p.hops < maxForwards && slices.ContainsFunc(s.peersFor(p), func(name string) bool { return name != p.peer })
	}
	next, _ := s.chooseUpstream(c, p)
	return next != nil && suits(next)
}

// room counts the calls that are aborted at once, by the upstream that is to take them.
type room map[*target]int

// take reports whether the upstream has room for one more call, and counts it.
func (r room) take(t *target) bool {
	if t.limit.named || t.refusal.probing || (t.slots > 0 && t.ownLoad.running+t.peerLoad.running+r[t] >= t.slots) {
		return false
	}
	r[t]++
	return true
}

// failOver aborts the call's attempt, which has not been answered in time, if another one may follow.
func (s *State) failOver(c *Call) []Effect {
	p, ok := s.calls[c]
	if !ok {
		return nil
	}
	var checks []Effect
	if s.tracksRuns(p) && p.peer == "" {
		if !s.hasNext(c, p, func(*target) bool { return true }) {
			return nil
		}
		if checks = s.checkEngine(p.target.Upstream, silenceCheckInterval); !s.endObservable(c, p) {
			return checks
		}
	}
	if !s.reserveRetry(c, p, func(*target) bool { return true }) {
		return checks
	}
	return append(checks, Abort{call: c, kind: rail.KindUpstreamSilent})
}

// upstreamKind returns the error kind as far as the upstream is to blame.
func (o Outcome) upstreamKind() rail.Kind {
	if o.answered && o.status < minServerErrorStatus {
		return rail.KindNone
	}
	return o.kind
}

// recordOwnOutcome records what only this gateway's choice of upstreams depends on.
func (s *State) recordOwnOutcome(p *pendingCall, o Outcome) {
	kind := o.upstreamKind()
	p.target.health.record(kind, s.now)
	s.recordReachability(p.target, kind, o.timedOut)
}

// minServerErrorStatus is the lowest HTTP status that counts as a failure of the upstream.
const minServerErrorStatus = 500

// finish ends a call that received an upstream's answer.
func (s *State) finish(c *Call, p *pendingCall, o Outcome, outcome string) []Effect {
	delete(s.calls, c)
	if o.kind == rail.KindNone && p.resume == "" {
		s.workMeter.answered(p.service, c, o.events)
	}
	fields := []Field{
		NewField("request", c.id), NewField("outcome", outcome), NewField("status", o.status), NewField("attempts", p.attempts),
		NewField("upstream", p.target.id), NewField("peer", p.peer), NewField("placement", o.placement), NewField("route", p.route.name), NewField("team", p.teamName()), NewField("events", o.events),
		NewField("tookMs", s.now.Sub(c.arrived).Milliseconds()), NewField("connectionMs", c.connectionAge.Milliseconds()),
	}
	return []Effect{report(rail.EventRequestServed, append(fields, o.connection.fields()...)...)}
}

// refuse ends a call with an error kind.
func (s *State) refuse(c *Call, p *pendingCall, kind rail.Kind, wait time.Duration) []Effect {
	fields := []Field{
		NewField("request", c.id), NewField("kind", string(kind)), NewField("retryMs", wait.Milliseconds()), NewField("tookMs", s.now.Sub(c.arrived).Milliseconds()),
		NewField("connectionMs", c.connectionAge.Milliseconds()),
	}
	if s.config != nil {
		fields = append(fields, NewField("config", s.config.version))
	}
	if p != nil {
		fields = append(fields, NewField("route", p.route.name), NewField("team", p.teamName()), NewField("attempts", p.attempts))
		if domains := s.evacuatedDomains(p.serviceName()); kind == rail.KindNoUpstream && len(domains) > 0 {
			fields = append(fields, NewField("evacuated", domains))
		}
		if p.team != nil && kind == rail.KindLimited {
			q := s.quota(p.team)
			fields = append(fields, NewField("admitted", int64(q.total)), NewField("limit", int64(q.limit)), NewField("reserved", int64(q.reserved)), NewField("cost", int64(p.cost)))
		}
	}
	if kind.Reply().Run() == rail.NotRun && wait > 0 {
		wait = max(wait, minRetryAfter)
	}
	return []Effect{report(rail.EventRequestRefused, fields...), Refuse{call: c, kind: kind, retryAfter: wait}}
}

// abortAll aborts all attempts, so that none is followed by another one, and refuses the calls that wait.
func (s *State) abortAll() []Effect {
	effects := append(append(s.refuseAllQueued(leftShutdown, rail.KindLeaving), s.endMoves()...), s.refuseConfigWaits()...)
	for c, p := range s.calls {
		p.deadline = s.now
		effects = append(effects, Abort{call: c, kind: rail.KindDeadlinePassed})
	}
	return effects
}
