package order_test

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

const (
	testWindow    = 2 * time.Minute
	testRetention = 5 * time.Minute
	testTeam      = rail.TeamName("counter")
)

// simulation consists of three entries, a log, a service that counts runs, and callers that retry at any entry.
type simulation struct {
	t             *rapid.T
	now           time.Time
	entries       []*process
	incarnations  []*process
	log           []rail.Record
	oldest        int
	outage        bool
	flaky         bool
	focus         focus
	pending       []message
	orders        []*testOrder
	calls         int
	runsByOrder   map[string]int
	runsByRequest map[rail.RequestID]int
	notRun        []rail.RequestID // requests refused as not run
	trace         []string
}

// focus restricts a history to few orders of one kind, so that rare sequences of events occur within few steps.
type focus int

const (
	focusNone focus = iota
	focusKeys
	focusTickets
	focusCount
)

// keyTimeOffsets are the creation times of keys relative to the time at which the order is made; many are at an edge of the window.
var keyTimeOffsets = []time.Duration{
	-testWindow - 30*time.Second, -testWindow + time.Second, -testWindow + 3*time.Second, -50 * time.Second,
	0, 0, 0, 50 * time.Second, 100 * time.Second, 200 * time.Second,
}

// maxFocusedOrders is the number of orders in a history with a focus.
const maxFocusedOrders = 2

// process is one incarnation of an entry.
type process struct {
	sim        *simulation
	slot       int
	self       rail.Incarnation
	reducer    *order.Reducer
	skew       time.Duration
	paused     bool
	terminated bool
	inbox      []rail.Event
	timers     map[rail.TimerName]time.Time
	callbacks  map[rail.RequestID]func(rail.CallEffect)
	read       int
}

// message is a message in flight; it is not delivered while its sender is paused.
type message struct {
	from    *process
	name    string
	deliver func()
	lose    func()
}

// testOrder is an order that a caller submits, possibly several times, and that must run at most once.
type testOrder struct {
	body           string
	ticket         rail.Ticket
	key            rail.Key
	sent           int
	notRunRefusals int // requests refused as not run
	answers        int
}

func newSimulation(t *rapid.T, flaky bool) *simulation {
	s := &simulation{t: t, now: time.UnixMilli(1_700_000_000_000), flaky: flaky, runsByOrder: map[string]int{}, runsByRequest: map[rail.RequestID]int{}}
	if flaky {
		s.focus = focus(s.pick(int(focusCount)))
	}
	for slot := range 3 {
		s.start(slot)
	}
	return s
}

var anyNumber = rapid.Uint64()

// pick draws a number below n; it adds two draws, as a single one favours small numbers.
func (s *simulation) pick(n int) int {
	return int((anyNumber.Draw(s.t, "a")%uint64(n) + anyNumber.Draw(s.t, "b")%uint64(n)) % uint64(n))
}

// chance is true n times out of ten, never in a simulation without failures.
func (s *simulation) chance(n int) bool { return s.flaky && s.pick(10) >= 10-n }

func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf(format, args...))
}

func (s *simulation) start(slot int) {
	settings := order.Defaults().WithWindow(testWindow).WithRetention(testRetention)
	if s.flaky && s.focus != focusKeys && s.pick(2) == 0 {
		settings = settings.WithMaxOpenTickets(1 + s.pick(2)).WithMaxOutcomes(4)
	}
	self := rail.Incarnation(fmt.Sprintf("e%dx%d", slot, len(s.incarnations)))
	p := &process{
		sim: s, slot: slot, self: self, reducer: order.New(settings, "works-hall", self),
		timers: map[rail.TimerName]time.Time{}, callbacks: map[rail.RequestID]func(rail.CallEffect){},
	}
	if s.flaky {
		p.skew = time.Duration(s.pick(7)-3) * 20 * time.Second
	}
	s.incarnations = append(s.incarnations, p)
	if slot < len(s.entries) {
		s.entries[slot] = p
	} else {
		s.entries = append(s.entries, p)
	}
	s.tracef("start %s skew %v", self, p.skew)
}

// post passes an event to the entry; a paused entry processes it when it resumes.
func (p *process) post(e rail.Event) {
	switch {
	case p.terminated:
	case p.paused:
		p.inbox = append(p.inbox, e)
	default:
		for _, effect := range p.reducer.Reduce(rail.NewInput(e, p.sim.now.Add(p.skew), 0)) {
			p.perform(effect)
		}
	}
}

// call posts an event and registers a callback for the answer to its call.
func (p *process) call(id rail.RequestID, e rail.Event, callback func(rail.CallEffect)) {
	if p.terminated {
		return
	}
	p.callbacks[id] = callback
	p.post(e)
}

func (p *process) perform(effect rail.Effect) {
	s := p.sim
	switch e := effect.(type) {
	case rail.SetTimer:
		p.timers[e.Name()] = s.now.Add(e.After())
	case rail.Append:
		s.send(p, "append", func() { s.append(p, e) }, func() { p.post(rail.NewLogUnavailable(nil)) })
	case rail.Publish:
		fact := rail.NewFact(rail.NewFactKey(e.Kind(), e.Subject(), p.self), 1, e.Value())
		for _, o := range s.entries {
			s.send(p, "fact", func() { o.post(rail.NewFactsLearned([]rail.Fact{fact})) }, nil)
		}
	case order.Proceed:
		s.send(p, "run "+string(e.Request().ID()), func() { s.serve(p, e.Request()) }, nil)
	case order.Forward:
		s.send(p, "forward", func() { s.forward(p, e) }, func() { s.forwardLost(p, e) })
	case order.HandOver:
		s.send(p, "handover", func() { s.handOver(p, e) }, func() { p.post(order.NewHandoverLost(e.Number())) })
	case rail.CallEffect:
		if callback, ok := p.callbacks[e.Call()]; ok {
			delete(p.callbacks, e.Call())
			callback(e)
		}
	}
}

func (s *simulation) send(from *process, name string, deliver, lose func()) {
	s.pending = append(s.pending, message{from: from, name: name, deliver: deliver, lose: lose})
}

// append adds a record; its answer may be lost, and during an outage the record may still be added.
func (s *simulation) append(p *process, e rail.Append) {
	if !s.outage || s.chance(3) {
		s.log = append(s.log, rail.NewRecord(rail.Offset(len(s.log)), s.now, e.Kind(), e.Body()))
	}
	if s.outage || s.chance(1) {
		p.post(rail.NewLogUnavailable(nil))
	}
}

func (s *simulation) readLog(p *process, limit int) {
	if s.outage {
		p.post(rail.NewLogUnavailable(nil))
		return
	}
	from := max(p.read, s.oldest)
	to := min(from+limit, len(s.log))
	p.read = to
	p.post(rail.NewLogRead(s.log[from:to], rail.Offset(s.oldest), rail.Offset(to), to == len(s.log)))
}

// serve simulates the service and counts its runs.
func (s *simulation) serve(p *process, r rail.Request) {
	outcome := 0
	if s.flaky {
		outcome = s.pick(6)
	}
	kind := rail.KindNone
	switch outcome {
	case 1:
		kind = rail.KindUpstreamRefused
	case 2:
		kind = rail.KindUpstreamSilent
	}
	if kind != rail.KindUpstreamRefused {
		s.runsByOrder[string(r.Body())]++
		s.runsByRequest[r.ID()]++
	}
	s.tracef("service: %s by %s for %s: %q", r.Body(), p.self, r.ID(), kind)
	reply := rail.NewServiceReply(200, "text/plain", append([]byte("done "), r.Body()...))
	s.send(p, "ended", func() { p.post(order.NewEnded(r.ID(), kind, reply)) }, nil)
}

func (s *simulation) byIncarnation(n rail.Incarnation) *process {
	for _, p := range s.entries {
		if p.self == n && !p.terminated {
			return p
		}
	}
	return nil
}

func (s *simulation) forward(p *process, e order.Forward) {
	target := s.byIncarnation(e.Issuer())
	r := e.Request()
	if target == nil {
		p.post(order.NewForwardEnded(r.ID(), rail.KindIssuerGone, rail.ServiceReply{}))
		return
	}
	target.call(r.ID(), order.NewSubmitted(r).WithHops(e.Hops()), func(c rail.CallEffect) {
		s.send(target, "forwarded", func() {
			switch a := c.(type) {
			case order.Answered:
				p.post(order.NewForwardEnded(r.ID(), rail.KindNone, a.Reply()))
			case order.Refused:
				p.post(order.NewForwardEnded(r.ID(), a.Kind(), rail.ServiceReply{}))
			}
		}, func() { s.forwardLost(p, e) })
	})
}

func (s *simulation) forwardLost(p *process, e order.Forward) {
	p.post(order.NewForwardEnded(e.Request().ID(), rail.KindIssuerUnreachable, rail.ServiceReply{}))
}

func (s *simulation) handOver(p *process, e order.HandOver) {
	target := s.byIncarnation(e.Successor())
	lost := func() { p.post(order.NewHandoverLost(e.Number())) }
	if target == nil {
		lost()
		return
	}
	s.calls++
	call := rail.RequestID(fmt.Sprintf("h%d", s.calls))
	target.call(call, order.NewTicketsReceived(call, p.self, e.Number(), e.Tickets()), func(c rail.CallEffect) {
		s.send(target, "handed over", func() {
			if _, ok := c.(order.TicketsTaken); ok {
				p.post(order.NewHandoverAnswered(e.Number()))
				return
			}
			p.post(order.NewHandoverRefused(e.Number()))
		}, lost)
	})
}

// newOrder makes an order with a ticket or a key.
func (s *simulation) newOrder() {
	if s.focus != focusNone && len(s.orders) >= maxFocusedOrders {
		s.submit(s.orders[s.pick(len(s.orders))])
		return
	}
	o := &testOrder{body: fmt.Sprintf("order-%d", len(s.orders))}
	s.orders = append(s.orders, o)
	if s.focus == focusKeys || (s.focus == focusNone && s.pick(2) == 0) {
		createdAt := s.now
		if s.flaky {
			createdAt = createdAt.Add(keyTimeOffsets[s.pick(len(keyTimeOffsets))])
		}
		o.key = testKey(createdAt, len(s.orders))
		return
	}
	s.calls++
	call := rail.RequestID(fmt.Sprintf("t%d", s.calls))
	s.anyEntry().call(call, order.NewTicketWanted(call, testTeam), func(c rail.CallEffect) {
		if issued, ok := c.(order.TicketIssued); ok {
			o.ticket = issued.Ticket()
		}
	})
}

func testKey(createdAt time.Time, n int) rail.Key {
	ms := createdAt.UnixMilli()
	return rail.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}

func (s *simulation) anyEntry() *process { return s.entries[s.pick(len(s.entries))] }

// submit sends an order to a random entry, for the first time or as a retry; the load balancer may deliver it twice.
func (s *simulation) submit(o *testOrder) {
	if o.ticket == "" && o.key == "" {
		return
	}
	copies := 1
	if s.chance(1) {
		copies = 2
	}
	for range copies {
		s.submitTo(o, s.anyEntry())
	}
}

func (s *simulation) submitTo(o *testOrder, p *process) {
	s.calls++
	id := rail.RequestID(fmt.Sprintf("r%d", s.calls))
	r := rail.NewRequest(id, testTeam, "engraving", s.now).WithCall("POST", "/", []byte(o.body)).WithTicket(o.ticket).WithKey(o.key)
	o.sent++
	s.tracef("%s: %s to %s (ticket %q key %q)", id, o.body, p.self, o.ticket, o.key)
	s.send(nil, "submit", func() {
		p.call(id, order.NewSubmitted(r), func(c rail.CallEffect) { s.answered(o, id, c) })
	}, nil)
}

// answered checks the answer that a caller receives.
func (s *simulation) answered(o *testOrder, id rail.RequestID, c rail.CallEffect) {
	switch a := c.(type) {
	case order.Answered:
		s.tracef("%s answered", id)
		o.answers++
		if string(a.Reply().Body()) != "done "+o.body {
			s.failf("%s got the answer %q", o.body, a.Reply().Body())
		}
		if s.runsByOrder[o.body] != 1 {
			s.failf("%s was answered after %d runs", o.body, s.runsByOrder[o.body])
		}
	case order.Refused:
		s.tracef("%s refused %s: %s", id, a.Kind(), a.Message())
		if a.Kind().Reply().Run() == rail.NotRun {
			o.notRunRefusals++
			s.notRun = append(s.notRun, id)
		}
	}
}

func (s *simulation) failf(format string, args ...any) {
	s.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(s.trace, "\n"))
}
