package answer

import (
	"context"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

const (
	// cancelTimeout bounds the call that cancels an attempt at its upstream.
	cancelTimeout = 2 * time.Second
	// postRetryInterval is the wait before an event is posted again after the queue was full.
	postRetryInterval = 10 * time.Millisecond
)

// AttemptRunner runs attempts: it copies tokens into the store and reports progress marks to the reducer.
type AttemptRunner struct {
	settings Settings
	engine   rail.Engine
	service  rail.Service
	store    *Store
	mailbox  rail.Mailbox
	group    rail.Group

	mu      sync.Mutex
	running map[attemptKey]*activeAttempt
}

// activeAttempt is one running attempt; it may be cancelled before its goroutine runs.
type activeAttempt struct {
	cancel  context.CancelFunc
	stopped bool
}

type attemptKey struct {
	request rail.RequestID
	attempt int
}

// NewAttemptRunner returns a runner without attempts.
func NewAttemptRunner(settings Settings, engine rail.Engine, service rail.Service, store *Store, mailbox rail.Mailbox, group rail.Group) *AttemptRunner {
	return &AttemptRunner{
		settings: settings, engine: engine, service: service, store: store, mailbox: mailbox, group: group,
		running: map[attemptKey]*activeAttempt{},
	}
}

// Run starts the attempt and returns at once.
func (r *AttemptRunner) Run(d rail.Dispatch) {
	key := attemptKey{d.Request().ID(), d.Attempt()}
	// Registered before the goroutine runs so that no cancellation is missed.
	a := r.register(key)
	r.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer r.unregister(key)
		r.setCancel(a, cancel)
		if d.Upstream().Role() == rail.RoleService {
			r.callService(ctx, d)
			return
		}
		r.streamTokens(ctx, d)
	})
}

// Cancel stops the attempt here and at its upstream and returns at once.
func (r *AttemptRunner) Cancel(e rail.CancelAttempt) {
	r.cancelLocal(attemptKey{e.Request(), e.Attempt()})
	if e.Upstream().Role() == rail.RoleService {
		return
	}
	r.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		// A lost cancellation only wastes work of the upstream.
		_ = r.engine.Cancel(ctx, e.Upstream(), e.Request(), e.Attempt())
	})
}

func (r *AttemptRunner) callService(ctx context.Context, d rail.Dispatch) {
	id := d.Request().ID()
	reply, err := r.service.Call(ctx, d)
	if err != nil {
		r.reportFailure(ctx, d, err)
		return
	}
	r.postWithRetry(ctx, NewReplied(id, d.Attempt(), reply))
}

func (r *AttemptRunner) streamTokens(ctx context.Context, d rail.Dispatch) {
	id := d.Request().ID()
	offset, delivered, err := r.store.BeginAttempt(id, d.Attempt())
	if err != nil {
		r.reportFailure(ctx, d, err)
		return
	}
	// The store may hold more tokens than the last mark that the reducer received.
	d = rail.NewDispatch(d.Request(), d.Attempt(), d.Upstream(), offset)
	m := progressMarker{runner: r, dispatch: d, offset: offset}
	usage, err := r.engine.Stream(ctx, d, delivered, m.appendChunk)
	if err != nil {
		r.reportFailure(ctx, d, err)
		return
	}
	r.postWithRetry(ctx, NewEnded(id, d.Attempt(), usage))
}

func (r *AttemptRunner) reportFailure(ctx context.Context, d rail.Dispatch, err error) {
	kind := rail.KindOf(err)
	if kind == rail.KindLeaving {
		r.postWithRetry(ctx, rail.NewInstanceLeaving(d.Upstream().ID(), "upstream"))
	}
	id := d.Request().ID()
	r.postWithRetry(ctx, NewFailed(id, d.Attempt(), kind, r.store.Offset(id)))
}

// postWithRetry repeats until the queue accepts the event; a cancelled attempt reports nothing.
func (r *AttemptRunner) postWithRetry(ctx context.Context, e rail.Event) {
	for ctx.Err() == nil && !r.mailbox.Post(e) {
		select {
		case <-ctx.Done():
		case <-time.After(postRetryInterval):
		}
	}
}

func (r *AttemptRunner) register(key attemptKey) *activeAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &activeAttempt{}
	r.running[key] = a
	return a
}

func (r *AttemptRunner) setCancel(a *activeAttempt, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.cancel = cancel
	if a.stopped {
		cancel()
	}
}

func (r *AttemptRunner) unregister(key attemptKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, key)
}

func (r *AttemptRunner) cancelLocal(key attemptKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.running[key]
	if !ok {
		return
	}
	a.stopped = true
	if a.cancel != nil {
		a.cancel()
	}
}

// progressMarker appends the tokens of one attempt to the store and reports its progress marks.
type progressMarker struct {
	runner       *AttemptRunner
	dispatch     rail.Dispatch
	offset       int
	markedOffset int
	markedAt     time.Time
}

func (m *progressMarker) appendChunk(c rail.Chunk) error {
	id, attempt := m.dispatch.Request().ID(), m.dispatch.Attempt()
	offset, err := m.runner.store.Append(id, attempt, c)
	if err != nil {
		return err
	}
	m.offset = offset
	now := time.Now()
	if m.markDue(now) && m.runner.mailbox.Post(NewMarked(id, attempt, offset)) {
		m.markedOffset, m.markedAt = offset, now
	}
	return nil
}

// markDue reports whether the token is the first or the last mark is at least markTokens or markInterval ago.
func (m *progressMarker) markDue(now time.Time) bool {
	s := m.runner.settings
	return m.markedAt.IsZero() || m.offset-m.markedOffset >= s.markTokens || now.Sub(m.markedAt) >= s.markInterval
}
