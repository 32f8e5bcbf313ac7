package gateway

import (
	"maps"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/estimate"
	"dandelionrail.org/rail/gen/railv1"
)

// Load is the requests and tokens that a gateway has in flight at one upstream.
type Load struct {
	running int
	// waitingTokens is the number of prompt tokens of requests without a first token.
	waitingTokens int64
	// waitingBy are those tokens by priority, as far as it is known: peers of an older build do not report it.
	waitingBy [lowestPriority + 1]int64
	// heldTokens is the number of tokens of all requests.
	heldTokens int64
}

func (l *Load) add(o Load) {
	l.running += o.running
	l.waitingTokens += o.waitingTokens
	for i, n := range o.waitingBy {
		l.waitingBy[i] += n
	}
	l.heldTokens += o.heldTokens
}

func (l *Load) subtract(o Load) {
	for i := range o.waitingBy {
		o.waitingBy[i] = -o.waitingBy[i]
	}
	l.add(Load{running: -o.running, waitingTokens: -o.waitingTokens, waitingBy: o.waitingBy, heldTokens: -o.heldTokens})
}

// waitingBefore returns the waiting tokens that an upstream processes before those of a new request with the priority. Tokens of which the
// priority is not known count among them.
func (l *Load) waitingBefore(priority int) int64 {
	before := l.waitingTokens
	for _, n := range l.waitingBy[priority+1:] {
		before -= n
	}
	return max(0, before)
}

// waitingMessage returns the waiting tokens by priority as a protobuf message, nil if there are none.
func (l *Load) waitingMessage(upstream string) *railv1.WaitingPrompts {
	n := len(l.waitingBy)
	for n > 0 && l.waitingBy[n-1] <= 0 {
		n--
	}
	if n == 0 {
		return nil
	}
	return &railv1.WaitingPrompts{Upstream: upstream, Tokens: slices.Clone(l.waitingBy[:n])}
}

// versionKey identifies a version of a service during an order.
type versionKey struct {
	service, version string
	order            OrderID
}

// tally counts the outcomes of requests sent to a version. Those that broke off are not among the bad ones: the end of one upstream
// breaks off all that it has in progress.
type tally struct{ good, bad, brokenOff int64 }

func (t *tally) add(o tally) {
	t.good += o.good
	t.bad += o.bad
	t.brokenOff += o.brokenOff
}

// withBrokenOff returns the tally with the requests that broke off among the bad ones.
func (t tally) withBrokenOff() tally { return tally{good: t.good, bad: t.bad + t.brokenOff} }

// usage counts the requests that started, by window and team.
type usage map[int64]map[string]int64

func (u usage) count(window int64, team string, n int64) {
	if u[window] == nil {
		u[window] = map[string]int64{}
	}
	u[window][team] += n
}

func (u usage) add(o usage) {
	for w, counts := range o {
		for team, n := range counts {
			u.count(w, team, n)
		}
	}
}

// Digest is the state that a gateway announces, aggregated with that of its cell's members if it leads them. Counters
// start at zero with each start of a gateway.
type Digest struct {
	gateway     string
	incarnation string
	// sequence increases with each digest of an incarnation: a partition may delay a digest until after later ones.
	sequence         int64
	wall             time.Time
	storeUnavailable bool
	loads            map[string]Load
	// admitted is the amount admitted in the last window, by team.
	admitted map[string]buckets
	// recentRate and baselineRate are the arrival rates in requests a second, without the team whose rate grew most.
	recentRate, baselineRate float64
	usage                    usage
	leaving                  []upstreamStart
	// ends are the starts of upstreams that were seen to have ended lately, and when.
	ends     map[upstreamStart]time.Time
	versions map[versionKey]tally
	// speeds are those of the versions of services with a rollout.
	speeds map[speedKey]speed
	// rates are the recent observations of how fast upstreams work.
	rates map[rateKey]estimate.Histogram
	// verdicts are the rollouts that have ended, as far as the gateway knows.
	verdicts verdicts
	// suspects are the prompt parts that may make engines crash, as far as the gateway knows.
	suspects map[string]suspect
	// limits are the request limits that upstreams named, by upstream.
	limits map[string]limitNews
	// partitions are the names of the gateways that cannot reach the upstreams of a service, by service.
	partitions map[string][]string
	demand     int64
	// work is the work that the arriving requests ask of the engines, by service; workCovers is the number of gateways whose work it is.
	work       map[string]work
	workCovers int
	// domains are the failure domains of the gateways that the digest covers.
	domains []string
	// members are this gateway and those that it leads and received digests from recently; covers is the number of gateways that the digest covers.
	members []string
	covers  int
	// full reports whether the digest covers all gateways except its recipient.
	full bool
	// notReady reports whether the gateway has not read the configuration and the upstreams yet, or is shutting down.
	notReady bool
	// fence is the fencing number of the duty lease if the gateway holds it, zero otherwise.
	fence int64
}

// merge adds the peer's last digest, as far as it is recent enough at its age.
func (d *Digest) merge(p *peer, age time.Duration) {
	d.usage.add(p.digest.usage)
	d.usage.add(p.pastUsage)
	for k, t := range p.digest.versions {
		sum := d.versions[k]
		sum.add(t)
		d.versions[k] = sum
	}
	for k, v := range p.digest.speeds {
		sum := d.speeds[k]
		sum.add(v)
		d.speeds[k] = sum
	}
	d.verdicts.addIdentified(p.digest.verdicts)
	d.demand += p.digest.demand
	if age < maxLoadAge {
		for id, l := range p.digest.loads {
			sum := d.loads[id]
			sum.add(l)
			d.loads[id] = sum
		}
	}
	if age < peerTimeout {
		d.fence = max(d.fence, p.digest.fence)
		addRates(d.rates, p.digest.rates)
	}
	if age >= reserveTimeout {
		return
	}
	d.covers += p.digest.covers
	mergePartitions(d.partitions, p.digest.partitions)
	d.recentRate, d.baselineRate = d.recentRate+p.digest.recentRate, d.baselineRate+p.digest.baselineRate
	d.workCovers += p.digest.workCovers
	mergeWork(d.work, p.digest.work)
	for _, domain := range p.digest.domains {
		if !slices.Contains(d.domains, domain) {
			d.domains = append(d.domains, domain)
		}
	}
}

// Gateway returns the name of the gateway that sent the digest.
func (d Digest) Gateway() string { return d.gateway }

// StoreUnavailable reports whether the gateway cannot read the store.
func (d Digest) StoreUnavailable() bool { return d.storeUnavailable }

// Fence returns the fencing number of the duty lease if the gateway holds it, zero otherwise.
func (d Digest) Fence() int64 { return d.fence }

// Message returns the digest as a protobuf message.
func (d Digest) Message() *railv1.GatewayDigest {
	m := &railv1.GatewayDigest{
		Gateway: d.gateway, Incarnation: d.incarnation, Sequence: d.sequence, WallMs: d.wall.UnixMilli(), StoreAway: d.storeUnavailable,
		DemandTokens: d.demand, LatestArrivals: d.recentRate, UsualArrivals: d.baselineRate, Domains: d.domains, Members: d.members, Covers: int32(d.covers), WorkCovers: int32(d.workCovers), Whole: d.full, Idle: d.notReady, Fence: d.fence,
	}
	for _, start := range d.leaving {
		m.LeavingStarts = append(m.LeavingStarts, &railv1.UpstreamStart{Upstream: start.id, StartedAtMs: start.startedAtMs})
	}
	for start, at := range d.ends {
		m.Ends = append(m.Ends, &railv1.UpstreamEnd{Upstream: start.id, StartedAtMs: start.startedAtMs, AtMs: at.UnixMilli()})
	}
	for team, b := range d.admitted {
		admitted := &railv1.AdmittedTokens{Team: team}
		for _, n := range b {
			admitted.Parts = append(admitted.Parts, int64(n))
		}
		m.Admitted = append(m.Admitted, admitted)
	}
	for id, l := range d.loads {
		m.Loads = append(m.Loads, &railv1.UpstreamLoad{Upstream: id, Running: int32(l.running), WaitingTokens: l.waitingTokens, HeldTokens: l.heldTokens}) //nolint:gosec // Bounded by the number of connections.
		if waiting := l.waitingMessage(id); waiting != nil {
			m.WaitingPrompts = append(m.WaitingPrompts, waiting)
		}
	}
	for n, counts := range d.usage {
		m.Usage = append(m.Usage, &railv1.UsageWindow{Number: n, Counts: counts})
	}
	for _, k := range slices.SortedFunc(maps.Keys(d.versions), func(a, b versionKey) int { return a.order.compare(b.order) }) {
		t := d.versions[k] // Older gateways keep the last one of a version.
		m.Versions = append(m.Versions, &railv1.VersionTally{Service: k.service, Version: k.version, Good: t.good, Bad: t.bad, BrokenOff: t.brokenOff, Order: k.order.message()})
	}
	for k, v := range d.speeds {
		m.Speeds = append(m.Speeds, &railv1.VersionSpeed{Service: k.service, Version: k.version, Route: string(k.route), Count: v.count, Sum: v.sum, Squares: v.squares, Order: k.order.message()})
	}
	for k, state := range d.verdicts {
		m.Verdicts = append(m.Verdicts, &railv1.RolloutVerdict{Service: k.service, Version: k.version, Done: state == RolloutDone, Order: k.order.message()})
	}
	for id, n := range d.limits {
		m.Limits = append(m.Limits, &railv1.UpstreamLimit{Upstream: id, StartedAtMs: n.startedAtMs, Named: n.named, PerSecond: n.perSecond, AtMs: n.at.UnixMilli()})
	}
	for service, names := range d.partitions {
		m.Partitions = append(m.Partitions, &railv1.ServicePartition{Service: service, Gateways: names})
	}
	for service, w := range d.work {
		m.Work = append(m.Work, &railv1.ServiceWork{Service: service, Prompt: w.prompt, PromptSquares: w.promptSquares, Output: w.output})
	}
	for k, h := range d.rates {
		first, counts := h.Bins()
		m.Rates = append(m.Rates, &railv1.UpstreamRate{Upstream: k.id, StartedAtMs: k.startedAtMs, Service: k.service, First: int32(first), Counts: counts}) //nolint:gosec // The number of bins is small.
	}
	for key, x := range d.suspects {
		m.Suspects = append(m.Suspects, x.message(key))
	}
	return m
}

// DigestFrom returns the digest in a peer's message.
func DigestFrom(m *railv1.GatewayDigest) Digest {
	d := Digest{
		gateway: m.GetGateway(), incarnation: m.GetIncarnation(), sequence: m.GetSequence(), wall: time.UnixMilli(m.GetWallMs()), storeUnavailable: m.GetStoreAway(),
		loads: make(map[string]Load, len(m.GetLoads())), admitted: make(map[string]buckets, len(m.GetAdmitted())), usage: usage{}, ends: make(map[upstreamStart]time.Time, len(m.GetEnds())),
		rates: make(map[rateKey]estimate.Histogram, len(m.GetRates())), versions: map[versionKey]tally{}, speeds: make(map[speedKey]speed, len(m.GetSpeeds())), verdicts: verdicts{}, suspects: make(map[string]suspect, len(m.GetSuspects())), partitions: make(map[string][]string, len(m.GetPartitions())), limits: make(map[string]limitNews, len(m.GetLimits())), demand: m.GetDemandTokens(), work: make(map[string]work, len(m.GetWork())), workCovers: int(m.GetWorkCovers()), recentRate: m.GetLatestArrivals(), baselineRate: m.GetUsualArrivals(), domains: m.GetDomains(), members: m.GetMembers(), covers: int(m.GetCovers()), full: m.GetWhole(), notReady: m.GetIdle(), fence: m.GetFence(),
	}
	for _, x := range m.GetLeavingStarts() {
		d.leaving = append(d.leaving, upstreamStart{x.GetUpstream(), x.GetStartedAtMs()})
	}
	for _, x := range m.GetEnds() {
		d.ends[upstreamStart{x.GetUpstream(), x.GetStartedAtMs()}] = time.UnixMilli(x.GetAtMs())
	}
	for _, a := range m.GetAdmitted() {
		var b buckets
		for i, n := range a.GetParts() {
			if i < len(b) {
				b[i] = float64(n)
			}
		}
		d.admitted[a.GetTeam()] = b
	}
	for _, l := range m.GetLoads() {
		d.loads[l.GetUpstream()] = Load{running: int(l.GetRunning()), waitingTokens: l.GetWaitingTokens(), heldTokens: l.GetHeldTokens()}
	}
	for _, w := range m.GetWaitingPrompts() {
		if l, ok := d.loads[w.GetUpstream()]; ok {
			copy(l.waitingBy[:], w.GetTokens())
			d.loads[w.GetUpstream()] = l
		}
	}
	for _, w := range m.GetUsage() {
		d.usage[w.GetNumber()] = w.GetCounts()
	}
	for _, v := range m.GetVerdicts() {
		state := RolloutRolledBack
		if v.GetDone() {
			state = RolloutDone
		}
		d.verdicts.add(versionKey{v.GetService(), v.GetVersion(), orderIDFrom(v.GetOrder())}, state)
	}
	for _, x := range m.GetSpeeds() {
		d.speeds[speedKey{versionKey{x.GetService(), x.GetVersion(), orderIDFrom(x.GetOrder())}, rail.RouteName(x.GetRoute())}] = speed{count: x.GetCount(), sum: x.GetSum(), squares: x.GetSquares()}
	}
	for _, x := range m.GetLimits() {
		limit := RequestLimit{perSecond: x.GetPerSecond(), named: x.GetNamed()}
		d.limits[x.GetUpstream()] = limitNews{RequestLimit: limit, startedAtMs: x.GetStartedAtMs(), at: time.UnixMilli(x.GetAtMs())}
	}
	for _, x := range m.GetPartitions() {
		d.partitions[x.GetService()] = x.GetGateways()
	}
	for _, x := range m.GetWork() {
		d.work[x.GetService()] = work{prompt: x.GetPrompt(), promptSquares: x.GetPromptSquares(), output: x.GetOutput()}
	}
	for _, x := range m.GetRates() {
		key := rateKey{upstreamStart{x.GetUpstream(), x.GetStartedAtMs()}, x.GetService()}
		d.rates[key] = estimate.HistogramFrom(int(x.GetFirst()), x.GetCounts())
	}
	for _, x := range m.GetSuspects() {
		d.suspects[x.GetPart()] = suspectFrom(x)
	}
	for _, t := range m.GetVersions() {
		d.versions[versionKey{t.GetService(), t.GetVersion(), orderIDFrom(t.GetOrder())}] = tally{good: t.GetGood(), bad: t.GetBad(), brokenOff: t.GetBrokenOff()}
	}
	return d
}

// message returns the id as a protobuf message, nil if it is not known.
func (id OrderID) message() *railv1.RolloutOrderID {
	if !id.Known() {
		return nil
	}
	return &railv1.RolloutOrderID{Era: id.era, Number: id.number}
}

func orderIDFrom(m *railv1.RolloutOrderID) OrderID {
	return OrderID{era: m.GetEra(), number: m.GetNumber()}
}
