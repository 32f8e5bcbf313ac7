package team

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// The simulation runs several entries in simulated time with delayed digests. They
// share upstreams with a FIFO queue and receive the requests of several teams.

const (
	simSlots       = 32
	simEntries     = 4
	meanService    = 500 * time.Millisecond
	waitTarget     = time.Second
	digestInterval = time.Second
	resumeCost     = 50 * time.Millisecond
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	route = rail.NewRoute("drafting", rail.RouteModel, "tin-writer", true, "v1").WithTargets(waitTarget, time.Minute)
)

// load is the traffic of one team as a multiple of the capacity of all slots.
type load struct {
	team     rail.Team
	multiple float64
	startAt  time.Duration
}

type job struct {
	request   rail.RequestID
	team      rail.TeamName
	entry     int
	arrivedAt time.Duration
	service   time.Duration
	startedAt time.Duration
	preempted bool
}

type timedAction struct {
	at     time.Duration
	serial int
	do     func()
}

type actionHeap []timedAction

func (h actionHeap) Len() int { return len(h) }
func (h actionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *actionHeap) Push(x any)   { *h = append(*h, x.(timedAction)) }
func (h *actionHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	reducers    []*Reducer
	facts       []map[rail.FactKey]rail.Fact
	partitioned bool
	admitAll    bool // baseline without admission control
	queue       actionHeap
	serial      int
	jobs        map[rail.RequestID]*job
	waiting     []*job
	busy        int

	waits        map[rail.TeamName][]time.Duration
	withinTarget map[rail.TeamName]int
	refused      map[rail.TeamName]int
}

func newSimulation(seed uint64, s Settings, teams ...rail.Team) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), jobs: map[rail.RequestID]*job{},
		waits: map[rail.TeamName][]time.Duration{}, withinTarget: map[rail.TeamName]int{}, refused: map[rail.TeamName]int{},
	}
	var list []rail.Instance
	for i := range simSlots / 8 {
		list = append(list, rail.NewInstance(rail.InstanceID(fmt.Sprint("m", i)), "breno", rail.RoleEngine, "").WithServing("tin-writer", "v1"))
	}
	for i := range simEntries {
		sim.reducers = append(sim.reducers, New(s, rail.Incarnation(fmt.Sprint("e", i))))
		sim.facts = append(sim.facts, map[rail.FactKey]rail.Fact{})
		sim.reduce(i, rail.NewDocumentInForce(rail.NewDocument("trial", 1, teams, []rail.Route{route}, nil, "")))
		sim.reduce(i, rail.NewListRead(list))
		sim.reduce(i, NewCapacity(simEntries))
	}
	sim.exchangeDigests()
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.queue, timedAction{at: sim.now + d, serial: sim.serial, do: do})
}

func (sim *simulation) reduce(entry int, e rail.Event) {
	reducer := sim.reducers[entry]
	for _, f := range reducer.Reduce(rail.NewInput(e, epoch.Add(sim.now), sim.rng.Uint64())) {
		switch f := f.(type) {
		case rail.SetTimer:
			sim.after(f.After(), func() { sim.reduce(entry, rail.NewTimerFired(f.Name())) })
		case rail.Publish:
			k := rail.NewFactKey(f.Kind(), f.Subject(), reducer.self)
			sim.facts[entry][k] = rail.NewFact(k, 1, f.Value())
		case Admitted:
			sim.waiting = append(sim.waiting, sim.jobs[f.Call()])
			sim.startWaiting()
		case Refused:
			sim.refused[sim.jobs[f.Call()].team]++
		case Preempt:
			sim.preempt(sim.jobs[f.Request()])
		}
	}
}

// exchangeDigests sends the published facts of each entry to all others, with a FactAlive.
func (sim *simulation) exchangeDigests() {
	for i := range sim.reducers {
		for j := range sim.reducers {
			if i == j || sim.partitioned {
				continue
			}
			facts := []rail.Fact{rail.NewFact(rail.NewFactKey(rail.FactAlive, "", sim.reducers[j].self), 1, "")}
			for _, f := range sim.facts[j] {
				facts = append(facts, f)
			}
			sim.after(digestInterval/2, func() { sim.reduce(i, rail.NewFactsLearned(facts)) })
		}
	}
	sim.after(digestInterval, sim.exchangeDigests)
}

// startWaiting starts waiting jobs while slots are free.
func (sim *simulation) startWaiting() {
	for sim.busy < simSlots && len(sim.waiting) > 0 {
		j := sim.waiting[0]
		sim.waiting = sim.waiting[1:]
		sim.busy++
		j.startedAt = sim.now
		sim.after(j.service, func() {
			if j.preempted {
				return
			}
			sim.busy--
			waited := sim.now - j.arrivedAt - j.service
			sim.waits[j.team] = append(sim.waits[j.team], waited)
			if waited <= waitTarget {
				sim.withinTarget[j.team]++
			}
			sim.reduce(j.entry, NewEnded(j.request))
			sim.startWaiting()
		})
	}
}

// preempt stops a job and submits its remaining work as a new request.
func (sim *simulation) preempt(j *job) {
	rest := *j
	rest.request += "'"
	rest.service = max(0, j.startedAt+j.service-sim.now) + resumeCost
	sim.jobs[rest.request] = &rest
	if i := slices.Index(sim.waiting, j); i >= 0 {
		sim.waiting = slices.Delete(sim.waiting, i, i+1)
	} else {
		j.preempted = true
		sim.busy--
	}
	sim.reduce(j.entry, NewEnded(j.request))
	sim.startWaiting()
	sim.reduce(j.entry, NewArrived(rail.NewRequest(rest.request, j.team, "drafting", epoch.Add(sim.now)), route))
}

// generate submits requests of the team with exponential interarrival times.
func (sim *simulation) generate(l load) {
	rate := l.multiple * simSlots / meanService.Seconds()
	var next func()
	next = func() {
		id := rail.RequestID(fmt.Sprint("r", len(sim.jobs)))
		j := &job{request: id, team: l.team.Name(), entry: sim.rng.IntN(simEntries), arrivedAt: sim.now}
		j.service = time.Duration((0.5 + sim.rng.Float64()) * float64(meanService))
		sim.jobs[id] = j
		if sim.admitAll {
			sim.waiting = append(sim.waiting, j)
			sim.startWaiting()
		} else {
			sim.reduce(j.entry, NewArrived(rail.NewRequest(id, j.team, "drafting", epoch.Add(sim.now)), route))
		}
		sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.after(l.startAt, next)
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		t := heap.Pop(&sim.queue).(timedAction)
		sim.now = t.at
		t.do()
	}
	sim.now = end
}

// p95 returns the 95th percentile of the waiting time of the team's answered requests.
func (sim *simulation) p95(team rail.TeamName) time.Duration {
	ds := slices.Sorted(slices.Values(sim.waits[team]))
	if len(ds) == 0 {
		return 0
	}
	return ds[len(ds)*95/100]
}
