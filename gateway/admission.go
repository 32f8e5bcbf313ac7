package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

// progress is a call under way.
type progress struct {
	route    *Route
	team     *Team
	cost     float64
	service  *Service
	deadline time.Time
	target   *target
	load     Load
	number   int
	// runs counts the attempts that may have run.
	runs int
	// refusals counts the attempts that the upstream proved not to have run.
	refusals int
	tried    map[*target]bool
	began    bool // The call counts as begun for the usage.
	first    bool // The attempt has given its first token.
	sent     time.Time
	last     time.Time // last event of the attempt
	resume   string
	version  versionKey
}

const (
	// mostRefusals bounds the upstreams that may turn one call away.
	mostRefusals = 3
	// noUpstreamRetry is the advised wait where no upstream is known.
	noUpstreamRetry = time.Second
	// shortestRetry is the least wait that a caller is told.
	shortestRetry = 100 * time.Millisecond
	// notReadyRetry is the advised wait from a gateway that does not know the configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// deadlineReserve is the time before a deadline in which nothing is started any more.
	deadlineReserve = 30 * time.Millisecond
)

// arrived decides whether a call is sent on, and where.
func (s *State) arrived(c *Call) []Effect {
	if s.catalogue == nil || !s.listed {
		return s.refuse(c, nil, rail.KindNotReady, notReadyRetry)
	}
	route := s.catalogue.route(c.message.host, c.path)
	if route == nil {
		return s.refuse(c, nil, rail.KindUnknownRoute, 0)
	}
	var team *Team
	if len(s.catalogue.teams) > 0 {
		team = s.catalogue.team(c.key)
		if team == nil && !route.public {
			return s.refuse(c, nil, rail.KindUnknownTeam, 0)
		}
	}
	if team != nil {
		s.arrivals.add(team.name)
	}
	p := &progress{route: route, team: team, deadline: c.deadline, tried: map[*target]bool{}, resume: c.resume}
	if limit := c.arrived.Add(route.timeout); route.timeout > 0 && limit.Before(p.deadline) {
		p.deadline = limit
	}
	if team != nil && team.rate > 0 {
		p.cost = team.cost(c)
		if ok, wait := s.admit(team, p.cost); !ok {
			return s.refuse(c, p, rail.KindLimited, wait)
		}
	}
	s.demand += c.prompt
	p.service = s.backend(route, c)
	t, wait := s.place(c, p)
	if t == nil {
		s.refund(p)
		return s.refuse(c, p, rail.KindNoUpstream, noUpstreamRetry)
	}
	if left := p.deadline.Sub(s.now); wait > left {
		s.refund(p)
		return s.refuse(c, p, rail.KindOverloaded, wait-left)
	}
	s.calls[c] = p
	s.budget(p.service.name).first(s.steady())
	return s.send(c, p, t, wait)
}

// admit takes the cost from the team's limit and reports whether there was room; otherwise it returns how long until there is.
func (s *State) admit(t *Team, cost float64) (bool, time.Duration) {
	return s.quota(t).take(cost, s.share)
}

func (s *State) refund(p *progress) {
	if p.cost > 0 {
		s.quota(p.team).refund(p.cost)
	}
}

// backend returns the service that the call's id draws by the weights of the route; one without upstreams is passed over.
func (s *State) backend(route *Route, c *Call) *Service {
	total := 0
	for _, b := range route.backends {
		total += b.weight
	}
	if total <= 0 {
		return &Service{}
	}
	n := int(rank(c.id, route.name) % uint64(total)) //nolint:gosec // Weights are small.
	for _, b := range route.backends {
		if n -= b.weight; n < 0 {
			if service := s.catalogue.services[b.service]; service != nil {
				return service
			}
			return &Service{name: b.service}
		}
	}
	return &Service{}
}

// place chooses an upstream for the next attempt; those that were tried come last.
func (s *State) place(c *Call, p *progress) (*target, time.Duration) {
	pl := placement{service: p.service, domain: s.settings.domain, goal: p.route.goal, now: s.now}
	group := s.roster.group(p.service.name)
	version := s.versionFor(p.service.name, c)
	for _, allow := range []func(*target) bool{
		func(t *target) bool {
			return !t.leaving && t.health.open(s.now) && !s.cut(t.domain) && !p.tried[t] && version.allows(t)
		},
		func(t *target) bool { return !t.leaving && !p.tried[t] && version.allows(t) },
		func(t *target) bool { return !t.leaving && !p.tried[t] && version.mayUse(t) },
	} {
		if t, wait := pl.choose(c, group, allow); t != nil {
			return t, wait
		}
	}
	return nil, 0
}

// send gives the call to the upstream.
func (s *State) send(c *Call, p *progress, t *target, wait time.Duration) []Effect {
	p.number++
	p.target, p.first, p.sent, p.last = t, false, s.now, s.now
	p.tried[t] = true
	p.load = Load{running: 1, waitingTokens: max(0, c.prompt-t.cache.hit(c.parts, s.now)), heldTokens: c.prompt + c.output/2}
	t.own.add(p.load)
	fetch := ""
	pl := placement{service: p.service, now: s.now}
	if source := pl.source(c, t, s.roster.group(p.service.name)); source != nil {
		fetch = source.address
	}
	t.cache.add(c.parts, s.now)
	s.followVersion(p, t)
	return []Effect{
		report(rail.EventAttemptSent, NewField("request", c.id), NewField("attempt", p.number), NewField("route", p.route.name), NewField("team", p.teamName()),
			NewField("upstream", t.id), NewField("domain", t.domain), NewField("running", t.own.running+t.peers.running), NewField("waitMs", wait.Milliseconds()),
			NewField("failing", t.health.share(s.now)), NewField("config", s.catalogue.version), NewField("leftMs", p.deadline.Sub(s.now).Milliseconds()), NewField("resume", p.resume), NewField("fetch", fetch)),
		Send{
			call: c, upstream: t.Upstream, route: p.route, team: p.teamName(), number: p.number, rank: p.rank(), resume: p.resume, deadline: p.deadline,
			fetch: fetch, maxConns: s.connections(p.service), patience: s.patience(p, wait),
		},
	}
}

func (p *progress) teamName() string {
	if p.team == nil {
		return ""
	}
	return p.team.name
}

const (
	// teamRankStep is what a team's rank weighs beside a route's.
	teamRankStep = 3
	lowestRank   = 9
)

// rank returns the urgency: the team's rank goes before the route's.
func (p *progress) rank() int {
	r := p.route.rank
	if p.team != nil {
		r += teamRankStep * p.team.rank
	}
	return min(r, lowestRank)
}

// connections returns this gateway's part of the connections that an upstream takes.
func (s *State) connections(service *Service) int {
	if service.maxConns <= 0 {
		return 0
	}
	return max(2, service.maxConns/s.gateways())
}

// patience returns how long an attempt may stay without an answer while the call could go elsewhere.
func (s *State) patience(p *progress, wait time.Duration) time.Duration {
	if p.runs+1 >= p.route.attempts {
		return 0 // The call could not go elsewhere.
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
	return max(lookupPatience*p.route.goal/10, wait+p.route.goal/2)
}

// lookupPatience is the tenths of its goal that a repeatable request waits at one upstream.
const lookupPatience = 8

// began notes the first token, or the answer, of an attempt.
func (s *State) began(c *Call) {
	p, ok := s.calls[c]
	if !ok {
		return
	}
	p.last = s.now
	if !p.first {
		p.first = true
		s.noteReach(p.target, rail.KindNone, false)
		waiting := Load{waitingTokens: p.load.waitingTokens}
		p.load.waitingTokens = 0
		p.target.own.subtract(waiting)
	}
	s.countBegan(p)
}

func (s *State) progressed(c *Call) {
	if p, ok := s.calls[c]; ok {
		p.last = s.now
	}
}

// gone ends a call whose caller left.
func (s *State) gone(c *Call) []Effect {
	p, ok := s.calls[c]
	if !ok {
		return nil
	}
	s.release(p)
	delete(s.calls, c)
	return []Effect{report(rail.EventCallerDisconnected, NewField("request", c.id), NewField("upstream", p.target.id), NewField("tookMs", s.now.Sub(c.arrived).Milliseconds()))}
}

// release takes the attempt out of the upstream's load.
func (s *State) release(p *progress) {
	p.target.own.subtract(p.load)
	p.load = Load{}
}

// attemptEnded decides what comes after an attempt.
func (s *State) attemptEnded(c *Call, o Outcome) []Effect {
	p, ok := s.calls[c]
	if !ok {
		return nil
	}
	t := p.target
	s.release(p)
	s.noteOutcome(p, o)
	if o.kind == rail.KindNone {
		if !p.route.streaming {
			s.countBegan(p)
		}
		return s.finish(c, p, o, "served")
	}
	var effects []Effect
	effects = append(effects, report(rail.EventAttemptEnded, NewField("request", c.id), NewField("attempt", p.number), NewField("upstream", t.id),
		NewField("kind", string(o.kind)), NewField("status", o.status), NewField("events", o.events), NewField("last", o.last),
		NewField("tookMs", s.now.Sub(p.sent).Milliseconds()), ErrorField(o.err)))
	if o.last != "" {
		p.resume = o.last
	}
	notRun := o.kind.Reply().Run() == rail.NotRun
	if notRun {
		p.refusals++
		if o.kind == rail.KindUpstreamReplaced {
			effects = append(effects, s.roster.leave(t.id, "upstream")...)
		}
	} else {
		p.runs++
		if !p.route.streaming {
			s.countBegan(p)
		}
	}
	if s.mayRepeat(p, notRun) && s.now.Add(deadlineReserve).Before(p.deadline) {
		if next, wait := s.place(c, p); next != nil && (o.kind == rail.KindUpstreamUnreachable || s.spend(p)) {
			return append(effects, s.send(c, p, next, wait)...)
		}
	}
	if o.answered {
		return append(append(effects, s.finish(c, p, o, "failed upstream")...), Deliver{call: c})
	}
	kind := o.kind
	if p.runs > 0 && kind.Reply().Run() == rail.NotRun {
		kind = rail.KindUpstreamFailed // An earlier attempt may have run.
	}
	delete(s.calls, c)
	if p.runs == 0 {
		s.refund(p)
	}
	return append(effects, s.refuse(c, p, kind, noUpstreamRetry/2)...)
}

// countBegan counts the call for the usage of its team, once.
func (s *State) countBegan(p *progress) {
	if !p.began {
		p.began = true
		if p.team != nil {
			s.usage.count(s.window(), p.team.name, 1)
		}
	}
}

// mayRepeat reports whether the kind of request allows one more attempt.
func (s *State) mayRepeat(p *progress, notRun bool) bool {
	if notRun {
		return p.refusals < mostRefusals && p.runs < p.route.attempts
	}
	repeatable := p.route.repeat == Repeatable || p.route.mayResume()
	return repeatable && p.runs < p.route.attempts
}

func (s *State) spend(p *progress) bool {
	return s.budget(p.service.name).spend(s.steady(), s.settings.retryRatio, s.settings.retryExtra/float64(s.gateways()))
}

func (s *State) noteOutcome(p *progress, o Outcome) {
	kind := o.kind
	if o.answered && o.status < firstServerError {
		kind = rail.KindNone
	}
	p.target.health.note(kind, s.now)
	s.noteReach(p.target, kind, o.timedOut)
	s.noteVersion(p, kind)
}

// firstServerError is the lowest status by which an upstream says that it failed.
const firstServerError = 500

// finish ends a call that got an upstream's answer.
func (s *State) finish(c *Call, p *progress, o Outcome, outcome string) []Effect {
	delete(s.calls, c)
	return []Effect{report(rail.EventRequestServed, NewField("request", c.id), NewField("outcome", outcome), NewField("status", o.status), NewField("attempts", p.number),
		NewField("upstream", p.target.id), NewField("route", p.route.name), NewField("team", p.teamName()), NewField("events", o.events),
		NewField("tookMs", s.now.Sub(c.arrived).Milliseconds()))}
}

// refuse answers a call with an error of the closed list.
func (s *State) refuse(c *Call, p *progress, kind rail.Kind, wait time.Duration) []Effect {
	fields := []Field{NewField("request", c.id), NewField("kind", string(kind)), NewField("retryMs", wait.Milliseconds()), NewField("tookMs", s.now.Sub(c.arrived).Milliseconds())}
	if s.catalogue != nil {
		fields = append(fields, NewField("config", s.catalogue.version))
	}
	if p != nil {
		fields = append(fields, NewField("route", p.route.name), NewField("team", p.teamName()), NewField("attempts", p.number))
		if p.team != nil && kind == rail.KindLimited {
			q := s.quota(p.team)
			fields = append(fields, NewField("admitted", int64(q.total)), NewField("limit", int64(q.limit)), NewField("reserved", int64(q.reserved)), NewField("cost", int64(p.cost)))
		}
	}
	if kind.Reply().Run() == rail.NotRun && wait > 0 {
		wait = max(wait, shortestRetry)
	}
	return []Effect{report(rail.EventRequestRefused, fields...), Refuse{call: c, kind: kind, retryAfter: wait}}
}

const (
	// silence is the time without any event from an engine with several streams after which it counts as dark.
	silence = 450 * time.Millisecond
	// silentStreams is the least number of streams that tell a dark engine from a slow request.
	silentStreams = 2
)

// breakSilent aborts the attempts at engines that stopped sending on all their streams at once.
func (s *State) breakSilent() []Effect {
	type lull struct {
		streams int
		last    time.Time
	}
	lulls := map[*target]*lull{}
	for _, p := range s.calls {
		if !p.route.streaming || !p.first {
			continue
		}
		l := lulls[p.target]
		if l == nil {
			l = &lull{}
			lulls[p.target] = l
		}
		l.streams++
		if p.last.After(l.last) {
			l.last = p.last
		}
	}
	var effects []Effect
	for c, p := range s.calls {
		l := lulls[p.target]
		if l == nil || s.now.Sub(l.last) < silence || !p.route.mayResume() || p.runs+1 >= p.route.attempts {
			continue
		}
		if l.streams < silentStreams && !s.peersLost(p.target.domain) {
			continue
		}
		effects = append(effects, Abort{call: c, kind: rail.KindUpstreamSilent})
	}
	return effects
}
