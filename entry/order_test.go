package entry_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/order"
)

// orderSimulation is one composite, a service that counts runs, and callers that retry.
type orderSimulation struct {
	*driver
	t           *rapid.T
	timers      map[rail.TimerName]time.Time
	pending     []rail.Dispatch
	appends     []rail.Append
	offset      rail.Offset
	orders      []rail.Request
	calls       int
	runs        map[string]int
	ranRequests map[rail.RequestID]bool
	refused     map[rail.RequestID]rail.Kind
	replies     int
}

func (s *orderSimulation) intN(n int) int {
	draw := func() uint64 { return rapid.Uint64().Draw(s.t, "n") % uint64(n) }
	return int((draw() + draw()) % uint64(n))
}

func (s *orderSimulation) apply(e rail.Event) {
	for _, effect := range s.reduce(e) {
		switch e := effect.(type) {
		case rail.SetTimer:
			s.timers[e.Name()] = s.now.Add(e.After())
		case rail.Dispatch:
			s.pending = append(s.pending, e)
		case rail.Append:
			s.appends = append(s.appends, e)
		case order.Refused:
			if e.Kind().Reply().Run() == rail.NotRun {
				s.refused[e.Call()] = e.Kind()
			}
		case order.Answered:
			s.replies++
		}
	}
}

func (s *orderSimulation) newOrder() {
	body := []byte(fmt.Sprintf("tin-%d", len(s.orders)))
	r := rail.NewRequest("", "counter", "orders", s.now).WithCall("POST", "/tins", body)
	if s.intN(2) == 0 {
		ms := s.now.UnixMilli()
		r = r.WithKey(rail.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, len(s.orders))))
	} else if issued, ok := findEffect[order.TicketIssued](s.reduce(order.NewTicketWanted("t", "counter"))); ok {
		r = r.WithTicket(issued.Ticket())
	}
	s.orders = append(s.orders, r)
}

func (s *orderSimulation) submit(r rail.Request) {
	s.calls++
	id := rail.RequestID(fmt.Sprintf("r%d", s.calls))
	sent := rail.NewRequest(id, r.Team(), r.Route(), s.now).
		WithCall(r.Method(), r.Path(), r.Body()).WithTicket(r.Ticket()).WithKey(r.Key())
	if s.intN(2) == 0 {
		sent = sent.WithDeadline(s.now.Add(2 * time.Second))
	}
	s.apply(rail.NewRequestArrived(sent))
}

// endDispatch ends a random pending dispatch with a random outcome; some outcomes count as a run.
func (s *orderSimulation) endDispatch() {
	if len(s.pending) == 0 {
		return
	}
	i := s.intN(len(s.pending))
	d := s.pending[i]
	s.pending = append(s.pending[:i], s.pending[i+1:]...)
	id := d.Request().ID()
	failures := []rail.Kind{rail.KindUpstreamRefused, rail.KindOverloaded, rail.KindUpstreamFailed, rail.KindUpstreamSilent, rail.KindCancelled}
	outcome := s.intN(len(failures) + 2)
	if outcome > 1 {
		s.runs[string(d.Request().Body())]++
		s.ranRequests[id] = true
	}
	if outcome < len(failures) {
		s.apply(answer.NewFailed(id, d.Attempt(), failures[outcome], 0))
		return
	}
	s.apply(answer.NewReplied(id, d.Attempt(), rail.NewServiceReply(201, "", d.Request().Body())))
}

func (s *orderSimulation) readLog() {
	var records []rail.Record
	for _, a := range s.appends {
		records = append(records, rail.NewRecord(s.offset, s.now, a.Kind(), a.Body()))
		s.offset++
	}
	s.appends = nil
	s.apply(rail.NewLogRead(records, 0, s.offset, true))
}

func (s *orderSimulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, name := range slices.Sorted(maps.Keys(s.timers)) {
		if at, ok := s.timers[name]; ok && !at.After(s.now) {
			delete(s.timers, name)
			s.apply(rail.NewTimerFired(name))
		}
	}
}

func (s *orderSimulation) step() {
	switch n := s.intN(20); {
	case n < 3:
		s.newOrder()
	case n < 8 && len(s.orders) > 0:
		s.submit(s.orders[s.intN(len(s.orders))])
	case n < 12:
		s.endDispatch()
	case n < 14:
		s.readLog()
	case n < 17:
		s.advance([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second, time.Minute}[s.intN(4)])
	case s.calls == 0:
	case n == 17:
		s.apply(answer.NewDetached(rail.RequestID(fmt.Sprintf("r%d", 1+s.intN(s.calls)))))
	case n == 18:
		s.apply(answer.NewCancelled(rail.RequestID(fmt.Sprintf("r%d", 1+s.intN(s.calls)))))
	case n > 18:
		s.startLeaving()
	}
}

// startLeaving makes a service or this entry leave, or does nothing, at random.
func (s *orderSimulation) startLeaving() {
	switch s.intN(8) {
	case 0:
		s.apply(rail.NewInstanceLeaving("breno-service-0", "notice"))
	case 1:
		s.apply(rail.NewShutdownStarted(s.intN(2) == 0).WithDeadline(s.now.Add(5 * time.Second)))
	}
}

// fixSeed makes each run check the same traces, unless the command line sets the seed or the number of checks.
func fixSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// TestComposedOrdersRunAtMostOnce drives the composite of an entry: retries,
// refusals and handovers by the other reducers must not dispatch an order twice.
func TestComposedOrdersRunAtMostOnce(t *testing.T) {
	const steps = 60
	fixSeed(t)
	replies := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &orderSimulation{
			driver: newDriver(newFleet(2, 2, 0, 3)), t: t, offset: 1, timers: map[rail.TimerName]time.Time{},
			runs: map[string]int{}, ranRequests: map[rail.RequestID]bool{}, refused: map[rail.RequestID]rail.Kind{},
		}
		for range steps {
			s.step()
		}
		for len(s.pending) > 0 {
			s.endDispatch()
		}
		for body, runs := range s.runs {
			if runs > 1 {
				t.Fatalf("%s ran %d times", body, runs)
			}
		}
		for id, kind := range s.refused {
			if s.ranRequests[id] {
				t.Fatalf("%s was refused as %s and ran", id, kind)
			}
		}
		replies += s.replies
	})
	is := is.New(t)
	is.True(replies > 0)
}
