package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

var (
	programs = flag.String("soak.program", "", "comma-separated paths of gateway executables; each start of a process takes one of them, drawn from the seed; by default, the gateway is built")
	engines  = flag.Int("soak.engines", 12, "number of engines in the large scenario")
)

const (
	orderServices = 4
	// minOutage and maxOutage bound how long order services of the large scenario are up and down in turn.
	minOutage, maxOutage = 400 * time.Millisecond, time.Second
	// In the large scenario faults come once more as often for so many gateways, up to the maximum: the number of order services stays the same.
	gatewaysPerFault, maxFaultRate = 12, 3
	signalsInARow                  = 4
	lateEngines                    = 3 // One in so many engines reads late at once.
)

// programOf returns the executable of a start of a gateway.
func programOf(seed uint64, name string, start int) string {
	if *programs == "" {
		return program
	}
	all := strings.Split(*programs, ",")
	return all[xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", seed, name, start))%uint64(len(all))]
}

// serving returns the upstreams of the service, or of all services, that are not leaving.
func (d *deployment) serving(service string) []*upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.upstreams), func(u *upstream) bool { return u.draining || service != "" && u.service != service })
}

// makeLarge makes some streams longer, and the streams of one caller in four orders, since callers spend most of their time in streams.
func (q *request) makeLarge(caller int) {
	switch {
	case q.eventCount == 0:
	case caller%4 == 1:
		q.path, q.eventCount, q.tokens, q.timeout = "/order/"+q.id, 0, 200, 1500*time.Millisecond
		q.deadline = q.sentAt.Add(q.timeout)
	case q.eventCount%2 == 0:
		q.path = strings.Replace(q.path, "/draft/", "/draft/long/", 1)
		q.lengthen()
	}
}

// flap makes one of the order services end and start again under its id, until the faults are over.
func (d *deployment) flap(n int, r *rand.Rand) func(context.Context) {
	span := func() time.Duration { return minOutage + time.Duration(r.Int64N(int64(maxOutage-minOutage))) }
	return func(ctx context.Context) {
		for time.Sleep(span()); ctx.Err() == nil && time.Now().Before(d.recoverAt); time.Sleep(span()) {
			all := d.serving("desk")
			u, down := all[n%len(all)], span()
			if r.IntN(2) == 0 {
				u.crash(down)
				continue
			}
			d.degradeLink(u.proxy, &faultParams{mode: refusing, duration: down})
			u.startAgain()
		}
	}
}

// largeFaults come in addition in the large scenario.
var largeFaults = []fault{
	{"signals in a row", false, func(d *deployment, f *faultParams) {
		for n := range signalsInARow {
			next := *f
			next.target += n
			kind := []string{"SIGTERM and start", "SIGHUP", "SIGKILL and start", "pause"}[(int(f.percent)+n)%4]
			d.group.Go(func(context.Context) {
				faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == kind })].inject(d, &next)
			})
			time.Sleep(f.duration / 20)
		}
	}},
	{"two signals at once", false, func(d *deployment, f *faultParams) {
		d.process(f).signal(syscall.SIGHUP)
		d.process(f).restart(syscall.SIGTERM, f.duration/10)
	}},
	{"order services are full and listed anew", false, func(d *deployment, f *faultParams) {
		for _, u := range d.serving("desk") {
			d.group.Go(func(context.Context) {
				u.fullPercent.Store(f.percent)
				d.relist(u, f, (*upstream).replaceEntry)
				u.fullPercent.Store(0)
			})
		}
	}},
	{"engines read requests and closed connections late", false, func(d *deployment, f *faultParams) {
		for n, u := range d.serving("models") {
			if n%lateEngines != f.target%lateEngines {
				continue
			}
			d.group.Go(func(context.Context) {
				u.proxy.delayCloses(maxCloseDelay)
				u.silence.leaveUnread(300*time.Millisecond + f.duration)
				time.Sleep(maxCloseDelay + f.duration)
				u.proxy.delayCloses(0)
			})
		}
	}},
}

// allLargeFaults returns the faults of the large scenario.
func allLargeFaults() []fault {
	all := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return f.name == "all gateways are killed" })
	return slices.Concat(all, slices.Repeat(repeatedFaults, 3), slices.Repeat(silentFaults, 3), slices.Repeat(largeFaults, 3))
}

// ruleOf returns the rule that a violation breaks, and for runs of requests their kind.
func ruleOf(violation string) string {
	rule, text, _ := strings.Cut(violation, ":")
	switch {
	case rule != "TWICE" && rule != "REFUSED":
		return rule
	case strings.Contains(text, "/order/"):
		return rule + " of orders"
	case rule == "TWICE" && !strings.Contains(text, " times"):
		return rule + " of streams at two engines"
	}
	return rule + " of streams"
}

// countCases describes the number of violations by rule, and how long gateways ran.
func (d *deployment) countCases() string {
	counts := map[string]int{}
	for _, v := range d.recorder.violations {
		counts[ruleOf(v)]++
	}
	var b strings.Builder
	for _, rule := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "%d %s, ", counts[rule], rule)
	}
	orders, refused := 0, 0
	for _, q := range d.requests {
		if strings.HasPrefix(q.path, "/order/") {
			orders++
			if q.status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	return fmt.Sprintf("%s%d of %d orders refused, %.1f gateway-minutes", b.String(), refused, orders, float64(len(d.processes))*time.Since(d.startedAt).Minutes())
}
