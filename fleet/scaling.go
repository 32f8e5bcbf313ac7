package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// decayingCounter is a count of events that decays exponentially with reclaimHalfLife.
type decayingCounter struct {
	count float64
	at    time.Time
}

// reclaimHalfLife is the half-life of a reclaim in the reclaim rates.
const reclaimHalfLife = time.Hour

func (d *decayingCounter) value(now time.Time) float64 {
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(reclaimHalfLife))
}

func (d *decayingCounter) add(now time.Time) { d.count, d.at = d.value(now)+1, now }

// demandPeak is the largest recent number of required instances; it falls only after the scale-down delay.
type demandPeak struct {
	required  int
	at        time.Time
	firstSeen time.Time
}

func (p *demandPeak) update(required int, scaleDownDelay time.Duration, now time.Time) int {
	if p.firstSeen.IsZero() {
		p.firstSeen = now
	}
	if required >= p.required || now.Sub(p.at) > scaleDownDelay {
		p.required, p.at = required, now
	}
	return p.required
}

func (r *Reducer) applyList(instances []rail.Instance) []rail.Effect {
	listed := make(map[rail.InstanceID]rail.Instance, len(instances))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry {
			listed[i.ID()] = i
		}
	}
	r.instances = listed
	for id := range r.loads {
		if _, ok := listed[id]; !ok {
			delete(r.loads, id)
		}
	}
	for id := range r.state.releasing {
		if _, ok := listed[id]; !ok {
			delete(r.state.releasing, id)
			delete(r.leavingSince, id)
		}
	}
	for id, s := range r.state.starting {
		if _, ok := listed[id]; ok || r.now.Sub(s.at) > r.settings.startupTimeout {
			delete(r.state.starting, id)
		}
	}
	if len(r.state.releasing) == 0 {
		return nil
	}
	return r.announceLeaving()
}

// sortedIDs returns the sorted ids of the listed instances.
func (r *Reducer) sortedIDs() []rail.InstanceID { return slices.Sorted(maps.Keys(r.instances)) }

// applyNotices counts each reclaim once, for the rate of its domain and class.
func (r *Reducer) applyNotices(notices []rail.Notice) {
	current := map[rail.InstanceID]bool{}
	for _, n := range notices {
		current[n.Instance()] = true
		i, ok := r.instances[n.Instance()]
		if !ok || r.noticed[n.Instance()] {
			continue
		}
		k := poolKey{i.Domain(), i.Class()}
		if r.reclaims[k] == nil {
			r.reclaims[k] = &decayingCounter{}
		}
		r.reclaims[k].add(r.now)
	}
	r.noticed = current
}

// groups returns the groups that the document requires, in its order.
func (r *Reducer) groups() []group {
	var gs []group
	add := func(g group) {
		if g.version != "" && !slices.Contains(gs, g) {
			gs = append(gs, g)
		}
	}
	for _, route := range r.document.Routes() {
		add(group{route.Serves(), route.Stable()})
		if o, ok := r.document.Rollout(route.Name()); ok {
			add(group{route.Serves(), o.Version()})
		}
	}
	return gs
}

// required returns how many instances the recent load of the group requires.
func (r *Reducer) required(g group) int {
	work, slots, reports := 0, 0, 0
	for id, i := range r.instances {
		if l, ok := r.loads[id]; ok && i.Serves() == g.serves && i.Version() == g.version {
			work += l.Running() + l.Waiting()
			slots += l.Slots()
			reports++
		}
	}
	each := float64(r.settings.defaultSlots)
	if reports > 0 {
		each = float64(max(1, slots)) / float64(reports)
	}
	required := max(1, int(math.Ceil(float64(work)/(each*r.settings.utilisation))))
	if r.peaks[g] == nil {
		r.peaks[g] = &demandPeak{}
	}
	return r.peaks[g].update(required, r.settings.scaleDownDelay, r.now)
}

// pools returns the pools that are offered or have instances of the group, sorted by domain and class.
func (r *Reducer) pools(g group) []Pool {
	byKey := map[poolKey]*Pool{}
	poolFor := func(k poolKey, price float64) *Pool {
		if byKey[k] == nil {
			byKey[k] = &Pool{domain: k.domain, class: k.class, price: price, refused: true}
		}
		return byKey[k]
	}
	for _, o := range r.offers {
		pool := poolFor(poolKey{o.Domain(), o.Class()}, o.Price())
		since, ok := r.state.refusedAt[poolKey{o.Domain(), o.Class()}]
		pool.refused = ok && r.now.Sub(since) < r.settings.refusalDelay
	}
	total := map[poolKey]int{}
	for _, i := range r.instances {
		k := poolKey{i.Domain(), i.Class()}
		total[k]++
		if !i.Leaving() && !r.state.releasing[i.ID()] && i.Serves() == g.serves && i.Version() == g.version {
			poolFor(k, 0).instances++
		}
	}
	for _, purchase := range r.state.openPurchases {
		if purchase.group() == g {
			poolFor(purchase.poolKey(), purchase.Price).instances++
		}
	}
	for _, s := range r.state.starting {
		if s.purchase.group() == g {
			poolFor(s.purchase.poolKey(), s.purchase.Price).instances++
		}
	}
	pools := make([]Pool, 0, len(byKey))
	for k, pool := range byKey {
		if counter := r.reclaims[k]; counter != nil {
			pool.reclaimRate = counter.value(r.now) / float64(max(1, total[k]))
		}
		pools = append(pools, *pool)
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.class, b.class))
	})
	return pools
}

// planInterval is the time between two plans; a plan that was not read back by then is replaced.
const planInterval = 10 * time.Second

// scale appends the purchases and releases of all groups to the log in one record; they take effect when it has been read back.
func (r *Reducer) scale() []rail.Effect {
	effects := r.releaseDrained()
	if r.now.Sub(r.plannedAt) < planInterval {
		return effects
	}
	r.plannedAt = r.now
	e := fleetRecord{Kind: recordPlanned, Fencing: r.state.lease.fencing, Base: r.state.lastPlan}
	for _, g := range r.groups() {
		purchases, releases := r.planGroup(g)
		e.Purchases = append(e.Purchases, purchases...)
		e.Releases = append(e.Releases, releases...)
	}
	if len(e.Purchases)+len(e.Releases) == 0 {
		return effects
	}
	return append(effects, rail.NewAppend(rail.RecordFleet, marshal(e)))
}

// planGroup returns the purchases of a group, or its releases if it needs no purchases and its demand has been observed
// for the scale-down delay.
func (r *Reducer) planGroup(g group) ([]purchase, []rail.InstanceID) {
	var purchases []purchase
	var releases []rail.InstanceID
	for _, c := range Plan(r.required(g), r.pools(g), r.settings.replacementTime) {
		for range min(c.count, r.settings.maxPurchases) {
			r.serial++
			purchases = append(purchases, purchase{
				Token: fmt.Sprintf("%s-%d", r.self, r.serial), Domain: c.pool.domain, Class: c.pool.class,
				Price: c.pool.price, Serves: g.serves, Version: g.version,
			})
		}
		releases = append(releases, r.leastLoaded(g, c.pool, -c.count)...)
	}
	if len(purchases) > 0 || r.hasOpenPurchase(g) || r.isRollbackTarget(g) || r.now.Sub(r.peaks[g].firstSeen) < r.settings.scaleDownDelay {
		return purchases, nil
	}
	return nil, releases
}

// isRollbackTarget reports whether the group is the stable version of a rollout in the document. If the new version is
// braked, the group must be able to serve all requests until the document changes.
func (r *Reducer) isRollbackTarget(g group) bool {
	for _, route := range r.document.Routes() {
		if _, moving := r.document.Rollout(route.Name()); moving && route.Serves() == g.serves && route.Stable() == g.version {
			return true
		}
	}
	return false
}

// hasOpenPurchase reports whether a purchase of the group has no outcome yet; its instance may be listed already, and is
// then counted twice.
func (r *Reducer) hasOpenPurchase(g group) bool {
	for _, purchase := range r.state.openPurchases {
		if purchase.group() == g {
			return true
		}
	}
	return false
}

// releaseDrained releases the instances that have been leaving for the minimum drain time and have no work left.
func (r *Reducer) releaseDrained() []rail.Effect {
	var effects []rail.Effect
	for _, id := range slices.Sorted(maps.Keys(r.leavingSince)) {
		at := r.leavingSince[id]
		l, known := r.loads[id]
		if known && r.now.Sub(at) >= r.settings.minDrain && l.AsOf().After(at) && l.Running()+l.Waiting() == 0 {
			effects = append(effects, Release{instance: id, until: r.heldUntil})
		}
	}
	return effects
}

// leastLoaded returns the n instances of the group and pool with the least work.
func (r *Reducer) leastLoaded(g group, pool Pool, n int) []rail.InstanceID {
	var ids []rail.InstanceID
	for id, i := range r.instances {
		if i.Domain() == pool.domain && i.Class() == pool.class && i.Serves() == g.serves && i.Version() == g.version && !i.Leaving() && !r.state.releasing[id] {
			ids = append(ids, id)
		}
	}
	work := func(id rail.InstanceID) int { return r.loads[id].Running() + r.loads[id].Waiting() }
	slices.SortFunc(ids, func(a, b rail.InstanceID) int {
		return cmp.Or(cmp.Compare(work(a), work(b)), cmp.Compare(a, b))
	})
	return ids[:max(0, min(n, len(ids)))]
}
