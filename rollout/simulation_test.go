package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dandelionrail.org/rail"
)

// The simulation runs several entries through one rollout in simulated time. It
// has Poisson arrivals, random latencies, lost digests, network partitions,
// crashes of upstreams and one log.

const (
	oldVersion     rail.Version   = "v1"
	newVersion     rail.Version   = "v2"
	counter        rail.RouteName = "counter"
	workshop       rail.RouteName = "workshop"
	simulationTick                = 100 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// outcome is the result of a request; byFault marks a request affected by the injected fault of the new version.
type outcome struct {
	ok      bool
	byFault bool
	latency time.Duration
}

// fault changes the outcome of a request on the new version, given the time since the start, the new version's share of the traffic and a uniform random number.
type fault func(o outcome, route rail.RouteName, after time.Duration, share float64, roll float64) outcome

type testEntry struct {
	reducer     *Reducer
	domain      rail.Domain
	self        rail.Incarnation
	facts       map[rail.FactKey]rail.Fact
	keyOrder    []rail.FactKey
	publishedAt map[rail.FactKey]time.Time
	nextOffset  int
	nextTick    time.Time
	partitioned bool
	seq         uint64
}

const (
	oldUpstreams = 8
	newUpstreams = 2
	// crashEvery is the mean time between crashes of the new version's upstreams on one route.
	crashEvery = time.Minute
	listLag    = 5 * time.Second
)

type completion struct {
	at      time.Time
	entry   *testEntry
	event   Observed
	byFault bool
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// routeStats are the traffic and the observed counts of one route.
type routeStats struct {
	rate          float64
	share         float64
	affected      int
	sentNew       int
	crashes       int
	delistedAt    []time.Time
	shareAtFault  float64
	firstFaultAt  time.Time
	lastSentNewAt time.Time
}

type simulation struct {
	rng             *rand.Rand
	now             time.Time
	entries         []*testEntry
	log             []rail.Record
	logUnavailable  bool
	document        rail.Document
	fault           fault
	baseFailureRate float64
	latencySigma    float64
	lossRate        float64
	// publishInterval is the minimum interval between updates of an entry's evidence of one rollout in its digest.
	publishInterval time.Duration
	inFlight        completionHeap
	requests        int

	routes map[rail.RouteName]*routeStats
}

func newSimulation(seed uint64, entries int, deadline time.Duration, f fault) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		rng: rng, now: epoch, fault: f, baseFailureRate: 0.005 + 0.005*rng.Float64(), latencySigma: 0.4 + 0.2*rng.Float64(), lossRate: 0.2, publishInterval: 3 * time.Second,
		routes: map[rail.RouteName]*routeStats{counter: {rate: 30}, workshop: {rate: 10}},
	}
	var routes []rail.Route
	var rollouts []rail.Rollout
	for _, name := range []rail.RouteName{counter, workshop} {
		routes = append(routes, rail.NewRoute(name, rail.RouteModel, string(name), true, oldVersion))
		rollouts = append(rollouts, rail.NewRollout(name, newVersion, epoch.Add(deadline)))
	}
	sim.document = rail.NewDocument("trial", 1, nil, routes, rollouts, "")
	for i := range entries {
		sim.start(i)
	}
	return sim
}

func (sim *simulation) start(i int) *testEntry {
	domain := rail.Domain([]string{"breno", "edolo", "darfo", "sondrio"}[i%4])
	self := rail.Incarnation(fmt.Sprintf("e%d-%d", i, len(sim.entries)))
	te := &testEntry{reducer: New(Defaults(), domain, self), domain: domain, self: self, facts: map[rail.FactKey]rail.Fact{}, publishedAt: map[rail.FactKey]time.Time{}}
	sim.entries = append(sim.entries, te)
	sim.reduce(te, rail.NewDocumentInForce(sim.document))
	return te
}

// reduce passes an event to the entry's reducer and executes the effects.
func (sim *simulation) reduce(te *testEntry, e rail.Event) {
	for _, f := range te.reducer.Reduce(rail.NewInput(e, sim.now, sim.rng.Uint64())) {
		switch f := f.(type) {
		case rail.SetTimer:
			te.nextTick = sim.now.Add(f.After())
		case rail.Publish:
			sim.publish(te, f)
		case rail.Append:
			if !sim.logUnavailable && !te.partitioned {
				sim.log = append(sim.log, rail.NewRecord(rail.Offset(len(sim.log)), sim.now, f.Kind(), f.Body()))
			}
		}
	}
}

// publish writes a fact into the entry's digest; evidence is rate limited, as the digest limits its writes.
func (sim *simulation) publish(te *testEntry, f rail.Publish) {
	k := rail.NewFactKey(f.Kind(), f.Subject(), te.self)
	if f.Kind() == rail.FactEvidence && sim.now.Sub(te.publishedAt[k]) < sim.publishInterval {
		return
	}
	te.publishedAt[k] = sim.now
	te.seq++
	if te.facts[k].Value() != f.Value() {
		te.store(rail.NewFact(k, te.seq, f.Value()))
	}
}

func (sim *simulation) readLog(te *testEntry) {
	if sim.logUnavailable || te.partitioned {
		sim.reduce(te, rail.NewLogUnavailable(rail.NewError(rail.KindPlatformUnavailable, "partitioned")))
		return
	}
	records := sim.log[te.nextOffset:]
	te.nextOffset = len(sim.log)
	sim.reduce(te, rail.NewLogRead(records, 0, rail.Offset(te.nextOffset), true))
}

// store stores a fact; keyOrder makes runs deterministic.
func (te *testEntry) store(f rail.Fact) {
	if _, ok := te.facts[f.Key()]; !ok {
		te.keyOrder = append(te.keyOrder, f.Key())
	}
	te.facts[f.Key()] = f
}

// exchange merges the facts of two entries, unless they are partitioned or the message is lost.
func (sim *simulation) exchange(a, b *testEntry) {
	if a == b || a.domain != b.domain && (a.partitioned || b.partitioned) || sim.rng.Float64() < sim.lossRate {
		return
	}
	for _, pair := range [][2]*testEntry{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		var learned []rail.Fact
		for _, k := range from.keyOrder {
			if f := from.facts[k]; f.Sequence() > to.facts[k].Sequence() {
				to.store(f)
				learned = append(learned, f)
			}
		}
		if len(learned) > 0 {
			sim.reduce(to, rail.NewFactsLearned(learned))
		}
	}
}

func (sim *simulation) submit(te *testEntry, name rail.RouteName) {
	sim.requests++
	stats := sim.routes[name]
	route, _ := sim.document.Route(name)
	version := te.reducer.Pick(route, rail.RequestID(fmt.Sprintf("r%d", sim.requests)))
	o := outcome{ok: sim.rng.Float64() >= sim.baseFailureRate, latency: time.Duration(200e6 * math.Exp(sim.latencySigma*sim.rng.NormFloat64()))}
	share := 0.0
	if version == newVersion {
		share = 1
		stats.lastSentNewAt = sim.now
		stats.sentNew++
		if sim.fault != nil {
			o = sim.fault(o, name, sim.now.Sub(epoch), stats.share, sim.rng.Float64())
		}
	}
	stats.share += (share - stats.share) / 200
	e := completion{at: sim.now.Add(o.latency), entry: te, byFault: o.byFault, event: NewObserved(name, version, o.ok, o.latency)}
	e.event = e.event.WithUpstream(sim.upstream(name, version))
	heap.Push(&sim.inFlight, e)
}

// upstream returns a random upstream of the version; each crash of the new version's upstreams adds one with the next number.
func (sim *simulation) upstream(name rail.RouteName, version rail.Version) rail.InstanceID {
	if version == oldVersion {
		return rail.InstanceID(fmt.Sprintf("%s-old-%d", name, sim.rng.IntN(oldUpstreams)))
	}
	return rail.InstanceID(fmt.Sprintf("%s-new-%d", name, sim.routes[name].crashes+sim.rng.IntN(newUpstreams)))
}

// crashOldest stops the oldest upstream of the new version without notice; its requests in flight fail immediately.
func (sim *simulation) crashOldest(name rail.RouteName) {
	stats := sim.routes[name]
	crashed := rail.InstanceID(fmt.Sprintf("%s-new-%d", name, stats.crashes))
	stats.crashes++
	for i := range sim.inFlight {
		if e := &sim.inFlight[i]; e.event.upstream == crashed {
			e.at, e.byFault = sim.now, false
			e.event = NewObserved(name, newVersion, false, 0).WithUpstream(crashed)
		}
	}
	heap.Init(&sim.inFlight)
	stats.delistedAt = append(stats.delistedAt, sim.now.Add(listLag))
}

// deliverReports sends the load reports and the delayed instance list to an entry.
func (sim *simulation) deliverReports(te *testEntry) {
	var list []rail.Instance
	for _, name := range []rail.RouteName{counter, workshop} {
		stats := sim.routes[name]
		for i := range stats.crashes + newUpstreams {
			id := rail.InstanceID(fmt.Sprintf("%s-new-%d", name, i))
			if i >= stats.crashes {
				sim.reduce(te, rail.NewLoadRead(rail.NewLoad(id, 1, 0, 8, sim.now)))
			}
			if i >= stats.crashes || sim.now.Before(stats.delistedAt[i]) {
				list = append(list, rail.NewInstance(id, "breno", rail.RoleEngine, ""))
			}
		}
		for i := range oldUpstreams {
			id := rail.InstanceID(fmt.Sprintf("%s-old-%d", name, i))
			list = append(list, rail.NewInstance(id, "breno", rail.RoleEngine, ""))
		}
	}
	sim.reduce(te, rail.NewListRead(list))
}

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simulationTick)
	for _, name := range []rail.RouteName{counter, workshop} {
		for range poisson(sim.rng, sim.routes[name].rate*simulationTick.Seconds()) {
			sim.submit(sim.entries[sim.rng.IntN(len(sim.entries))], name)
		}
		if sim.rng.Float64() < simulationTick.Seconds()/crashEvery.Seconds() {
			sim.crashOldest(name)
		}
	}
	for len(sim.inFlight) > 0 && !sim.inFlight[0].at.After(sim.now) {
		e := heap.Pop(&sim.inFlight).(completion)
		if e.byFault {
			stats := sim.routes[e.event.route]
			stats.affected++
			if stats.firstFaultAt.IsZero() {
				stats.firstFaultAt, stats.shareAtFault = sim.now, stats.share
			}
		}
		sim.reduce(e.entry, e.event)
	}
	for i, te := range sim.entries {
		if !te.nextTick.After(sim.now) {
			sim.reduce(te, rail.NewTimerFired(tickTimer))
		}
		if sim.now.Sub(epoch)/simulationTick%5 == time.Duration(i%5) {
			sim.readLog(te)
		}
		if sim.now.Sub(epoch)/simulationTick%10 == time.Duration(i) {
			sim.deliverReports(te)
			sim.exchange(te, sim.entries[sim.rng.IntN(len(sim.entries))])
		}
	}
}

// run advances the simulation by d or until stop returns true.
func (sim *simulation) run(d time.Duration, stop func() bool) {
	for end := sim.now.Add(d); sim.now.Before(end) && (stop == nil || !stop()); {
		sim.step()
	}
}

// setPartitioned starts or ends a partition of a failure domain from the others and from the log.
func (sim *simulation) setPartitioned(d rail.Domain, partitioned bool) {
	for _, te := range sim.entries {
		if te.domain == d {
			te.partitioned = partitioned
		}
	}
}

// verdicts returns the number of entries by their verdict for the route.
func (sim *simulation) verdicts(name rail.RouteName) map[Outcome]int {
	found := map[Outcome]int{}
	for _, te := range sim.entries {
		for _, s := range te.reducer.Status() {
			if s.Route() == name {
				found[s.Verdict()]++
			}
		}
	}
	return found
}

// allDecided reports whether every entry holds a verdict for every route.
func (sim *simulation) allDecided() bool {
	return sim.verdicts(counter)[OutcomeNone]+sim.verdicts(workshop)[OutcomeNone] == 0
}

func poisson(rng *rand.Rand, mean float64) int {
	n, product, limit := 0, rng.Float64(), math.Exp(-mean)
	for product > limit {
		n++
		product *= rng.Float64()
	}
	return n
}
