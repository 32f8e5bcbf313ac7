package replay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/trace"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin"
)

// Settings are the settings of a replay.
type Settings struct {
	// Entries are the URLs of the entries.
	Entries []string
	// Platform is the URL of the platform.
	Platform string
	// Processes are the process ids by instance, for faults of processes.
	Processes map[string]int
	// Limits bound each request.
	Limits caller.Limits
	// MaxInFlight is the maximum number of concurrent requests; further ones are not sent and count as missed.
	MaxInFlight int
	// Speed divides the recorded offsets.
	Speed float64
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget time.Duration
}

// NotSent is the outcome of a request that was not sent because too many were in flight.
const NotSent caller.Outcome = "notSent"

// replayer is one replay in progress.
type replayer struct {
	settings    Settings
	trace       trace.Trace
	client      *caller.Client
	watcher     *watcher
	inFlight    chan struct{}
	mu          sync.Mutex
	results     []requestResult
	faults      []string
	faultFailed bool
}

// requestResult is a request with its result. For an order, runs is how often it ran, and countComplete reports whether
// all services could be asked.
type requestResult struct {
	request       trace.Request
	result        caller.Result
	observed      caller.Outcome
	runs          int
	countComplete bool
}

// Run replays the trace and returns the report once all requests have ended.
func Run(ctx context.Context, t trace.Trace, settings Settings) Report {
	r := &replayer{
		settings: settings,
		trace:    t,
		client:   caller.New(settings.Entries, settings.Limits),
		watcher:  newWatcher(settings.Platform),
		inFlight: make(chan struct{}, settings.MaxInFlight),
	}
	defer r.client.Close()
	watcherGroup := group.New(ctx)
	r.watcher.poll(ctx)
	watcherGroup.Go(r.watcher.run)
	start := time.Now()
	callers := group.New(ctx)
	callers.Go(func(ctx context.Context) { r.injectFaults(ctx, callers, start) })
	r.sendRequests(ctx, callers, start)
	callers.Wait()
	watcherGroup.Stop()
	r.watcher.poll(ctx)
	r.countRuns(ctx)
	return r.report(time.Since(start))
}

// waitUntil waits for the offset and reports false if the context ends first.
func (r *replayer) waitUntil(ctx context.Context, start time.Time, offset time.Duration) bool {
	t := time.NewTimer(time.Until(start.Add(time.Duration(float64(offset) / r.settings.Speed))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendRequests sends each request at its offset, without waiting for earlier ones.
func (r *replayer) sendRequests(ctx context.Context, g *group.Group, start time.Time) {
	for _, q := range r.trace.Requests() {
		if !r.waitUntil(ctx, start, q.Offset()) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			g.Go(func(ctx context.Context) {
				defer func() { <-r.inFlight }()
				r.recordResult(q, r.sendRequest(ctx, q))
			})
		default:
			r.addResult(requestResult{request: q, observed: NotSent})
		}
	}
}

// sendRequest sends one request.
func (r *replayer) sendRequest(ctx context.Context, q trace.Request) caller.Result {
	token := q.Caller().Token()
	switch {
	case q.Kind() == trace.Stream:
		prompt := q.Prompt().Text()
		want := standin.NewAnswer(q.Model(), prompt).Text(0, q.MaxTokens())
		request, err := caller.NewCompletionRequest(token, q.Model(), prompt, q.MaxTokens(), want)
		if err != nil {
			log.WithError(err).Error("question left out")
			return caller.Result{}
		}
		return r.client.Stream(ctx, request)
	case q.Kind() == trace.Lookup:
		return r.client.Lookup(ctx, caller.NewLookup(token, q.Route(), q.Path()))
	}
	order := caller.NewOrder(token, q.Route(), q.Path(), q.Body()).WithCopies(q.Copies()).WithHold(q.Hold())
	if q.Claim() == trace.ByKey {
		return r.client.OrderByKey(ctx, order)
	}
	return r.client.OrderByTicket(ctx, order)
}

func (r *replayer) recordResult(q trace.Request, result caller.Result) {
	r.addResult(requestResult{request: q, result: result, observed: result.Outcome()})
}

func (r *replayer) addResult(res requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// countRuns queries the services for how often each order ran.
func (r *replayer) countRuns(ctx context.Context) {
	for i := range r.results {
		res := &r.results[i]
		if res.request.Kind() == trace.Order {
			res.runs, res.countComplete = r.watcher.countRuns(ctx, res.request.Path())
		}
	}
}
