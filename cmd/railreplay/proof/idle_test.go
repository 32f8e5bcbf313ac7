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
	// idleEngines really run; the other listed upstreams share their addresses.
	idleEngines = 8
	// listedShare is the number of listed upstreams to an entry, as at the size aimed at.
	listedShare = 3.6
	// idleWarmUp lets the facts of the mass start settle.
	idleWarmUp = time.Minute
	idleWindow = 20 * time.Second
	// registerEvery is well below the 5 s after which the list drops an instance.
	registerEvery = 2 * time.Second
	// ticksPerSecond is the unit of /proc/PID/stat.
	ticksPerSecond = 100
)

// BenchmarkIdle gives the processor time and memory of idle entries at each size.
func BenchmarkIdle(b *testing.B) {
	for _, entries := range []int{9, 27, 81, 160} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			is := is.New(b)
			s := startSystem(b, size{entries: entries, engines: idleEngines})
			g := group.New(b.Context())
			g.Go(func(ctx context.Context) { s.listUpstreams(ctx, int(listedShare*float64(entries))) })
			time.Sleep(idleWarmUp)
			before := s.sum(b, processorTicks)
			time.Sleep(idleWindow)
			ticks := s.sum(b, processorTicks) - before
			n := float64(entries)
			b.ReportMetric(ticks/ticksPerSecond/idleWindow.Seconds()/n*100, "%core")
			b.ReportMetric(s.sum(b, statusKB("VmRSS"))/n/1024, "resident-MB")
			b.ReportMetric(s.sum(b, statusKB("RssAnon"))/n/1024, "private-MB")
			g.Stop()
			is.Equal(len(s.entries), entries)
		})
	}
}

// listUpstreams registers upstreams at the addresses of the engines until the context ends.
func (s *system) listUpstreams(ctx context.Context, n int) {
	c := outside.New(s.platform.url(), &http.Client{})
	var engines []rail.Instance
	for ctx.Err() == nil && len(engines) < idleEngines {
		listed, _ := c.Instances(ctx) // The list lags; an error is tried again.
		engines = slices.DeleteFunc(listed, func(i rail.Instance) bool { return i.Role() != rail.RoleEngine })
	}
	for ctx.Err() == nil {
		for i := range n {
			listed := rail.NewInstance(rail.InstanceID(fmt.Sprintf("listed-%d", i)), rail.Domain(domain(i)), rail.RoleEngine, engines[i%idleEngines].Address()).
				WithServing(model, "v1").WithClass(rail.ClassReclaimable)
			_ = c.Register(ctx, listed) // A lost registration is repeated.
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerEvery):
		}
	}
}

// sum adds up what read gives for each entry process.
func (s *system) sum(b *testing.B, read func(b *testing.B, pid int) float64) float64 {
	total := 0.0
	for name, pid := range s.processes {
		if strings.HasPrefix(name, "entry-") {
			total += read(b, pid)
		}
	}
	return total
}

// processorTicks returns user and system time of the process.
func processorTicks(b *testing.B, pid int) float64 {
	is := is.New(b)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	is.NoErr(err)
	const user, system = 11, 12 // behind the command's name
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	return number(b, f[user]) + number(b, f[system])
}

// statusKB reads a field of /proc/PID/status in kilobytes.
func statusKB(field string) func(*testing.B, int) float64 {
	return func(b *testing.B, pid int) float64 {
		is := is.New(b)
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		is.NoErr(err)
		_, rest, found := strings.Cut(string(text), field+":")
		is.True(found)
		return number(b, strings.Fields(rest)[0])
	}
}

func number(b *testing.B, text string) float64 {
	is := is.New(b)
	n, err := strconv.ParseFloat(text, 64)
	is.NoErr(err)
	return n
}
