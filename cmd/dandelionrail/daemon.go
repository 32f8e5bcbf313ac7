package main

import (
	"context"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
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
	// sweepInterval is the time between checks for idle connections and changed settings.
	sweepInterval = time.Second
	// watchInterval is the time between reads of the configuration and of the upstreams, and watchWait is how long each
	// read waits for a record; gatewayInterval is the time between reads of the list of gateways.
	watchInterval   = 100 * time.Millisecond
	watchWait       = time.Second
	gatewayInterval = 4 * time.Second
	// watchFallbackInterval is the time between reads by gateways that are not readers of the store.
	watchFallbackInterval = 8 * time.Second
	// registerInterval is the time between attempts to register this gateway or to open a listener.
	registerInterval = 500 * time.Millisecond
	// registrationSpread spreads the writes of the gateways that register again after a restore of the store.
	registrationSpread = 2 * time.Second
	// startupReads is the number of times that a gateway reads the list of gateways again after it has registered.
	startupReads = 3
	// exitMargin is how long before the end of the grace period the process exits by itself.
	exitMargin = 150 * time.Millisecond
	// suspectInterval is the time between writes of suspects to the store, suspectWait how long a read waits for one, and
	// suspectTimeout bounds a write.
	suspectInterval = 250 * time.Millisecond
	suspectWait     = 2 * time.Second
	suspectTimeout  = 600 * time.Millisecond
	// takeoverDelayStep and takeoverDelaySteps spread the attempts of the gateways to take over an expired lease.
	takeoverDelayStep  = 100 * time.Millisecond
	takeoverDelaySteps = 8
	// sideShare is the part of the limits on heads and connections that the readiness check and the metrics have.
	sideShare = 1.0 / 8
	// peerShare is the part that the server for digests has.
	peerShare = 0.5
	// refusalInterval is the minimum time between two log lines about refused heads or closed connections.
	refusalInterval = 5 * time.Second
	// defaultDescriptors is the assumed limit of open files if the system does not tell it.
	defaultDescriptors = 1024
)

// daemon is one gateway with its listeners. A shutdown stops dutyGroup first and logGroup last; the goroutines of group
// run until the process exits.
type daemon struct {
	settings       platform.Settings
	log            *journal.LineWriter
	logGroup       *group.Group
	group          *group.Group
	dutyGroup      *group.Group
	store          *platform.Store
	gateway        *gateway.Gateway
	ingress        *platform.Ingress
	forwards       *platform.Ingress
	forwardKey     string
	sender         *platform.Sender
	gossip         *gossip.Gossip
	duty           *duty.Runner
	watchers       map[string]*gateway.Watcher
	gatewayWatcher *gateway.Watcher
	peers          *platform.SideServer
	ready          *platform.SideServer
	metrics        *platform.SideServer
	telemetry      *telemetry.Telemetry
	// explain answers questions for explanations at explainAddress; it is nil if they are switched off.
	explain         *http.Server
	explainAddress  string
	settingsModTime time.Time
	startedAt       time.Time
	// reloaded holds the settings that were read last, nil if they were not read since the start.
	reloaded atomic.Pointer[platform.Settings]
}

func newDaemon(s platform.Settings, out io.Writer) (*daemon, error) {
	start := time.Now()
	incarnation := uuid.NewString()
	t, err := telemetry.New()
	if err != nil {
		return nil, errors.Wrap(err, "newDaemon")
	}
	gatewaySettings := s.GatewaySettings(incarnation, start)
	limits := s.IntakeLimits(descriptorLimit())
	d := &daemon{settings: s, telemetry: t, log: journal.NewLineWriter(out, s.NodeName()), startedAt: start}
	d.logGroup = group.New(context.Background())
	d.group = group.New(context.Background())
	d.dutyGroup = group.New(context.Background())
	d.store = platform.NewStore(s.StoreAddress(), s.CloudAddress())
	d.sender = platform.NewSender(d.group, s.NodeName())
	d.gateway = gateway.New(gateway.NewState(gatewaySettings), d.sender, d.log, t)
	d.ingress = platform.NewIngress(d.gateway).WithLimits(limits)
	d.forwardKey = platform.NewForwardKey()
	d.forwards = platform.NewForwardIngress(d.gateway, d.forwardKey).WithLimits(limits)
	d.watchers = map[string]*gateway.Watcher{}
	d.gossip = gossip.New(d.gateway, d.watchers, d.log, d.group)
	operator, upstreams, gateways, suspects := platform.NewOperatorTopic(d.store, d.log), platform.NewUpstreamTopic(d.store, d.log), platform.NewGatewayTopic(d.store), platform.NewSuspectTopic(d.store, d.log)
	d.watchers[operator.Name()] = gateway.NewWatcher(operator, d.gateway, d.gossip, watchInterval, watchWait, watchFallbackInterval).WithMaxAge(s.MaxOperatorAge())
	d.watchers[upstreams.Name()] = gateway.NewWatcher(upstreams, d.gateway, d.gossip, watchInterval, watchWait, watchFallbackInterval).WithMaxAge(s.MaxUpstreamsAge())
	d.watchers[suspects.Name()] = gateway.NewOptionalWatcher(suspects, d.gateway, d.gossip, watchInterval, suspectWait, watchFallbackInterval)
	d.gatewayWatcher = gateway.NewWatcher(gateways, d.gateway, d.gossip, gatewayInterval, 0, watchFallbackInterval)
	d.watchers[gateways.Name()] = d.gatewayWatcher
	lease := duty.NewLease(s.NodeName(), incarnation, gatewaySettings.Lease(), takeoverDelay(s.NodeName()))
	duties := platform.NewDutyClient(d.store, s.NodeName(), d.log)
	d.duty = duty.New(lease, d.gateway, duties, duties, d.watchers[operator.Name()], d.log, bootTime, s.DutyEnabled("usage"), s.DutyEnabled("scale")).WithMetrics(t).WithEstimates(os.Getenv(platform.CapacityVariable) == "estimated")
	mux := http.NewServeMux()
	gossip.NewServer(d.gateway, d.watchers).Mount(mux)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", t.Handler())
	d.metrics = platform.NewSideServer(metrics, limits.Shared(sideShare))
	d.peers = platform.NewSideServer(mux, limits.Shared(peerShare))
	d.ready = platform.NewSideServer(platform.ReadinessHandler(d.gateway), limits.Shared(sideShare))
	return d, nil
}

// serveExplanations answers questions for explanations once the daemon starts, if the settings name an address.
func (d *daemon) serveExplanations(s explainSettings) {
	if s.address == "" {
		return
	}
	d.explain = &http.Server{Handler: explainHandler(d.gateway, s.token), ReadHeaderTimeout: time.Second}
	d.explainAddress = s.address
}

// takeoverDelay returns the gateway's delay before it takes over an expired lease. It is derived from the name, so that gateways do not all claim at once.
func takeoverDelay(name string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // Write to a hash returns no error.
	return time.Duration(h.Sum32()%takeoverDelaySteps) * takeoverDelayStep
}

// descriptorLimit returns how many files the process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// bootTime returns the time since boot, which also advances while the process is paused or the machine is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // Only kernels before 2.6.39 lack it.
	}
	return time.Duration(t.Nano())
}

// start opens the listeners and starts all goroutines.
func (d *daemon) start() {
	debug.SetGCPercent(gcPercent)
	if limit := d.settings.MemoryTarget(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	d.logGroup.Go(d.log.Run)
	d.log.Write(rail.EventStarted, gateway.NewField("domain", d.settings.Domain()), gateway.NewField("callers", d.settings.CallerAddress()), gateway.NewField("peers", d.settings.PeerAddress()), gateway.NewField("store", d.settings.StoreAddress()))
	d.group.Go(func(ctx context.Context) { d.listen(ctx, d.settings.PeerAddress(), d.peers.Serve) })
	d.group.Go(func(ctx context.Context) {
		d.listen(ctx, d.settings.CallerAddress(), func(l net.Listener) error {
			// The readiness listener opens last, so that a gateway reports ready only once it accepts requests.
			d.group.Go(func(ctx context.Context) { d.listen(ctx, d.settings.ReadyAddress(), d.ready.Serve) })
			return d.ingress.Serve(l)
		})
	})
	if address := d.settings.ForwardAddress(); address != "" {
		d.group.Go(func(ctx context.Context) { d.listen(ctx, address, d.forwards.Serve) })
	}
	if address := d.settings.MetricsAddress(); address != "" {
		d.group.Go(func(ctx context.Context) { d.listen(ctx, address, d.metrics.Serve) })
	}
	if d.explain != nil {
		d.group.Go(func(ctx context.Context) { d.listen(ctx, d.explainAddress, d.explain.Serve) })
	}
	for _, w := range d.watchers {
		d.group.Go(w.Run)
	}
	d.group.Go(d.gossip.Run)
	d.group.Go(d.register)
	d.group.Go(d.runTicker)
	d.group.Go(d.writeSuspects)
	d.dutyGroup.Go(d.duty.Run)
}

// listen serves an address, and retries while the address is in use.
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
		d.log.Write(rail.EventListenFailed, gateway.NewField("address", address), gateway.NewField("error", err.Error()))
		timer.Sleep(ctx, registerInterval)
	}
}

// register registers this gateway in the store, and again when the store was restored from a copy without it.
func (d *daemon) register(ctx context.Context) {
	d.writeRegistration(ctx)
	d.discoverPeers(ctx)
	for ctx.Err() == nil {
		timer.Sleep(ctx, registerInterval)
		lost := false
		d.gateway.View(func(s *gateway.State) { lost = s.RegistrationLost() })
		if lost {
			timer.Sleep(ctx, rand.N(registrationSpread))
			d.writeRegistration(ctx)
		}
	}
}

// writeRegistration writes the registration until that succeeds.
func (d *daemon) writeRegistration(ctx context.Context) {
	registration := gateway.NewRegistration(d.settings.PeerAddress(), d.settings.Domain())
	if address := d.settings.ForwardAddress(); address != "" {
		registration = registration.WithForwarding(address, d.forwardKey)
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := d.store.Register(callCtx, d.settings.NodeName(), registration)
		cancel()
		if err == nil {
			d.gateway.Post(gateway.NewPeersRead(map[string]gateway.Registration{d.settings.NodeName(): registration}, false))
			return
		}
		d.log.Write(rail.EventPlatformUnavailable, gateway.NewField("error", err.Error()))
		timer.Sleep(ctx, registerInterval)
	}
}

// discoverPeers reads the list of gateways a few more times at short intervals, to find those that start at the same time.
func (d *daemon) discoverPeers(ctx context.Context) {
	for range startupReads {
		timer.Sleep(ctx, registerInterval)
		large := false
		d.gateway.View(func(s *gateway.State) { large = s.LargeFleet() })
		if !large { // In a large one it learns of further gateways from the digests of those that it knows.
			d.gatewayWatcher.ReadNow()
		}
	}
}

func (d *daemon) runTicker(ctx context.Context) {
	t := time.NewTicker(gateway.TickInterval)
	defer t.Stop()
	swept := time.Now()
	var refusals refusalLog
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
				d.forwards.Sweep()
				for _, server := range []*platform.SideServer{d.peers, d.ready, d.metrics} {
					server.Sweep()
				}
				refusals.add(d, now)
				d.reloadIfChanged()
			}
		}
	}
}

// refusalLog reports refused heads and closed connections, in few lines.
type refusalLog struct {
	pending  platform.Refusals
	reported time.Time
}

// add counts what the servers did not take in since the last call, and reports it at most once in an interval.
func (l *refusalLog) add(d *daemon, now time.Time) {
	r := d.ingress.TakeRefusals().Add(d.forwards.TakeRefusals())
	for _, server := range []*platform.SideServer{d.peers, d.ready, d.metrics} {
		r = r.Add(server.TakeRefusals())
	}
	d.telemetry.Refused("head_too_large", r.TooLarge)
	d.telemetry.Refused("no_memory", r.NoMemory)
	d.telemetry.Refused("connection_evicted", r.Evicted)
	d.telemetry.Refused("connection_limit", r.Refused)
	l.pending = l.pending.Add(r)
	if l.pending == (platform.Refusals{}) || now.Sub(l.reported) < refusalInterval {
		return
	}
	if p := l.pending; p.TooLarge+p.NoMemory > 0 {
		d.log.Write(rail.EventHeadsRefused, gateway.NewField("tooLarge", p.TooLarge), gateway.NewField("noMemory", p.NoMemory))
	}
	if p := l.pending; p.Evicted+p.Refused > 0 {
		d.log.Write(rail.EventConnectionsClosed, gateway.NewField("evicted", p.Evicted), gateway.NewField("refused", p.Refused))
	}
	l.pending, l.reported = platform.Refusals{}, now
}

// writeSuspects writes to the store what this gateway must write about prompt parts that may make engines crash.
func (d *daemon) writeSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		timer.Sleep(ctx, suspectInterval)
		records, err := d.gateway.UnstoredSuspects()
		if err == nil && len(records) > 0 {
			err = d.writeSuspectRecords(ctx, records)
		}
		if err != nil {
			d.log.Write(rail.EventSuspectsNotStored, gateway.NewField("records", len(records)), gateway.NewField("error", err.Error()))
		}
	}
}

func (d *daemon) writeSuspectRecords(ctx context.Context, records map[string][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	if err := d.store.WriteSuspects(ctx, records); err != nil {
		return err
	}
	e, _ := gateway.NewSuspectsRead(records, false) // It decodes what was encoded before.
	d.gateway.Post(e)
	return nil
}

// reloadIfChanged reloads the settings if the file has another modification time; the platform may change it without a signal.
func (d *daemon) reloadIfChanged() {
	info, err := os.Stat(os.Getenv(platform.SettingsVariable))
	if err != nil {
		d.log.Write(rail.EventSettingsReloaded, gateway.NewField("error", err.Error()))
		return
	}
	if d.settingsModTime.IsZero() {
		d.settingsModTime = info.ModTime()
	}
	if !info.ModTime().Equal(d.settingsModTime) {
		d.settingsModTime = info.ModTime()
		d.reload()
	}
}

// reloadOn reads the settings again on each signal.
func (d *daemon) reloadOn(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			d.reload()
		}
	}
}

// reload reads the settings again. If they have a fault, those in force stay.
func (d *daemon) reload() {
	s, err := readPlatformSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		d.log.Write(rail.EventSettingsReloaded, gateway.NewField("error", err.Error()))
		return
	}
	d.reloaded.Store(&s)
	d.gateway.Post(gateway.NewSettingsRead(s.GatewaySettings("", d.startedAt)))
	d.log.Write(rail.EventSettingsReloaded)
}

// shutdown stops the gateway without aborting a request in progress: it reports not ready, accepts requests during the linger time, then finishes those in progress, within the grace period.
func (d *daemon) shutdown() {
	settings := d.settings
	if s := d.reloaded.Load(); s != nil {
		settings = *s
	}
	linger, grace := settings.DrainTimes()
	end, cancelEnd := context.WithTimeout(context.Background(), grace)
	defer cancelEnd()
	ctx, cancel := context.WithTimeout(end, grace-exitMargin)
	defer cancel()
	d.gateway.Post(gateway.ShutdownStarted{})
	d.log.Write(rail.EventShutdown)
	d.ingress.DisableKeepAlives()
	d.forwards.DisableKeepAlives()
	accepting, stopAccepting := context.WithTimeout(ctx, linger)
	defer stopAccepting()
	d.dutyGroup.Stop() // May wait for a call to the cloud, and for the release of the lease.
	<-accepting.Done()
	stopped := make(chan error, 1)
	d.group.Go(func(context.Context) { stopped <- d.forwards.Shutdown(ctx) }) //nolint:contextcheck // A shutdown outlives the group's context.
	for _, err := range []error{d.ingress.Shutdown(ctx), <-stopped} {
		if err != nil {
			d.log.Write(rail.EventShutdown, gateway.NewField("error", err.Error()))
		}
	}
	callCtx, cancelCall := context.WithTimeout(end, exitMargin)
	defer cancelCall()
	if err := d.store.Register(callCtx, d.settings.NodeName(), gateway.Registration{}); err != nil {
		d.log.Write(rail.EventPlatformUnavailable, gateway.NewField("error", err.Error()))
	}
	d.log.Write(rail.EventStopped)
	d.logGroup.Stop()
}
