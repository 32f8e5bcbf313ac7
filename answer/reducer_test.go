package answer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// driver passes events to one reducer and fires its timers in simulated time.
type driver struct {
	reducer   *answer.Reducer
	directory *directory
	now       time.Time
	timers    map[rail.TimerName]time.Time
}

func newDriver(s answer.Settings, upstreams ...rail.Instance) *driver {
	d := &driver{directory: &directory{upstreams: upstreams}, now: time.Unix(1e9, 0), timers: map[rail.TimerName]time.Time{}}
	d.reducer = newReducer(s, d.directory)
	return d
}

func (d *driver) reduce(e rail.Event) []rail.Effect {
	effects := d.reducer.Reduce(rail.NewInput(e, d.now, uint64(d.now.UnixNano())))
	for _, effect := range effects {
		if t, ok := effect.(rail.SetTimer); ok {
			d.timers[t.Name()] = d.now.Add(t.After())
		}
	}
	return effects
}

// advance lets the time pass and returns the effects of all timers that fire.
func (d *driver) advance(duration time.Duration) []rail.Effect {
	var effects []rail.Effect
	end := d.now.Add(duration)
	for {
		name, at := d.nextTimer()
		if name == "" || at.After(end) {
			d.now = end
			return effects
		}
		d.now = at
		delete(d.timers, name)
		effects = append(effects, d.reduce(rail.NewTimerFired(name))...)
	}
}

func (d *driver) nextTimer() (rail.TimerName, time.Time) {
	var first rail.TimerName
	for name, at := range d.timers {
		if first == "" || at.Before(d.timers[first]) || (at.Equal(d.timers[first]) && name < first) {
			first = name
		}
	}
	return first, d.timers[first]
}

func (d *driver) accept(route rail.Route) rail.Dispatch {
	r := rail.NewRequest("r1", "shop", route.Name(), d.now).WithPrompt("r1", 100)
	dispatch, _ := lastOf[rail.Dispatch](d.reduce(answer.NewAccepted(r, route)))
	return dispatch
}

// lastOf returns the last effect of the type.
func lastOf[T rail.Effect](effects []rail.Effect) (T, bool) {
	for i := len(effects) - 1; i >= 0; i-- {
		if e, ok := effects[i].(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

func countOf[T rail.Effect](effects []rail.Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(T); ok {
			n++
		}
	}
	return n
}

func serviceAt(id rail.InstanceID, serves string) rail.Instance {
	return rail.NewInstance(id, "breno", rail.RoleService, string(id)+":1").WithServing(serves, version)
}

func TestAttemptsAfterEachKind(t *testing.T) {
	tests := []struct {
		name     string
		route    rail.Route
		kind     rail.Kind
		attempts int
	}{
		{"order that may have run", orders, rail.KindUpstreamFailed, 1},
		{"order that timed out", orders, rail.KindUpstreamSilent, 1},
		{"order whose reply was lost in the entry", orders, rail.KindInternal, 1},
		{"order that was refused", orders, rail.KindUpstreamRefused, 2},
		{"order at a leaving service", orders, rail.KindLeaving, 2},
		{"lookup that may have run", lookups, rail.KindUpstreamFailed, 2},
		{"lookup that timed out", lookups, rail.KindUpstreamSilent, 2},
		{"brief that failed", briefs, rail.KindUpstreamFailed, 2},
		{"brief at an engine of another version", briefs, rail.KindUnknownModel, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(
				answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"),
				serviceAt("s1", "stock"), serviceAt("s2", "stock"), serviceAt("t1", "till"), serviceAt("t2", "till"),
			)
			first := d.accept(tt.route)
			effects := d.reduce(answer.NewFailed("r1", 1, tt.kind, 0))
			effects = append(effects, d.advance(time.Second)...)
			is.Equal(1+countOf[rail.Dispatch](effects), tt.attempts)
			finished, ended := lastOf[answer.Finished](effects)
			is.Equal(ended, tt.attempts == 1)
			if ended {
				is.Equal(finished.Kind(), tt.kind)
				return
			}
			second, _ := lastOf[rail.Dispatch](effects)
			is.Equal(second.Attempt(), 2)
			is.True(second.Upstream().ID() != first.Upstream().ID()) // the other upstream
		})
	}
}

func TestNotRunOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	tests := []struct {
		name  string
		first rail.Kind
		want  rail.Kind
	}{
		{"all refused", rail.KindUpstreamRefused, rail.KindUpstreamRefused},
		{"one may have run", rail.KindUpstreamSilent, rail.KindUpstreamSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), serviceAt("s1", "stock"))
			d.accept(lookups)
			kind := tt.first
			for attempt := 1; ; attempt++ {
				effects := d.reduce(answer.NewFailed("r1", attempt, kind, 0))
				effects = append(effects, d.advance(3*time.Second)...)
				kind = rail.KindUpstreamRefused
				if finished, ok := lastOf[answer.Finished](effects); ok {
					is.Equal(finished.Kind(), tt.want)
					return
				}
				is.Equal(countOf[rail.Dispatch](effects), 1)
			}
		})
	}
}

func TestBrokenStreamIsCancelledAtItsEngine(t *testing.T) {
	tests := []struct {
		route   rail.Route
		kind    rail.Kind
		cancels int
	}{
		{briefs, rail.KindUpstreamSilent, 1},
		{briefs, rail.KindUpstreamFailed, 1},
		{briefs, rail.KindUpstreamRefused, 0},
		{lookups, rail.KindUpstreamSilent, 0},
		{orders, rail.KindUpstreamSilent, 0},
	}
	for _, tt := range tests {
		t.Run(string(tt.route.Name())+" "+string(tt.kind), func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"), serviceAt("s1", "stock"), serviceAt("t1", "till"))
			first := d.accept(tt.route)
			cancels := allOf[rail.CancelAttempt](d.reduce(answer.NewFailed("r1", 1, tt.kind, 0)))
			is.Equal(len(cancels), tt.cancels)
			if tt.cancels > 0 {
				is.Equal(cancels[0], rail.NewCancelAttempt("r1", 1, first.Upstream()))
			}
		})
	}
}

func TestNoUpstream(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults())
	d.accept(briefs)
	finished, ok := lastOf[answer.Finished](d.advance(20 * time.Second))
	is.True(ok)
	is.Equal(finished.Kind(), rail.KindNoUpstream)
	is.Equal(d.reducer.InProgress(), 0)
}

func TestUpstreamBecomesAvailableLater(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults())
	d.accept(briefs)
	d.advance(4 * time.Second)
	d.directory.upstreams = []rail.Instance{engineAt("m1", "breno")}
	is.Equal(countOf[rail.Dispatch](d.advance(3*time.Second)), 1)
}

func TestLeavingUpstream(t *testing.T) {
	tests := []struct {
		name    string
		route   rail.Route
		offset  int
		within  time.Duration
		attempt int
	}{
		{"brief far from its end moves at once", briefs, 30, 200 * time.Millisecond, 2},
		{"brief near its end keeps running", briefs, 95, 2 * time.Second, 1},
		{"brief near its end moves before the notice is over", briefs, 95, 3 * time.Second, 2},
		{"lookup keeps running", lookups, 0, 2 * time.Second, 1},
		{"order keeps running", orders, 0, 8 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := answer.Defaults().WithTokenTimeouts(time.Minute, time.Minute).WithReplyTimeout(time.Minute)
			d := newDriver(
				s, engineAt("m1", "breno"), engineAt("m2", "breno"),
				serviceAt("s1", "stock"), serviceAt("s2", "stock"), serviceAt("t1", "till"), serviceAt("t2", "till"),
			)
			first := d.accept(tt.route)
			if tt.offset > 0 {
				d.reduce(answer.NewMarked("r1", 1, 1))
				d.advance(time.Duration(tt.offset) * 100 * time.Millisecond)
				d.reduce(answer.NewMarked("r1", 1, tt.offset))
			}
			d.directory.remove(first.Upstream().ID())
			effects := d.reduce(rail.NewInstanceLeaving(first.Upstream().ID(), "notice"))
			effects = append(effects, d.advance(tt.within)...)
			is.Equal(1+countOf[rail.Dispatch](effects), tt.attempt)
			is.Equal(countOf[rail.CancelAttempt](effects), tt.attempt-1)
		})
	}
}

func TestTokenTimeouts(t *testing.T) {
	tests := []struct {
		name   string
		marked bool
		after  time.Duration
		moved  bool
	}{
		{"slow first token", false, 9 * time.Second, false},
		{"no first token", false, 11 * time.Second, true},
		{"slow next token", true, 1900 * time.Millisecond, false},
		{"no next token", true, 3 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"))
			d.accept(briefs)
			if tt.marked {
				d.reduce(answer.NewMarked("r1", 1, 1))
			}
			_, moved := lastOf[rail.Dispatch](d.advance(tt.after))
			is.Equal(moved, tt.moved)
		})
	}
}

func TestPausedProcessIsNoTokenTimeout(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"))
	d.accept(briefs)
	d.reduce(answer.NewMarked("r1", 1, 1))
	// The process is paused for 30 s; its timers fire before the queued marks are reduced.
	d.now = d.now.Add(30 * time.Second)
	var effects []rail.Effect
	for name := range d.timers {
		effects = append(effects, d.reduce(rail.NewTimerFired(name))...)
	}
	is.Equal(countOf[rail.Dispatch](effects), 0)
	d.reduce(answer.NewMarked("r1", 1, 2))
	is.Equal(countOf[rail.Dispatch](d.advance(time.Second)), 0)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"))
	r := rail.NewRequest("r1", "shop", "briefs", d.now).WithPrompt("r1", 100).WithDeadline(d.now.Add(5 * time.Second))
	d.reduce(answer.NewAccepted(r, briefs))
	effects := d.advance(6 * time.Second)
	finished, _ := lastOf[answer.Finished](effects)
	is.Equal(finished.Kind(), rail.KindDeadlinePassed)
	is.Equal(countOf[rail.CancelAttempt](effects), 1)
}

func TestOrderWaitsForItsOutcomeUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), serviceAt("t1", "till"))
	r := rail.NewRequest("r1", "shop", "orders", d.now).WithDeadline(d.now.Add(30 * time.Second))
	d.reduce(answer.NewAccepted(r, orders))
	is.Equal(len(allOf[answer.Finished](d.advance(29*time.Second))), 0)
	finished, _ := lastOf[answer.Finished](d.reduce(answer.NewReplied("r1", 1, rail.NewServiceReply(201, "", nil))))
	is.Equal(finished.Kind(), rail.KindNone)
}

// fakeBacklog is a backlog with a given number of requests.
type fakeBacklog struct{ waiting int }

func (b *fakeBacklog) Waiting() int { return b.waiting }

func TestDrainedWaitsForTheBacklog(t *testing.T) {
	is := is.New(t)
	d, backlog := newDriver(answer.Defaults(), engineAt("m1", "breno")), &fakeBacklog{waiting: 1}
	d.reducer.UseBacklog(backlog)
	early := rail.NewRequest("r1", "shop", "briefs", d.now).WithPrompt("r1", 100)
	d.reduce(rail.NewShutdownStarted(false))
	is.Equal(countOf[answer.Drained](d.advance(time.Minute)), 0)
	// The request leaves its team's queue long after the entry began to refuse new ones.
	backlog.waiting = 0
	is.Equal(countOf[rail.Dispatch](d.reduce(answer.NewAccepted(early, briefs))), 1)
	is.Equal(countOf[answer.Drained](d.reduce(answer.NewEnded("r1", 1, rail.Usage{}))), 1)
	refused, _ := lastOf[answer.Finished](d.reduce(answer.NewAccepted(rail.NewRequest("r2", "shop", "briefs", d.now), briefs)))
	is.Equal(refused.Kind(), rail.KindLeaving)
}

// noBudget refuses all retries.
type noBudget struct{}

func (noBudget) Retry(rail.TeamName) bool { return false }

func TestBudgetRefusesRetriesButNotMoves(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"), engineAt("m3", "breno"))
	d.reducer.UseBudget(noBudget{})
	first := d.accept(briefs)
	d.directory.remove(first.Upstream().ID())
	effects := d.reduce(rail.NewInstanceLeaving(first.Upstream().ID(), "notice"))
	effects = append(effects, d.advance(time.Second)...)
	is.Equal(countOf[rail.Dispatch](effects), 1)
	finished, _ := lastOf[answer.Finished](d.reduce(answer.NewFailed("r1", 2, rail.KindUpstreamFailed, 0)))
	is.Equal(finished.Kind(), rail.KindUpstreamFailed)
}

func TestCallerCancelsOrDisconnects(t *testing.T) {
	tests := []struct {
		name       string
		route      rail.Route
		event      rail.Event
		reconnects bool
		cancelled  bool
	}{
		{"cancels", briefs, answer.NewCancelled("r1"), false, true},
		{"does not reconnect", briefs, answer.NewDetached("r1"), false, true},
		{"reconnects", briefs, answer.NewDetached("r1"), true, false},
		{"cancels an order", orders, answer.NewCancelled("r1"), false, false},
		{"loses the connection of an order", orders, answer.NewDetached("r1"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := answer.Defaults().WithTokenTimeouts(time.Minute, time.Minute).WithReplyTimeout(time.Minute)
			d := newDriver(s, engineAt("m1", "breno"), serviceAt("t1", "till"))
			d.accept(tt.route)
			effects := d.reduce(tt.event)
			effects = append(effects, d.advance(10*time.Second)...)
			if tt.reconnects {
				d.reduce(answer.NewAttached("r1"))
			}
			effects = append(effects, d.advance(10*time.Second)...)
			is.Equal(countOf[rail.CancelAttempt](effects) == 1, tt.cancelled)
			is.Equal(d.reducer.InProgress() == 0, tt.cancelled)
		})
	}
}
