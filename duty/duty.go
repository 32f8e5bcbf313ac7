package duty

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gateway"
)

// ErrFenced is returned when another holder has used a higher fence.
var ErrFenced = errors.New("duty: a higher fence was used")

// ErrNoCapacity is returned when the cloud has no upstreams of the class in the domain now.
var ErrNoCapacity = errors.New("duty: no upstreams available in the domain")

// ErrNoReply is returned for a call that had no reply: it may have been carried out, or may still be.
var ErrNoReply = errors.New("duty: no reply")

// Topic is the topic of the store that holds the lease and the fixed usage counts.
type Topic interface {
	// Read returns the records from the offset on.
	Read(ctx context.Context, from int64, wait time.Duration) (gateway.Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (gateway.Batch, error)
	// Append adds the record if the topic ends at the offset of the position, and returns gateway.ErrConflict otherwise. It returns that
	// too if the store is in another era than the position's; the record may have been added then.
	Append(ctx context.Context, key string, value []byte, at gateway.Position) error
}

// Cloud is the API that the lease holder calls; usage reports and orders carry its fence. A call without a reply, also one
// whose context has ended, returns ErrNoReply.
type Cloud interface {
	// ReportUsage reports the request counts of a window by team.
	ReportUsage(ctx context.Context, fence, window int64, counts map[string]int64) error
	// OrderUpstreams orders a number of upstreams of a service in a failure domain.
	OrderUpstreams(ctx context.Context, fence int64, service string, c DesiredCapacity) error
	// ReportRollout reports the state of a rollout to the operator.
	ReportRollout(ctx context.Context, o gateway.RolloutOrder) error
	// RolloutStatuses returns the states of rollouts that were reported to the operator.
	RolloutStatuses(ctx context.Context) ([]gateway.RolloutStatus, error)
}

const (
	// tickInterval is the time between two checks for due work.
	tickInterval = 400 * time.Millisecond
	// candidateInterval is the time between reads of the lease by gateways that do not hold it.
	candidateInterval = 1200 * time.Millisecond
	// callTimeout bounds a call to the store or the cloud.
	callTimeout = 600 * time.Millisecond
	// usageDelay is how long after its end a window is reported; by then all peers have announced their counts.
	usageDelay = 2 * time.Second
	// startSpread is the longest time between the starts of two gateways in a start of the whole system.
	startSpread = 500 * time.Millisecond
	// reportedWindows is how many ended windows are still reported; reports of older ones would be late.
	reportedWindows = 3
)

// Runner keeps the lease of one gateway and performs the tasks of the holder.
type Runner struct {
	lease    *Lease
	gateway  *gateway.Gateway
	topic    Topic
	cloud    Cloud
	operator OperatorTopic
	log      gateway.Log
	now      func() time.Duration
	usage    bool
	scale    bool
	lastRead time.Duration
	started  time.Duration
	reported map[int64]bool
	plans    map[string]*Plan
	orders   map[orderKey]*upstreamOrder
	demand   demandMeter
	metrics  Metrics
	// estimates reports whether the number of engines follows from their estimated rates.
	estimates bool
	// requirementLoggedAt and basisLoggedAt are when a change of the required number or its basis was last logged, by service; leaving is the number of upstreams that were
	// last seen to be leaving, by service and domain.
	requirementLoggedAt map[string]time.Time
	basisLoggedAt       map[string]time.Time
	leaving             map[string]int
	listed              map[string]listing
	// inRollout marks the services that were in a rollout in the last tick.
	inRollout      map[string]bool
	demandMeasured bool // in this tick
	refreshed      bool // in this tick
	// spotUnavailable marks the services for which the cloud has no reclaimable upstreams now; refusedAt is the time of
	// the cloud's last refusal.
	spotUnavailable  map[string]bool
	refusedAt        time.Time
	reportedRollouts map[string]gateway.RolloutOrder
	// rolloutReportsLost reports that the store was restored since the rollouts were reported; those that have ended are reported again.
	rolloutReportsLost bool
	// rolloutStatusesRead reports that the rollouts that earlier holders reported were read since this gateway took the lease.
	rolloutStatusesRead bool
	// unanswered reports that the cloud did not reply to a call, which it may still carry out.
	unanswered bool
}

// New returns the runner of a gateway; now is a clock that continues while the process is paused. Run must be started.
func New(l *Lease, g *gateway.Gateway, topic Topic, cloud Cloud, operator OperatorTopic, log gateway.Log, now func() time.Duration, usage, scale bool) *Runner {
	return &Runner{
		lease: l, gateway: g, topic: topic, cloud: cloud, operator: operator, log: log, now: now, started: now(), usage: usage, scale: scale,
		reported: map[int64]bool{}, plans: map[string]*Plan{}, orders: map[orderKey]*upstreamOrder{}, spotUnavailable: map[string]bool{}, listed: map[string]listing{}, inRollout: map[string]bool{}, reportedRollouts: map[string]gateway.RolloutOrder{},
		requirementLoggedAt: map[string]time.Time{}, basisLoggedAt: map[string]time.Time{}, leaving: map[string]int{},
	}
}

// Run does the due work until the context ends, and then releases the lease.
func (r *Runner) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	r.tick(ctx) // Restores from the store what teams had admitted, before the first requests are accepted.
	for {
		select {
		case <-ctx.Done():
			r.release(context.WithoutCancel(ctx))
			return
		case <-t.C:
			r.tick(ctx)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	var total, holderFence int64
	var hasLeader bool
	r.gateway.View(func(s *gateway.State) { total, holderFence, hasLeader = s.Demand(), s.HolderFence(), s.HasCellLeader() })
	// Measured without the lease too, so that the next holder knows the demand and the upstreams.
	if r.demandMeasured = r.demand.measure(total, time.Now()); r.demandMeasured {
		r.recordListings()
	}
	if r.lease.Loaded() && holderFence != 0 && r.lease.ObserveHolder(holderFence, r.now()) {
		return // The holder is alive; there is no need to read the lease.
	}
	if r.lease.Loaded() && hasLeader && !r.lease.Held(r.now()) {
		r.gateway.Post(gateway.NewLeaseUpdated(0)) // The lease may have expired since the last tick.
		return                                     // Only a gateway without a cell leader takes the lease.
	}
	if err := r.keepLease(ctx); err != nil {
		r.handleLeaseError(err)
		return
	}
	if !r.lease.Held(r.now()) {
		r.gateway.Post(gateway.NewLeaseUpdated(0))
		return
	}
	r.gateway.Post(gateway.NewLeaseUpdated(r.lease.Fence()))
	if err := r.fixUsageAgain(ctx); err != nil {
		r.handleLeaseError(err)
		return
	}
	r.reportRollouts(ctx)
	if r.usage {
		r.reportUsage(ctx)
	}
	if r.scale {
		r.orderUpstreams(ctx)
	}
}

// handleLeaseError logs that keeping or using the lease failed; it drops the lease if another gateway has used a higher fence or
// appended to the topic.
func (r *Runner) handleLeaseError(err error) {
	if errors.Is(err, ErrFenced) || errors.Is(err, gateway.ErrConflict) {
		r.lease.Drop()
	}
	if !r.lease.Held(r.now()) {
		r.gateway.Post(gateway.NewLeaseUpdated(0))
	}
	r.log.Write(rail.EventDutyLost, gateway.NewField("holder", r.lease.Holder()), gateway.NewField("fence", r.lease.Fence()), gateway.NewField("error", err.Error()))
}

// keepLease reads the lease, renews it, or takes it over from a silent holder.
func (r *Runner) keepLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := r.now()
	if !r.lease.Held(now) && (now-r.lastRead >= candidateInterval || r.lease.Due(now)) {
		if err := r.readTopic(ctx); err != nil {
			return err
		}
	}
	if !r.lease.Due(now) {
		return nil
	}
	var admitted map[string][]int64
	var wall time.Time
	var window int64
	known := false
	r.gateway.View(func(s *gateway.State) {
		admitted, wall, known = s.Admitted(), s.TrueTime(time.Now()), s.KnowsAdmitted(time.Now())
		window, _ = s.Window(time.Now())
	})
	// A record that is dated now must not lack what the others admitted since the last one.
	if stored, at := r.lease.Admitted(); !known && len(stored) > 0 {
		admitted, wall = stored, at
	}
	// A record of the lease in an era says that the topic has the counts that its holders fixed before.
	if r.lease.Held(now) {
		if err := r.fixUsageAgain(ctx); err != nil {
			return r.readAfterConflict(ctx, err)
		}
	}
	key, value, err := r.lease.Claim(now, admitted, wall, window)
	if err != nil {
		return err
	}
	at := r.lease.Next()
	if err := r.topic.Append(ctx, key, value, r.lease.Position()); err != nil {
		return r.readAfterConflict(ctx, err)
	}
	taken, err := r.lease.ClaimAppended(value, at, now)
	if taken {
		r.reported, r.orders, r.rolloutStatusesRead = map[int64]bool{}, map[orderKey]*upstreamOrder{}, false
		// What this gateway planned under an earlier lease says nothing about the demand since.
		r.plans, r.spotUnavailable, r.leaving = map[string]*Plan{}, map[string]bool{}, map[string]int{}
		r.log.Write(rail.EventDutyAcquired, gateway.NewField("fence", r.lease.Fence()), gateway.NewField("offset", at))
	}
	return err
}

// readAfterConflict reads the topic if the error is that of a conflict, and drops the lease unless the store was restored.
func (r *Runner) readAfterConflict(ctx context.Context, err error) error {
	if !errors.Is(err, gateway.ErrConflict) {
		return err
	}
	era := r.lease.Era()
	if err = r.readTopic(ctx); err != nil || r.lease.Era() == era {
		r.lease.Drop()
	}
	return err
}

// readTopic applies the records that other gateways wrote to the topic.
func (r *Runner) readTopic(ctx context.Context) error {
	r.lastRead = r.now()
	var b gateway.Batch
	err := gateway.ErrCompacted
	if r.lease.Loaded() {
		b, err = r.topic.Read(ctx, r.lease.Next(), 0)
	}
	if errors.Is(err, gateway.ErrCompacted) || (err == nil && b.Era() != r.lease.Era()) {
		b, err = r.topic.Newest(ctx)
	}
	switch {
	case err != nil:
		return err
	case b.Era() < r.lease.Era():
		return errStaleRead
	case b.Era() > r.lease.Era():
		if r.lease.Loaded() {
			r.rolloutReportsLost = true
			clear(r.reportedRollouts)
		}
		r.lease.BeginEra(b.Era(), r.now())
	}
	first := !r.lease.Loaded()
	if first && r.beginsFirstStart() {
		r.lease.BeginFirstStart()
	}
	if err := r.lease.Apply(b.Records(), b.Next(), r.now()); err != nil {
		return err
	}
	if admitted, wall := r.lease.Admitted(); first && len(admitted) > 0 {
		r.gateway.Post(gateway.NewAdmittedRestored(admitted, wall))
	}
	return nil
}

// beginsFirstStart reports whether the whole system starts for the first time, so shortly ago that no gateway can have reported usage.
func (r *Runner) beginsFirstStart() bool {
	first := false
	r.gateway.View(func(s *gateway.State) { first = s.FirstStart() })
	return first && r.now()-r.started < usageDelay-startSpread
}

// errStaleRead is returned for a read that the store answered before it was restored.
var errStaleRead = errors.New("duty: the topic was read in an earlier era of the store")

func (r *Runner) release(ctx context.Context) {
	if !r.lease.Held(r.now()) {
		return
	}
	if r.unanswered { // The next holder must not act before that call.
		r.log.Write(rail.EventDutyLost, gateway.NewField("fence", r.lease.Fence()), gateway.NewField("error", "a call has no reply: the lease expires instead of being released"))
		return
	}
	if lacking := r.lease.UnrecordedUsage(); len(lacking) > 0 {
		r.log.Write(rail.EventDutyLost, gateway.NewField("fence", r.lease.Fence()), gateway.NewField("error", "the store was restored and lacks usage counts: the lease expires instead of being released"), gateway.NewField("windows", lacking))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, value, err := r.lease.Release()
	if err == nil {
		err = r.topic.Append(ctx, key, value, r.lease.Position())
	}
	if err != nil { // The lease expires by itself.
		r.log.Write(rail.EventDutyLost, gateway.NewField("fence", r.lease.Fence()), gateway.NewField("error", err.Error()))
	}
}

// reportUsage fixes the counts of each window that has ended and reports them.
func (r *Runner) reportUsage(ctx context.Context) {
	var current int64
	var elapsed time.Duration
	r.gateway.View(func(s *gateway.State) { current, elapsed = s.Window(time.Now()) })
	last := current - 1
	if elapsed < usageDelay {
		last--
	}
	for w := last - reportedWindows + 1; w <= last; w++ {
		if r.reported[w] || !r.mayAct(ctx) {
			continue
		}
		if err := r.reportWindow(ctx, w); err != nil {
			r.handleLeaseError(err)
			return
		}
	}
	for w := range r.reported {
		if last-w > usageKeys {
			delete(r.reported, w)
		}
	}
}

func (r *Runner) reportWindow(ctx context.Context, w int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, fixed := r.lease.Usage(w)
	if !fixed {
		if !r.lease.MayFixUsage(w) {
			return nil // Another holder may have reported it.
		}
		r.gateway.View(func(s *gateway.State) { counts = s.Usage(w) })
		if len(counts) == 0 {
			return nil
		}
		if err := r.fixUsage(ctx, w, counts); err != nil {
			return err
		}
	}
	if err := r.callCloud(ctx, func(ctx context.Context) error { return r.cloud.ReportUsage(ctx, r.lease.Fence(), w, counts) }); err != nil {
		return err
	}
	r.reported[w] = true
	r.log.Write(rail.EventUsageReported, gateway.NewField("window", w), gateway.NewField("counts", counts), gateway.NewField("fence", r.lease.Fence()))
	return nil
}

// fixUsage writes the counts of a window to the topic.
func (r *Runner) fixUsage(ctx context.Context, w int64, counts map[string]int64) error {
	key, value, err := r.lease.FixUsage(w, counts)
	if err != nil {
		return err
	}
	at := r.lease.Next()
	if err := r.topic.Append(ctx, key, value, r.lease.Position()); err != nil {
		return err
	}
	return r.lease.Apply([]gateway.Record{gateway.NewRecord(key, value, at)}, at+1, r.now())
}

// fixUsageAgain writes the counts that a restore of the store lost: the next holder must not report others.
func (r *Runner) fixUsageAgain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, w := range r.lease.UnrecordedUsage() {
		counts, _ := r.lease.Usage(w)
		if err := r.fixUsage(ctx, w, counts); err != nil {
			return err
		}
	}
	return nil
}

// errNotHeld is returned for a call that the lease does not cover any more.
var errNotHeld = errors.New("duty: the lease has ended")

// mayAct reports whether this gateway holds the lease and is not being stopped.
func (r *Runner) mayAct(ctx context.Context) bool {
	return ctx.Err() == nil && r.lease.Held(r.now())
}

// callCloud makes a call as the holder. The call must end before the lease does, and a stop of this gateway does not cancel
// it: a call that was sent may be carried out later, after those of the next holder.
func (r *Runner) callCloud(ctx context.Context, call func(context.Context) error) error {
	remaining := r.lease.Remaining(r.now())
	if remaining <= 0 || ctx.Err() != nil {
		return errNotHeld
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(callTimeout, remaining))
	defer cancel()
	err := call(ctx)
	r.unanswered = errors.Is(err, ErrNoReply)
	return err
}

// reportRollouts reports each change of a rollout to the operator.
func (r *Runner) reportRollouts(ctx context.Context) {
	verdicts := r.verdicts()
	if len(verdicts) > 0 && !r.rolloutStatusesRead {
		if err := r.readRolloutStatuses(ctx); err != nil {
			r.handleLeaseError(err)
			return
		}
		verdicts = r.verdicts()
	}
	for _, o := range verdicts {
		if r.reportedRollouts[o.Service()] == o {
			continue
		}
		if err := r.callCloud(ctx, func(ctx context.Context) error { return r.cloud.ReportRollout(ctx, o) }); err != nil {
			r.handleLeaseError(err)
			return
		}
		r.reportedRollouts[o.Service()] = o
		if o.State() != gateway.RolloutRunning {
			r.gateway.Post(gateway.NewRolloutRead(o))
		}
	}
	r.rolloutReportsLost = false
}

// verdicts returns the rollouts whose states are to be reported, by service.
func (r *Runner) verdicts() map[string]gateway.RolloutOrder {
	var verdicts map[string]gateway.RolloutOrder
	r.gateway.View(func(s *gateway.State) {
		verdicts = s.Verdicts()
		if r.rolloutReportsLost {
			maps.Copy(verdicts, s.EndedRollouts())
		}
	})
	return verdicts
}

// readRolloutStatuses reads what earlier holders reported: one of them may have stopped before its peers knew that a rollout has ended.
func (r *Runner) readRolloutStatuses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	statuses, err := r.cloud.RolloutStatuses(ctx)
	if err != nil {
		return err
	}
	for _, s := range statuses {
		r.gateway.Post(gateway.NewRolloutStatusRead(s))
	}
	r.rolloutStatusesRead = true
	return nil
}
