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
	// notice is the time between a reclaim notice and the reclaim.
	notice = 5 * time.Second
	// retryAfter is how long an entry waits while there is no upstream.
	retryAfter = 100 * time.Millisecond
)

// start is the time at which each run begins.
var start = time.Unix(1_800_000_000, 0)

// ChooserFactory makes the chooser of one entry in the domain, and the part that events are fed to, nil for none.
type ChooserFactory func(domain rail.Domain) (rail.Chooser, rail.Reducer)

// entry is one emulated entry instance.
type entry struct {
	domain  rail.Domain
	chooser rail.Chooser
	part    rail.Reducer
}

// world is one run.
type world struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	queue    queue
	serial   int
	engines  []*engine
	entries  []*entry
	live     []rail.Instance
	route    rail.Route
	result   *Result
}

// Run replays the trace against emulated engines, with a chooser for each entry.
func Run(trace Trace, maker ChooserFactory, s Settings) Result {
	w := &world{
		settings: s, rng: rand.New(rand.NewPCG(s.seed, 11)), result: newResult(s),
		route: rail.NewRoute(routeName, rail.RouteModel, model, true, version),
	}
	for i := range s.entries {
		domain := s.domains[i%len(s.domains)]
		chooser, part := maker(domain)
		w.entries = append(w.entries, &entry{domain: domain, chooser: chooser, part: part})
	}
	for i := range s.workers {
		w.engines = append(w.engines, w.newEngine(i))
	}
	w.list()
	for i := range trace.arrivals {
		a := &trace.arrivals[i]
		w.at(a.at, func() { w.arrive(a) })
	}
	w.at(0, w.report)
	if s.wave > 0 {
		w.at(s.wave, func() { w.wave(s.domains[1]) })
	}
	for len(w.queue) > 0 {
		t := heap.Pop(&w.queue).(task)
		w.now = t.at
		t.do()
	}
	return *w.result
}

func (w *world) newEngine(i int) *engine {
	s := w.settings
	id := rail.InstanceID(fmt.Sprintf("m%03d", i))
	instance := rail.NewInstance(id, s.domains[i%len(s.domains)], rail.RoleEngine, "").WithServing(model, version)
	speed := 1.0
	if i%s.onDemand == 0 {
		speed = s.speedup
	} else {
		instance = instance.WithClass(rail.ClassReclaimable)
	}
	return &engine{instance: instance, speed: speed, slots: s.slots, running: map[*attempt]bool{}, cache: newCache(s.cacheTokens / blockTokens)}
}

// list makes the candidates anew.
func (w *world) list() {
	w.live = nil
	for _, e := range w.engines {
		if !e.gone && !e.instance.Leaving() {
			w.live = append(w.live, e.instance)
		}
	}
}

// wave reclaims a domain with notice and starts it again later, with empty caches.
func (w *world) wave(domain rail.Domain) {
	for _, e := range w.engines {
		if e.instance.Domain() == domain {
			e.instance = e.instance.WithLeaving()
		}
	}
	w.list()
	w.after(notice, func() { w.reclaim(domain) })
	w.after(w.settings.waveLength, func() {
		for i, e := range w.engines {
			if e.instance.Domain() == domain {
				w.engines[i] = w.newEngine(i)
			}
		}
		w.list()
	})
}

func (w *world) arrive(a *Arrival) {
	prefixes := upstream.PrefixHashes(a.request.Prompt(), hashed)
	tokens := words(a.request.Prompt())
	w.dispatch(&attempt{arrival: a, entry: w.entries[a.entry], prefixes: prefixes, tokens: tokens})
}

func (w *world) dispatch(a *attempt) {
	want := rail.NewCriteria(a.arrival.request, w.route, version, a.entry.domain)
	chosen, ok := a.entry.chooser.Choose(want, w.live, w.rng.Uint64())
	if !ok {
		w.after(retryAfter, func() { w.dispatch(a) })
		return
	}
	a.engine = w.engineOf(chosen.ID())
	w.feed(a.entry, upstream.NewSent(a.arrival.request, chosen.ID()))
	w.after(w.distance(a), func() { w.accept(a.engine, a) })
}

// redispatch sends what a reclaimed engine had on to another one.
func (w *world) redispatch(a *attempt) {
	w.feed(a.entry, upstream.NewEnded(a.arrival.request, a.engine.instance.ID()))
	w.result.resumed++
	w.dispatch(&attempt{arrival: a.arrival, entry: a.entry, prefixes: a.prefixes, tokens: a.tokens, delivered: a.delivered, first: a.first})
}

func (w *world) firstToken(a *attempt) {
	w.result.first(w.now + w.distance(a) - a.arrival.at)
}

func (w *world) ended(a *attempt) {
	w.result.ended++
	w.feed(a.entry, upstream.NewEnded(a.arrival.request, a.engine.instance.ID()))
}

// report sends load reports to the entries, which get them late.
func (w *world) report() {
	if w.now > w.settings.length {
		return
	}
	for _, e := range w.engines {
		if e.gone {
			continue
		}
		load := rail.NewLoadRead(w.load(e))
		w.after(w.settings.reportLag, func() {
			for _, n := range w.entries {
				w.feed(n, load)
			}
		})
	}
	w.after(w.settings.reportEvery, w.report)
}

func (w *world) feed(n *entry, e rail.Event) {
	if n.part != nil {
		n.part.Reduce(rail.NewInput(e, start.Add(w.now), w.rng.Uint64()))
	}
}

// distance returns the time from an entry to an engine.
func (w *world) distance(a *attempt) time.Duration {
	if a.entry.domain == a.engine.instance.Domain() {
		return 0
	}
	return w.settings.oneWay
}

func (w *world) engineOf(id rail.InstanceID) *engine {
	for _, e := range w.engines {
		if e.instance.ID() == id {
			return e
		}
	}
	return nil
}

// ordered returns the running attempts in order of arrival.
func (w *world) ordered(e *engine) []*attempt {
	var as []*attempt
	for a := range e.running {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return cmp.Compare(a.arrival.at, b.arrival.at) })
	return as
}

func words(text string) int {
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
