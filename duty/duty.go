package duty

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gateway"
)

// ErrFenced tells that another holder has used a higher fence.
var ErrFenced = errors.New("duty: a higher fence was used")

// ErrNoCapacity tells that the cloud has no upstreams of the class in the domain now.
var ErrNoCapacity = errors.New("duty: no upstreams are to be had there")

// Topic is the topic of the store that holds the lease.
type Topic interface {
	// Read returns the records from the offset on.
	Read(ctx context.Context, from int64, wait time.Duration) (gateway.Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (gateway.Batch, error)
	// Append adds the record if the topic ends at the offset, and returns gateway.ErrConflict if it does not.
	Append(ctx context.Context, key string, value []byte, at int64) error
}

// Cloud takes the calls of the duties; each carries the holder's fence.
type Cloud interface {
	// ReportUsage reports the requests of a window by team.
	ReportUsage(ctx context.Context, fence, window int64, counts map[string]int64) error
	// OrderUpstreams orders a number of upstreams of a service in a failure domain.
	OrderUpstreams(ctx context.Context, fence int64, service string, w DesiredCapacity) error
	// ReportRollout tells the operator where a rollout stands.
	ReportRollout(ctx context.Context, o gateway.RolloutOrder) error
}

const (
	// interval is the time between looks at what is due.
	interval = 400 * time.Millisecond
	// candidateInterval is the time between reads of the lease by gateways that do not hold it.
	candidateInterval = 1200 * time.Millisecond
	// callTimeout bounds a call.
	callTimeout = 600 * time.Millisecond
	// usageDelay is how long after its end a window is reported, so that all peers have told their counts.
	usageDelay = 2 * time.Second
	// reportedWindows is how many windows back a report is made, within the time that it is due.
	reportedWindows = 3
	// orderRepeat is how long after an order it is made again if the upstreams have not come.
	orderRepeat = 7 * time.Second
	// settleTime is how long after the last upstream was listed a holder waits before it orders, so that it knows all that are there.
	settleTime = 1500 * time.Millisecond
	// firstOrder is how long after its start a holder orders nothing: upstreams need some seconds to list themselves.
	firstOrder = 4 * time.Second
	// refusedRepeat is how long after a refusal an order is made again.
	refusedRepeat = 2500 * time.Millisecond
)

// Runner runs the duties of one gateway.
type Runner struct {
	lease    *Lease
	gateway  *gateway.Gateway
	log      Topic
	cloud    Cloud
	lines    gateway.Log
	now      func() time.Duration
	usage    bool
	scale    bool
	read     time.Duration
	started  time.Duration
	reported map[int64]bool
	plans    map[string]*Plan
	orders   map[orderKey]*order
	demand   demand
	found    map[string]growth
	fresh    bool // The demand was measured in this tick.
	// dry says of a service that the cloud has no reclaimable upstreams now; refused is when it last said so.
	dry     map[string]bool
	refused time.Time
	told    map[string]gateway.RolloutState
}

// growth is how many upstreams of a service were listed, and when the last of them were.
type growth struct {
	total int
	at    time.Duration
}

type orderKey struct {
	service, domain string
	spot            bool
}

// order is the last one of its kind.
type order struct {
	count int
	at    time.Time
	done  bool
	met   bool // The upstreams came.
}

// New returns the duties of a gateway; now is a clock that runs on while the process is frozen. Run must be started.
func New(l *Lease, g *gateway.Gateway, log Topic, cloud Cloud, lines gateway.Log, now func() time.Duration, usage, scale bool) *Runner {
	return &Runner{
		lease: l, gateway: g, log: log, cloud: cloud, lines: lines, now: now, started: now(), usage: usage, scale: scale,
		reported: map[int64]bool{}, plans: map[string]*Plan{}, orders: map[orderKey]*order{}, dry: map[string]bool{}, found: map[string]growth{}, told: map[string]gateway.RolloutState{},
	}
}

// Run does what is due until the context ends, and gives the lease up then.
func (d *Runner) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	d.tick(ctx) // Recalls what teams had admitted before the first requests are taken.
	for {
		select {
		case <-ctx.Done():
			d.release(context.WithoutCancel(ctx))
			return
		case <-t.C:
			d.tick(ctx)
		}
	}
}

func (d *Runner) tick(ctx context.Context) {
	var total, holder int64
	var relayed bool
	d.gateway.View(func(s *gateway.State) { total, holder, relayed = s.Demand(), s.HolderFence(), s.HasCellLeader() })
	// Also without the lease, so that a successor knows the demand and the upstreams.
	if d.fresh = d.demand.measure(total, time.Now()); d.fresh {
		d.watchFound()
	}
	if d.lease.Next() > 0 && holder != 0 && d.lease.ObserveHolder(holder, d.now()) {
		return // The holder is alive; there is no need to read the lease.
	}
	if d.lease.Next() > 0 && relayed && !d.lease.Held(d.now()) {
		d.gateway.Post(gateway.NewLeaseUpdated(0)) // It may have run out since the last tick.
		return                                     // One of those that speak for others takes the lease.
	}
	if err := d.keep(ctx); err != nil {
		d.lose(err)
		return
	}
	if !d.lease.Held(d.now()) {
		d.gateway.Post(gateway.NewLeaseUpdated(0))
		return
	}
	d.gateway.Post(gateway.NewLeaseUpdated(d.lease.Fence()))
	d.tellRollouts(ctx)
	if d.usage {
		d.reportUsage(ctx)
	}
	if d.scale {
		d.orderUpstreams(ctx)
	}
}

// lose logs that the lease is not kept.
func (d *Runner) lose(err error) {
	if errors.Is(err, ErrFenced) || errors.Is(err, gateway.ErrConflict) {
		d.lease.Drop()
	}
	if !d.lease.Held(d.now()) {
		d.gateway.Post(gateway.NewLeaseUpdated(0))
	}
	d.lines.Write(rail.EventDutyLost, gateway.NewField("holder", d.lease.Holder()), gateway.NewField("fence", d.lease.Fence()), gateway.NewField("error", err.Error()))
}

// keep reads the lease, renews it, or takes it from a silent holder.
func (d *Runner) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := d.now()
	if !d.lease.Held(now) && (now-d.read >= candidateInterval || d.lease.Due(now)) {
		if err := d.follow(ctx); err != nil {
			return err
		}
	}
	if !d.lease.Due(now) {
		return nil
	}
	var admitted map[string][]int64
	var wall time.Time
	d.gateway.View(func(s *gateway.State) { admitted, wall = s.Admitted(), s.TrueTime(time.Now()) })
	key, value, err := d.lease.Claim(now, admitted, wall)
	if err != nil {
		return err
	}
	at := d.lease.Next()
	if err := d.log.Append(ctx, key, value, at); err != nil {
		if errors.Is(err, gateway.ErrConflict) {
			d.lease.Drop()
			return d.follow(ctx)
		}
		return err
	}
	taken, err := d.lease.ClaimAppended(value, at, now)
	if taken {
		d.reported, d.orders = map[int64]bool{}, map[orderKey]*order{}
		d.lines.Write(rail.EventDutyAcquired, gateway.NewField("fence", d.lease.Fence()), gateway.NewField("offset", at))
	}
	return err
}

// follow reads what others wrote to the topic.
func (d *Runner) follow(ctx context.Context) error {
	at := d.now()
	d.read = at
	var b gateway.Batch
	err := gateway.ErrCompacted
	if d.lease.Next() > 0 {
		b, err = d.log.Read(ctx, d.lease.Next(), 0)
	}
	if errors.Is(err, gateway.ErrCompacted) {
		b, err = d.log.Newest(ctx)
	}
	if err != nil {
		return err
	}
	first := d.lease.Next() == 0
	if err := d.lease.Apply(b.Records(), b.Next(), at); err != nil {
		return err
	}
	if admitted, wall := d.lease.Admitted(); first && len(admitted) > 0 {
		d.gateway.Post(gateway.NewAdmittedRestored(admitted, wall))
	}
	return nil
}

func (d *Runner) release(ctx context.Context) {
	if !d.lease.Held(d.now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, value, err := d.lease.Release()
	if err == nil {
		err = d.log.Append(ctx, key, value, d.lease.Next())
	}
	if err != nil { // The lease ends by its time-out.
		d.lines.Write(rail.EventDutyLost, gateway.NewField("fence", d.lease.Fence()), gateway.NewField("error", err.Error()))
	}
}

// reportUsage fixes the counts of each window that has ended and reports them.
func (d *Runner) reportUsage(ctx context.Context) {
	var current int64
	var into time.Duration
	d.gateway.View(func(s *gateway.State) { current, into = s.Window(time.Now()) })
	last := current - 1
	if into < usageDelay {
		last--
	}
	for w := last - reportedWindows + 1; w <= last; w++ {
		if d.reported[w] || !d.lease.Held(d.now()) {
			continue
		}
		if err := d.reportWindow(ctx, w); err != nil {
			d.lose(err)
			return
		}
	}
	for w := range d.reported {
		if last-w > usageKeys {
			delete(d.reported, w)
		}
	}
}

func (d *Runner) reportWindow(ctx context.Context, w int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, fixed := d.lease.Usage(w)
	if !fixed {
		d.gateway.View(func(s *gateway.State) { counts = s.Usage(w) })
		if len(counts) == 0 {
			return nil
		}
		key, value, err := d.lease.FixUsage(w, counts)
		if err != nil {
			return err
		}
		at := d.lease.Next()
		if err := d.log.Append(ctx, key, value, at); err != nil {
			return err
		}
		if err := d.lease.Apply([]gateway.Record{gateway.NewRecord(key, value, at)}, at+1, d.now()); err != nil {
			return err
		}
	}
	if err := d.cloud.ReportUsage(ctx, d.lease.Fence(), w, counts); err != nil {
		return err
	}
	d.reported[w] = true
	d.lines.Write(rail.EventUsageReported, gateway.NewField("window", w), gateway.NewField("counts", counts), gateway.NewField("fence", d.lease.Fence()))
	return nil
}

// demand measures the prompt tokens a second over all gateways.
type demand struct {
	total int64
	at    time.Time
	rate  float64
}

// demandGain is the weight of one second in the moving rate of the demand.
const demandGain = 0.3

func (m *demand) measure(total int64, now time.Time) bool {
	passed := now.Sub(m.at).Seconds()
	if passed < 1 {
		return false
	}
	if !m.at.IsZero() && total >= m.total {
		m.rate += demandGain * (float64(total-m.total)/passed - m.rate)
	}
	m.total, m.at = total, now
	return true
}

// orderUpstreams orders what the plan of each service wants.
func (d *Runner) orderUpstreams(ctx context.Context) {
	now := time.Now()
	var services []*gateway.Fleet
	d.gateway.View(func(s *gateway.State) { services = s.Fleets() })
	for _, f := range services {
		p, ok := d.plans[f.Service()]
		if !ok {
			if g := d.found[f.Service()]; g.total == 0 || d.now()-g.at < settleTime || d.now()-d.started < firstOrder {
				continue // The upstreams that were there before are not all listed yet.
			}
			p = NewPlan(f.MinUpstreams(), f.MaxUpstreams(), f.Total())
			d.plans[f.Service()] = p
		}
		if d.fresh && d.demand.rate > 0 {
			p.UpdateDemand(d.demand.rate, now)
		}
		domains := d.domains(f)
		for _, w := range p.DesiredCapacity(domains, d.dry[f.Service()]) {
			if err := d.order(ctx, f, w, now); err != nil {
				d.lose(err)
				return
			}
		}
	}
}

// watchFound notes when upstreams were listed last, until the demand is known.
func (d *Runner) watchFound() {
	var services []*gateway.Fleet
	d.gateway.View(func(s *gateway.State) { services = s.Fleets() })
	for _, f := range services {
		g, ok := d.found[f.Service()]
		if !ok || (f.Total() > g.total && d.demand.rate == 0) {
			d.found[f.Service()] = growth{total: f.Total(), at: d.now()}
		}
	}
}

func (d *Runner) domains(f *gateway.Fleet) []Domain {
	var domains []Domain
	for name, price := range f.Prices() {
		domains = append(domains, NewDomain(name, price, f.Count(name, true), f.Count(name, false)))
		if f.Reclaimed(name) {
			d.dry[f.Service()] = true
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i].name < domains[j].name })
	return domains
}

// order makes an order if it differs from the last one, or if that one did not come about.
func (d *Runner) order(ctx context.Context, f *gateway.Fleet, w DesiredCapacity, now time.Time) error {
	k := orderKey{f.Service(), w.domain, w.spot}
	o, ok := d.orders[k]
	if !ok {
		o = &order{count: -1}
		d.orders[k] = o
	}
	present := f.Count(w.domain, w.spot)
	switch {
	case w.spot && d.dry[f.Service()] && now.Sub(d.refused) < refusedRepeat:
		return nil
	case o.done && o.count == w.count && present >= w.count:
		o.met = true
		return nil
	case o.done && o.count == w.count && !o.met && now.Sub(o.at) < orderRepeat:
		return nil
	case !d.lease.Held(d.now()):
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.cloud.OrderUpstreams(ctx, d.lease.Fence(), f.Service(), w)
	d.lines.Write(rail.EventUpstreamsOrdered, gateway.NewField("service", f.Service()), gateway.NewField("domain", w.domain), gateway.NewField("spot", w.spot),
		gateway.NewField("count", w.count), gateway.NewField("present", present), gateway.NewField("demand", int64(d.demand.rate)),
		gateway.NewField("fence", d.lease.Fence()), gateway.ErrorField(err))
	o.count, o.at, o.done, o.met = w.count, now, err == nil, false
	if w.spot {
		d.dry[f.Service()] = errors.Is(err, ErrNoCapacity) || (err != nil && d.dry[f.Service()])
	}
	if errors.Is(err, ErrNoCapacity) {
		d.refused = now
		return nil
	}
	if errors.Is(err, ErrFenced) {
		return err
	}
	return nil // An order without an answer is made again.
}

// tellRollouts tells the operator of each change of a rollout.
func (d *Runner) tellRollouts(ctx context.Context) {
	var verdicts map[string]gateway.RolloutOrder
	d.gateway.View(func(s *gateway.State) { verdicts = s.Verdicts() })
	for _, o := range verdicts {
		k := o.Service() + "/" + o.Target()
		if d.told[k] == o.State() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.cloud.ReportRollout(callCtx, o)
		cancel()
		if err != nil {
			d.lose(err)
			return
		}
		d.told[k] = o.State()
		if o.State() != gateway.RolloutRunning {
			d.gateway.Post(gateway.NewRolloutRead(o))
		}
	}
}
