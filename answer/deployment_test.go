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

// engines are model engines; they count the tokens that a resume makes them compute again.
type engines struct {
	// varied gives each attempt another text, as engines that sample do.
	varied     bool
	dead       sync.Map
	prompts    sync.Map
	recomputed atomic.Int64
	resumes    atomic.Int64
}

// prompt is a request's prompt at an engine.
type prompt struct {
	request  rail.RequestID
	upstream rail.InstanceID
}

func (e *engines) Stream(ctx context.Context, d rail.Dispatch, delivered string, take func(rail.Chunk) error) (rail.Usage, error) {
	if d.Attempt() > 1 {
		e.resumes.Add(1)
		e.recomputed.Add(int64(strings.Count(delivered, " ")))
	}
	// A prompt stays in the cache of an engine that has seen it.
	if _, held := e.prompts.LoadOrStore(prompt{d.Request().ID(), d.Upstream().ID()}, true); !held && d.Attempt() > 1 {
		e.recomputed.Add(promptTokens)
	}
	wait := prefillTime
	for i := d.Resume(); i < d.Request().MaxTokens(); i++ {
		select {
		case <-ctx.Done():
			return rail.Usage{}, ctx.Err()
		case <-time.After(wait):
		}
		if _, dead := e.dead.Load(d.Upstream().ID()); dead {
			return rail.Usage{}, rail.NewError(rail.KindUpstreamFailed, "upstream was taken")
		}
		if err := take(rail.NewChunk(i, e.token(d, i))); err != nil {
			return rail.Usage{}, err
		}
		wait = tokenTime
	}
	return rail.NewUsage(promptTokens, 0, d.Request().MaxTokens()-d.Resume()), nil
}

func (e *engines) token(d rail.Dispatch, offset int) string {
	text := token(d.Request().Prompt(), offset)
	if e.varied {
		return fmt.Sprintf("%d-%s-%s", d.Attempt(), d.Upstream().ID(), text)
	}
	return text
}

func (*engines) Cancel(context.Context, rail.Instance, rail.RequestID, int) error { return nil }
func (*engines) Load(context.Context, rail.Instance) (rail.Load, error)           { return rail.Load{}, nil }

func (*engines) CacheEvents(context.Context, rail.Instance, uint64) ([]rail.CacheEvent, error) {
	return nil, nil
}

func (*engines) Order(context.Context, rail.Instance, rail.Offset, string, rail.Version) error {
	return nil
}

// till is a service whose calls take a while.
type till struct {
	takes time.Duration
	runs  atomic.Int64
}

func (s *till) Call(ctx context.Context, _ rail.Dispatch) (rail.ServiceReply, error) {
	s.runs.Add(1)
	select {
	case <-ctx.Done():
		return rail.ServiceReply{}, ctx.Err()
	case <-time.After(s.takes):
		return rail.NewServiceReply(http.StatusOK, "text/plain", []byte("landed")), nil
	}
}

func (*till) Load(context.Context, rail.Instance) (rail.Load, error) { return rail.Load{}, nil }

// site is all entries and upstreams of a test.
type site struct {
	settings answer.Settings
	engines  *engines
	till     *till
	entries  []*entry
	all      []rail.Instance
	// lose makes the next answers between entries be lost after their effect.
	lose atomic.Int64
}

// entry is one entry process without sockets.
type entry struct {
	site      *site
	self      rail.Instance
	part      *answer.Reducer
	directory *directory
	store     *answer.Store
	pump      *answer.AttemptRunner
	mover     *answer.HandoverSender
	source    *answer.Source
	timers    *timer.Service
	peers     http.Handler
	group     *group.Group
	alive     context.Context
	events    chan rail.Event
	drained   atomic.Bool
	dead      atomic.Bool

	mu    sync.Mutex
	calls map[rail.RequestID]chan rail.CallEffect
}

// newSite has so many entries and engines in each domain.
func newSite(entriesEach, enginesEach int, domains ...rail.Domain) *site {
	s := &site{settings: answer.Defaults(), engines: &engines{}, till: &till{takes: 8 * time.Second}}
	s.all = append(s.all, rail.NewInstance("till", "breno", rail.RoleService, "till:1").WithServing("till", version))
	for _, domain := range domains {
		for i := range entriesEach {
			id := rail.InstanceID(string(domain) + "-e" + string(rune('0'+i)))
			s.all = append(s.all, rail.NewInstance(id, domain, rail.RoleEntry, string(id)).WithPeerAddress(string(id)))
		}
		for i := range enginesEach {
			s.all = append(s.all, engineAt(rail.InstanceID(string(domain)+"-m"+string(rune('0'+i))), domain))
		}
	}
	return s
}

func (s *site) start(ctx context.Context) {
	for _, i := range s.all {
		if i.Role() == rail.RoleEntry {
			s.entries = append(s.entries, s.newEntry(ctx, i))
		}
	}
}

func (s *site) stop() {
	for _, e := range s.entries {
		e.group.Stop()
	}
}

func (s *site) newEntry(ctx context.Context, self rail.Instance) *entry {
	e := &entry{
		site: s, self: self, directory: &directory{}, store: answer.NewStore(s.settings), group: group.New(ctx),
		events: make(chan rail.Event, 1<<14), calls: map[rail.RequestID]chan rail.CallEffect{},
	}
	for _, i := range s.all {
		if i.Role() != rail.RoleEntry {
			e.directory.upstreams = append(e.directory.upstreams, i)
		}
	}
	e.alive = e.group.Context()
	client := peer.NewAnswerClient(s, "http", rail.Incarnation(self.ID()))
	e.part = answer.New(s.settings.WithInstance(self.ID()), self.Domain(), e.directory, chooser{}, picker{})
	e.pump = answer.NewAttemptRunner(s.settings, s.engines, s.till, e.store, e, e.group)
	e.mover = answer.NewHandoverSender(s.settings, e.store, client, e, e.group)
	e.source = answer.NewSource(s.settings, e.store, client, e)
	e.timers = timer.New(func(_ context.Context, f rail.TimerFired) { e.Post(f) })
	_, e.peers = railv1connect.NewAnswerServiceHandler(peer.NewAnswerServer(e, e.store), peer.AnswerOptions())
	e.group.Go(e.timers.Run)
	e.group.Go(e.loop)
	e.Post(rail.NewListRead(s.all))
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
			for _, effect := range e.part.Reduce(rail.NewInput(event, time.Now(), random.Uint64())) {
				e.run(effect)
			}
		}
	}
}

func (e *entry) run(effect rail.Effect) {
	switch f := effect.(type) {
	case rail.Dispatch:
		e.pump.Run(f)
	case rail.CancelAttempt:
		e.pump.Cancel(f)
	case rail.SetTimer:
		e.timers.Set(f.Name(), f.After())
	case answer.HandOver:
		e.mover.Run(f)
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

// Post implements rail.Desk.
func (e *entry) Post(event rail.Event) bool {
	select {
	case e.events <- event:
		return true
	default:
		return false
	}
}

// Ask implements rail.Desk.
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
	for _, o := range e.site.entries {
		if o != e {
			others = append(others, o.self)
		}
	}
	return others
}

// Do carries a call between entries; a dead one does not answer.
func (s *site) Do(r *http.Request) (*http.Response, error) {
	to := s.entry(rail.InstanceID(r.URL.Host))
	time.Sleep(oneWay)
	if to.dead.Load() || r.Context().Err() != nil {
		return nil, errors.New("connection refused")
	}
	answer := httptest.NewRecorder()
	to.peers.ServeHTTP(answer, r)
	time.Sleep(oneWay)
	lost := strings.HasSuffix(r.URL.Path, "HandOverAnswers") && s.lose.Add(-1) >= 0
	if to.dead.Load() || lost || r.Context().Err() != nil {
		return nil, errors.New("connection reset")
	}
	return answer.Result(), nil
}

func (s *site) entry(id rail.InstanceID) *entry {
	for _, e := range s.entries {
		if e.self.ID() == id {
			return e
		}
	}
	return nil
}

// notice tells of the reclaim of a whole domain.
func (s *site) notice(domain rail.Domain, notice time.Duration) {
	deadline := time.Now().Add(notice)
	for _, e := range s.entries {
		for _, i := range s.all {
			if i.Domain() == domain {
				e.Post(rail.NewInstanceLeaving(i.ID(), "notice"))
			}
		}
		if e.self.Domain() == domain {
			e.Post(rail.NewShutdownStarted(true).WithDeadline(deadline))
		}
	}
}

// take ends all instances of the domain at once.
func (s *site) take(domain rail.Domain) {
	stop := group.New(context.Background())
	for _, i := range s.all {
		if i.Domain() != domain {
			continue
		}
		if e := s.entry(i.ID()); e != nil {
			e.dead.Store(true)
			stop.Go(func(context.Context) { e.group.Stop() })
		} else {
			s.engines.dead.Store(i.ID(), true)
		}
	}
	stop.Wait()
}

// caller streams one brief and reconnects anywhere when its connection breaks.
type caller struct {
	site   *site
	id     rail.RequestID
	tokens int
	text   strings.Builder
	kind   rail.Kind
	done   bool
}

func (c *caller) send(e *entry) {
	e.store.Open(c.id, "shop")
	r := rail.NewRequest(c.id, "shop", "briefs", time.Now()).WithPrompt(string(c.id), c.tokens)
	e.Post(answer.NewAccepted(r, briefs))
}

func (c *caller) run(ctx context.Context, e *entry) {
	offset := 0
	for tries := 0; !c.done && tries < 4; tries++ {
		offset = c.read(ctx, e, offset)
		time.Sleep(100 * time.Millisecond)
		live := slices.DeleteFunc(slices.Clone(c.site.entries), func(e *entry) bool { return e.dead.Load() })
		e = live[rand.IntN(len(live))]
	}
}

// read goes on until the end or until the entry dies.
func (c *caller) read(ctx context.Context, e *entry, offset int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.alive, cancel)() //nolint:contextcheck // ends with the entry as well
	reader := e.source.Open("shop", c.id)
	for !c.done && !e.dead.Load() {
		piece, err := reader.Next(ctx, offset)
		if err != nil {
			return offset
		}
		for _, chunk := range piece.Chunks() {
			c.text.WriteString(chunk.Text())
		}
		offset += len(piece.Chunks())
		c.done, c.kind = piece.Done(), piece.Kind()
	}
	return offset
}

func (c *caller) ended() bool { return c.done && c.kind == rail.KindNone }

func (c *caller) whole() bool {
	return c.ended() && c.text.String() == wholeAnswer(string(c.id), c.tokens)
}
