package order

import (
	"time"

	"dandelionrail.org/rail"
)

// The timers of the part.
const (
	timerCommit   rail.TimerName = "order.commit"
	timerRepeat   rail.TimerName = "order.repeat"
	timerClaims   rail.TimerName = "order.claims"
	timerSweep    rail.TimerName = "order.sweep"
	timerMark     rail.TimerName = "order.mark"
	timerHandover rail.TimerName = "order.handover"
)

// sweepsPerWindow is how often in one window expired tickets are dropped.
const sweepsPerWindow = 10

// Reducer decides which orders may be dispatched; it is a pure reducer.
type Reducer struct {
	settings Settings
	domain   rail.Domain
	me       rail.Incarnation
	now      time.Time
	effects  []rail.Effect
	began    bool
	entries  int // in the platform's list
	running  map[rail.RequestID]subject
	tickets  ticketTable
	keys     keyTable
	log      logView
	outbox   outbox
	handover handover
}

// subject names what a dispatched request runs under: a ticket or a key.
type subject struct {
	ticket rail.Ticket
	key    keyName
}

// New returns the part of an entry's incarnation, which must be random, never reused and without a dash.
func New(settings Settings, domain rail.Domain, me rail.Incarnation) *Reducer {
	return &Reducer{
		settings: settings,
		domain:   domain,
		me:       me,
		running:  map[rail.RequestID]subject{},
		tickets:  newTicketTable(settings.outcomes / recordShare),
		keys:     newKeyTable(settings.window),
		outbox:   outbox{sent: map[uint64]*item{}},
		handover: newHandover(),
	}
}

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	p.now = in.At()
	p.effects = nil
	if !p.began {
		p.began = true
		p.emit(rail.NewSetTimer(timerSweep, p.settings.window/sweepsPerWindow))
		p.emit(rail.NewSetTimer(timerMark, p.settings.window/marksPerWindow))
	}
	p.take(in.Event())
	p.flushIfDue()
	return p.effects
}

func (p *Reducer) take(event rail.Event) {
	switch e := event.(type) {
	case TicketWanted:
		p.issueTicket(e)
	case Submitted:
		p.submit(e)
	case Ended:
		p.end(e)
	case ForwardEnded:
		p.answer(e.request, NewOutcome(e.kind, e.reply), "the entry that holds the ticket did not answer")
	case Sealed:
		p.seal(e.successor)
	case TicketsReceived:
		p.receiveTickets(e)
	case HandoverAnswered:
		p.handoverAnswered(e.number)
	case HandoverRefused:
		p.handoverRefused(e.number)
	case HandoverLost:
		p.handoverLost(e.number)
	case rail.LogRead:
		p.readLog(e)
	case rail.LogUnavailable:
		p.log.away = true
	case rail.ListRead:
		p.countEntries(e.Instances())
	case rail.FactsLearned:
		p.learnFacts(e.Facts())
	case rail.TimerFired:
		p.fire(e.Name())
	}
}

func (p *Reducer) fire(name rail.TimerName) {
	switch name {
	case timerCommit:
		p.outbox.timed = false
		p.outbox.due = true
	case timerRepeat:
		p.repeatLost()
	case timerClaims:
		p.expireWaits()
	case timerSweep:
		p.tickets.sweep(p.now)
		p.emit(rail.NewSetTimer(timerSweep, p.settings.window/sweepsPerWindow))
	case timerMark:
		p.markLog()
	case timerHandover:
		p.repeatHandover()
	}
}

func (p *Reducer) submit(s Submitted) {
	switch {
	case s.request.Ticket() != "":
		p.submitTicket(s)
	case s.request.Key() != "":
		p.submitKey(s.request)
	default:
		p.refuse(s.request.ID(), rail.KindTicketRequired, "an order needs a ticket or a key")
	}
}

// end takes in how a dispatch ended; an end told twice is ignored.
func (p *Reducer) end(e Ended) {
	s, ok := p.running[e.request]
	if !ok {
		return
	}
	delete(p.running, e.request)
	outcome := NewOutcome(e.kind, e.reply)
	if s.ticket != "" {
		p.endTicket(s.ticket, outcome)
		return
	}
	p.endKey(s.key, outcome)
}

// countEntries notes among how many the appends to the log are divided.
func (p *Reducer) countEntries(instances []rail.Instance) {
	p.entries = 0
	for _, i := range instances {
		if i.Role() == rail.RoleEntry && !i.Leaving() {
			p.entries++
		}
	}
}

// full reports whether another order could make the table of outcomes larger than the limit.
func (p *Reducer) full() bool {
	return p.tickets.live+len(p.keys.byName) >= p.settings.outcomes
}

func (p *Reducer) emit(e rail.Effect) { p.effects = append(p.effects, e) }

func (p *Reducer) report(n rail.EventNumber, subject, detail string) {
	p.emit(rail.NewReport(n, subject, detail))
}

func (p *Reducer) refuse(call rail.RequestID, kind rail.Kind, message string) {
	p.emit(Refused{call: call, kind: kind, message: message})
}

// answer tells a call the outcome; message says what failed if the outcome is an error kind.
func (p *Reducer) answer(call rail.RequestID, o Outcome, message string) {
	if o.kind == rail.KindNone {
		p.emit(Answered{call: call, reply: o.reply})
		return
	}
	p.refuse(call, o.kind, message)
}

// replay tells a call the recorded outcome.
func (p *Reducer) replay(call rail.RequestID, o Outcome) {
	p.report(rail.EventOrderReplayed, string(call), string(o.kind))
	p.answer(call, o, "the order ended this way before")
}

func (p *Reducer) answerAll(calls []rail.RequestID, o Outcome) {
	message := "the upstream gave no answer"
	if o.notRun() {
		message = "the order was not run"
	}
	for _, c := range calls {
		p.answer(c, o, message)
	}
}
