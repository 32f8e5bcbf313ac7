package fleet

import (
	"time"

	"dandelionrail.org/rail"
)

// tickTimer triggers keeping the lease and planning.
const tickTimer rail.TimerName = "fleet.tick"

// Reducer is the view that one entry has of the fleet; only the holder of the lease buys and releases instances.
type Reducer struct {
	settings Settings
	self     rail.Incarnation
	now      time.Time
	ticking  bool // The timer was started.

	caughtUp       bool
	logUnavailable bool
	state          *logState

	serial     int
	claimedAt  time.Time
	claimTimes map[int]time.Time
	heldUntil  time.Time // the end of this entry's lease less the margin

	document     rail.Document
	offers       []rail.Offer
	instances    map[rail.InstanceID]rail.Instance
	loads        map[rail.InstanceID]rail.Load
	reclaims     map[poolKey]*decayingCounter
	noticed      map[rail.InstanceID]bool
	peaks        map[group]*demandPeak
	lastCalls    map[string]time.Time
	plannedAt    time.Time
	leavingSince map[rail.InstanceID]time.Time
}

// group identifies the instances that serve one version of a model or service.
type group struct {
	serves  string
	version rail.Version
}

// New returns the reducer for the entry's incarnation.
func New(settings Settings, self rail.Incarnation) *Reducer {
	return &Reducer{
		settings:     settings,
		self:         self,
		state:        newLogState(),
		instances:    map[rail.InstanceID]rail.Instance{},
		loads:        map[rail.InstanceID]rail.Load{},
		reclaims:     map[poolKey]*decayingCounter{},
		noticed:      map[rail.InstanceID]bool{},
		peaks:        map[group]*demandPeak{},
		lastCalls:    map[string]time.Time{},
		claimTimes:   map[int]time.Time{},
		leavingSince: map[rail.InstanceID]time.Time{},
	}
}

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	r.now = in.At()
	switch e := in.Event().(type) {
	case rail.LogRead:
		return r.applyLog(e)
	case rail.LogUnavailable:
		r.logUnavailable = true
	case rail.ListRead:
		return r.applyList(e.Instances())
	case rail.LoadRead:
		r.loads[e.Load().Instance()] = e.Load()
	case rail.DocumentInForce:
		r.document = e.Document()
		return r.startTicking()
	case OffersRead:
		r.offers = e.offers
	case NoticesRead:
		r.applyNotices(e.notices)
	case Bought:
		return r.recordOutcome(fleetRecord{Kind: recordBought, Token: e.token, Instance: e.instance})
	case BuyRefused:
		return r.recordOutcome(fleetRecord{Kind: recordRefused, Token: e.token})
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return r.tick(in.Random())
		}
	}
	return nil
}

func (r *Reducer) startTicking() []rail.Effect {
	if r.ticking {
		return nil
	}
	r.ticking = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, r.settings.tickInterval)}
}

// Holding returns the fencing number of the lease and reports whether this entry may act under it now.
func (r *Reducer) Holding() (rail.Offset, bool) {
	ok := r.state.lease.holder == r.self && r.now.Before(r.heldUntil)
	return r.state.lease.fencing, ok
}

func (r *Reducer) applyLog(e rail.LogRead) []rail.Effect {
	r.logUnavailable = false
	before := r.state.lease
	known := len(r.state.releasing)
	for _, record := range e.Records() {
		r.state.apply(record)
	}
	r.caughtUp = r.caughtUp || e.CaughtUp()
	var effects []rail.Effect
	if len(r.state.releasing) != known {
		effects = append(effects, r.announceLeaving()...)
	}
	lease := r.state.lease
	if at, ok := r.claimTimes[lease.serial]; ok && lease.holder == r.self && lease != before {
		// The log accepted this claim after it was sent, so that its term began no earlier than that.
		r.heldUntil = at.Add(r.settings.term - r.settings.margin)
	}
	if lease.fencing != before.fencing || lease.holder != before.holder {
		clear(r.lastCalls)
		effects = append(effects, rail.NewReport(rail.EventLeaseAcquired, string(lease.holder), "fleet lease"))
	}
	return append(effects, r.callOpenPurchases()...)
}

// announceLeaving raises an event for the other reducers for each instance that is to be released, so that it receives
// no new work.
func (r *Reducer) announceLeaving() []rail.Effect {
	var effects []rail.Effect
	for _, id := range r.sortedIDs() {
		if _, ok := r.leavingSince[id]; r.state.releasing[id] && !ok {
			r.leavingSince[id] = r.now
			effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(id, "fleet")))
		}
	}
	return effects
}

// tick keeps the lease and, while it is held, buys and releases instances.
func (r *Reducer) tick(random uint64) []rail.Effect {
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, r.settings.tickInterval)}
	if !r.caughtUp || r.logUnavailable {
		return effects
	}
	effects = append(effects, r.keepLease(random)...)
	if _, ok := r.Holding(); !ok {
		return effects
	}
	effects = append(effects, r.callOpenPurchases()...)
	return append(effects, r.scale()...)
}

// keepLease renews the lease if this entry holds it, and claims it at random if it is free.
func (r *Reducer) keepLease(random uint64) []rail.Effect {
	lease := r.state.lease
	mine := lease.holder == r.self
	free := lease.holder == "" || !r.now.Before(lease.until.Add(r.settings.margin))
	switch {
	case mine && r.now.Sub(r.claimedAt) < r.settings.term/3:
		return nil
	case !mine && (!free || random%claimOneIn != 0):
		return nil
	}
	r.serial++
	r.claimedAt = r.now
	r.claimTimes[r.serial] = r.now
	delete(r.claimTimes, r.serial-maxPendingClaims)
	c := claim{Holder: r.self, Serial: r.serial, TermMs: r.settings.term.Milliseconds()}
	return []rail.Effect{rail.NewAppend(rail.RecordLease, marshal(c))}
}

// maxPendingClaims is the number of latest claims that are recognised when they are read back.
const maxPendingClaims = 16

// claimOneIn is how many ticks an entry takes on average to claim a free lease, so that not all entries claim it at once.
const claimOneIn = 4

// callRetryInterval is the time after which a call to the cloud without a reply is repeated.
const callRetryInterval = 10 * time.Second

// callOpenPurchases returns a call to the cloud for each purchase in the log that has no outcome.
func (r *Reducer) callOpenPurchases() []rail.Effect {
	if _, ok := r.Holding(); !ok {
		return nil
	}
	var effects []rail.Effect
	for _, token := range r.state.openTokens {
		if at, ok := r.lastCalls[token]; ok && r.now.Sub(at) < callRetryInterval {
			continue
		}
		purchase := r.state.openPurchases[token]
		r.lastCalls[token] = r.now
		effects = append(effects, Buy{
			token: token, offer: rail.NewOffer(purchase.Domain, purchase.Class, purchase.Price),
			serves: purchase.Serves, version: purchase.Version, until: r.heldUntil,
		})
	}
	return effects
}

// recordOutcome appends the outcome of a purchase to the log unless it is already known.
func (r *Reducer) recordOutcome(e fleetRecord) []rail.Effect {
	if _, open := r.state.openPurchases[e.Token]; !open {
		return nil
	}
	return []rail.Effect{rail.NewAppend(rail.RecordFleet, marshal(e))}
}
