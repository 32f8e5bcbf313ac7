package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/outside"
)

const (
	// idleEngines is the number of engine processes; the other listed upstreams share their addresses.
	idleEngines = 8
	// upstreamsPerEntry is the number of listed upstreams per entry, as in a system of the target size.
	upstreamsPerEntry = 3.6
	// idleWarmUp is the time for the facts of the simultaneous start to spread before the measurement.
	idleWarmUp      = time.Minute
	idleMeasurement = 20 * time.Second
	// registerInterval is below the 5 s after which the list removes an instance that does not register again.
	registerInterval = 2 * time.Second
	// ticksPerSecond is the resolution of the CPU times in /proc/PID/stat.
	ticksPerSecond = 100
)

// BenchmarkIdle measures the CPU time and memory of idle entries in systems of several sizes.
func BenchmarkIdle(b *testing.B) {
	for _, entries := range []int{9, 27, 81, 160} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			is := is.New(b)
			s := startSystem(b, size{entries: entries, engines: idleEngines})
			g := group.New(b.Context())
			g.Go(func(ctx context.Context) { s.registerUpstreams(ctx, int(upstreamsPerEntry*float64(entries))) })
			time.Sleep(idleWarmUp)
			before := s.sumOfEntries(b, processorTicks)
			time.Sleep(idleMeasurement)
			ticks := s.sumOfEntries(b, processorTicks) - before
			n := float64(entries)
			b.ReportMetric(ticks/ticksPerSecond/idleMeasurement.Seconds()/n*100, "%core")
			b.ReportMetric(s.sumOfEntries(b, statusKB("VmRSS"))/n/1024, "resident-MB")
			b.ReportMetric(s.sumOfEntries(b, statusKB("RssAnon"))/n/1024, "private-MB")
			g.Stop()
			is.Equal(len(s.entries), entries)
		})
	}
}

// registerUpstreams registers upstreams at the addresses of the engines until the context ends.
func (s *system) registerUpstreams(ctx context.Context, n int) {
	c := outside.New(s.platform.url(), &http.Client{})
	var engines []rail.Instance
	for ctx.Err() == nil && len(engines) < idleEngines {
		listed, _ := c.Instances(ctx) // The list lags; an error is retried.
		engines = slices.DeleteFunc(listed, func(i rail.Instance) bool { return i.Role() != rail.RoleEngine })
	}
	for ctx.Err() == nil {
		for i := range n {
			listed := rail.NewInstance(rail.InstanceID(fmt.Sprintf("listed-%d", i)), rail.Domain(domain(i)), rail.RoleEngine, engines[i%idleEngines].Address()).
				WithServing(model, "v1").WithClass(rail.ClassReclaimable)
			_ = c.Register(ctx, listed) // A failed registration is repeated.
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerInterval):
		}
	}
}

// sumOfEntries returns the sum of what read returns for each entry process.
func (s *system) sumOfEntries(b *testing.B, read func(b *testing.B, pid int) float64) float64 {
	total := 0.0
	for name, pid := range s.processes {
		if strings.HasPrefix(name, "entry-") {
			total += read(b, pid)
		}
	}
	return total
}

// processorTicks returns the user and system CPU time of the process, in ticks.
func processorTicks(b *testing.B, pid int) float64 {
	is := is.New(b)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	is.NoErr(err)
	const user, system = 11, 12 // indexes of the fields after the command name
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	return parseNumber(b, f[user]) + parseNumber(b, f[system])
}

// statusKB reads a field of /proc/PID/status in kilobytes.
func statusKB(field string) func(*testing.B, int) float64 {
	return func(b *testing.B, pid int) float64 {
		is := is.New(b)
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		is.NoErr(err)
		_, rest, found := strings.Cut(string(text), field+":")
		is.True(found)
		return parseNumber(b, strings.Fields(rest)[0])
	}
}

func parseNumber(b *testing.B, text string) float64 {
	is := is.New(b)
	n, err := strconv.ParseFloat(text, 64)
	is.NoErr(err)
	return n
}
