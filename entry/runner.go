package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/fleet"
	"dandelionrail.org/rail/order"
)

const (
	// appendQueueLength bounds the records that wait to be appended to the platform's log.
	appendQueueLength = 256
	// appendWorkers bounds the concurrent appends.
	appendWorkers = 4
)

// ExchangeClient exchanges digests with peers and fetches their documents.
type ExchangeClient interface {
	// Exchange sends the digest to the peer and returns the event for the reducer.
	Exchange(ctx context.Context, e digest.Exchange) rail.Event
	// Document fetches the peer's document in force and returns the event for the reducer.
	Document(ctx context.Context, peer rail.Instance) rail.Event
}

// OrderClient calls the entries that hold orders.
type OrderClient interface {
	// Run sends the order to the entry that holds its ticket and returns the outcome.
	Run(ctx context.Context, holder rail.Instance, f order.Forward) (rail.ServiceReply, error)
	// HandOver sends the tickets to their only successor.
	HandOver(ctx context.Context, successor rail.Instance, from rail.Incarnation, h order.HandOver) error
}

// Journal records the numbered events.
type Journal interface {
	// Report writes one event.
	Report(number rail.EventNumber, subject, detail string)
}

// Metrics counts what the runner does.
type Metrics interface {
	// Attempt counts an attempt sent to an upstream.
	Attempt(route rail.RouteName)
	// Dropped counts an event that a full queue dropped.
	Dropped(queue string)
}

// EffectRunner carries out the effects of one entry; Run does not block.
type EffectRunner struct {
	me        rail.Instance
	loop      *Loop
	timers    rail.Timers
	log       rail.Log
	cloud     rail.Cloud
	store     *answer.Store
	attempts  *answer.AttemptRunner
	handovers *answer.HandoverSender
	exchange  ExchangeClient
	orders    OrderClient
	journal   Journal
	metrics   Metrics
	group     rail.Group
	appends   chan rail.Append
	done      chan struct{}
	// listReadRequests requests a read of the instance list before the interval ends.
	listReadRequests chan struct{}

	removed  removedEntries
	document atomic.Pointer[rail.Document]
	targets  atomic.Pointer[PollTargets]
	leaving  atomic.Bool
}

// NewEffectRunner returns a runner; the caller must start RunAppendWorker.
func NewEffectRunner(me rail.Instance, loop *Loop, timers rail.Timers, log rail.Log, cloud rail.Cloud, store *answer.Store, attempts *answer.AttemptRunner,
	handovers *answer.HandoverSender, exchange ExchangeClient, orders OrderClient, journal Journal, metrics Metrics, group rail.Group,
) *EffectRunner {
	r := &EffectRunner{
		me: me, loop: loop, timers: timers, log: log, cloud: cloud, store: store, attempts: attempts, handovers: handovers,
		exchange: exchange, orders: orders, journal: journal, metrics: metrics, group: group,
		appends:          make(chan rail.Append, appendQueueLength),
		done:             make(chan struct{}),
		listReadRequests: make(chan struct{}, 1),
	}
	r.document.Store(&rail.Document{})
	r.targets.Store(&PollTargets{})
	return r
}

// InForce returns the document in force.
func (r *EffectRunner) InForce() rail.Document { return *r.document.Load() }

// PollTargets returns the upstreams to poll, and the other entries.
func (r *EffectRunner) PollTargets() PollTargets { return *r.targets.Load() }

// Entries returns the live entries except this one.
func (r *EffectRunner) Entries() []rail.Instance { return r.targets.Load().Peers() }

// Done returns a channel that is closed when the entry has no work left.
func (r *EffectRunner) Done() <-chan struct{} { return r.done }

// Run carries out one effect and returns the events to reduce next.
func (r *EffectRunner) Run(e rail.Effect) []rail.Event {
	switch e := e.(type) {
	case rail.SetTimer:
		r.timers.Set(e.Name(), e.After())
	case rail.Append:
		return r.queueAppend(e)
	case rail.Dispatch:
		r.metrics.Attempt(e.Request().Route())
		r.attempts.Run(e)
	case rail.CancelAttempt:
		r.attempts.Cancel(e)
	case digest.Exchange:
		r.postResult(func(ctx context.Context) rail.Event { return r.exchange.Exchange(ctx, e) })
	case document.Fetch:
		r.fetchDocument(e)
	case rail.Report:
		r.journal.Report(e.Number(), e.Subject(), e.Detail())
	case answer.Finished:
		r.store.Finish(e.Call(), e.Kind(), e.Reply())
	case answer.Moved:
		r.store.MarkMoved(e.Call())
	case answer.HandOver:
		r.handovers.Run(e)
	case orderSettled:
		r.store.Finish(e.id, e.kind, e.reply)
	case refused:
		r.store.Finish(e.call, e.kind, rail.ServiceReply{})
		r.journal.Report(rail.EventRequestRefused, string(e.call), string(e.kind))
	case order.Refused:
		r.journal.Report(rail.EventRequestRefused, string(e.Call()), string(e.Kind()))
	case order.Forward:
		r.forward(e)
	case order.HandOver:
		r.handOver(e)
	case fleet.Buy:
		r.buy(e)
	case fleet.Release:
		r.release(e)
	case InForce:
		d := e.Document()
		r.document.Store(&d)
	case PollTargets:
		r.removed.recordMissing(r.targets.Load().Known(), e.Known())
		r.targets.Store(&e)
	case ShutdownFinished:
		close(r.done)
	}
	return nil
}

// queueAppend queues a record; if the queue is full, the platform's log counts as unavailable.
func (r *EffectRunner) queueAppend(e rail.Append) []rail.Event {
	select {
	case r.appends <- e:
		return nil
	default:
		r.metrics.Dropped("appends")
		return []rail.Event{rail.NewLogUnavailable(rail.NewError(rail.KindPlatformUnavailable, "the queue of appends is full"))}
	}
}

// RunAppendWorker appends the queued records until the context ends.
func (r *EffectRunner) RunAppendWorker(ctx context.Context) {
	for {
		select {
		case e := <-r.appends:
			r.appendOne(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

func (r *EffectRunner) appendOne(ctx context.Context, e rail.Append) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.log.Append(ctx, e.Kind(), e.Body()); err != nil {
		r.loop.Post(rail.NewLogUnavailable(err))
	}
}

// postResult makes the call in the background and queues the resulting event.
func (r *EffectRunner) postResult(call func(ctx context.Context) rail.Event) {
	r.group.Go(func(ctx context.Context) { _ = r.loop.PostWait(ctx, call(ctx)) })
}

// fetchDocument fetches the document of the named peer, or of a random peer if none is named.
func (r *EffectRunner) fetchDocument(e document.Fetch) {
	r.postResult(func(ctx context.Context) rail.Event {
		peer, ok := r.entryByIncarnation(e.Peer())
		if entries := r.Entries(); e.Peer() == "" && len(entries) > 0 {
			peer, ok = entries[rand.IntN(len(entries))], true //nolint:gosec // Not for secrets.
		}
		if !ok {
			return document.NewFetchFailed(e.Peer())
		}
		return r.exchange.Document(ctx, peer)
	})
}

// buy buys an instance in the cloud, unless the lease has expired.
func (r *EffectRunner) buy(e fleet.Buy) {
	r.group.Go(func(ctx context.Context) {
		if !time.Now().Before(e.Until()) {
			return
		}
		ctx, cancel := context.WithDeadline(ctx, e.Until())
		defer cancel()
		id, err := r.cloud.Buy(ctx, e.Token(), e.Offer(), e.Serves(), e.Version())
		switch {
		case err == nil:
			_ = r.loop.PostWait(ctx, fleet.NewBought(e.Token(), id))
		case rail.KindOf(err) == rail.KindUpstreamRefused:
			_ = r.loop.PostWait(ctx, fleet.NewBuyRefused(e.Token()))
		}
		// A lost response needs no event: the fleet reducer retries with the same token.
	})
}

// release releases an instance, unless the lease has expired.
func (r *EffectRunner) release(e fleet.Release) {
	r.group.Go(func(ctx context.Context) {
		if !time.Now().Before(e.Until()) {
			return
		}
		ctx, cancel := context.WithDeadline(ctx, e.Until())
		defer cancel()
		_ = r.cloud.Release(ctx, e.Instance())
	})
}

// forward sends an order to the entry that holds its ticket.
func (r *EffectRunner) forward(e order.Forward) {
	r.postResult(func(ctx context.Context) rail.Event {
		id := e.Request().ID()
		issuer, ok := r.entryByIncarnation(e.Issuer())
		if !ok {
			return order.NewForwardEnded(id, r.unknownEntryKind(e.Issuer()), rail.ServiceReply{})
		}
		reply, err := r.orders.Run(ctx, issuer, e)
		return order.NewForwardEnded(id, rail.KindOf(err), reply)
	})
}

// handOver sends tickets to their successor in the background.
func (r *EffectRunner) handOver(e order.HandOver) {
	r.postResult(func(ctx context.Context) rail.Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return r.sendTickets(ctx, e)
	})
}

func (r *EffectRunner) sendTickets(ctx context.Context, e order.HandOver) rail.Event {
	successor, ok := r.entryByIncarnation(e.Successor())
	if !ok {
		return order.NewHandoverLost(e.Number())
	}
	switch err := r.orders.HandOver(ctx, successor, r.me.Incarnation(), e); {
	case err == nil:
		return order.NewHandoverAnswered(e.Number())
	case rail.KindOf(err).Reply().Run() == rail.NotRun:
		return order.NewHandoverRefused(e.Number())
	default:
		return order.NewHandoverLost(e.Number())
	}
}

// unknownEntryKind returns the error kind for an entry that is not known. Either
// it was removed, or it has just started and is not listed here yet; the second
// kind makes the caller retry, and the list is read early.
func (r *EffectRunner) unknownEntryKind(n rail.Incarnation) rail.Kind {
	if r.removed.has(n) {
		return rail.KindIssuerGone
	}
	r.requestListRead()
	return rail.KindIssuerUnreachable
}

// entryByIncarnation returns the entry that runs as the incarnation, leaving or not.
func (r *EffectRunner) entryByIncarnation(n rail.Incarnation) (rail.Instance, bool) {
	for _, p := range r.targets.Load().Known() {
		if p.Incarnation() == n {
			return p, true
		}
	}
	return rail.Instance{}, false
}

// Leaving reports whether the balancer should stop sending requests to this entry.
func (r *EffectRunner) Leaving() bool { return r.leaving.Load() }
