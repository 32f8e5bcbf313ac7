package answer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// driver feeds one part and fires its timers in fake time.
type driver struct {
	part      *answer.Reducer
	directory *directory
	now       time.Time
	timers    map[rail.TimerName]time.Time
}

func newDriver(s answer.Settings, upstreams ...rail.Instance) *driver {
	d := &driver{directory: &directory{upstreams: upstreams}, now: time.Unix(1e9, 0), timers: map[rail.TimerName]time.Time{}}
	d.part = newPart(s, d.directory)
	return d
}

func (d *driver) do(e rail.Event) []rail.Effect {
	effects := d.part.Reduce(rail.NewInput(e, d.now, uint64(d.now.UnixNano())))
	for _, effect := range effects {
		if t, ok := effect.(rail.SetTimer); ok {
			d.timers[t.Name()] = d.now.Add(t.After())
		}
	}
	return effects
}

// wait lets time pass and returns all effects of the timers that fire.
func (d *driver) wait(duration time.Duration) []rail.Effect {
	var effects []rail.Effect
	end := d.now.Add(duration)
	for {
		name, at := d.next()
		if name == "" || at.After(end) {
			d.now = end
			return effects
		}
		d.now = at
		delete(d.timers, name)
		effects = append(effects, d.do(rail.NewTimerFired(name))...)
	}
}

func (d *driver) next() (rail.TimerName, time.Time) {
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
	dispatch, _ := only[rail.Dispatch](d.do(answer.NewAccepted(r, route)))
	return dispatch
}

// only returns the last effect of its type.
func only[T rail.Effect](effects []rail.Effect) (T, bool) {
	for i := len(effects) - 1; i >= 0; i-- {
		if e, ok := effects[i].(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

func count[T rail.Effect](effects []rail.Effect) int {
	n := 0
	for _, effect := range effects {
		if _, ok := effect.(T); ok {
			n++
		}
	}
	return n
}

func service(id rail.InstanceID, serves string) rail.Instance {
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
		{"order that went silent", orders, rail.KindUpstreamSilent, 1},
		{"order whose reply was lost in the entry", orders, rail.KindInternal, 1},
		{"order that was refused", orders, rail.KindUpstreamRefused, 2},
		{"order at a leaving service", orders, rail.KindLeaving, 2},
		{"lookup that may have run", lookups, rail.KindUpstreamFailed, 2},
		{"lookup that went silent", lookups, rail.KindUpstreamSilent, 2},
		{"brief that failed", briefs, rail.KindUpstreamFailed, 2},
		{"brief at an engine of another version", briefs, rail.KindUnknownModel, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(
				answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"),
				service("s1", "stock"), service("s2", "stock"), service("t1", "till"), service("t2", "till"),
			)
			first := d.accept(tt.route)
			effects := d.do(answer.NewFailed("r1", 1, tt.kind, 0))
			effects = append(effects, d.wait(time.Second)...)
			is.Equal(1+count[rail.Dispatch](effects), tt.attempts)
			finished, ended := only[answer.Finished](effects)
			is.Equal(ended, tt.attempts == 1)
			if ended {
				is.Equal(finished.Kind(), tt.kind)
				return
			}
			second, _ := only[rail.Dispatch](effects)
			is.Equal(second.Attempt(), 2)
			is.True(second.Upstream().ID() != first.Upstream().ID()) // the other upstream
		})
	}
}

func TestNotRunIsSaidOnlyIfNoAttemptMayHaveRun(t *testing.T) {
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
			d := newDriver(answer.Defaults(), service("s1", "stock"))
			d.accept(lookups)
			kind := tt.first
			for attempt := 1; ; attempt++ {
				effects := d.do(answer.NewFailed("r1", attempt, kind, 0))
				effects = append(effects, d.wait(3*time.Second)...)
				kind = rail.KindUpstreamRefused
				if finished, ok := only[answer.Finished](effects); ok {
					is.Equal(finished.Kind(), tt.want)
					return
				}
				is.Equal(count[rail.Dispatch](effects), 1)
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
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"), service("s1", "stock"), service("t1", "till"))
			first := d.accept(tt.route)
			cancels := all[rail.CancelAttempt](d.do(answer.NewFailed("r1", 1, tt.kind, 0)))
			is.Equal(len(cancels), tt.cancels)
			if tt.cancels > 0 {
				is.Equal(cancels[0], rail.NewCancelAttempt("r1", 1, first.Upstream()))
			}
		})
	}
}

func TestNoUpstreamAtAll(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults())
	d.accept(briefs)
	finished, ok := only[answer.Finished](d.wait(20 * time.Second))
	is.True(ok)
	is.Equal(finished.Kind(), rail.KindNoUpstream)
	is.Equal(d.part.InProgress(), 0)
}

func TestUpstreamThatComesLateIsTaken(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults())
	d.accept(briefs)
	d.wait(4 * time.Second)
	d.directory.upstreams = []rail.Instance{engineAt("m1", "breno")}
	is.Equal(count[rail.Dispatch](d.wait(3*time.Second)), 1)
}

func TestLeavingUpstream(t *testing.T) {
	tests := []struct {
		name    string
		route   rail.Route
		offset  int
		within  time.Duration
		attempt int
	}{
		{"brief in its middle moves at once", briefs, 30, 200 * time.Millisecond, 2},
		{"brief near its end may end", briefs, 95, 2 * time.Second, 1},
		{"brief near its end moves before the notice is over", briefs, 95, 3 * time.Second, 2},
		{"lookup may end", lookups, 0, 2 * time.Second, 1},
		{"order is left alone", orders, 0, 8 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := answer.Defaults().WithTokenTimeouts(time.Minute, time.Minute).WithReplyTimeout(time.Minute)
			d := newDriver(
				s, engineAt("m1", "breno"), engineAt("m2", "breno"),
				service("s1", "stock"), service("s2", "stock"), service("t1", "till"), service("t2", "till"),
			)
			first := d.accept(tt.route)
			if tt.offset > 0 {
				d.do(answer.NewMarked("r1", 1, 1))
				d.wait(time.Duration(tt.offset) * 100 * time.Millisecond)
				d.do(answer.NewMarked("r1", 1, tt.offset))
			}
			d.directory.remove(first.Upstream().ID())
			effects := d.do(rail.NewInstanceLeaving(first.Upstream().ID(), "notice"))
			effects = append(effects, d.wait(tt.within)...)
			is.Equal(1+count[rail.Dispatch](effects), tt.attempt)
			is.Equal(count[rail.CancelAttempt](effects), tt.attempt-1)
		})
	}
}

func TestSilence(t *testing.T) {
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
				d.do(answer.NewMarked("r1", 1, 1))
			}
			_, moved := only[rail.Dispatch](d.wait(tt.after))
			is.Equal(moved, tt.moved)
		})
	}
}

func TestPausedProcessIsNoSilence(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"))
	d.accept(briefs)
	d.do(answer.NewMarked("r1", 1, 1))
	// The process stands still, and its timers fire before the marks that wait are read.
	d.now = d.now.Add(30 * time.Second)
	var effects []rail.Effect
	for name := range d.timers {
		effects = append(effects, d.do(rail.NewTimerFired(name))...)
	}
	is.Equal(count[rail.Dispatch](effects), 0)
	d.do(answer.NewMarked("r1", 1, 2))
	is.Equal(count[rail.Dispatch](d.wait(time.Second)), 0)
}

func TestDeadline(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"))
	r := rail.NewRequest("r1", "shop", "briefs", d.now).WithPrompt("r1", 100).WithDeadline(d.now.Add(5 * time.Second))
	d.do(answer.NewAccepted(r, briefs))
	effects := d.wait(6 * time.Second)
	finished, _ := only[answer.Finished](effects)
	is.Equal(finished.Kind(), rail.KindDeadlinePassed)
	is.Equal(count[rail.CancelAttempt](effects), 1)
}

func TestOrderWaitsForItsOutcomeUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), service("t1", "till"))
	r := rail.NewRequest("r1", "shop", "orders", d.now).WithDeadline(d.now.Add(30 * time.Second))
	d.do(answer.NewAccepted(r, orders))
	is.Equal(len(all[answer.Finished](d.wait(29*time.Second))), 0)
	finished, _ := only[answer.Finished](d.do(answer.NewReplied("r1", 1, rail.NewServiceReply(201, "", nil))))
	is.Equal(finished.Kind(), rail.KindNone)
}

// queue is a backlog of so many requests.
type queue struct{ waiting int }

func (q *queue) Waiting() int { return q.waiting }

func TestDrainedWaitsForTheBacklog(t *testing.T) {
	is := is.New(t)
	d, q := newDriver(answer.Defaults(), engineAt("m1", "breno")), &queue{waiting: 1}
	d.part.UseBacklog(q)
	early := rail.NewRequest("r1", "shop", "briefs", d.now).WithPrompt("r1", 100)
	d.do(rail.NewShutdownStarted(false))
	is.Equal(count[answer.Drained](d.wait(time.Minute)), 0)
	// The request's turn comes long after the entry refuses new ones.
	q.waiting = 0
	is.Equal(count[rail.Dispatch](d.do(answer.NewAccepted(early, briefs))), 1)
	is.Equal(count[answer.Drained](d.do(answer.NewEnded("r1", 1, rail.Usage{}))), 1)
	refused, _ := only[answer.Finished](d.do(answer.NewAccepted(rail.NewRequest("r2", "shop", "briefs", d.now), briefs)))
	is.Equal(refused.Kind(), rail.KindLeaving)
}

// noBudget refuses all retries.
type noBudget struct{}

func (noBudget) Retry(rail.TeamName) bool { return false }

func TestBudgetRefusesRetriesButNotMoves(t *testing.T) {
	is := is.New(t)
	d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "breno"), engineAt("m3", "breno"))
	d.part.UseBudget(noBudget{})
	first := d.accept(briefs)
	d.directory.remove(first.Upstream().ID())
	effects := d.do(rail.NewInstanceLeaving(first.Upstream().ID(), "notice"))
	effects = append(effects, d.wait(time.Second)...)
	is.Equal(count[rail.Dispatch](effects), 1)
	finished, _ := only[answer.Finished](d.do(answer.NewFailed("r1", 2, rail.KindUpstreamFailed, 0)))
	is.Equal(finished.Kind(), rail.KindUpstreamFailed)
}

func TestCallerThatGoesAway(t *testing.T) {
	tests := []struct {
		name      string
		route     rail.Route
		event     rail.Event
		back      bool
		cancelled bool
	}{
		{"cancels", briefs, answer.NewCancelled("r1"), false, true},
		{"does not reconnect", briefs, answer.NewDetached("r1"), false, true},
		{"reconnects", briefs, answer.NewDetached("r1"), true, false},
		{"leaves an order", orders, answer.NewCancelled("r1"), false, false},
		{"loses the connection of an order", orders, answer.NewDetached("r1"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := answer.Defaults().WithTokenTimeouts(time.Minute, time.Minute).WithReplyTimeout(time.Minute)
			d := newDriver(s, engineAt("m1", "breno"), service("t1", "till"))
			d.accept(tt.route)
			effects := d.do(tt.event)
			effects = append(effects, d.wait(10*time.Second)...)
			if tt.back {
				d.do(answer.NewAttached("r1"))
			}
			effects = append(effects, d.wait(10*time.Second)...)
			is.Equal(count[rail.CancelAttempt](effects) == 1, tt.cancelled)
			is.Equal(d.part.InProgress() == 0, tt.cancelled)
		})
	}
}
