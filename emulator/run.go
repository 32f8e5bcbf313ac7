package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/upstream"
)

const (
	routeName rail.RouteName = "drafting"
	model                    = "tin-writer"
	version   rail.Version   = "v1"
	// noticePeriod is the time between a reclaim notice and the reclaim.
	noticePeriod = 5 * time.Second
	// dispatchRetryDelay is how long an entry waits before it tries again to find an upstream.
	dispatchRetryDelay = 100 * time.Millisecond
)

// startTime is the simulated time at which each run starts.
var startTime = time.Unix(1_800_000_000, 0)

// ChooserFactory returns the chooser of an entry in the domain and the reducer that gets the entry's events, nil for none.
type ChooserFactory func(domain rail.Domain) (rail.Chooser, rail.Reducer)

// entry is one emulated entry.
type entry struct {
	domain  rail.Domain
	chooser rail.Chooser
	reducer rail.Reducer
}

// simulation is the state of one run.
type simulation struct {
	settings   Settings
	rng        *rand.Rand
	now        time.Duration
	queue      queue
	sequence   int
	engines    []*engine
	entries    []*entry
	candidates []rail.Instance
	route      rail.Route
	result     *Result
}

// Run replays the trace against emulated engines; each entry has a chooser of its own.
func Run(trace Trace, newChooser ChooserFactory, s Settings) Result {
	sim := &simulation{
		settings: s, rng: rand.New(rand.NewPCG(s.seed, 11)), result: newResult(s),
		route: rail.NewRoute(routeName, rail.RouteModel, model, true, version),
	}
	for i := range s.entries {
		domain := s.domains[i%len(s.domains)]
		chooser, reducer := newChooser(domain)
		sim.entries = append(sim.entries, &entry{domain: domain, chooser: chooser, reducer: reducer})
	}
	for i := range s.workers {
		sim.engines = append(sim.engines, sim.newEngine(i))
	}
	sim.updateCandidates()
	for i := range trace.arrivals {
		a := &trace.arrivals[i]
		sim.schedule(a.at, func() { sim.arrive(a) })
	}
	sim.schedule(0, sim.reportLoads)
	if s.reclaimAt > 0 {
		sim.schedule(s.reclaimAt, func() { sim.startReclaim(s.domains[1]) })
	}
	for len(sim.queue) > 0 {
		t := heap.Pop(&sim.queue).(task)
		sim.now = t.at
		t.run()
	}
	return *sim.result
}

func (sim *simulation) newEngine(i int) *engine {
	s := sim.settings
	id := rail.InstanceID(fmt.Sprintf("m%03d", i))
	instance := rail.NewInstance(id, s.domains[i%len(s.domains)], rail.RoleEngine, "").WithServing(model, version)
	speed := 1.0
	if i%s.onDemandEvery == 0 {
		speed = s.onDemandSpeedup
	} else {
		instance = instance.WithClass(rail.ClassReclaimable)
	}
	return &engine{instance: instance, speed: speed, slots: s.slots, running: map[*attempt]bool{}, cache: newCache(s.cacheTokens / blockTokens)}
}

// updateCandidates rebuilds the list of instances that choosers choose from.
func (sim *simulation) updateCandidates() {
	sim.candidates = nil
	for _, e := range sim.engines {
		if !e.removed && !e.instance.Leaving() {
			sim.candidates = append(sim.candidates, e.instance)
		}
	}
}

// startReclaim gives notice to the engines of a domain. They are reclaimed at the end of the notice and replaced later by engines with empty caches.
func (sim *simulation) startReclaim(domain rail.Domain) {
	for _, e := range sim.engines {
		if e.instance.Domain() == domain {
			e.instance = e.instance.WithLeaving()
		}
	}
	sim.updateCandidates()
	sim.scheduleAfter(noticePeriod, func() { sim.finishReclaim(domain) })
	sim.scheduleAfter(sim.settings.reclaimLength, func() {
		for i, e := range sim.engines {
			if e.instance.Domain() == domain {
				sim.engines[i] = sim.newEngine(i)
			}
		}
		sim.updateCandidates()
	})
}

func (sim *simulation) arrive(a *Arrival) {
	prefixes := upstream.PrefixHashes(a.request.Prompt(), maxPrefixBlocks)
	tokens := countWords(a.request.Prompt())
	sim.dispatch(&attempt{arrival: a, entry: sim.entries[a.entry], prefixes: prefixes, promptTokens: tokens})
}

func (sim *simulation) dispatch(a *attempt) {
	criteria := rail.NewCriteria(a.arrival.request, sim.route, version, a.entry.domain)
	chosen, ok := a.entry.chooser.Choose(criteria, sim.candidates, sim.rng.Uint64())
	if !ok {
		sim.scheduleAfter(dispatchRetryDelay, func() { sim.dispatch(a) })
		return
	}
	a.engine = sim.engineByID(chosen.ID())
	sim.reduce(a.entry, upstream.NewSent(a.arrival.request, chosen.ID()))
	sim.scheduleAfter(sim.networkDelay(a), func() { sim.accept(a.engine, a) })
}

// redispatch dispatches an attempt of a reclaimed engine again, with the tokens delivered so far.
func (sim *simulation) redispatch(a *attempt) {
	sim.reduce(a.entry, upstream.NewEnded(a.arrival.request, a.engine.instance.ID()))
	sim.result.resumed++
	sim.dispatch(&attempt{arrival: a.arrival, entry: a.entry, prefixes: a.prefixes, promptTokens: a.promptTokens, delivered: a.delivered, firstTokenSent: a.firstTokenSent})
}

func (sim *simulation) recordFirstToken(a *attempt) {
	sim.result.recordFirstToken(sim.now + sim.networkDelay(a) - a.arrival.at)
}

func (sim *simulation) completeRequest(a *attempt) {
	sim.result.completed++
	sim.reduce(a.entry, upstream.NewEnded(a.arrival.request, a.engine.instance.ID()))
}

// reportLoads delivers the load reports of all engines to the entries after the lag.
func (sim *simulation) reportLoads() {
	if sim.now > sim.settings.length {
		return
	}
	for _, e := range sim.engines {
		if e.removed {
			continue
		}
		load := rail.NewLoadRead(sim.loadReport(e))
		sim.scheduleAfter(sim.settings.reportLag, func() {
			for _, n := range sim.entries {
				sim.reduce(n, load)
			}
		})
	}
	sim.scheduleAfter(sim.settings.reportInterval, sim.reportLoads)
}

func (sim *simulation) reduce(n *entry, e rail.Event) {
	if n.reducer != nil {
		n.reducer.Reduce(rail.NewInput(e, startTime.Add(sim.now), sim.rng.Uint64()))
	}
}

// networkDelay returns the one-way latency between the attempt's entry and its engine.
func (sim *simulation) networkDelay(a *attempt) time.Duration {
	if a.entry.domain == a.engine.instance.Domain() {
		return 0
	}
	return sim.settings.oneWayLatency
}

func (sim *simulation) engineByID(id rail.InstanceID) *engine {
	for _, e := range sim.engines {
		if e.instance.ID() == id {
			return e
		}
	}
	return nil
}

// runningByArrival returns the running attempts in order of arrival.
func (sim *simulation) runningByArrival(e *engine) []*attempt {
	var as []*attempt
	for a := range e.running {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return cmp.Compare(a.arrival.at, b.arrival.at) })
	return as
}

func countWords(text string) int {
	n, in := 0, false
	for i := range len(text) {
		if text[i] == ' ' {
			in = false
		} else if !in {
			in = true
			n++
		}
	}
	return n
}
