package overhead

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/group"
)

const (
	maxLatency        = time.Minute
	significantDigits = 3
	// clockTick is the unit of CPU time in /proc.
	clockTick = 10 * time.Millisecond
	// stagger is the period over which the starts of the workers are spread.
	stagger = time.Second
)

// Load is the load of one measurement.
type Load struct {
	// Streams is the number of concurrent streams.
	Streams int
	// Rounds is the number of streams that each worker runs one after another.
	Rounds int
	// Tokens is the length of each stream.
	Tokens int
}

// Result is the result of one measurement.
type Result struct {
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	tokens     int64
	elapsed    time.Duration
	cpuTime    time.Duration
}

// FirstToken returns a quantile of the time to the first token.
func (f Result) FirstToken(quantile float64) time.Duration { return quantileOf(f.firstToken, quantile) }

// InterTokenTime returns a quantile of the time between tokens.
func (f Result) InterTokenTime(quantile float64) time.Duration {
	return quantileOf(f.interToken, quantile)
}

// TokensPerSecond returns the throughput of all streams together.
func (f Result) TokensPerSecond() float64 { return float64(f.tokens) / f.elapsed.Seconds() }

// TokensPerCoreSecond returns the tokens per second of the process's CPU time, zero if no process was measured.
func (f Result) TokensPerCoreSecond() float64 {
	if f.cpuTime == 0 {
		return 0
	}
	return float64(f.tokens) / f.cpuTime.Seconds()
}

// Cores returns how many cores the measured process used on average.
func (f Result) Cores() float64 { return f.cpuTime.Seconds() / f.elapsed.Seconds() }

func quantileOf(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// meter collects the measurements of all streams.
type meter struct {
	mu     sync.Mutex
	result Result
	err    error
}

// Measure runs the load against the target and measures the CPU time of the process; a pid of zero measures none.
func Measure(ctx context.Context, t Target, l Load, pid int) (Result, error) {
	m := &meter{result: Result{
		firstToken: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		interToken: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Streams, DisableCompression: true}}
	defer client.CloseIdleConnections()
	before, start := processCPUTime(pid), time.Now()
	g := group.New(ctx)
	for worker := range l.Streams {
		g.Go(func(ctx context.Context) { m.runWorker(ctx, client, t, l, worker) })
	}
	g.Wait()
	m.result.elapsed = time.Since(start)
	m.result.cpuTime = processCPUTime(pid) - before
	return m.result, m.err
}

// runWorker runs its streams one after another.
func (m *meter) runWorker(ctx context.Context, client *http.Client, t Target, l Load, worker int) {
	select {
	case <-time.After(stagger * time.Duration(worker) / time.Duration(l.Streams)):
	case <-ctx.Done():
		return
	}
	for round := range l.Rounds {
		times, err := stream(ctx, client, t, worker*l.Rounds+round, l.Tokens)
		m.add(times, err)
		if err != nil {
			return
		}
	}
}

// add records one stream; the first of its times is the start, the others are those of its tokens.
func (m *meter) add(times []time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && m.err == nil {
		m.err = err
	}
	for i := 1; i < len(times); i++ {
		h := m.result.interToken
		if i == 1 {
			h = m.result.firstToken
		}
		_ = h.RecordValue(min(times[i].Sub(times[i-1]), maxLatency).Microseconds())
		m.result.tokens++
	}
}

// stream requests one streamed answer and returns its start and the time of each token.
func stream(ctx context.Context, client *http.Client, t Target, number, tokens int) ([]time.Time, error) {
	r, err := t.request(ctx, number, tokens)
	if err != nil {
		return nil, err
	}
	times := []time.Time{time.Now()}
	w, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "send")
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s was answered %s", t.url, w.Status)
	}
	lines := bufio.NewScanner(w.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id: ")) {
			times = append(times, time.Now())
		}
	}
	if len(times)-1 != tokens {
		return nil, errors.Errorf("%s gave %d tokens of %d", t.url, len(times)-1, tokens)
	}
	return times, errors.Wrap(lines.Err(), "read the stream")
}

// processCPUTime returns the CPU time of a process, zero if /proc does not provide it.
func processCPUTime(pid int) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the program's name may contain spaces
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	return parseTicks(fields[user]) + parseTicks(fields[system])
}

func parseTicks(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * clockTick
}
