package answer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

const (
	streamTokens = 12
	mostFailures = 4
	tick         = 400 * time.Millisecond
)

// attempt is one stream at a fake upstream; a stopped one may still send late tokens.
type attempt struct {
	dispatch rail.Dispatch
	next     int
	silent   bool
	stopped  bool
}

// world drives one part and its store without goroutines.
type world struct {
	t         *rapid.T
	part      *answer.Reducer
	store     *answer.Store
	directory *directory
	now       time.Time
	random    uint64
	timers    map[rail.TimerName]time.Time
	attempts  []*attempt
	leaving   map[rail.InstanceID]bool
	made      int
	faults    map[rail.RequestID]int
	sent      map[rail.RequestID]int
	newest    map[rail.RequestID]int
	ended     map[rail.RequestID]rail.Kind
	mover     *answer.HandoverSender
	taken     rail.Kind
}

func worldSettings() answer.Settings {
	return answer.Defaults().WithTokenTimeouts(2*time.Second, time.Second).WithAttempts(mostFailures+1, 50*time.Millisecond)
}

func newWorld(t *rapid.T, s answer.Settings) *world {
	w := &world{
		t: t, store: answer.NewStore(s), directory: &directory{}, now: time.Unix(1e9, 0), timers: map[rail.TimerName]time.Time{},
		leaving: map[rail.InstanceID]bool{}, faults: map[rail.RequestID]int{}, sent: map[rail.RequestID]int{}, newest: map[rail.RequestID]int{},
		ended: map[rail.RequestID]rail.Kind{},
	}
	w.part = newPart(s, w.directory)
	for range 3 {
		w.addUpstream()
	}
	return w
}

func (w *world) addUpstream() {
	w.made++
	w.directory.upstreams = append(w.directory.upstreams, engineAt(rail.InstanceID(fmt.Sprintf("m%d", w.made)), "breno"))
}

func (w *world) reduce(e rail.Event) {
	w.random = w.random*6364136223846793005 + 1442695040888963407
	for _, effect := range w.part.Reduce(rail.NewInput(e, w.now, w.random)) {
		w.run(effect)
	}
}

func (w *world) run(effect rail.Effect) {
	switch e := effect.(type) {
	case rail.Dispatch:
		w.dispatch(e)
	case rail.CancelAttempt:
		for _, a := range w.attempts {
			if a.dispatch.Request().ID() == e.Request() && a.dispatch.Attempt() == e.Attempt() {
				a.stopped = true
			}
		}
	case rail.SetTimer:
		w.timers[e.Name()] = w.now.Add(e.After())
	case answer.Finished:
		if _, twice := w.ended[e.Call()]; twice {
			w.t.Fatalf("%s ended twice", e.Call())
		}
		w.ended[e.Call()] = e.Kind()
		w.store.Finish(e.Call(), e.Kind(), e.Reply())
	case answer.Moved:
		w.store.MarkMoved(e.Call())
	case answer.HandOver:
		w.mover.Run(e)
	case answer.HandoverResponse:
		w.taken = e.Kind()
	}
}

func (w *world) dispatch(d rail.Dispatch) {
	if w.leaving[d.Upstream().ID()] {
		w.t.Fatalf("%s sent to leaving %s", d.Request().ID(), d.Upstream().ID())
	}
	w.sent[d.Request().ID()]++
	w.newest[d.Request().ID()] = d.Attempt()
	offset, delivered, err := w.store.BeginAttempt(d.Request().ID(), d.Attempt())
	if err != nil {
		w.t.Fatalf("begin: %v", err)
	}
	if delivered != wholeAnswer(d.Request().Prompt(), offset) {
		w.t.Fatalf("%s resumes from %q", d.Request().ID(), delivered)
	}
	w.attempts = append(w.attempts, &attempt{dispatch: d, next: offset})
}

// step lets the stream come to its next token or its end; lost says that its mark is lost.
func (w *world) step(a *attempt, lost bool) {
	id, n := a.dispatch.Request().ID(), a.dispatch.Attempt()
	if a.next == streamTokens {
		a.stopped = true
		w.reduce(answer.NewEnded(id, n, rail.NewUsage(0, 0, 0)))
		return
	}
	offset, err := w.store.Append(id, n, rail.NewChunk(a.next, token(a.dispatch.Request().Prompt(), a.next)))
	if err != nil {
		w.t.Fatalf("take: %v", err)
	}
	a.next++
	if !lost {
		w.reduce(answer.NewMarked(id, n, offset))
	}
}

// fault brings about one failure if the request may still have one.
func (w *world) fault(a *attempt, kind string) {
	id, n := a.dispatch.Request().ID(), a.dispatch.Attempt()
	if a.silent || w.faults[id] >= mostFailures {
		return
	}
	w.faults[id]++
	switch kind {
	case "silent":
		a.silent = true
		return
	case "gap":
		if _, err := w.store.Append(id, n, rail.NewChunk(a.next+1, "skipped")); err == nil {
			w.t.Fatalf("%s took a token after a gap", id)
		}
	}
	a.stopped = true
	w.reduce(answer.NewFailed(id, n, rail.KindUpstreamFailed, w.store.Offset(id)))
}

// stray sends a wrong token: of an older attempt, or below the offset of the newest one.
func (w *world) stray(a *attempt) {
	id := a.dispatch.Request().ID()
	offset := w.store.Offset(id)
	if a.dispatch.Attempt() == w.newest[id] {
		offset--
	}
	if offset < 0 {
		return
	}
	_, _ = w.store.Append(id, a.dispatch.Attempt(), rail.NewChunk(offset, "stray"))
	if a.stopped {
		w.reduce(answer.NewFailed(id, a.dispatch.Attempt(), rail.KindUpstreamFailed, offset))
		w.reduce(answer.NewEnded(id, a.dispatch.Attempt(), rail.NewUsage(0, 0, 0)))
	}
}

func (w *world) leave(u rail.Instance) {
	if len(w.directory.upstreams) == 1 {
		w.addUpstream()
	}
	w.directory.remove(u.ID())
	w.leaving[u.ID()] = true
	w.reduce(rail.NewInstanceLeaving(u.ID(), "notice"))
}

// advance lets all healthy streams go on for one tick and fires the timers that are due.
func (w *world) advance() {
	w.now = w.now.Add(tick)
	for _, a := range slices.Clone(w.attempts) {
		if !a.stopped && !a.silent {
			w.step(a, false)
		}
	}
	for _, name := range w.due() {
		delete(w.timers, name)
		w.reduce(rail.NewTimerFired(name))
	}
}

func (w *world) due() []rail.TimerName {
	var names []rail.TimerName
	for name, at := range w.timers {
		if !at.After(w.now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// act does one drawn action.
func (w *world) act() {
	if len(w.attempts) == 0 {
		return
	}
	a := w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(w.t, "attempt")]
	kind := rapid.SampledFrom([]string{"token", "lostMark", "fail", "gap", "silent", "stray", "leave", "advance"}).Draw(w.t, "action")
	live := !a.stopped && !a.silent
	switch {
	case kind == "advance":
		w.advance()
	case kind == "stray":
		w.stray(a)
	case kind == "leave":
		w.leave(w.directory.upstreams[rapid.IntRange(0, len(w.directory.upstreams)-1).Draw(w.t, "upstream")])
	case live && (kind == "token" || kind == "lostMark"):
		w.step(a, kind == "lostMark")
	case live:
		w.fault(a, kind)
	}
}

func TestEveryInterleavingGivesTheWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, worldSettings())
		requests := rapid.IntRange(1, 4).Draw(t, "requests")
		for i := range requests {
			id := rail.RequestID(fmt.Sprintf("r%d", i))
			w.reduce(answer.NewAccepted(rail.NewRequest(id, "shop", "briefs", w.now).WithPrompt(string(id), streamTokens), briefs))
		}
		for range rapid.IntRange(0, 60).Draw(t, "actions") {
			w.act()
		}
		for i := 0; i < 200 && len(w.ended) < requests; i++ {
			w.advance()
		}
		w.check(requests)
	})
}

func (w *world) check(requests int) {
	for i := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", i))
		kind, ended := w.ended[id]
		if !ended || kind != rail.KindNone {
			w.t.Fatalf("%s: ended %v, kind %q", id, ended, kind)
		}
		k, _ := w.store.Snapshot(id)
		if join(k) != wholeAnswer(string(id), streamTokens) {
			w.t.Fatalf("%s: got %q", id, join(k))
		}
		if most := 1 + mostFailures + len(w.leaving); w.sent[id] > most {
			w.t.Fatalf("%s: %d attempts, at most %d expected", id, w.sent[id], most)
		}
	}
	if w.part.InProgress() != 0 {
		w.t.Fatalf("%d requests are still in progress", w.part.InProgress())
	}
}
