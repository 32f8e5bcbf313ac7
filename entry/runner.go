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
	// appendQueue bounds the records that wait for the platform.
	appendQueue = 256
	// appendWorkers bounds the appends under way at one time.
	appendWorkers = 4
)

// ExchangeClient reaches the digests and documents of peers.
type ExchangeClient interface {
	// Exchange runs the effect and returns the event for the reducer.
	Exchange(ctx context.Context, e digest.Exchange) rail.Event
	// Document asks the peer for the document in force and returns the event for the reducer.
	Document(ctx context.Context, peer rail.Instance) rail.Event
}

// OrderClient reaches the entries that hold orders.
type OrderClient interface {
	// Run sends the order to the entry that holds its ticket and returns the outcome.
	Run(ctx context.Context, holder rail.Instance, f order.Forward) (rail.ServiceReply, error)
	// HandOver sends the tickets to their one successor.
	HandOver(ctx context.Context, successor rail.Instance, from rail.Incarnation, h order.HandOver) error
}

// Journal takes in the numbered events.
type Journal interface {
	// Report writes one event.
	Report(number rail.EventNumber, subject, detail string)
}

// Metrics counts what the runner does.
type Metrics interface {
	// Attempt counts an attempt sent to an upstream.
	Attempt(route rail.RouteName)
	// Dropped counts an event for which a bounded queue had no room.
	Dropped(queue string)
}

// EffectRunner runs the effects of one entry; none of its calls waits.
type EffectRunner struct {
	me      rail.Instance
	loop    *Loop
	timers  rail.Timers
	log     rail.Log
	cloud   rail.Cloud
	store   *answer.Store
	pump    *answer.Pump
	mover   *answer.Mover
	peers   ExchangeClient
	orders  OrderClient
	journal Journal
	metrics Metrics
	group   rail.Group
	appends chan rail.Append
	left    chan struct{}
	// wanted asks for a read of the instance list before its time.
	wanted chan struct{}

	gone     departed
	document atomic.Pointer[rail.Document]
	polls    atomic.Pointer[PollTargets]
	leaving  atomic.Bool
}

// NewEffectRunner returns a runner; Work must be started.
func NewEffectRunner(me rail.Instance, loop *Loop, timers rail.Timers, log rail.Log, cloud rail.Cloud, store *answer.Store, pump *answer.Pump,
	mover *answer.Mover, peers ExchangeClient, orders OrderClient, journal Journal, metrics Metrics, group rail.Group,
) *EffectRunner {
	f := &EffectRunner{
		me: me, loop: loop, timers: timers, log: log, cloud: cloud, store: store, pump: pump, mover: mover,
		peers: peers, orders: orders, journal: journal, metrics: metrics, group: group,
		appends: make(chan rail.Append, appendQueue),
		left:    make(chan struct{}),
		wanted:  make(chan struct{}, 1),
	}
	f.document.Store(&rail.Document{})
	f.polls.Store(&PollTargets{})
	return f
}

// InForce returns the document in force.
func (f *EffectRunner) InForce() rail.Document { return *f.document.Load() }

// PollTargets returns whose load to ask for, and the peers.
func (f *EffectRunner) PollTargets() PollTargets { return *f.polls.Load() }

// Entries returns the live entries but this one.
func (f *EffectRunner) Entries() []rail.Instance { return f.polls.Load().Peers() }

// Done is closed when the entry has nothing left to do.
func (f *EffectRunner) Done() <-chan struct{} { return f.left }

// Run carries out one effect and returns the events to reduce next.
func (f *EffectRunner) Run(e rail.Effect) []rail.Event {
	switch e := e.(type) {
	case rail.SetTimer:
		f.timers.Set(e.Name(), e.After())
	case rail.Append:
		return f.queueAppend(e)
	case rail.Dispatch:
		f.metrics.Attempt(e.Request().Route())
		f.pump.Run(e)
	case rail.CancelAttempt:
		f.pump.Cancel(e)
	case digest.Exchange:
		f.post(func(ctx context.Context) rail.Event { return f.peers.Exchange(ctx, e) })
	case document.Fetch:
		f.fetchDocument(e)
	case rail.Report:
		f.journal.Report(e.Number(), e.Subject(), e.Detail())
	case answer.Finished:
		f.store.Finish(e.Call(), e.Kind(), e.Reply())
	case answer.Moved:
		f.store.Move(e.Call())
	case answer.HandOver:
		f.mover.Run(e)
	case settled:
		f.store.Finish(e.id, e.kind, e.reply)
	case refused:
		f.store.Finish(e.call, e.kind, rail.ServiceReply{})
		f.journal.Report(rail.EventRequestRefused, string(e.call), string(e.kind))
	case order.Refused:
		f.journal.Report(rail.EventRequestRefused, string(e.Call()), string(e.Kind()))
	case order.Forward:
		f.forward(e)
	case order.HandOver:
		f.handOver(e)
	case fleet.Buy:
		f.buy(e)
	case fleet.Release:
		f.release(e)
	case InForce:
		d := e.Document()
		f.document.Store(&d)
	case PollTargets:
		f.gone.compare(f.polls.Load().Known(), e.Known())
		f.polls.Store(&e)
	case ShutdownFinished:
		close(f.left)
	}
	return nil
}

// queueAppend queues a record; without room the platform counts as away.
func (f *EffectRunner) queueAppend(e rail.Append) []rail.Event {
	select {
	case f.appends <- e:
		return nil
	default:
		f.metrics.Dropped("appends")
		return []rail.Event{rail.NewLogUnavailable(rail.NewError(rail.KindPlatformUnavailable, "the queue of appends is full"))}
	}
}

// RunAppendWorker appends the queued records until the context ends.
func (f *EffectRunner) RunAppendWorker(ctx context.Context) {
	for {
		select {
		case e := <-f.appends:
			f.appendOne(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

func (f *EffectRunner) appendOne(ctx context.Context, e rail.Append) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.log.Append(ctx, e.Kind(), e.Body()); err != nil {
		f.loop.Post(rail.NewLogUnavailable(err))
	}
}

// post makes the call in the background and queues the event that it returns.
func (f *EffectRunner) post(call func(ctx context.Context) rail.Event) {
	f.group.Go(func(ctx context.Context) { _ = f.loop.PostWait(ctx, call(ctx)) })
}

// fetchDocument asks one peer, any one if none is named, for its document.
func (f *EffectRunner) fetchDocument(e document.Fetch) {
	f.post(func(ctx context.Context) rail.Event {
		peer, ok := f.entryOf(e.Peer())
		if entries := f.Entries(); e.Peer() == "" && len(entries) > 0 {
			peer, ok = entries[rand.IntN(len(entries))], true //nolint:gosec // Not for secrets.
		}
		if !ok {
			return document.NewFetchFailed(e.Peer())
		}
		return f.peers.Document(ctx, peer)
	})
}

// buy asks the cloud for an instance, unless the lease is over by now.
func (f *EffectRunner) buy(e fleet.Buy) {
	f.group.Go(func(ctx context.Context) {
		if !time.Now().Before(e.Until()) {
			return
		}
		ctx, cancel := context.WithDeadline(ctx, e.Until())
		defer cancel()
		id, err := f.cloud.Buy(ctx, e.Token(), e.Offer(), e.Serves(), e.Version())
		switch {
		case err == nil:
			_ = f.loop.PostWait(ctx, fleet.NewBought(e.Token(), id))
		case rail.KindOf(err) == rail.KindUpstreamRefused:
			_ = f.loop.PostWait(ctx, fleet.NewBuyRefused(e.Token()))
		}
		// A lost answer needs no event: the part asks again with the same token.
	})
}

// release gives an instance back, unless the lease is over by now.
func (f *EffectRunner) release(e fleet.Release) {
	f.group.Go(func(ctx context.Context) {
		if !time.Now().Before(e.Until()) {
			return
		}
		ctx, cancel := context.WithDeadline(ctx, e.Until())
		defer cancel()
		_ = f.cloud.Release(ctx, e.Instance())
	})
}

// forward sends an order to the entry that holds its ticket.
func (f *EffectRunner) forward(e order.Forward) {
	f.post(func(ctx context.Context) rail.Event {
		id := e.Request().ID()
		issuer, ok := f.entryOf(e.Issuer())
		if !ok {
			return order.NewForwardEnded(id, f.whyUnknown(e.Issuer()), rail.ServiceReply{})
		}
		reply, err := f.orders.Run(ctx, issuer, e)
		return order.NewForwardEnded(id, rail.KindOf(err), reply)
	})
}

// handOver sends tickets to their successor.
func (f *EffectRunner) handOver(e order.HandOver) {
	f.post(func(ctx context.Context) rail.Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.sendTickets(ctx, e)
	})
}

func (f *EffectRunner) sendTickets(ctx context.Context, e order.HandOver) rail.Event {
	successor, ok := f.entryOf(e.Successor())
	if !ok {
		return order.NewHandoverLost(e.Number())
	}
	switch err := f.orders.HandOver(ctx, successor, f.me.Incarnation(), e); {
	case err == nil:
		return order.NewHandoverAnswered(e.Number())
	case rail.KindOf(err).Reply().Run() == rail.NotRun:
		return order.NewHandoverRefused(e.Number())
	default:
		return order.NewHandoverLost(e.Number())
	}
}

// whyUnknown returns why an entry is not known: it is gone, or it has just
// started and no list has shown it here yet, which a retry finds out.
func (f *EffectRunner) whyUnknown(n rail.Incarnation) rail.Kind {
	if f.gone.has(n) {
		return rail.KindIssuerGone
	}
	f.listWanted()
	return rail.KindIssuerUnreachable
}

// entryOf returns the entry that runs as the incarnation, leaving or not.
func (f *EffectRunner) entryOf(n rail.Incarnation) (rail.Instance, bool) {
	for _, p := range f.polls.Load().Known() {
		if p.Incarnation() == n {
			return p, true
		}
	}
	return rail.Instance{}, false
}

// Leaving reports whether the balancer shall send nothing more here.
func (f *EffectRunner) Leaving() bool { return f.leaving.Load() }
