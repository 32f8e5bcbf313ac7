package fleet

import (
	"time"

	"dandelionrail.org/rail"
)

// tickTimer drives lease and plan.
const tickTimer rail.TimerName = "fleet.tick"

// Reducer is the fleet as one entry sees it; the holder of the lease acts on it.
type Reducer struct {
	settings Settings
	me       rail.Incarnation
	now      time.Time
	ticking  bool

	caught bool
	away   bool
	book   *book

	serial    int
	claimedAt time.Time
	claims    map[int]time.Time
	sureUntil time.Time

	document  rail.Document
	offers    []rail.Offer
	instances map[rail.InstanceID]rail.Instance
	loads     map[rail.InstanceID]rail.Load
	reclaims  map[place]*decay
	seen      map[rail.InstanceID]bool
	peaks     map[group]*peak
	calls     map[string]time.Time
	plannedAt time.Time
	drained   map[rail.InstanceID]time.Time
}

// group is the instances that serve one version of a model or service.
type group struct {
	serves  string
	version rail.Version
}

// New returns a part for the entry's incarnation.
func New(settings Settings, me rail.Incarnation) *Reducer {
	return &Reducer{
		settings:  settings,
		me:        me,
		book:      newBook(),
		instances: map[rail.InstanceID]rail.Instance{},
		loads:     map[rail.InstanceID]rail.Load{},
		reclaims:  map[place]*decay{},
		seen:      map[rail.InstanceID]bool{},
		peaks:     map[group]*peak{},
		calls:     map[string]time.Time{},
		claims:    map[int]time.Time{},
		drained:   map[rail.InstanceID]time.Time{},
	}
}

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	switch e := in.Event().(type) {
	case rail.LogRead:
		return p.log(e)
	case rail.LogUnavailable:
		p.away = true
	case rail.ListRead:
		return p.list(e.Instances())
	case rail.LoadRead:
		p.loads[e.Load().Instance()] = e.Load()
	case rail.DocumentInForce:
		p.document = e.Document()
		return p.start()
	case OffersRead:
		p.offers = e.offers
	case NoticesRead:
		p.notices(e.notices)
	case Bought:
		return p.outcome(entry{Kind: entryBought, Token: e.token, Instance: e.instance})
	case BuyRefused:
		return p.outcome(entry{Kind: entryRefused, Token: e.token})
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return p.tick(in.Random())
		}
	}
	return nil
}

func (p *Reducer) start() []rail.Effect {
	if p.ticking {
		return nil
	}
	p.ticking = true
	return []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tick)}
}

// Holding reports whether this entry may act now, and under which fencing number.
func (p *Reducer) Holding() (rail.Offset, bool) {
	ok := p.book.lease.holder == p.me && p.now.Before(p.sureUntil)
	return p.book.lease.fencing, ok
}

func (p *Reducer) log(e rail.LogRead) []rail.Effect {
	p.away = false
	before := p.book.lease
	known := len(p.book.releasing)
	for _, r := range e.Records() {
		p.book.read(r)
	}
	p.caught = p.caught || e.CaughtUp()
	var effects []rail.Effect
	if len(p.book.releasing) != known {
		effects = append(effects, p.leaving()...)
	}
	lease := p.book.lease
	if at, ok := p.claims[lease.serial]; ok && lease.holder == p.me && lease != before {
		// The log took this claim after it was sent; the term counts from then at the earliest.
		p.sureUntil = at.Add(p.settings.term - p.settings.margin)
	}
	if lease.fencing != before.fencing || lease.holder != before.holder {
		clear(p.calls)
		effects = append(effects, rail.NewReport(rail.EventLeaseAcquired, string(lease.holder), "fleet lease"))
	}
	return append(effects, p.buyOpen()...)
}

// leaving tells the other parts of the instances that are to be released, so that they receive no new work.
func (p *Reducer) leaving() []rail.Effect {
	var effects []rail.Effect
	for _, id := range p.sorted() {
		if _, ok := p.drained[id]; p.book.releasing[id] && !ok {
			p.drained[id] = p.now
			effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(id, "fleet")))
		}
	}
	return effects
}

// tick keeps the lease and, while it is held, acts on the plan.
func (p *Reducer) tick(random uint64) []rail.Effect {
	effects := []rail.Effect{rail.NewSetTimer(tickTimer, p.settings.tick)}
	if !p.caught || p.away {
		return effects
	}
	effects = append(effects, p.keepLease(random)...)
	if _, ok := p.Holding(); !ok {
		return effects
	}
	effects = append(effects, p.buyOpen()...)
	return append(effects, p.act()...)
}

// keepLease claims a lease that is free, at random so that not all do, and renews one that is held.
func (p *Reducer) keepLease(random uint64) []rail.Effect {
	lease := p.book.lease
	mine := lease.holder == p.me
	free := lease.holder == "" || !p.now.Before(lease.until.Add(p.settings.margin))
	switch {
	case mine && p.now.Sub(p.claimedAt) < p.settings.term/3:
		return nil
	case !mine && (!free || random%claimants != 0):
		return nil
	}
	p.serial++
	p.claimedAt = p.now
	p.claims[p.serial] = p.now
	delete(p.claims, p.serial-claimsKept)
	c := claim{Holder: p.me, Serial: p.serial, TermMs: p.settings.term.Milliseconds()}
	return []rail.Effect{rail.NewAppend(rail.RecordLease, body(c))}
}

// claimsKept is the number of claims that may still be read back.
const claimsKept = 16

// claimants is about how many entries claim a free lease one after the other.
const claimants = 4

// callAgain is the time after which a call to the cloud without an answer is repeated.
const callAgain = 10 * time.Second

// buyOpen calls the cloud for the purchases in the log that have no outcome.
func (p *Reducer) buyOpen() []rail.Effect {
	if _, ok := p.Holding(); !ok {
		return nil
	}
	var effects []rail.Effect
	for _, token := range p.book.order {
		if at, ok := p.calls[token]; ok && p.now.Sub(at) < callAgain {
			continue
		}
		w := p.book.open[token]
		p.calls[token] = p.now
		effects = append(effects, Buy{
			token: token, offer: rail.NewOffer(w.Domain, w.Class, w.Price),
			serves: w.Serves, version: w.Version, until: p.sureUntil,
		})
	}
	return effects
}

// outcome writes down how a purchase ended, if that is not known.
func (p *Reducer) outcome(e entry) []rail.Effect {
	if _, open := p.book.open[e.Token]; !open {
		return nil
	}
	return []rail.Effect{rail.NewAppend(rail.RecordFleet, body(e))}
}
