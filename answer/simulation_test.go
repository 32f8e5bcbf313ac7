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
	maxFailures  = 4
	tick         = 400 * time.Millisecond
)

// attempt is one stream at a fake upstream; a stopped one may still send late tokens.
type attempt struct {
	dispatch rail.Dispatch
	next     int
	silent   bool
	stopped  bool
}

// simulation drives one reducer and its store without goroutines.
type simulation struct {
	t              *rapid.T
	reducer        *answer.Reducer
	store          *answer.Store
	directory      *directory
	now            time.Time
	random         uint64
	timers         map[rail.TimerName]time.Time
	attempts       []*attempt
	leaving        map[rail.InstanceID]bool
	upstreamsAdded int
	faultCounts    map[rail.RequestID]int
	attemptCounts  map[rail.RequestID]int
	newestAttempts map[rail.RequestID]int
	ended          map[rail.RequestID]rail.Kind
	sender         *answer.HandoverSender
	handoverKind   rail.Kind
}

func simulationSettings() answer.Settings {
	return answer.Defaults().WithTokenTimeouts(2*time.Second, time.Second).WithAttempts(maxFailures+1, 50*time.Millisecond)
}

func newSimulation(t *rapid.T, s answer.Settings) *simulation {
	sim := &simulation{
		t: t, store: answer.NewStore(s), directory: &directory{}, now: time.Unix(1e9, 0), timers: map[rail.TimerName]time.Time{},
		leaving: map[rail.InstanceID]bool{}, faultCounts: map[rail.RequestID]int{}, attemptCounts: map[rail.RequestID]int{}, newestAttempts: map[rail.RequestID]int{},
		ended: map[rail.RequestID]rail.Kind{},
	}
	sim.reducer = newReducer(s, sim.directory)
	for range 3 {
		sim.addUpstream()
	}
	return sim
}

func (s *simulation) addUpstream() {
	s.upstreamsAdded++
	s.directory.upstreams = append(s.directory.upstreams, engineAt(rail.InstanceID(fmt.Sprintf("m%d", s.upstreamsAdded)), "breno"))
}

func (s *simulation) reduce(e rail.Event) {
	s.random = s.random*6364136223846793005 + 1442695040888963407
	for _, effect := range s.reducer.Reduce(rail.NewInput(e, s.now, s.random)) {
		s.run(effect)
	}
}

func (s *simulation) run(effect rail.Effect) {
	switch e := effect.(type) {
	case rail.Dispatch:
		s.dispatch(e)
	case rail.CancelAttempt:
		for _, a := range s.attempts {
			if a.dispatch.Request().ID() == e.Request() && a.dispatch.Attempt() == e.Attempt() {
				a.stopped = true
			}
		}
	case rail.SetTimer:
		s.timers[e.Name()] = s.now.Add(e.After())
	case answer.Finished:
		if _, twice := s.ended[e.Call()]; twice {
			s.t.Fatalf("%s ended twice", e.Call())
		}
		s.ended[e.Call()] = e.Kind()
		s.store.Finish(e.Call(), e.Kind(), e.Reply())
	case answer.Moved:
		s.store.MarkMoved(e.Call())
	case answer.HandOver:
		s.sender.Run(e)
	case answer.HandoverResponse:
		s.handoverKind = e.Kind()
	}
}

func (s *simulation) dispatch(d rail.Dispatch) {
	if s.leaving[d.Upstream().ID()] {
		s.t.Fatalf("%s dispatched to leaving %s", d.Request().ID(), d.Upstream().ID())
	}
	s.attemptCounts[d.Request().ID()]++
	s.newestAttempts[d.Request().ID()] = d.Attempt()
	offset, delivered, err := s.store.BeginAttempt(d.Request().ID(), d.Attempt())
	if err != nil {
		s.t.Fatalf("begin: %v", err)
	}
	if delivered != fullAnswer(d.Request().Prompt(), offset) {
		s.t.Fatalf("%s resumes from %q", d.Request().ID(), delivered)
	}
	s.attempts = append(s.attempts, &attempt{dispatch: d, next: offset})
}

// nextToken sends the stream's next token or its end; lost drops the token's progress mark.
func (s *simulation) nextToken(a *attempt, lost bool) {
	id, n := a.dispatch.Request().ID(), a.dispatch.Attempt()
	if a.next == streamTokens {
		a.stopped = true
		s.reduce(answer.NewEnded(id, n, rail.NewUsage(0, 0, 0)))
		return
	}
	offset, err := s.store.Append(id, n, rail.NewChunk(a.next, token(a.dispatch.Request().Prompt(), a.next)))
	if err != nil {
		s.t.Fatalf("append: %v", err)
	}
	a.next++
	if !lost {
		s.reduce(answer.NewMarked(id, n, offset))
	}
}

// injectFault makes the attempt fail unless the request has had maxFailures already.
func (s *simulation) injectFault(a *attempt, kind string) {
	id, n := a.dispatch.Request().ID(), a.dispatch.Attempt()
	if a.silent || s.faultCounts[id] >= maxFailures {
		return
	}
	s.faultCounts[id]++
	switch kind {
	case "silent":
		a.silent = true
		return
	case "gap":
		if _, err := s.store.Append(id, n, rail.NewChunk(a.next+1, "skipped")); err == nil {
			s.t.Fatalf("%s: a token after a gap was appended", id)
		}
	}
	a.stopped = true
	s.reduce(answer.NewFailed(id, n, rail.KindUpstreamFailed, s.store.Offset(id)))
}

// sendStrayToken sends a token that must be dropped: of an older attempt, or below the offset of the newest one.
func (s *simulation) sendStrayToken(a *attempt) {
	id := a.dispatch.Request().ID()
	offset := s.store.Offset(id)
	if a.dispatch.Attempt() == s.newestAttempts[id] {
		offset--
	}
	if offset < 0 {
		return
	}
	_, _ = s.store.Append(id, a.dispatch.Attempt(), rail.NewChunk(offset, "stray"))
	if a.stopped {
		s.reduce(answer.NewFailed(id, a.dispatch.Attempt(), rail.KindUpstreamFailed, offset))
		s.reduce(answer.NewEnded(id, a.dispatch.Attempt(), rail.NewUsage(0, 0, 0)))
	}
}

func (s *simulation) leave(u rail.Instance) {
	if len(s.directory.upstreams) == 1 {
		s.addUpstream()
	}
	s.directory.remove(u.ID())
	s.leaving[u.ID()] = true
	s.reduce(rail.NewInstanceLeaving(u.ID(), "notice"))
}

// advance lets one tick pass: each healthy stream sends its next token, and the timers that are due fire.
func (s *simulation) advance() {
	s.now = s.now.Add(tick)
	for _, a := range slices.Clone(s.attempts) {
		if !a.stopped && !a.silent {
			s.nextToken(a, false)
		}
	}
	for _, name := range s.dueTimers() {
		delete(s.timers, name)
		s.reduce(rail.NewTimerFired(name))
	}
}

func (s *simulation) dueTimers() []rail.TimerName {
	var names []rail.TimerName
	for name, at := range s.timers {
		if !at.After(s.now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// randomAction draws one action and runs it.
func (s *simulation) randomAction() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[rapid.IntRange(0, len(s.attempts)-1).Draw(s.t, "attempt")]
	kind := rapid.SampledFrom([]string{"token", "lostMark", "fail", "gap", "silent", "stray", "leave", "advance"}).Draw(s.t, "action")
	live := !a.stopped && !a.silent
	switch {
	case kind == "advance":
		s.advance()
	case kind == "stray":
		s.sendStrayToken(a)
	case kind == "leave":
		s.leave(s.directory.upstreams[rapid.IntRange(0, len(s.directory.upstreams)-1).Draw(s.t, "upstream")])
	case live && (kind == "token" || kind == "lostMark"):
		s.nextToken(a, kind == "lostMark")
	case live:
		s.injectFault(a, kind)
	}
}

func TestEveryInterleavingGivesTheCompleteAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, simulationSettings())
		requests := rapid.IntRange(1, 4).Draw(t, "requests")
		for i := range requests {
			id := rail.RequestID(fmt.Sprintf("r%d", i))
			s.reduce(answer.NewAccepted(rail.NewRequest(id, "shop", "briefs", s.now).WithPrompt(string(id), streamTokens), briefs))
		}
		for range rapid.IntRange(0, 60).Draw(t, "actions") {
			s.randomAction()
		}
		for i := 0; i < 200 && len(s.ended) < requests; i++ {
			s.advance()
		}
		s.check(requests)
	})
}

func (s *simulation) check(requests int) {
	for i := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", i))
		kind, ended := s.ended[id]
		if !ended || kind != rail.KindNone {
			s.t.Fatalf("%s: ended %v, kind %q", id, ended, kind)
		}
		snapshot, _ := s.store.Snapshot(id)
		if joinTokens(snapshot) != fullAnswer(string(id), streamTokens) {
			s.t.Fatalf("%s: got %q", id, joinTokens(snapshot))
		}
		if maxAttempts := 1 + maxFailures + len(s.leaving); s.attemptCounts[id] > maxAttempts {
			s.t.Fatalf("%s: %d attempts, at most %d expected", id, s.attemptCounts[id], maxAttempts)
		}
	}
	if s.reducer.InProgress() != 0 {
		s.t.Fatalf("%d requests are still in progress", s.reducer.InProgress())
	}
}
