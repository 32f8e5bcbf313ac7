package answer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/group"
)

// refusing is an engine and a service whose calls end with the error.
type refusing struct {
	engines
	err error
}

func (r *refusing) Stream(context.Context, rail.Dispatch, string, func(rail.Chunk) error) (rail.Usage, error) {
	return rail.Usage{}, r.err
}

func (r *refusing) Call(context.Context, rail.Dispatch) (rail.ServiceReply, error) {
	return rail.ServiceReply{}, r.err
}

// narrow is a desk whose queue has room for so many events.
type narrow struct{ events chan rail.Event }

func (n narrow) Post(e rail.Event) bool {
	select {
	case n.events <- e:
		return true
	default:
		return false
	}
}

func (narrow) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, nil //nolint:nilnil // no test asks
}

func (n narrow) drain() []rail.Event {
	var events []rail.Event
	for len(n.events) > 0 {
		events = append(events, <-n.events)
	}
	return events
}

func dispatchTo(u rail.Instance, tokens int) rail.Dispatch {
	r := rail.NewRequest("r1", "shop", "briefs", time.Now()).WithPrompt("r1", tokens)
	return rail.NewDispatch(r, 1, u, 0)
}

func TestPumpReportsHowAnAttemptEnded(t *testing.T) {
	failed := func(kind rail.Kind) rail.Event { return answer.NewFailed("r1", 1, kind, 0) }
	tests := []struct {
		name     string
		upstream rail.Instance
		err      error
		events   []rail.Event
	}{
		{"engine failed", engineAt("m1", "breno"), rail.NewError(rail.KindUpstreamFailed, ""), []rail.Event{failed(rail.KindUpstreamFailed)}},
		{"engine is leaving", engineAt("m1", "breno"), rail.NewError(rail.KindLeaving, ""), []rail.Event{rail.NewInstanceLeaving("m1", "upstream"), failed(rail.KindLeaving)}},
		{"unknown error", engineAt("m1", "breno"), context.DeadlineExceeded, []rail.Event{failed(rail.KindInternal)}},
		{"service refused", service("s1", "stock"), rail.NewError(rail.KindUpstreamRefused, ""), []rail.Event{failed(rail.KindUpstreamRefused)}},
		{"service replied", service("t1", "till"), nil, []rail.Event{answer.NewReplied("r1", 1, rail.NewServiceReply(http.StatusOK, "text/plain", []byte("landed")))}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g, d := group.New(t.Context()), narrow{make(chan rail.Event, 9)}
			r := &refusing{err: tt.err}
			var called rail.Service = r
			if tt.err == nil {
				called = &till{}
			}
			answer.NewAttemptRunner(answer.Defaults(), r, called, answer.NewStore(answer.Defaults()), d, g).Run(dispatchTo(tt.upstream, 1))
			g.Wait()
			is.Equal(d.drain(), tt.events)
		})
	}
}

func TestPumpMarksAndRepeatsWhatMustArrive(t *testing.T) {
	tests := []struct {
		name   string
		room   int
		marks  int
		events int
	}{
		{"first token, then every 250 ms", 99, 4, 5},
		{"full queue: the end is posted when there is room", 1, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, d := group.New(t.Context()), narrow{make(chan rail.Event, tt.room)}
				s := answer.NewStore(answer.Defaults())
				answer.NewAttemptRunner(answer.Defaults(), &engines{}, nil, s, d, g).Run(dispatchTo(engineAt("m1", "breno"), 10))
				time.Sleep(5 * time.Second)
				events := d.drain()
				time.Sleep(time.Second)
				events = append(events, d.drain()...)
				g.Wait()
				marks := 0
				for _, e := range events {
					if _, ok := e.(answer.Marked); ok {
						marks++
					}
				}
				is.Equal(marks, tt.marks)
				is.Equal(len(events), tt.events)
				is.Equal(events[len(events)-1], rail.Event(answer.NewEnded("r1", 1, rail.NewUsage(promptTokens, 0, 10))))
			})
		})
	}
}

// late is a group that starts its goroutines when told.
type late struct{ waiting []func(context.Context) }

func (l *late) Go(f func(context.Context)) { l.waiting = append(l.waiting, f) }

func TestCancellationBeforeTheAttemptRuns(t *testing.T) {
	is := is.New(t)
	g, d := &late{}, narrow{make(chan rail.Event, 9)}
	s := answer.NewStore(answer.Defaults())
	p := answer.NewAttemptRunner(answer.Defaults(), &engines{}, nil, s, d, g)
	u := engineAt("m1", "breno")
	p.Run(dispatchTo(u, 10))
	p.Cancel(rail.NewCancelAttempt("r1", 1, u))
	for _, f := range g.waiting {
		f(t.Context())
	}
	is.Equal(s.Offset("r1"), 0)
	is.Equal(len(d.drain()), 0) // a cancelled attempt reports nothing
}

func TestAttemptOfAFinishedAnswer(t *testing.T) {
	is := is.New(t)
	g, d := group.New(t.Context()), narrow{make(chan rail.Event, 9)}
	s := answer.NewStore(answer.Defaults())
	s.Finish("r1", rail.KindNone, rail.ServiceReply{})
	answer.NewAttemptRunner(answer.Defaults(), &engines{}, nil, s, d, g).Run(dispatchTo(engineAt("m1", "breno"), 10))
	g.Wait()
	is.Equal(d.drain(), []rail.Event{answer.NewFailed("r1", 1, rail.KindCancelled, 0)})
}
