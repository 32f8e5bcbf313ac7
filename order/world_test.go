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

// world is three entries, a log, a service that counts runs, and callers that retry anywhere.
type world struct {
	t       *rapid.T
	now     time.Time
	entries []*process
	all     []*process
	log     []rail.Record
	oldest  int
	outage  bool
	flaky   bool
	focus   focus
	pending []message
	orders  []*testOrder
	calls   int
	runs    map[string]int         // by order
	ran     map[rail.RequestID]int // by request
	notRun  []rail.RequestID       // refused as not run
	story   []string
}

// focus narrows a history, so that rare orders of events come up in few steps.
type focus int

const (
	focusNone focus = iota
	focusKeys
	focusTickets
	focuses
)

// births are the ages of keys when their orders are first sent; many are at an edge of the window.
var births = []time.Duration{
	-testWindow - 30*time.Second, -testWindow + time.Second, -testWindow + 3*time.Second, -50 * time.Second,
	0, 0, 0, 50 * time.Second, 100 * time.Second, 200 * time.Second,
}

// mostFocused is how many orders a narrowed history has.
const mostFocused = 2

// process is one incarnation of an entry.
type process struct {
	w      *world
	slot   int
	me     rail.Incarnation
	part   *order.Reducer
	skew   time.Duration
	frozen bool
	dead   bool
	inbox  []rail.Event
	timers map[rail.TimerName]time.Time
	calls  map[rail.RequestID]func(rail.CallEffect)
	read   int
}

// message is something under way; it is not delivered while its sender is frozen.
type message struct {
	from    *process
	name    string
	deliver func()
	lose    func()
}

// testOrder is what a caller wants done once.
type testOrder struct {
	body    string
	ticket  rail.Ticket
	key     rail.Key
	sent    int
	refused int // told that it was not run
	answers int
}

func newWorld(t *rapid.T, flaky bool) *world {
	w := &world{t: t, now: time.UnixMilli(1_700_000_000_000), flaky: flaky, runs: map[string]int{}, ran: map[rail.RequestID]int{}}
	if flaky {
		w.focus = focus(w.pick(int(focuses)))
	}
	for slot := range 3 {
		w.start(slot)
	}
	return w
}

var anyNumber = rapid.Uint64()

// pick draws a number below n; two draws are added, as one alone favours small numbers.
func (w *world) pick(n int) int {
	return int((anyNumber.Draw(w.t, "a")%uint64(n) + anyNumber.Draw(w.t, "b")%uint64(n)) % uint64(n))
}

// chance is true n times out of ten, never in a world without failures.
func (w *world) chance(n int) bool { return w.flaky && w.pick(10) >= 10-n }

func (w *world) tell(format string, args ...any) {
	w.story = append(w.story, fmt.Sprintf(format, args...))
}

func (w *world) start(slot int) {
	settings := order.Defaults().WithWindow(testWindow).WithRetention(testRetention)
	if w.flaky && w.focus != focusKeys && w.pick(2) == 0 {
		settings = settings.WithMaxOpenTickets(1 + w.pick(2)).WithMaxOutcomes(4)
	}
	me := rail.Incarnation(fmt.Sprintf("e%dx%d", slot, len(w.all)))
	p := &process{
		w: w, slot: slot, me: me, part: order.New(settings, "works-hall", me),
		timers: map[rail.TimerName]time.Time{}, calls: map[rail.RequestID]func(rail.CallEffect){},
	}
	if w.flaky {
		p.skew = time.Duration(w.pick(7)-3) * 20 * time.Second
	}
	w.all = append(w.all, p)
	if slot < len(w.entries) {
		w.entries[slot] = p
	} else {
		w.entries = append(w.entries, p)
	}
	w.tell("start %s skew %v", me, p.skew)
}

// post hands an event to the entry, which takes it in when it is not frozen.
func (p *process) post(e rail.Event) {
	switch {
	case p.dead:
	case p.frozen:
		p.inbox = append(p.inbox, e)
	default:
		for _, effect := range p.part.Reduce(rail.NewInput(e, p.w.now.Add(p.skew), 0)) {
			p.run(effect)
		}
	}
}

// ask posts an event and routes the answer of its call.
func (p *process) ask(id rail.RequestID, e rail.Event, answer func(rail.CallEffect)) {
	if p.dead {
		return
	}
	p.calls[id] = answer
	p.post(e)
}

func (p *process) run(effect rail.Effect) {
	w := p.w
	switch e := effect.(type) {
	case rail.SetTimer:
		p.timers[e.Name()] = w.now.Add(e.After())
	case rail.Append:
		w.send(p, "append", func() { w.append(p, e) }, func() { p.post(rail.NewLogUnavailable(nil)) })
	case rail.Publish:
		fact := rail.NewFact(rail.NewFactKey(e.Kind(), e.Subject(), p.me), 1, e.Value())
		for _, o := range w.entries {
			w.send(p, "fact", func() { o.post(rail.NewFactsLearned([]rail.Fact{fact})) }, nil)
		}
	case order.Proceed:
		w.send(p, "run "+string(e.Request().ID()), func() { w.serve(p, e.Request()) }, nil)
	case order.Forward:
		w.send(p, "forward", func() { w.forward(p, e) }, func() { w.forwardLost(p, e) })
	case order.HandOver:
		w.send(p, "handover", func() { w.handOver(p, e) }, func() { p.post(order.NewHandoverLost(e.Number())) })
	case rail.CallEffect:
		if answer, ok := p.calls[e.Call()]; ok {
			delete(p.calls, e.Call())
			answer(e)
		}
	}
}

func (w *world) send(from *process, name string, deliver, lose func()) {
	w.pending = append(w.pending, message{from: from, name: name, deliver: deliver, lose: lose})
}

// append adds a record; its answer may be lost, and an outage may take effect before or after it.
func (w *world) append(p *process, e rail.Append) {
	if !w.outage || w.chance(3) {
		w.log = append(w.log, rail.NewRecord(rail.Offset(len(w.log)), w.now, e.Kind(), e.Body()))
	}
	if w.outage || w.chance(1) {
		p.post(rail.NewLogUnavailable(nil))
	}
}

func (w *world) readLog(p *process, most int) {
	if w.outage {
		p.post(rail.NewLogUnavailable(nil))
		return
	}
	from := max(p.read, w.oldest)
	to := min(from+most, len(w.log))
	p.read = to
	p.post(rail.NewLogRead(w.log[from:to], rail.Offset(w.oldest), rail.Offset(to), to == len(w.log)))
}

// serve is the service: it counts what it runs.
func (w *world) serve(p *process, r rail.Request) {
	outcome := 0
	if w.flaky {
		outcome = w.pick(6)
	}
	kind := rail.KindNone
	switch outcome {
	case 1:
		kind = rail.KindUpstreamRefused
	case 2:
		kind = rail.KindUpstreamSilent
	}
	if kind != rail.KindUpstreamRefused {
		w.runs[string(r.Body())]++
		w.ran[r.ID()]++
	}
	w.tell("service: %s by %s for %s: %q", r.Body(), p.me, r.ID(), kind)
	reply := rail.NewServiceReply(200, "text/plain", append([]byte("done "), r.Body()...))
	w.send(p, "ended", func() { p.post(order.NewEnded(r.ID(), kind, reply)) }, nil)
}

func (w *world) byIncarnation(n rail.Incarnation) *process {
	for _, p := range w.entries {
		if p.me == n && !p.dead {
			return p
		}
	}
	return nil
}

func (w *world) forward(p *process, e order.Forward) {
	target := w.byIncarnation(e.Issuer())
	r := e.Request()
	if target == nil {
		p.post(order.NewForwardEnded(r.ID(), rail.KindIssuerGone, rail.ServiceReply{}))
		return
	}
	target.ask(r.ID(), order.NewSubmitted(r).WithHops(e.Hops()), func(c rail.CallEffect) {
		w.send(target, "forwarded", func() {
			switch a := c.(type) {
			case order.Answered:
				p.post(order.NewForwardEnded(r.ID(), rail.KindNone, a.Reply()))
			case order.Refused:
				p.post(order.NewForwardEnded(r.ID(), a.Kind(), rail.ServiceReply{}))
			}
		}, func() { w.forwardLost(p, e) })
	})
}

func (w *world) forwardLost(p *process, e order.Forward) {
	p.post(order.NewForwardEnded(e.Request().ID(), rail.KindIssuerUnreachable, rail.ServiceReply{}))
}

func (w *world) handOver(p *process, e order.HandOver) {
	target := w.byIncarnation(e.Successor())
	lost := func() { p.post(order.NewHandoverLost(e.Number())) }
	if target == nil {
		lost()
		return
	}
	w.calls++
	call := rail.RequestID(fmt.Sprintf("h%d", w.calls))
	target.ask(call, order.NewTicketsReceived(call, p.me, e.Number(), e.Tickets()), func(c rail.CallEffect) {
		w.send(target, "handed over", func() {
			if _, ok := c.(order.TicketsTaken); ok {
				p.post(order.NewHandoverAnswered(e.Number()))
				return
			}
			p.post(order.NewHandoverRefused(e.Number()))
		}, lost)
	})
}

// newOrder makes an order with a ticket or a key.
func (w *world) newOrder() {
	if w.focus != focusNone && len(w.orders) >= mostFocused {
		w.submit(w.orders[w.pick(len(w.orders))])
		return
	}
	o := &testOrder{body: fmt.Sprintf("order-%d", len(w.orders))}
	w.orders = append(w.orders, o)
	if w.focus == focusKeys || (w.focus == focusNone && w.pick(2) == 0) {
		birth := w.now
		if w.flaky {
			birth = birth.Add(births[w.pick(len(births))])
		}
		o.key = testKey(birth, len(w.orders))
		return
	}
	w.calls++
	call := rail.RequestID(fmt.Sprintf("t%d", w.calls))
	w.anyEntry().ask(call, order.NewTicketWanted(call, testTeam), func(c rail.CallEffect) {
		if issued, ok := c.(order.TicketIssued); ok {
			o.ticket = issued.Ticket()
		}
	})
}

func testKey(birth time.Time, n int) rail.Key {
	ms := birth.UnixMilli()
	return rail.Key(fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n))
}

func (w *world) anyEntry() *process { return w.entries[w.pick(len(w.entries))] }

// submit sends an order to any entry, the first time or again; the balancer may deliver it twice.
func (w *world) submit(o *testOrder) {
	if o.ticket == "" && o.key == "" {
		return
	}
	copies := 1
	if w.chance(1) {
		copies = 2
	}
	for range copies {
		w.submitTo(o, w.anyEntry())
	}
}

func (w *world) submitTo(o *testOrder, p *process) {
	w.calls++
	id := rail.RequestID(fmt.Sprintf("r%d", w.calls))
	r := rail.NewRequest(id, testTeam, "engraving", w.now).WithCall("POST", "/", []byte(o.body)).WithTicket(o.ticket).WithKey(o.key)
	o.sent++
	w.tell("%s: %s to %s (ticket %q key %q)", id, o.body, p.me, o.ticket, o.key)
	w.send(nil, "submit", func() {
		p.ask(id, order.NewSubmitted(r), func(c rail.CallEffect) { w.answered(o, id, c) })
	}, nil)
}

// answered checks what a caller is told.
func (w *world) answered(o *testOrder, id rail.RequestID, c rail.CallEffect) {
	switch a := c.(type) {
	case order.Answered:
		w.tell("%s answered", id)
		o.answers++
		if string(a.Reply().Body()) != "done "+o.body {
			w.fail("%s got the answer %q", o.body, a.Reply().Body())
		}
		if w.runs[o.body] != 1 {
			w.fail("%s is answered after %d runs", o.body, w.runs[o.body])
		}
	case order.Refused:
		w.tell("%s refused %s: %s", id, a.Kind(), a.Message())
		if a.Kind().Reply().Run() == rail.NotRun {
			o.refused++
			w.notRun = append(w.notRun, id)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.t.Fatalf("%s\n%s", fmt.Sprintf(format, args...), strings.Join(w.story, "\n"))
}
