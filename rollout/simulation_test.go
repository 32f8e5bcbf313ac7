package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dandelionrail.org/rail"
)

// The world drives several entries through one rollout with fake time: Poisson
// arrivals, latency noise, digests that are lost, cuts, and one log.

const (
	oldVersion rail.Version   = "v1"
	newVersion rail.Version   = "v2"
	counter    rail.RouteName = "counter"
	workshop   rail.RouteName = "workshop"
	worldTick                 = 100 * time.Millisecond
)

var epoch = time.Unix(1_800_000_000, 0)

// outcome is how a request ends; hurt says that the new version's fault did it.
type outcome struct {
	ok      bool
	hurt    bool
	latency time.Duration
}

// fault changes the outcome of a request on the new version, which is sent so long after the start at that share of the traffic.
type fault func(o outcome, route rail.RouteName, after time.Duration, share float64, roll float64) outcome

type node struct {
	part  *Reducer
	dom   rail.Domain
	me    rail.Incarnation
	facts map[rail.FactKey]rail.Fact
	order []rail.FactKey
	wrote map[rail.FactKey]time.Time
	next  int
	tick  time.Time
	cut   bool
	seq   uint64
}

const (
	oldUpstreams = 8
	newUpstreams = 2
	// crashEvery is the mean time between crashes of the new version's upstreams on one route.
	crashEvery = time.Minute
	listLag    = 5 * time.Second
)

type ending struct {
	at   time.Time
	node *node
	e    Observed
	hurt bool
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// watch is what is seen of one route.
type watch struct {
	rate      float64
	share     float64
	hurt      int
	sent      int
	crashes   int
	delisted  []time.Time
	hurtShare float64
	firstHurt time.Time
	lastNew   time.Time
}

type world struct {
	rng      *rand.Rand
	now      time.Time
	nodes    []*node
	log      []rail.Record
	logAway  bool
	document rail.Document
	fault    fault
	baseFail float64
	noise    float64
	loss     float64
	// writeEvery is how often an entry's evidence of one rollout gets into its digest.
	writeEvery time.Duration
	running    endings
	serial     int

	routes map[rail.RouteName]*watch
}

func newWorld(seed uint64, entries int, deadline time.Duration, f fault) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		rng: rng, now: epoch, fault: f, baseFail: 0.005 + 0.005*rng.Float64(), noise: 0.4 + 0.2*rng.Float64(), loss: 0.2, writeEvery: 3 * time.Second,
		routes: map[rail.RouteName]*watch{counter: {rate: 30}, workshop: {rate: 10}},
	}
	var routes []rail.Route
	var rollouts []rail.Rollout
	for _, name := range []rail.RouteName{counter, workshop} {
		routes = append(routes, rail.NewRoute(name, rail.RouteModel, string(name), true, oldVersion))
		rollouts = append(rollouts, rail.NewRollout(name, newVersion, epoch.Add(deadline)))
	}
	w.document = rail.NewDocument("trial", 1, nil, routes, rollouts, "")
	for i := range entries {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) *node {
	dom := rail.Domain([]string{"breno", "edolo", "darfo", "sondrio"}[i%4])
	me := rail.Incarnation(fmt.Sprintf("e%d-%d", i, len(w.nodes)))
	n := &node{part: New(Defaults(), dom, me), dom: dom, me: me, facts: map[rail.FactKey]rail.Fact{}, wrote: map[rail.FactKey]time.Time{}}
	w.nodes = append(w.nodes, n)
	w.feed(n, rail.NewDocumentInForce(w.document))
	return n
}

// feed reduces one event and runs the effects.
func (w *world) feed(n *node, e rail.Event) {
	for _, f := range n.part.Reduce(rail.NewInput(e, w.now, w.rng.Uint64())) {
		switch f := f.(type) {
		case rail.SetTimer:
			n.tick = w.now.Add(f.After())
		case rail.Publish:
			w.publish(n, f)
		case rail.Append:
			if !w.logAway && !n.cut {
				w.log = append(w.log, rail.NewRecord(rail.Offset(len(w.log)), w.now, f.Kind(), f.Body()))
			}
		}
	}
}

// publish writes a fact into the entry's digest; evidence waits for its turn, as the digest spreads its writes.
func (w *world) publish(n *node, f rail.Publish) {
	k := rail.NewFactKey(f.Kind(), f.Subject(), n.me)
	if f.Kind() == rail.FactEvidence && w.now.Sub(n.wrote[k]) < w.writeEvery {
		return
	}
	n.wrote[k] = w.now
	n.seq++
	if n.facts[k].Value() != f.Value() {
		n.keep(rail.NewFact(k, n.seq, f.Value()))
	}
}

func (w *world) read(n *node) {
	if w.logAway || n.cut {
		w.feed(n, rail.NewLogAway(rail.NewError(rail.KindPlatformAway, "cut")))
		return
	}
	records := w.log[n.next:]
	n.next = len(w.log)
	w.feed(n, rail.NewLogRead(records, 0, rail.Offset(n.next), true))
}

// keep stores a register; the order of the keys makes a run repeatable.
func (n *node) keep(f rail.Fact) {
	if _, ok := n.facts[f.Key()]; !ok {
		n.order = append(n.order, f.Key())
	}
	n.facts[f.Key()] = f
}

// exchange merges the registers of two entries, unless the message is lost.
func (w *world) exchange(a, b *node) {
	if a == b || a.dom != b.dom && (a.cut || b.cut) || w.rng.Float64() < w.loss {
		return
	}
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		var learned []rail.Fact
		for _, k := range from.order {
			if f := from.facts[k]; f.Sequence() > to.facts[k].Sequence() {
				to.keep(f)
				learned = append(learned, f)
			}
		}
		if len(learned) > 0 {
			w.feed(to, rail.NewFactsLearned(learned))
		}
	}
}

// send lets one request arrive at an entry.
func (w *world) send(n *node, name rail.RouteName) {
	w.serial++
	v := w.routes[name]
	route, _ := w.document.Route(name)
	version := n.part.Pick(route, rail.RequestID(fmt.Sprintf("r%d", w.serial)))
	o := outcome{ok: w.rng.Float64() >= w.baseFail, latency: time.Duration(200e6 * math.Exp(w.noise*w.rng.NormFloat64()))}
	share := 0.0
	if version == newVersion {
		share = 1
		v.lastNew = w.now
		v.sent++
		if w.fault != nil {
			o = w.fault(o, name, w.now.Sub(epoch), v.share, w.rng.Float64())
		}
	}
	v.share += (share - v.share) / 200
	e := ending{at: w.now.Add(o.latency), node: n, hurt: o.hurt, e: NewObserved(name, version, o.ok, o.latency)}
	e.e = e.e.WithUpstream(w.upstream(name, version))
	heap.Push(&w.running, e)
}

// upstream returns one of the upstreams of the version, whose numbers go up with each crash.
func (w *world) upstream(name rail.RouteName, version rail.Version) rail.InstanceID {
	if version == oldVersion {
		return rail.InstanceID(fmt.Sprintf("%s-old-%d", name, w.rng.IntN(oldUpstreams)))
	}
	return rail.InstanceID(fmt.Sprintf("%s-new-%d", name, w.routes[name].crashes+w.rng.IntN(newUpstreams)))
}

// crash ends the oldest upstream of the new version without notice; what runs there fails at once.
func (w *world) crash(name rail.RouteName) {
	v := w.routes[name]
	gone := rail.InstanceID(fmt.Sprintf("%s-new-%d", name, v.crashes))
	v.crashes++
	for i := range w.running {
		if e := &w.running[i]; e.e.upstream == gone {
			e.at, e.hurt = w.now, false
			e.e = NewObserved(name, newVersion, false, 0).WithUpstream(gone)
		}
	}
	heap.Init(&w.running)
	v.delisted = append(v.delisted, w.now.Add(listLag))
}

// inform tells an entry of loads and list, with the lag of the list.
func (w *world) inform(n *node) {
	var list []rail.Instance
	for _, name := range []rail.RouteName{counter, workshop} {
		v := w.routes[name]
		for i := range v.crashes + newUpstreams {
			id := rail.InstanceID(fmt.Sprintf("%s-new-%d", name, i))
			if i >= v.crashes {
				w.feed(n, rail.NewLoadRead(rail.NewLoad(id, 1, 0, 8, w.now)))
			}
			if i >= v.crashes || w.now.Before(v.delisted[i]) {
				list = append(list, rail.NewInstance(id, "breno", rail.RoleEngine, ""))
			}
		}
		for i := range oldUpstreams {
			id := rail.InstanceID(fmt.Sprintf("%s-old-%d", name, i))
			list = append(list, rail.NewInstance(id, "breno", rail.RoleEngine, ""))
		}
	}
	w.feed(n, rail.NewListRead(list))
}

// step moves the world on by one tick.
func (w *world) step() {
	w.now = w.now.Add(worldTick)
	for _, name := range []rail.RouteName{counter, workshop} {
		for range poisson(w.rng, w.routes[name].rate*worldTick.Seconds()) {
			w.send(w.nodes[w.rng.IntN(len(w.nodes))], name)
		}
		if w.rng.Float64() < worldTick.Seconds()/crashEvery.Seconds() {
			w.crash(name)
		}
	}
	for len(w.running) > 0 && !w.running[0].at.After(w.now) {
		e := heap.Pop(&w.running).(ending)
		if e.hurt {
			v := w.routes[e.e.route]
			v.hurt++
			if v.firstHurt.IsZero() {
				v.firstHurt, v.hurtShare = w.now, v.share
			}
		}
		w.feed(e.node, e.e)
	}
	for i, n := range w.nodes {
		if !n.tick.After(w.now) {
			w.feed(n, rail.NewTimerFired(tickTimer))
		}
		if w.now.Sub(epoch)/worldTick%5 == time.Duration(i%5) {
			w.read(n)
		}
		if w.now.Sub(epoch)/worldTick%10 == time.Duration(i) {
			w.inform(n)
			w.exchange(n, w.nodes[w.rng.IntN(len(w.nodes))])
		}
	}
}

// run moves the world on until the time or until stop.
func (w *world) run(d time.Duration, stop func() bool) {
	for end := w.now.Add(d); w.now.Before(end) && (stop == nil || !stop()); {
		w.step()
	}
}

// cutDomain cuts a domain off from the others and from the log, or heals it.
func (w *world) cutDomain(d rail.Domain, cut bool) {
	for _, n := range w.nodes {
		if n.dom == d {
			n.cut = cut
		}
	}
}

// verdicts returns the verdicts that the entries hold for the route, without repeats.
func (w *world) verdicts(name rail.RouteName) map[Outcome]int {
	found := map[Outcome]int{}
	for _, n := range w.nodes {
		for _, s := range n.part.Status() {
			if s.Route() == name {
				found[s.Verdict()]++
			}
		}
	}
	return found
}

// settled reports whether every entry holds a verdict for every route.
func (w *world) settled() bool {
	return w.verdicts(counter)[OutcomeNone]+w.verdicts(workshop)[OutcomeNone] == 0
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
