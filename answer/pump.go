package answer

import (
	"context"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

const (
	// cancelTimeout bounds the call that tells an upstream of a cancellation.
	cancelTimeout = 2 * time.Second
	// postRetry is the wait before an event is posted again to a full queue.
	postRetry = 10 * time.Millisecond
)

// AttemptRunner runs attempts: it copies tokens into the store and reports marks to the reducer.
type AttemptRunner struct {
	settings Settings
	engine   rail.Engine
	service  rail.Service
	store    *Store
	desk     rail.Mailbox
	group    rail.Group

	mu      sync.Mutex
	running map[attemptKey]*job
}

// job is one running attempt; it may be stopped before its goroutine runs.
type job struct {
	cancel  context.CancelFunc
	stopped bool
}

type attemptKey struct {
	request rail.RequestID
	attempt int
}

// NewAttemptRunner returns a pump without attempts.
func NewAttemptRunner(settings Settings, engine rail.Engine, service rail.Service, store *Store, desk rail.Mailbox, group rail.Group) *AttemptRunner {
	return &AttemptRunner{
		settings: settings, engine: engine, service: service, store: store, desk: desk, group: group,
		running: map[attemptKey]*job{},
	}
}

// Run starts the attempt and returns at once.
func (p *AttemptRunner) Run(d rail.Dispatch) {
	key := attemptKey{d.Request().ID(), d.Attempt()}
	// Registered before the goroutine runs, so that no cancellation is missed.
	j := p.register(key)
	p.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer p.forget(key)
		p.begin(j, cancel)
		if d.Upstream().Role() == rail.RoleService {
			p.call(ctx, d)
			return
		}
		p.stream(ctx, d)
	})
}

// Cancel stops the attempt here and at its upstream and returns at once.
func (p *AttemptRunner) Cancel(e rail.CancelAttempt) {
	p.stop(attemptKey{e.Request(), e.Attempt()})
	if e.Upstream().Role() == rail.RoleService {
		return
	}
	p.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		// A lost cancellation costs the upstream's work only.
		_ = p.engine.Cancel(ctx, e.Upstream(), e.Request(), e.Attempt())
	})
}

func (p *AttemptRunner) call(ctx context.Context, d rail.Dispatch) {
	id := d.Request().ID()
	reply, err := p.service.Call(ctx, d)
	if err != nil {
		p.fail(ctx, d, err)
		return
	}
	p.post(ctx, NewReplied(id, d.Attempt(), reply))
}

func (p *AttemptRunner) stream(ctx context.Context, d rail.Dispatch) {
	id := d.Request().ID()
	offset, delivered, err := p.store.BeginAttempt(id, d.Attempt())
	if err != nil {
		p.fail(ctx, d, err)
		return
	}
	// The store may be ahead of the last mark that the reducer saw.
	d = rail.NewDispatch(d.Request(), d.Attempt(), d.Upstream(), offset)
	m := marker{pump: p, dispatch: d, offset: offset}
	usage, err := p.engine.Stream(ctx, d, delivered, m.take)
	if err != nil {
		p.fail(ctx, d, err)
		return
	}
	p.post(ctx, NewEnded(id, d.Attempt(), usage))
}

func (p *AttemptRunner) fail(ctx context.Context, d rail.Dispatch, err error) {
	kind := rail.KindOf(err)
	if kind == rail.KindLeaving {
		p.post(ctx, rail.NewInstanceLeaving(d.Upstream().ID(), "upstream"))
	}
	id := d.Request().ID()
	p.post(ctx, NewFailed(id, d.Attempt(), kind, p.store.Offset(id)))
}

// post repeats until the queue takes the event; a cancelled attempt reports nothing.
func (p *AttemptRunner) post(ctx context.Context, e rail.Event) {
	for ctx.Err() == nil && !p.desk.Post(e) {
		select {
		case <-ctx.Done():
		case <-time.After(postRetry):
		}
	}
}

func (p *AttemptRunner) register(key attemptKey) *job {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := &job{}
	p.running[key] = j
	return j
}

func (p *AttemptRunner) begin(j *job, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j.cancel = cancel
	if j.stopped {
		cancel()
	}
}

func (p *AttemptRunner) forget(key attemptKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, key)
}

func (p *AttemptRunner) stop(key attemptKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.running[key]
	if !ok {
		return
	}
	j.stopped = true
	if j.cancel != nil {
		j.cancel()
	}
}

// marker reports the progress of one attempt.
type marker struct {
	pump     *AttemptRunner
	dispatch rail.Dispatch
	offset   int
	marked   int
	at       time.Time
}

func (m *marker) take(c rail.Chunk) error {
	id, attempt := m.dispatch.Request().ID(), m.dispatch.Attempt()
	offset, err := m.pump.store.Append(id, attempt, c)
	if err != nil {
		return err
	}
	m.offset = offset
	now := time.Now()
	if m.due(now) && m.pump.desk.Post(NewMarked(id, attempt, offset)) {
		m.marked, m.at = offset, now
	}
	return nil
}

// due reports whether the first token came or enough tokens or time since the last mark.
func (m *marker) due(now time.Time) bool {
	s := m.pump.settings
	return m.at.IsZero() || m.offset-m.marked >= s.markTokens || now.Sub(m.at) >= s.markEvery
}
