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

// Settings says how a trace is replayed.
type Settings struct {
	// Entries are the URLs of the entries.
	Entries []string
	// Platform is the URL of the platform.
	Platform string
	// Processes are the process ids by instance, for faults that strike processes.
	Processes map[string]int
	// Limits bound each request.
	Limits caller.Limits
	// MaxInFlight is how many requests may be on their way at once; further ones are not sent and count as missed.
	MaxInFlight int
	// Speed divides the recorded offsets.
	Speed float64
	// FirstTokenTarget is the latency target of the first token.
	FirstTokenTarget time.Duration
}

// NotSent is seen for a request that was not sent because too many were on their way.
const NotSent caller.Outcome = "notSent"

// replayer is one replay on its way.
type replayer struct {
	settings Settings
	trace    trace.Trace
	client   *caller.Client
	watcher  *watcher
	slots    chan struct{}
	mu       sync.Mutex
	lines    []line
	faults   []string
	broken   bool
}

// line is a request with what became of it.
type line struct {
	request trace.Request
	result  caller.Result
	seen    caller.Outcome
	runs    int
	counted bool
}

// Run replays the trace and returns the report once all requests have ended.
func Run(ctx context.Context, t trace.Trace, settings Settings) Report {
	r := &replayer{
		settings: settings,
		trace:    t,
		client:   caller.New(settings.Entries, settings.Limits),
		watcher:  newWatcher(settings.Platform),
		slots:    make(chan struct{}, settings.MaxInFlight),
	}
	defer r.client.Close()
	watching := group.New(ctx)
	r.watcher.look(ctx)
	watching.Go(r.watcher.run)
	start := time.Now()
	callers := group.New(ctx)
	callers.Go(func(ctx context.Context) { r.strike(ctx, callers, start) })
	r.send(ctx, callers, start)
	callers.Wait()
	watching.Stop()
	r.watcher.look(ctx)
	r.count(ctx)
	return r.report(time.Since(start))
}

// until waits for the offset and reports false if the context ends first.
func (r *replayer) until(ctx context.Context, start time.Time, offset time.Duration) bool {
	t := time.NewTimer(time.Until(start.Add(time.Duration(float64(offset) / r.settings.Speed))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send starts each request at its offset, however the earlier ones fare.
func (r *replayer) send(ctx context.Context, g *group.Group, start time.Time) {
	for _, q := range r.trace.Requests() {
		if !r.until(ctx, start, q.Offset()) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			g.Go(func(ctx context.Context) {
				defer func() { <-r.slots }()
				r.take(q, r.ask(ctx, q))
			})
		default:
			r.add(line{request: q, seen: NotSent})
		}
	}
}

// ask sends one request.
func (r *replayer) ask(ctx context.Context, q trace.Request) caller.Result {
	token := q.Caller().Token()
	switch {
	case q.Kind() == trace.Stream:
		prompt := q.Prompt().Text()
		want := standin.NewAnswer(q.Model(), prompt).Text(0, q.MaxTokens())
		question, err := caller.NewCompletionRequest(token, q.Model(), prompt, q.MaxTokens(), want)
		if err != nil {
			log.WithError(err).Error("question left out")
			return caller.Result{}
		}
		return r.client.Stream(ctx, question)
	case q.Kind() == trace.Lookup:
		return r.client.Lookup(ctx, caller.NewLookup(token, q.Route(), q.Path()))
	}
	order := caller.NewOrder(token, q.Route(), q.Path(), q.Body()).WithCopies(q.Copies()).WithHold(q.Hold())
	if q.Claim() == trace.ByKey {
		return r.client.OrderByKey(ctx, order)
	}
	return r.client.OrderByTicket(ctx, order)
}

func (r *replayer) take(q trace.Request, result caller.Result) {
	r.add(line{request: q, result: result, seen: result.Outcome()})
}

func (r *replayer) add(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
}

// count asks the services how often each order ran.
func (r *replayer) count(ctx context.Context) {
	for i := range r.lines {
		l := &r.lines[i]
		if l.request.Kind() == trace.Order {
			l.runs, l.counted = r.watcher.runs(ctx, l.request.Path())
		}
	}
}
