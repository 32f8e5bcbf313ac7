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
	maxMeasured = time.Minute
	digits      = 3
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// stagger spreads the starts of the first streams.
	stagger = time.Second
)

// Load is how much is asked for at once.
type Load struct {
	// Streams is how many streams run at once.
	Streams int
	// Rounds is how many streams follow each other in one place.
	Rounds int
	// Tokens is the length of each stream.
	Tokens int
}

// Result are what one way has shown.
type Result struct {
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	tokens     int64
	took       time.Duration
	processor  time.Duration
}

// FirstToken returns a quantile of the time to the first token.
func (f Result) FirstToken(quantile float64) time.Duration { return at(f.firstToken, quantile) }

// InterTokenTime returns a quantile of the time between tokens.
func (f Result) InterTokenTime(quantile float64) time.Duration { return at(f.between, quantile) }

// TokensPerSecond returns the rate of all streams together.
func (f Result) TokensPerSecond() float64 { return float64(f.tokens) / f.took.Seconds() }

// TokensPerCoreSecond returns the tokens for each second of the process's processor time, zero if none was watched.
func (f Result) TokensPerCoreSecond() float64 {
	if f.processor == 0 {
		return 0
	}
	return float64(f.tokens) / f.processor.Seconds()
}

// Cores returns how many cores the watched process used.
func (f Result) Cores() float64 { return f.processor.Seconds() / f.took.Seconds() }

func at(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}

// meter collects the figures of all streams.
type meter struct {
	mu      sync.Mutex
	figures Result
	err     error
}

// Measure asks the target for the load and watches the processor time of the process, if one is named.
func Measure(ctx context.Context, t Target, l Load, process int) (Result, error) {
	m := &meter{figures: Result{
		firstToken: hdrhistogram.New(1, maxMeasured.Microseconds(), digits),
		between:    hdrhistogram.New(1, maxMeasured.Microseconds(), digits),
	}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: l.Streams, DisableCompression: true}}
	defer client.CloseIdleConnections()
	before, start := processorTime(process), time.Now()
	g := group.New(ctx)
	for place := range l.Streams {
		g.Go(func(ctx context.Context) { m.place(ctx, client, t, l, place) })
	}
	g.Wait()
	m.figures.took = time.Since(start)
	m.figures.processor = processorTime(process) - before
	return m.figures, m.err
}

// place runs one stream after the other.
func (m *meter) place(ctx context.Context, client *http.Client, t Target, l Load, place int) {
	select {
	case <-time.After(stagger * time.Duration(place) / time.Duration(l.Streams)):
	case <-ctx.Done():
		return
	}
	for round := range l.Rounds {
		times, err := stream(ctx, client, t, place*l.Rounds+round, l.Tokens)
		m.add(times, err)
		if err != nil {
			return
		}
	}
}

// add takes in the times of the tokens of one stream, the first being its start.
func (m *meter) add(times []time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && m.err == nil {
		m.err = err
	}
	for i := 1; i < len(times); i++ {
		h := m.figures.between
		if i == 1 {
			h = m.figures.firstToken
		}
		_ = h.RecordValue(min(times[i].Sub(times[i-1]), maxMeasured).Microseconds())
		m.figures.tokens++
	}
}

// stream asks for one answer and returns its start and the time of each token.
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

// processorTime returns the processor time of a process, zero where /proc does not tell it.
func processorTime(process int) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(process), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the program's name may hold blanks
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	return ticks(fields[user]) + ticks(fields[system])
}

func ticks(text string) time.Duration {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * clockTick
}
