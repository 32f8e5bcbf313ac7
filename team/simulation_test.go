package team

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// The world drives some entries, which share upstreams with a first-come queue,
// through requests of several teams with fake time and lagging digests.

const (
	worldSlots   = 32
	worldEntries = 4
	meanService  = 500 * time.Millisecond
	worldTarget  = time.Second
	digestEvery  = time.Second
	resumeCost   = 50 * time.Millisecond
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	route = rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1").WithTargets(worldTarget, time.Minute)
)

// load is the traffic of one team, as a multiple of all slots.
type load struct {
	team  rail.Team
	times float64
	from  time.Duration
}

type job struct {
	request rail.RequestID
	team    rail.TeamName
	entry   int
	arrived time.Duration
	service time.Duration
	started time.Duration
	stopped bool
}

type todo struct {
	at     time.Duration
	serial int
	do     func()
}

type todos []todo

func (h todos) Len() int { return len(h) }
func (h todos) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h todos) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *todos) Push(x any)   { *h = append(*h, x.(todo)) }
func (h *todos) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

type world struct {
	rng     *rand.Rand
	now     time.Duration
	parts   []*Reducer
	facts   []map[rail.FactKey]rail.Fact
	cut     bool
	open    bool // admits everything, the baseline
	queue   todos
	serial  int
	jobs    map[rail.RequestID]*job
	waiting []*job
	busy    int

	latency map[rail.TeamName][]time.Duration
	within  map[rail.TeamName]int
	refused map[rail.TeamName]int
}

func newWorld(seed uint64, s Settings, teams ...rail.Team) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), jobs: map[rail.RequestID]*job{},
		latency: map[rail.TeamName][]time.Duration{}, within: map[rail.TeamName]int{}, refused: map[rail.TeamName]int{},
	}
	var list []rail.Instance
	for i := range worldSlots / 8 {
		list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprint("m", i)), "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1"))
	}
	for i := range worldEntries {
		w.parts = append(w.parts, New(s, rail.Incarnation(fmt.Sprint("e", i))))
		w.facts = append(w.facts, map[rail.FactKey]rail.Fact{})
		w.feed(i, rail.NewDocumentInForce(rail.NewDocument("trial", 1, teams, []rail.Route{route}, nil, "")))
		w.feed(i, rail.NewListRead(list))
		w.feed(i, NewCapacity(worldSlots, worldEntries))
	}
	w.digest()
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, todo{at: w.now + d, serial: w.serial, do: do})
}

func (w *world) feed(entry int, e rail.Event) {
	p := w.parts[entry]
	for _, f := range p.Reduce(rail.NewInput(e, epoch.Add(w.now), w.rng.Uint64())) {
		switch f := f.(type) {
		case rail.SetTimer:
			w.after(f.After(), func() { w.feed(entry, rail.NewTimerFired(f.Name())) })
		case rail.Publish:
			k := rail.NewFactKey(f.Kind(), f.Subject(), p.me)
			w.facts[entry][k] = rail.NewFact(k, 1, f.Value())
		case Admitted:
			w.waiting = append(w.waiting, w.jobs[f.Call()])
			w.run()
		case Refused:
			w.refused[w.jobs[f.Call()].team]++
		case Preempt:
			w.stop(w.jobs[f.Request()])
		}
	}
}

// digest tells every entry what the others published, alive or not.
func (w *world) digest() {
	for i := range w.parts {
		for j := range w.parts {
			if i == j || w.cut {
				continue
			}
			facts := []rail.Fact{rail.NewFact(rail.NewFactKey(rail.FactAlive, "", w.parts[j].me), 1, "")}
			for _, f := range w.facts[j] {
				facts = append(facts, f)
			}
			w.after(digestEvery/2, func() { w.feed(i, rail.NewFactsLearned(facts)) })
		}
	}
	w.after(digestEvery, w.digest)
}

// run starts waiting jobs in free slots.
func (w *world) run() {
	for w.busy < worldSlots && len(w.waiting) > 0 {
		j := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.busy++
		j.started = w.now
		w.after(j.service, func() {
			if j.stopped {
				return
			}
			w.busy--
			took := w.now - j.arrived - j.service
			w.latency[j.team] = append(w.latency[j.team], took)
			if took <= worldTarget {
				w.within[j.team]++
			}
			w.feed(j.entry, NewEnded(j.request))
			w.run()
		})
	}
}

// stop lets a running job give up its slot; the rest of it is asked for again.
func (w *world) stop(j *job) {
	rest := *j
	rest.request += "'"
	rest.service = max(0, j.started+j.service-w.now) + resumeCost
	w.jobs[rest.request] = &rest
	if i := slices.Index(w.waiting, j); i >= 0 {
		w.waiting = slices.Delete(w.waiting, i, i+1)
	} else {
		j.stopped = true
		w.busy--
	}
	w.feed(j.entry, NewEnded(j.request))
	w.run()
	w.feed(j.entry, NewArrived(rail.NewRequest(rest.request, j.team, "drafting", epoch.Add(w.now)), route))
}

// offer lets requests of the team arrive for ever.
func (w *world) offer(l load) {
	rate := l.times * worldSlots / meanService.Seconds()
	var next func()
	next = func() {
		id := rail.RequestID(fmt.Sprint("r", len(w.jobs)))
		j := &job{request: id, team: l.team.Name(), entry: w.rng.IntN(worldEntries), arrived: w.now}
		j.service = time.Duration((0.5 + w.rng.Float64()) * float64(meanService))
		w.jobs[id] = j
		if w.open {
			w.waiting = append(w.waiting, j)
			w.run()
		} else {
			w.feed(j.entry, NewArrived(rail.NewRequest(id, j.team, "drafting", epoch.Add(w.now)), route))
		}
		w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(l.from, next)
}

func (w *world) until(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := heap.Pop(&w.queue).(todo)
		w.now = t.at
		t.do()
	}
	w.now = end
}

// p95 returns the time that 95% of the team's answered requests waited at most.
func (w *world) p95(team rail.TeamName) time.Duration {
	ds := slices.Sorted(slices.Values(w.latency[team]))
	if len(ds) == 0 {
		return 0
	}
	return ds[len(ds)*95/100]
}
