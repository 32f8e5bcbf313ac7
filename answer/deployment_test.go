package answer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/peer"
	"dandelionrail.org/rail/timer"
)

const (
	promptTokens = 50
	tokenTime    = 100 * time.Millisecond
	prefillTime  = 200 * time.Millisecond
	oneWay       = 1500 * time.Microsecond
)

// fakeEngines are all model engines of a test; they count the tokens that resumes make them compute again.
type fakeEngines struct {
	// sampling makes each attempt generate a different text, as engines that sample do.
	sampling      bool
	terminated    sync.Map
	cachedPrompts sync.Map
	recomputed    atomic.Int64
	resumes       atomic.Int64
}

// promptCacheKey identifies a request's prompt in the cache of an engine.
type promptCacheKey struct {
	request  rail.RequestID
	upstream rail.InstanceID
}

func (e *fakeEngines) Stream(ctx context.Context, d rail.Dispatch, delivered string, take func(rail.Chunk) error) (rail.Usage, error) {
	if d.Attempt() > 1 {
		e.resumes.Add(1)
		e.recomputed.Add(int64(strings.Count(delivered, " ")))
	}
	// A prompt stays in the cache of an engine that has computed it.
	if _, held := e.cachedPrompts.LoadOrStore(promptCacheKey{d.Request().ID(), d.Upstream().ID()}, true); !held && d.Attempt() > 1 {
		e.recomputed.Add(promptTokens)
	}
	wait := prefillTime
	for i := d.Resume(); i < d.Request().MaxTokens(); i++ {
		select {
		case <-ctx.Done():
			return rail.Usage{}, ctx.Err()
		case <-time.After(wait):
		}
		if _, terminated := e.terminated.Load(d.Upstream().ID()); terminated {
			return rail.Usage{}, rail.NewError(rail.KindUpstreamFailed, "upstream was terminated")
		}
		if err := take(rail.NewChunk(i, e.token(d, i))); err != nil {
			return rail.Usage{}, err
		}
		wait = tokenTime
	}
	return rail.NewUsage(promptTokens, 0, d.Request().MaxTokens()-d.Resume()), nil
}

func (e *fakeEngines) token(d rail.Dispatch, offset int) string {
	text := token(d.Request().Prompt(), offset)
	if e.sampling {
		return fmt.Sprintf("%d-%s-%s", d.Attempt(), d.Upstream().ID(), text)
	}
	return text
}

func (*fakeEngines) Cancel(context.Context, rail.Instance, rail.RequestID, int) error { return nil }
func (*fakeEngines) Load(context.Context, rail.Instance) (rail.Load, error)           { return rail.Load{}, nil }

func (*fakeEngines) CacheEvents(context.Context, rail.Instance, uint64) ([]rail.CacheEvent, error) {
	return nil, nil
}

func (*fakeEngines) Order(context.Context, rail.Instance, rail.Offset, string, rail.Version) error {
	return nil
}

// tillService is a service whose calls take callTime.
type tillService struct {
	callTime time.Duration
	runs     atomic.Int64
}

func (s *tillService) Call(ctx context.Context, _ rail.Dispatch) (rail.ServiceReply, error) {
	s.runs.Add(1)
	select {
	case <-ctx.Done():
		return rail.ServiceReply{}, ctx.Err()
	case <-time.After(s.callTime):
		return rail.NewServiceReply(http.StatusOK, "text/plain", []byte("landed")), nil
	}
}

func (*tillService) Load(context.Context, rail.Instance) (rail.Load, error) { return rail.Load{}, nil }

// deployment is all entries and upstreams of a test.
type deployment struct {
	settings answer.Settings
	engines  *fakeEngines
	till     *tillService
	entries  []*entry
	all      []rail.Instance
	// repliesToLose is how many of the next handover replies are lost after the handover took effect.
	repliesToLose atomic.Int64
}

// entry is one entry process without sockets.
type entry struct {
	deployment *deployment
	self       rail.Instance
	reducer    *answer.Reducer
	directory  *directory
	store      *answer.Store
	runner     *answer.AttemptRunner
	sender     *answer.HandoverSender
	source     *answer.Source
	timers     *timer.Service
	peers      http.Handler
	group      *group.Group
	alive      context.Context
	events     chan rail.Event
	drained    atomic.Bool
	terminated atomic.Bool

	mu    sync.Mutex
	calls map[rail.RequestID]chan rail.CallEffect
}

// newDeployment returns a deployment with the given numbers of entries and engines in each domain.
func newDeployment(entriesEach, enginesEach int, domains ...rail.Domain) *deployment {
	d := &deployment{settings: answer.Defaults(), engines: &fakeEngines{}, till: &tillService{callTime: 8 * time.Second}}
	d.all = append(d.all, rail.NewInstance("till", "breno", rail.RoleService, "till:1").WithServing("till", version))
	for _, domain := range domains {
		for i := range entriesEach {
			id := rail.InstanceID(string(domain) + "-e" + string(rune('0'+i)))
			d.all = append(d.all, rail.NewInstance(id, domain, rail.RoleEntry, string(id)).WithPeerAddress(string(id)))
		}
		for i := range enginesEach {
			d.all = append(d.all, engineAt(rail.InstanceID(string(domain)+"-m"+string(rune('0'+i))), domain))
		}
	}
	return d
}

func (d *deployment) start(ctx context.Context) {
	for _, i := range d.all {
		if i.Role() == rail.RoleEntry {
			d.entries = append(d.entries, d.newEntry(ctx, i))
		}
	}
}

func (d *deployment) stop() {
	for _, e := range d.entries {
		e.group.Stop()
	}
}

func (d *deployment) newEntry(ctx context.Context, self rail.Instance) *entry {
	e := &entry{
		deployment: d, self: self, directory: &directory{}, store: answer.NewStore(d.settings), group: group.New(ctx),
		events: make(chan rail.Event, 1<<14), calls: map[rail.RequestID]chan rail.CallEffect{},
	}
	for _, i := range d.all {
		if i.Role() != rail.RoleEntry {
			e.directory.upstreams = append(e.directory.upstreams, i)
		}
	}
	e.alive = e.group.Context()
	client := peer.NewAnswerClient(d, "http", rail.Incarnation(self.ID()))
	e.reducer = answer.New(d.settings.WithInstance(self.ID()), self.Domain(), e.directory, chooser{}, picker{})
	e.runner = answer.NewAttemptRunner(d.settings, d.engines, d.till, e.store, e, e.group)
	e.sender = answer.NewHandoverSender(d.settings, e.store, client, e, e.group)
	e.source = answer.NewSource(d.settings, e.store, client, e)
	e.timers = timer.New(func(_ context.Context, f rail.TimerFired) { e.Post(f) })
	_, e.peers = railv1connect.NewAnswerServiceHandler(peer.NewAnswerServer(e, e.store), peer.AnswerOptions())
	e.group.Go(e.timers.Run)
	e.group.Go(e.loop)
	e.Post(rail.NewListRead(d.all))
	e.Post(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs, lookups, orders}, nil, "")))
	return e
}

func (e *entry) loop(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 2))
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-e.events:
			if l, ok := event.(rail.InstanceLeaving); ok {
				e.directory.remove(l.Instance())
			}
			for _, effect := range e.reducer.Reduce(rail.NewInput(event, time.Now(), random.Uint64())) {
				e.run(effect)
			}
		}
	}
}

func (e *entry) run(effect rail.Effect) {
	switch f := effect.(type) {
	case rail.Dispatch:
		e.runner.Run(f)
	case rail.CancelAttempt:
		e.runner.Cancel(f)
	case rail.SetTimer:
		e.timers.Set(f.Name(), f.After())
	case answer.HandOver:
		e.sender.Run(f)
	case answer.Moved:
		e.store.MarkMoved(f.Call())
	case answer.Finished:
		e.store.Finish(f.Call(), f.Kind(), f.Reply())
	case answer.Drained:
		e.drained.Store(true)
	}
	if call, ok := effect.(rail.CallEffect); ok {
		e.resolve(call)
	}
}

func (e *entry) resolve(call rail.CallEffect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.calls[call.Call()]; ok {
		c <- call
		delete(e.calls, call.Call())
	}
}

// Post implements rail.Mailbox.
func (e *entry) Post(event rail.Event) bool {
	select {
	case e.events <- event:
		return true
	default:
		return false
	}
}

// Ask implements rail.Mailbox.
func (e *entry) Ask(ctx context.Context, id rail.RequestID, event rail.Event) (rail.CallEffect, error) {
	c := make(chan rail.CallEffect, 1)
	e.mu.Lock()
	e.calls[id] = c
	e.mu.Unlock()
	e.Post(event)
	select {
	case call := <-c:
		return call, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Entries implements answer.Entries.
func (e *entry) Entries() []rail.Instance {
	var others []rail.Instance
	for _, o := range e.deployment.entries {
		if o != e {
			others = append(others, o.self)
		}
	}
	return others
}

// Do delivers a call between entries; a terminated entry does not answer.
func (d *deployment) Do(r *http.Request) (*http.Response, error) {
	to := d.entry(rail.InstanceID(r.URL.Host))
	time.Sleep(oneWay)
	if to.terminated.Load() || r.Context().Err() != nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	to.peers.ServeHTTP(recorder, r)
	time.Sleep(oneWay)
	lost := strings.HasSuffix(r.URL.Path, "HandOverAnswers") && d.repliesToLose.Add(-1) >= 0
	if to.terminated.Load() || lost || r.Context().Err() != nil {
		return nil, errors.New("connection reset")
	}
	return recorder.Result(), nil
}

func (d *deployment) entry(id rail.InstanceID) *entry {
	for _, e := range d.entries {
		if e.self.ID() == id {
			return e
		}
	}
	return nil
}

// announceReclaim announces the reclaim of all instances of the domain to all entries.
func (d *deployment) announceReclaim(domain rail.Domain, notice time.Duration) {
	deadline := time.Now().Add(notice)
	for _, e := range d.entries {
		for _, i := range d.all {
			if i.Domain() == domain {
				e.Post(rail.NewInstanceLeaving(i.ID(), "notice"))
			}
		}
		if e.self.Domain() == domain {
			e.Post(rail.NewShutdownStarted(true).WithDeadline(deadline))
		}
	}
}

// terminate terminates all instances of the domain at once.
func (d *deployment) terminate(domain rail.Domain) {
	stop := group.New(context.Background())
	for _, i := range d.all {
		if i.Domain() != domain {
			continue
		}
		if e := d.entry(i.ID()); e != nil {
			e.terminated.Store(true)
			stop.Go(func(context.Context) { e.group.Stop() })
		} else {
			d.engines.terminated.Store(i.ID(), true)
		}
	}
	stop.Wait()
}

// caller streams one brief and reconnects to a random live entry when its connection breaks.
type caller struct {
	deployment *deployment
	id         rail.RequestID
	tokens     int
	text       strings.Builder
	kind       rail.Kind
	done       bool
}

func (c *caller) submit(e *entry) {
	e.store.Open(c.id, "shop")
	r := rail.NewRequest(c.id, "shop", "briefs", time.Now()).WithPrompt(string(c.id), c.tokens)
	e.Post(answer.NewAccepted(r, briefs))
}

func (c *caller) run(ctx context.Context, e *entry) {
	offset := 0
	for tries := 0; !c.done && tries < 4; tries++ {
		offset = c.read(ctx, e, offset)
		time.Sleep(100 * time.Millisecond)
		live := slices.DeleteFunc(slices.Clone(c.deployment.entries), func(e *entry) bool { return e.terminated.Load() })
		e = live[rand.IntN(len(live))]
	}
}

// read reads until the answer ends or the entry is terminated.
func (c *caller) read(ctx context.Context, e *entry, offset int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.alive, cancel)() //nolint:contextcheck // ends with the entry as well
	reader := e.source.Open("shop", c.id)
	for !c.done && !e.terminated.Load() {
		result, err := reader.Next(ctx, offset)
		if err != nil {
			return offset
		}
		for _, chunk := range result.Chunks() {
			c.text.WriteString(chunk.Text())
		}
		offset += len(result.Chunks())
		c.done, c.kind = result.Done(), result.Kind()
	}
	return offset
}

func (c *caller) ended() bool { return c.done && c.kind == rail.KindNone }

func (c *caller) complete() bool {
	return c.ended() && c.text.String() == fullAnswer(string(c.id), c.tokens)
}
