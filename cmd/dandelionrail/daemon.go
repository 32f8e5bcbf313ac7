package main

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/duty"
	"dandelionrail.org/rail/gateway"
	"dandelionrail.org/rail/gossip"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/journal"
	"dandelionrail.org/rail/platform"
	"dandelionrail.org/rail/telemetry"
	"dandelionrail.org/rail/timer"
)

const (
	// tickInterval is the time between the reducer's ticks.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is the time between looks for idle connections and changed settings.
	sweepInterval = time.Second
	// watchInterval and watchWait space the reads of the configuration and of the upstreams, gatewayInterval those of the gateways.
	watchInterval   = 100 * time.Millisecond
	watchWait       = time.Second
	gatewayInterval = 4 * time.Second
	// watchIdle is the time between reads by gateways that leave the reading to others.
	watchIdle = 8 * time.Second
	// registerInterval is the time between tries to list this gateway.
	registerInterval = 500 * time.Millisecond
	// startReads is the number of times that a gateway reads the list of the others again after it has registered.
	startReads = 3
	// exitReserve is the time before the end of the grace period at which the process ends by itself.
	exitReserve = 150 * time.Millisecond
	// leasePatienceStep spaces the gateways that wait for a lapsed lease.
	leasePatienceStep = 100 * time.Millisecond
	leasePatiences    = 8
)

// daemon is one gateway with its listeners.
type daemon struct {
	settings platform.Settings
	lines    *journal.LineWriter
	writers  *group.Group
	group    *group.Group
	duties   *group.Group
	store    *platform.Store
	gateway  *gateway.Gateway
	ingress  *platform.Ingress
	sender   *platform.Sender
	gossip   *gossip.Gossip
	duty     *duty.Runner
	watchers map[string]*gateway.Watcher
	gateways *gateway.Watcher
	peers    *http.Server
	ready    *http.Server
	metrics  *http.Server
	changed  time.Time
	start0   time.Time
}

func newDaemon(s platform.Settings, out io.Writer) (*daemon, error) {
	start := time.Now()
	incarnation := uuid.NewString()
	t, err := telemetry.New()
	if err != nil {
		return nil, errors.Wrap(err, "newDaemon")
	}
	own := s.GatewaySettings(incarnation, start)
	d := &daemon{settings: s, lines: journal.NewLineWriter(out, s.NodeName()), start0: start}
	d.writers = group.New(context.Background())
	d.group = group.New(context.Background())
	d.duties = group.New(context.Background())
	d.store = platform.NewStore(s.StoreAddress(), s.CloudAddress())
	d.sender = platform.NewSender(d.group)
	d.gateway = gateway.New(gateway.NewState(own), d.sender, d.lines, t)
	d.ingress = platform.NewIngress(d.gateway)
	d.watchers = map[string]*gateway.Watcher{}
	d.gossip = gossip.New(d.gateway, d.watchers, d.lines, d.group)
	operator, upstreams, gateways := platform.NewOperatorTopic(d.store, d.lines), platform.NewUpstreamTopic(d.store, d.lines), platform.NewGatewayTopic(d.store)
	d.watchers[operator.Name()] = gateway.NewWatcher(operator, d.gateway, d.gossip, watchInterval, watchWait, watchIdle)
	d.watchers[upstreams.Name()] = gateway.NewWatcher(upstreams, d.gateway, d.gossip, watchInterval, watchWait, watchIdle)
	d.gateways = gateway.NewWatcher(gateways, d.gateway, d.gossip, gatewayInterval, 0, watchIdle)
	d.watchers[gateways.Name()] = d.gateways
	l := duty.NewLease(s.NodeName(), incarnation, own.Lease(), leasePatience(s.NodeName()))
	duties := platform.NewDutyClient(d.store, s.NodeName())
	d.duty = duty.New(l, d.gateway, duties, duties, d.lines, bootTime, s.DutyEnabled("usage"), s.DutyEnabled("scale"))
	mux := http.NewServeMux()
	gossip.NewServer(d.gateway, d.watchers).Mount(mux)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", t.Handler())
	d.metrics = &http.Server{Handler: metrics, ReadHeaderTimeout: time.Second}
	d.peers = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.ready = &http.Server{Handler: platform.ReadinessHandler(d.gateway), ReadHeaderTimeout: time.Second}
	return d, nil
}

// leasePatience spreads the gateways that wait for the same lease by their names.
func leasePatience(name string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // A hash takes any bytes.
	return time.Duration(h.Sum32()%leasePatiences) * leasePatienceStep
}

// bootTime returns the time since the boot, which runs on while the process is frozen.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // Only kernels before 2.6.39 lack it.
	}
	return time.Duration(t.Nano())
}

// start opens the listeners and starts all loops.
func (d *daemon) start() {
	debug.SetGCPercent(gcPercent)
	d.writers.Go(d.lines.Run)
	d.lines.Write(rail.EventStarted, gateway.NewField("domain", d.settings.Domain()), gateway.NewField("callers", d.settings.CallerAddress()), gateway.NewField("peers", d.settings.PeerAddress()), gateway.NewField("store", d.settings.StoreAddress()))
	d.group.Go(func(ctx context.Context) { d.listen(ctx, d.settings.PeerAddress(), d.peers.Serve) })
	d.group.Go(func(ctx context.Context) {
		d.listen(ctx, d.settings.CallerAddress(), func(l net.Listener) error {
			// Only a gateway that takes requests may say that it is ready.
			d.group.Go(func(ctx context.Context) { d.listen(ctx, d.settings.ReadyAddress(), d.ready.Serve) })
			return d.ingress.Serve(l)
		})
	})
	if address := d.settings.MetricsAddress(); address != "" {
		d.group.Go(func(ctx context.Context) { d.listen(ctx, address, d.metrics.Serve) })
	}
	for _, w := range d.watchers {
		d.group.Go(w.Run)
	}
	d.group.Go(d.gossip.Run)
	d.group.Go(d.register)
	d.group.Go(d.tick)
	d.duties.Go(d.duty.Run)
}

// listen serves an address, and tries again while it is taken.
func (d *daemon) listen(ctx context.Context, address string, serve func(net.Listener) error) {
	for ctx.Err() == nil {
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", address)
		if err == nil {
			err = serve(l)
		}
		if err == nil || errors.Is(err, http.ErrServerClosed) {
			return
		}
		d.lines.Write(rail.EventListenFailed, gateway.NewField("address", address), gateway.NewField("error", err.Error()))
		timer.Sleep(ctx, registerInterval)
	}
}

// register lists this gateway in the store.
func (d *daemon) register(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := d.store.Register(callCtx, d.settings.NodeName(), gateway.NewRegistration(d.settings.PeerAddress(), d.settings.Domain()))
		cancel()
		if err == nil {
			break
		}
		d.lines.Write(rail.EventPlatformUnavailable, gateway.NewField("error", err.Error()))
		timer.Sleep(ctx, registerInterval)
	}
	d.findOthers(ctx)
}

// findOthers reads the list of gateways again soon, for those that start at the same time.
func (d *daemon) findOthers(ctx context.Context) {
	for range startReads {
		timer.Sleep(ctx, registerInterval)
		d.gateways.ReadNow()
	}
}

func (d *daemon) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.gateway.Post(gateway.Ticked{})
			if now.Sub(swept) >= sweepInterval {
				swept = now
				d.sender.Sweep()
				d.ingress.Sweep()
				d.reloadIfChanged()
			}
		}
	}
}

// reloadIfChanged reads the settings again if the file is newer; the platform may change it without a signal.
func (d *daemon) reloadIfChanged() {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		d.lines.Write(rail.EventSettingsReloaded, gateway.NewField("error", err.Error()))
		return
	}
	if d.changed.IsZero() {
		d.changed = info.ModTime()
	}
	if !info.ModTime().Equal(d.changed) {
		d.changed = info.ModTime()
		d.reload()
	}
}

// reload reads the settings again; with a fault in them, those in force stay.
func (d *daemon) reload() {
	s, err := readPlatformSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		d.lines.Write(rail.EventSettingsReloaded, gateway.NewField("error", err.Error()))
		return
	}
	d.gateway.Post(gateway.NewSettingsRead(s.GatewaySettings("", d.start0)))
	d.lines.Write(rail.EventSettingsReloaded)
}

// leave ends the process without cutting off a request in progress: it says that it is not ready, takes requests until nobody sends more, and finishes what it has.
func (d *daemon) leave() {
	linger, grace := d.settings.DrainTimes()
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitReserve)
	defer cancel()
	d.gateway.Post(gateway.ShutdownStarted{})
	d.lines.Write(rail.EventShutdown)
	d.duties.Stop()
	d.ingress.DisableKeepAlives()
	timer.Sleep(ctx, linger)
	if err := d.ingress.Shutdown(ctx); err != nil {
		d.lines.Write(rail.EventShutdown, gateway.NewField("error", err.Error()))
	}
	callCtx, cancelCall := context.WithTimeout(context.Background(), exitReserve)
	defer cancelCall()
	if err := d.store.Register(callCtx, d.settings.NodeName(), gateway.Registration{}); err != nil {
		d.lines.Write(rail.EventPlatformUnavailable, gateway.NewField("error", err.Error()))
	}
	d.lines.Write(rail.EventStopped)
	d.writers.Stop()
}
