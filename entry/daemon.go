package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/caller"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/engine"
	"dandelionrail.org/rail/fleet"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/journal"
	"dandelionrail.org/rail/order"
	"dandelionrail.org/rail/outside"
	"dandelionrail.org/rail/peer"
	"dandelionrail.org/rail/rollout"
	"dandelionrail.org/rail/service"
	"dandelionrail.org/rail/settings"
	"dandelionrail.org/rail/team"
	"dandelionrail.org/rail/telemetry"
	"dandelionrail.org/rail/timeline"
	"dandelionrail.org/rail/timer"
	"dandelionrail.org/rail/upstream"
)

// maxTimelineEvents bounds the timeline events that a process keeps.
const maxTimelineEvents = 20_000

// Daemon is one entry process.
type Daemon struct {
	settings        settings.Settings
	me              rail.Instance
	group           *group.Group
	ring            *timeline.Ring
	journal         *journal.Journal
	metrics         *telemetry.Telemetry
	platform        *outside.Client
	log             rail.Log
	engine          rail.Engine
	service         rail.Service
	loop            *Loop
	runner          *EffectRunner
	exchange        *peer.ExchangeClient
	timers          *timer.Service
	callerListener  *listener
	controlListener *listener
}

// New builds the daemon and binds its listeners; Start must follow.
func New(ctx context.Context, s settings.Settings, logs io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, group: group.New(ctx), ring: timeline.New(s.ID(), maxTimelineEvents)}
	var err error
	if d.journal, err = journal.New(logs, s.LogLevel(), s.ID(), d.ring); err != nil {
		return nil, errors.Wrap(err, "entry.New")
	}
	if d.metrics, err = telemetry.New(); err != nil {
		return nil, errors.Wrap(err, "entry.New")
	}
	if err := d.bind(ctx); err != nil {
		return nil, err
	}
	d.me = rail.NewInstance(rail.InstanceID(s.ID()), rail.Domain(s.Domain()), rail.RoleEntry, d.callerListener.address()).
		WithPeerAddress(d.controlListener.address()).
		WithServing(s.Environment(), "").
		WithIncarnation(rail.Incarnation(strings.ReplaceAll(uuid.NewString(), "-", "")))
	return d, d.compose()
}

// bind opens the two listeners first, because the instance record states their addresses.
func (d *Daemon) bind(ctx context.Context) error {
	serverKeys, err := serverTLS(d.settings)
	if err != nil {
		return err
	}
	if d.callerListener, err = listen(ctx, d.settings.Listen(), nil, nil); err != nil {
		return err
	}
	d.controlListener, err = listen(ctx, d.settings.ControlListen(), nil, serverKeys)
	return err
}

// compose builds the reducers, the loop, the effect runner and the callers' server.
func (d *Daemon) compose() error {
	d.platform = outside.New(d.settings.Platform(), &http.Client{Transport: outside.Transport()})
	d.log = outside.NewEnvironmentLog(d.platform, d.settings.Environment())
	answers := d.settings.Answers().WithInstance(d.me.ID())
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Not for secrets.
	d.loop = NewLoop(NewComposite(d.me, d.newReducers(answers)), d.settings.QueueLength(), random)
	d.timers = timer.New(func(ctx context.Context, e rail.TimerFired) { _ = d.loop.PostWait(ctx, e) })
	d.engine, d.service = engine.New(d.engineSettings()), service.New(service.Defaults())
	store := answer.NewStore(answers)
	peers, err := d.newPeerClients(store)
	if err != nil {
		return err
	}
	d.exchange = peers.exchange
	d.runner = NewEffectRunner(d.me, d.loop, d.timers, d.log, d.platform, store,
		answer.NewAttemptRunner(answers, d.engine, d.service, store, d.loop, d.group),
		answer.NewHandoverSender(answers, store, peers.answers, d.loop, d.group),
		peers.exchange, peers.orders, d.journal, d.metrics, d.group)
	d.loop.SetRunner(d.runner.Run)
	source := answer.NewSource(answers, store, peers.answers, d.runner)
	d.callerListener.server.Handler = caller.New(d.loop, d.runner, source, store, d.metrics, newRequestID,
		d.settings.MaxBodyBytes(), d.settings.MaxWaiting(), d.runner.Leaving).Handler()
	return nil
}

// newReducers returns the reducers; the settings decide whether the fleet reducer is among them.
func (d *Daemon) newReducers(answers answer.Settings) Reducers {
	instances := instance.New(d.me)
	upstreams := upstream.New(upstream.Defaults(), d.me.Domain())
	rollouts := rollout.New(rollout.Defaults(), d.me.Domain(), d.me.Incarnation())
	teams := team.New(team.Defaults(), d.me.Incarnation())
	answerReducer := answer.New(answers, d.me.Domain(), instances, upstreams, rollouts)
	answerReducer.UseBudget(teams)
	reducers := NewReducers(
		instances,
		digest.New(instances),
		document.New(d.documentOptions()...),
		upstreams,
		rollouts,
		teams,
		order.New(d.settings.Orders(), d.me.Domain(), d.me.Incarnation()),
		answerReducer,
	)
	if d.settings.Buys() {
		reducers = reducers.With(fleet.New(fleet.Defaults(), d.me.Incarnation()))
	}
	return reducers
}

// engineSettings keeps the client's silence timeouts no shorter than those of the answer reducer.
func (d *Daemon) engineSettings() engine.Settings {
	a := d.settings.Answers()
	return engine.Defaults().WithTokenTimeouts(a.FirstTokenTimeout(), a.InterTokenTimeout())
}

func (d *Daemon) documentOptions() []document.Option {
	options := []document.Option{document.ForEnvironment(d.settings.Environment()), document.ForProcess(d.me.Incarnation())}
	if r := d.settings.Retention(); r > 0 {
		options = append(options, document.WithRetention(r))
	}
	return options
}

// newRequestID returns a new unique request id.
func newRequestID() rail.RequestID { return rail.RequestID(uuid.NewString()) }

// Address returns host:port for callers.
func (d *Daemon) Address() string { return d.callerListener.address() }

// ControlAddress returns host:port for peers, operators and metrics.
func (d *Daemon) ControlAddress() string { return d.controlListener.address() }

// Start starts serving.
func (d *Daemon) Start() {
	d.journal.Report(rail.EventStarted, string(d.me.ID()), string(d.me.Domain())+" "+string(d.me.Incarnation()))
	d.group.Go(d.loop.Run)
	d.group.Go(d.timers.Run)
	for range appendWorkers {
		d.group.Go(d.runner.RunAppendWorker)
	}
	d.group.Go(func(ctx context.Context) { readLog(ctx, d.loop, d.log, d.settings.ReadWait()) })
	d.group.Go(func(ctx context.Context) {
		readList(ctx, d.loop, d.platform, d.settings.Environment(), d.settings.ListInterval(), d.runner.listReadRequests)
	})
	d.group.Go(func(ctx context.Context) {
		readNotices(ctx, d.loop, d.platform, d.me.ID(), d.entryCount, d.startReclaim)
	})
	d.group.Go(d.register)
	if d.settings.Buys() {
		d.group.Go(func(ctx context.Context) { readOffers(ctx, d.loop, d.platform) })
	}
	d.group.Go(d.pollLoads)
	d.group.Go(d.queryConfiguredPeers)
	d.group.Go(d.callerListener.serve)
	d.group.Go(d.controlListener.serve)
}

// register renews this entry's registration in the platform's instance list at intervals.
func (d *Daemon) register(ctx context.Context) {
	every(ctx, registerInterval, func() {
		me := d.me
		if d.runner.Leaving() {
			me = me.WithLeaving()
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_ = d.platform.Register(ctx, me) // While the platform is unavailable, peers know this entry from the last list.
	})
}

// entryCount returns the number of live entries, this one included.
func (d *Daemon) entryCount() int { return 1 + len(d.runner.Entries()) }

// Leave starts a graceful shutdown.
func (d *Daemon) Leave() {
	d.runner.leaving.Store(true)
	_ = d.loop.PostWait(d.group.Context(), rail.NewShutdownStarted(false))
}

// startReclaim starts the leaving of an instance that is reclaimed at the deadline.
func (d *Daemon) startReclaim(deadline time.Time) {
	d.runner.leaving.Store(true)
	_ = d.loop.PostWait(d.group.Context(), rail.NewShutdownStarted(true).WithDeadline(deadline))
}

// Done returns a channel that is closed when a leaving daemon has no work left.
func (d *Daemon) Done() <-chan struct{} { return d.runner.Done() }

// Stop closes the listeners, waits for their connections to become idle, and ends all goroutines.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = d.callerListener.shutdown(ctx)
	_ = d.platform.Unregister(ctx, d.me.ID())
	_ = d.controlListener.shutdown(ctx)
	d.journal.Report(rail.EventStopped, string(d.me.ID()), "")
	d.group.Stop()
}

// stopTimeout bounds the wait for connections to become idle.
const stopTimeout = 10 * time.Second
