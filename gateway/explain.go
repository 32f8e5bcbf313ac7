package gateway

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// ExplainQuery describes a request whose placement is to be explained.
type ExplainQuery struct {
	id, host, path, team string
	prompt, output       int64
	sized                bool
	parts                []PromptPart
	timeout              time.Duration
}

// NewExplainQuery returns the query for a request with the id to a path of a host; the id decides between alternatives of one cost.
func NewExplainQuery(id, host, path string) ExplainQuery {
	return ExplainQuery{id: id, host: host, path: path}
}

// WithTeam returns the query with the name of the request's team.
func (q ExplainQuery) WithTeam(name string) ExplainQuery { q.team = name; return q }

// WithTokens returns the query with the number of prompt tokens, the maximum number of output tokens and the parts of the prompt.
func (q ExplainQuery) WithTokens(prompt, output int64, parts []PromptPart) ExplainQuery {
	q.prompt, q.output, q.parts, q.sized = prompt, output, parts, true
	return q
}

// WithTimeout returns the query with how long the caller waits; without it only the route's timeout applies.
func (q ExplainQuery) WithTimeout(d time.Duration) ExplainQuery { q.timeout = d; return q }

// call returns the call that the query describes.
func (q ExplainQuery) call(now time.Time) *Call {
	timeout := q.timeout
	if timeout <= 0 {
		timeout = maxExplainTimeout
	}
	path, _, _ := strings.Cut(q.path, "?")
	c := NewCall(q.id, path, "", NewMessage("", q.path, q.host, nil, nil), now, now.Add(timeout)).WithParts(q.parts)
	if q.sized {
		c = c.WithTokens(q.prompt, q.output, q.parts)
	}
	return c
}

// maxExplainTimeout is the time that a caller is assumed to wait if the query states none.
const maxExplainTimeout = time.Hour

// Explanation is what would become of a request now, and why.
type Explanation struct{ data explanation }

// explanation is the encoded form of an Explanation.
type explanation struct {
	Gateway    string               `json:"gateway"`
	Domain     string               `json:"domain"`
	Config     int64                `json:"config"`
	Route      string               `json:"route,omitempty"`
	Team       string               `json:"team,omitempty"`
	Priority   int                  `json:"priority"`
	Limit      *explainedLimit      `json:"limit,omitempty"`
	Service    string               `json:"service,omitempty"`
	Evacuated  []string             `json:"evacuated,omitempty"`
	Candidates []explainedCandidate `json:"candidates,omitempty"`
	Verdict    string               `json:"verdict"`
	Upstream   string               `json:"upstream,omitempty"`
	Peer       string               `json:"peer,omitempty"`
	Kind       rail.Kind            `json:"kind,omitempty"`
	WaitMs     int64                `json:"waitMs"`
	// Queued is the number of requests that wait for the service in this gateway.
	Queued  int   `json:"queued,omitempty"`
	RetryMs int64 `json:"retryMs,omitempty"`
}

// explainedLimit is the use of a team's limit.
type explainedLimit struct {
	Admitted int64 `json:"admitted"`
	Limit    int64 `json:"limit"`
	Reserved int64 `json:"reserved"`
	Cost     int64 `json:"cost"`
}

// explainedCandidate is an upstream with what decides whether it is chosen.
type explainedCandidate struct {
	Upstream string `json:"upstream"`
	Domain   string `json:"domain"`
	// Tier is the first tier in which it may be chosen, empty if there is none.
	Tier string `json:"tier,omitempty"`
	// Unmet are the conditions that keep it from the tier preferred.
	Unmet           []string `json:"unmet,omitempty"`
	Running         int      `json:"running"`
	Slots           int      `json:"slots"`
	WaitingTokens   int64    `json:"waitingTokens"`
	CachedTokens    int64    `json:"cachedTokens"`
	FailureShare    float64  `json:"failureShare"`
	FirstMs         int64    `json:"firstMs"`
	CostMs          int64    `json:"costMs"`
	TokensPerSecond int64    `json:"tokensPerSecond"`
	StepUs          int64    `json:"stepUs"`
	Chosen          bool     `json:"chosen,omitempty"`
}

// Verdicts of an explanation.
const (
	verdictSend    = "send"
	verdictForward = "forward"
	verdictQueue   = "queue"
	verdictRefuse  = "refuse"
)

// tierNames are the names of the tiers in explanations.
var tierNames = map[tier]string{preferred: "preferred", anyHealth: "any health", fallback: "fallback"}

// Explain returns what would become of the request now. It uses the decisions that requests meet and changes nothing.
func (s *State) Explain(now time.Time, q ExplainQuery) Explanation {
	s.now = now
	x := explanation{Gateway: s.settings.name, Domain: s.settings.domain}
	if s.config == nil || !s.upstreamsRead {
		return x.refuse(rail.KindNotReady, notReadyRetryAfter)
	}
	x.Config = s.config.version
	c := q.call(now)
	route := s.config.route(q.host, c.path)
	if route == nil {
		return x.refuse(rail.KindUnknownRoute, 0)
	}
	x.Route = route.name
	team := s.config.teams[q.team]
	if team == nil && (q.team != "" || (len(s.config.teams) > 0 && !route.public)) {
		return x.refuse(rail.KindUnknownTeam, 0)
	}
	p := &pendingCall{route: route, team: team, tried: map[upstreamStart]bool{}}
	p.limitDeadline(c)
	x.Team, x.Priority = p.teamName(), p.priority()
	verdict := s.quarantineVerdict(c, p.teamName())
	if wait, refused := verdict.Refused(); refused {
		return x.refuse(rail.KindQuarantined, wait)
	}
	if team != nil && team.rate > 0 {
		limit := *s.quota(team) // A copy, so that nothing is charged.
		cost := team.cost(c)
		x.Limit = &explainedLimit{Admitted: int64(limit.total), Limit: int64(limit.limit), Reserved: int64(limit.reserved), Cost: int64(cost)}
		if ok, wait := limit.take(cost, s.callerShare); !ok {
			return x.refuse(rail.KindLimited, wait)
		}
	}
	p.service = s.pickService(c, p)
	x.Service, x.Evacuated = p.service.name, s.evacuations.Names()
	x.Candidates = s.explainCandidates(c, p)
	switch name, reached := s.trialPeer(p, verdict); {
	case name == "":
	case !reached:
		return x.refuse(rail.KindQuarantined, unreachedTrialRetryAfter)
	default:
		x.Verdict, x.Peer = verdictForward, name
		return Explanation{x}
	}
	if s.partitioned(p.service.name) {
		return s.explainForward(x, c, p, rail.KindNoUpstream, noUpstreamRetryAfter)
	}
	return s.explainPlacement(x, c, p)
}

func (x explanation) refuse(kind rail.Kind, wait time.Duration) Explanation {
	x.Verdict, x.Kind, x.RetryMs = verdictRefuse, kind, wait.Milliseconds()
	return Explanation{x}
}

// explainForward explains a request that this gateway cannot send to upstreams, and refuses for the kind if no peer takes it.
func (s *State) explainForward(x explanation, c *Call, p *pendingCall, kind rail.Kind, wait time.Duration) Explanation {
	peer, ok := s.choosePeer(c, p)
	if !ok {
		return x.refuse(kind, wait)
	}
	x.Verdict, x.Peer = verdictForward, peer
	return Explanation{x}
}

// explainPlacement explains the choice among the upstreams.
func (s *State) explainPlacement(x explanation, c *Call, p *pendingCall) Explanation {
	t, wait := s.chooseUpstream(c, p)
	if t == nil {
		if s.limitsNewConnections(p.service.name, c) {
			return s.explainForward(x, c, p, rail.KindOverloaded, overloadedRetryAfter)
		}
		if wait, named := s.upstreamWait(p.service.name); named {
			return x.refuse(rail.KindOverloaded, wait)
		}
		return x.refuse(rail.KindNoUpstream, noUpstreamRetryAfter)
	}
	x.WaitMs = wait.Milliseconds()
	if left := p.deadline.Sub(s.now); wait > left {
		return x.refuse(rail.KindOverloaded, wait-left)
	}
	chosen, first := s.chooseUnlessHeld(c, p, t, wait)
	if chosen == nil {
		return s.explainHold(x, c, p, t)
	}
	for i := range x.Candidates {
		x.Candidates[i].Chosen = x.Candidates[i].Upstream == chosen.id
	}
	x.Verdict, x.Upstream, x.WaitMs = verdictSend, chosen.id, first.Milliseconds()
	return Explanation{x}
}

// explainHold explains a request that would wait in the gateway, or be refused since it would not be served in time.
func (s *State) explainHold(x explanation, c *Call, p *pendingCall, t *target) Explanation {
	if s.leaving {
		return x.refuse(rail.KindLeaving, 0)
	}
	q := s.queued.ofService(p.service.name)
	r := s.admissionRequest(c, p, t)
	wait := q.queue.Wait(r, s.backlog(p.service.name, p.priority()), s.shareRate(p.service.name), s.now)
	x.WaitMs, x.Queued = wait.Milliseconds(), q.queue.Len()
	if !r.MeetsDeadline(s.now.Add(wait)) {
		return x.refuse(rail.KindOverloaded, wait)
	}
	x.Verdict = verdictQueue
	return Explanation{x}
}

// explainCandidates returns the upstreams of the request's service, those with the lowest cost first.
func (s *State) explainCandidates(c *Call, p *pendingCall) []explainedCandidate {
	pl := s.placementOf(p)
	version := s.versionRuleFor(p.service.name, c)
	targets := s.registry.ofService(p.service.name)
	shared := affinityParts(c.parts)
	favourite := pl.preferred(shared, targets, func(t *target) bool { return s.allows(t, p, version, preferred) })
	candidates := make([]explainedCandidate, 0, len(targets))
	for _, t := range targets {
		first, cost := pl.cost(c, t, shared, t == favourite)
		rates := s.rates(t)
		x := explainedCandidate{
			Upstream: t.id, Domain: t.domain, Running: t.ownLoad.running + t.peerLoad.running, Slots: t.slots,
			WaitingTokens: t.ownLoad.waitingTokens + t.peerLoad.waitingTokens, CachedTokens: t.cache.hitTokens(c.parts, s.now),
			FailureShare: t.health.decayedShare(s.now), FirstMs: first.Milliseconds(), CostMs: cost.Milliseconds(),
			TokensPerSecond: int64(rates.PromptTokensPerSecond()), StepUs: rates.Step(1).Microseconds(),
		}
		for _, rule := range conditions {
			if !rule.met(s, t, p, version) {
				x.Unmet = append(x.Unmet, rule.name)
			}
		}
		for _, at := range []tier{preferred, anyHealth, fallback} {
			if s.allows(t, p, version, at) {
				x.Tier = tierNames[at]
				break
			}
		}
		candidates = append(candidates, x)
	}
	slices.SortFunc(candidates, func(a, b explainedCandidate) int {
		return cmp.Or(cmp.Compare(a.CostMs, b.CostMs), cmp.Compare(a.Upstream, b.Upstream))
	})
	return candidates
}

// JSON returns the explanation as JSON.
func (x Explanation) JSON() ([]byte, error) {
	b, err := json.MarshalIndent(x.data, "", "  ")
	return b, errors.Wrap(err, "Explanation.JSON")
}

// ExplanationFrom returns the explanation in a gateway's answer.
func ExplanationFrom(b []byte) (Explanation, error) {
	var x Explanation
	err := json.Unmarshal(b, &x.data)
	return x, errors.Wrap(err, "ExplanationFrom")
}

// Text returns the explanation as lines for a person.
func (x Explanation) Text() string {
	var b strings.Builder
	d := x.data
	fmt.Fprintf(&b, "gateway %s in %s, configuration %d\n", d.Gateway, d.Domain, d.Config)
	if d.Route != "" {
		fmt.Fprintf(&b, "route %s, team %s, priority %d, service %s\n", d.Route, cmp.Or(d.Team, "none"), d.Priority, cmp.Or(d.Service, "not chosen"))
	}
	if l := d.Limit; l != nil {
		fmt.Fprintf(&b, "limit of the team: %d of %d used, %d reserved, this request %d\n", l.Admitted, l.Limit, l.Reserved, l.Cost)
	}
	if len(d.Evacuated) > 0 {
		fmt.Fprintf(&b, "evacuated domains: %s\n", strings.Join(d.Evacuated, ", "))
	}
	switch d.Verdict {
	case verdictSend:
		fmt.Fprintf(&b, "verdict: send to %s, expected to begin after %d ms\n", d.Upstream, d.WaitMs)
	case verdictQueue:
		fmt.Fprintf(&b, "verdict: wait in the gateway for about %d ms, behind or among %d requests\n", d.WaitMs, d.Queued)
	case verdictForward:
		fmt.Fprintf(&b, "verdict: forward to the gateway %s, since this one reaches no upstream\n", d.Peer)
	default:
		fmt.Fprintf(&b, "verdict: refuse with %s, retry after %d ms\n", d.Kind, d.RetryMs)
	}
	if len(d.Candidates) == 0 {
		return b.String()
	}
	fmt.Fprintf(&b, "%-24s %-14s %8s %8s %8s %9s %8s %9s  %s\n", "upstream", "domain", "cost ms", "first ms", "running", "waiting", "cached", "tokens/s", "state")
	for _, c := range d.Candidates {
		state := cmp.Or(c.Tier, "excluded")
		if c.Chosen {
			state = "chosen"
		}
		if len(c.Unmet) > 0 {
			state += " (" + strings.Join(c.Unmet, ", ") + ")"
		}
		fmt.Fprintf(&b, "%-24s %-14s %8d %8d %8s %9d %8d %9d  %s\n", c.Upstream, c.Domain, c.CostMs, c.FirstMs, fmt.Sprintf("%d/%d", c.Running, c.Slots), c.WaitingTokens, c.CachedTokens, c.TokensPerSecond, state)
	}
	return b.String()
}
