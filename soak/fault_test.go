package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// fault is a disturbance that lasts for a time.
type fault struct {
	name string
	// planned marks an event of normal operation, which must not interrupt any answer.
	planned bool
	inject  func(d *deployment, f *faultParams)
}

// faultParams holds the random parameters of one fault, drawn before any fault starts, so that a seed always gives the same faults.
type faultParams struct {
	at, duration time.Duration
	target       int
	mode         mode
	percent      int32
}

func (d *deployment) process(f *faultParams) *process { return d.processes[f.target%len(d.processes)] }

// upstream returns the upstream that the fault affects.
func (d *deployment) upstream(f *faultParams) *upstream {
	all := d.currentUpstreams()
	if d.scenario == large {
		all = d.serving("")
	}
	return all[f.target%len(all)]
}

var faults = []fault{
	{"SIGTERM and start", true, func(d *deployment, f *faultParams) { d.process(f).restart(syscall.SIGTERM, f.duration) }},
	{"SIGHUP", true, func(d *deployment, f *faultParams) { d.process(f).signal(syscall.SIGHUP) }},
	{"new configuration", true, func(d *deployment, _ *faultParams) { d.configure() }},
	{"upstream is replaced", true, func(d *deployment, f *faultParams) {
		u := d.upstream(f)
		if _, err := d.addUpstream(u.service, u.zone); err != nil {
			d.recorder.recordViolation("an upstream could not be added: %v", err)
		}
		d.mu.Lock()
		u.draining = true
		d.mu.Unlock()
		u.register(d.store, "draining")
		time.Sleep(4 * time.Second)
		u.register(d.store, "")
		time.Sleep(time.Second)
		_ = u.server.Close()
	}},
	{"SIGKILL and start", false, func(d *deployment, f *faultParams) { d.process(f).restart(syscall.SIGKILL, f.duration) }},
	{"all gateways are killed", false, func(d *deployment, f *faultParams) {
		for _, p := range d.processes {
			d.group.Go(func(context.Context) { p.restart(syscall.SIGKILL, f.duration) })
		}
	}},
	{"pause", false, func(d *deployment, f *faultParams) {
		d.process(f).signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		d.process(f).signal(syscall.SIGCONT)
	}},
	{"bad link of a gateway to the store", false, func(d *deployment, f *faultParams) { d.degradeLink(d.process(f).storeProxy, f) }},
	{"bad link to an upstream", false, func(d *deployment, f *faultParams) { d.degradeLink(d.upstream(f).proxy, f) }},
	{"store refuses all calls", false, func(d *deployment, f *faultParams) {
		d.recordStoreDisturbance()
		d.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError}[f.target%3])
		time.Sleep(f.duration)
		d.store.Refuse(0)
		d.recordStoreDisturbance()
	}},
	{"store loses answers", false, func(d *deployment, f *faultParams) {
		d.recordStoreDisturbance()
		d.store.LoseAnswers(int(f.percent))
		time.Sleep(f.duration)
		d.store.LoseAnswers(0)
		d.recordStoreDisturbance()
	}},
	{"store drops its history", false, func(d *deployment, _ *faultParams) {
		for _, topic := range []string{"keyed.op", "keyed.servers", "keyed.gateways", "keyed.duties", "keyed.suspects"} {
			d.store.Compact(topic)
		}
	}},
	{"upstream fails", false, func(d *deployment, f *faultParams) {
		u := d.upstream(f)
		u.failPercent.Store(f.percent)
		time.Sleep(f.duration)
		u.failPercent.Store(0)
	}},
	{"upstream is full", false, func(d *deployment, f *faultParams) {
		u := d.upstream(f)
		u.fullPercent.Store(f.percent)
		time.Sleep(f.duration)
		u.fullPercent.Store(0)
	}},
	{"a team sends many more requests", false, func(d *deployment, f *faultParams) {
		d.setOverload(true)
		time.Sleep(f.duration)
		d.setOverload(false)
	}},
}

// hostileFaults come in addition in the hostile scenario; the list of the others stays as it is, so that seeds keep their meaning.
var hostileFaults = []fault{
	{"upstream sends garbage", false, func(d *deployment, f *faultParams) { d.injectGarbage(f) }},
	{"upstream sends garbage, again", false, func(d *deployment, f *faultParams) { d.injectGarbage(f) }},
	{"upstream sends garbage, and again", false, func(d *deployment, f *faultParams) { d.injectGarbage(f) }},
}

func (d *deployment) injectGarbage(f *faultParams) {
	u := d.upstream(f)
	u.garbagePercent.Store(f.percent)
	time.Sleep(f.duration)
	u.garbagePercent.Store(0)
}

// recordStoreDisturbance records that the store is disturbed now: it is called at both ends of a fault.
func (d *deployment) recordStoreDisturbance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDisturbedUntil = time.Now()
}

func (d *deployment) setOverload(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.overload = on
}

func (d *deployment) degradeLink(p *proxy, f *faultParams) {
	p.set(f.mode)
	time.Sleep(f.duration)
	p.set(passing)
}

// faultInjector draws a schedule of faults until the end and returns the function that starts and logs them; faults may overlap.
func (d *deployment) faultInjector(end time.Time) func(context.Context) {
	type scheduledFault struct {
		fault  fault
		params *faultParams
	}
	var schedule []scheduledFault
	all := faults
	switch d.scenario {
	case hostile:
		all = append(append([]fault(nil), faults...), hostileFaults...)
	case restored:
		all = append(append([]fault(nil), faults...), restoredFaults...)
	case partitioned:
		if all = append([]fault(nil), faults...); d.random.IntN(2) == 0 {
			all = slices.DeleteFunc(all, func(f fault) bool { return !f.planned || f.name == "SIGTERM and start" })
		}
		all = append(all, partitionedFaults...)
	case silent:
		all = append(append([]fault(nil), faults...), slices.Repeat(silentFaults, 4)...)
	case repeated:
		all = append(append([]fault(nil), faults...), slices.Repeat(repeatedFaults, 6)...)
	case large:
		all = allLargeFaults()
	case poisoned:
		all = append(append([]fault(nil), faults...), poisonedFaults...)
	}
	for at := time.Duration(0); at < time.Until(end); {
		f := all[d.random.IntN(len(all))]
		if (d.scenario == planned || d.scenario == evacuated) && !f.planned {
			continue
		}
		interval := time.Duration(100+d.random.IntN(900)) * time.Millisecond
		if d.scenario == large {
			interval /= time.Duration(min(maxFaultRate, 1+len(d.processes)/gatewaysPerFault))
		}
		at += interval
		schedule = append(schedule, scheduledFault{f, &faultParams{
			at: at, duration: time.Duration(200+d.random.IntN(2500)) * time.Millisecond, target: d.random.IntN(1000),
			mode: mode(1 + d.random.IntN(5)), percent: int32(10 + d.random.IntN(60)),
		}})
	}
	start := time.Now()
	return func(ctx context.Context) {
		for _, s := range schedule {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(s.params.at))):
			}
			d.mu.Lock()
			d.log = append(d.log, fmt.Sprintf("%5.1f s: %s, for %v, %+v", s.params.at.Seconds(), s.fault.name, s.params.duration, *s.params))
			d.mu.Unlock()
			d.group.Go(func(context.Context) { s.fault.inject(d, s.params) })
		}
	}
}
