package order

import (
	"time"

	"dandelionrail.org/rail"
)

// The timers of the reducer.
const (
	commitTimer   rail.TimerName = "order.commit"
	repeatTimer   rail.TimerName = "order.repeat"
	claimsTimer   rail.TimerName = "order.claims"
	sweepTimer    rail.TimerName = "order.sweep"
	markTimer     rail.TimerName = "order.mark"
	handoverTimer rail.TimerName = "order.handover"
)

// sweepsPerWindow is how many times per order window expired tickets are deleted.
const sweepsPerWindow = 10

// Reducer decides which orders may be dispatched; it does no I/O and reads no clock.
type Reducer struct {
	settings      Settings
	domain        rail.Domain
	self          rail.Incarnation
	now           time.Time
	effects       []rail.Effect
	timersStarted bool
	entryCount    int // entries in the platform's list that are not leaving
	running       map[rail.RequestID]orderID
	tickets       ticketTable
	keys          keyTable
	log           logView
	outbox        outbox
	handover      handoverState
}

// orderID identifies the order of a dispatched request by its ticket or its key.
type orderID struct {
	ticket rail.Ticket
	key    keyName
}

// New returns the reducer of one incarnation of an entry; self must be random, never reused and without a dash.
func New(settings Settings, domain rail.Domain, self rail.Incarnation) *Reducer {
	return &Reducer{
		settings: settings,
		domain:   domain,
		self:     self,
		running:  map[rail.RequestID]orderID{},
		tickets:  newTicketTable(settings.maxOutcomes / remoteOutcomeDivisor),
		keys:     newKeyTable(settings.window),
		outbox:   outbox{sent: map[uint64]*item{}},
		handover: newHandover(),
	}
}

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	r.now = in.At()
	r.effects = nil
	if !r.timersStarted {
		r.timersStarted = true
		r.emit(rail.NewSetTimer(sweepTimer, r.settings.window/sweepsPerWindow))
		r.emit(rail.NewSetTimer(markTimer, r.settings.window/marksPerWindow))
	}
	r.apply(in.Event())
	r.flushIfDue()
	return r.effects
}

func (r *Reducer) apply(event rail.Event) {
	switch e := event.(type) {
	case TicketWanted:
		r.issueTicket(e)
	case Submitted:
		r.submit(e)
	case Ended:
		r.end(e)
	case ForwardEnded:
		r.answer(e.request, NewOutcome(e.kind, e.reply), "the entry that holds the ticket did not answer")
	case Sealed:
		r.seal(e.successor)
	case TicketsReceived:
		r.receiveTickets(e)
	case HandoverAnswered:
		r.handleHandoverAnswered(e.number)
	case HandoverRefused:
		r.handleHandoverRefused(e.number)
	case HandoverLost:
		r.handleHandoverLost(e.number)
	case rail.LogRead:
		r.applyLog(e)
	case rail.LogUnavailable:
		r.log.unavailable = true
	case rail.ListRead:
		r.countEntries(e.Instances())
	case rail.FactsLearned:
		r.applyFacts(e.Facts())
	case rail.TimerFired:
		r.handleTimer(e.Name())
	}
}

func (r *Reducer) handleTimer(name rail.TimerName) {
	switch name {
	case commitTimer:
		r.outbox.commitTimerSet = false
		r.outbox.flushDue = true
	case repeatTimer:
		r.requeueUnread()
	case claimsTimer:
		r.refuseTimedOutCalls()
	case sweepTimer:
		r.tickets.sweep(r.now)
		r.emit(rail.NewSetTimer(sweepTimer, r.settings.window/sweepsPerWindow))
	case markTimer:
		r.markLog()
	case handoverTimer:
		r.retryHandovers()
	}
}

func (r *Reducer) submit(s Submitted) {
	switch {
	case s.request.Ticket() != "":
		r.submitTicket(s)
	case s.request.Key() != "":
		r.submitKey(s.request)
	default:
		r.refuse(s.request.ID(), rail.KindTicketRequired, "an order needs a ticket or a key")
	}
}

// end records the result of a dispatch; a repeated event for the same request is ignored.
func (r *Reducer) end(e Ended) {
	id, ok := r.running[e.request]
	if !ok {
		return
	}
	delete(r.running, e.request)
	outcome := NewOutcome(e.kind, e.reply)
	if id.ticket != "" {
		r.endTicket(id.ticket, outcome)
		return
	}
	r.endKey(id.key, outcome)
}

// countEntries counts the entries that share the append rate of the log.
func (r *Reducer) countEntries(instances []rail.Instance) {
	r.entryCount = 0
	for _, i := range instances {
		if i.Role() == rail.RoleEntry && !i.Leaving() {
			r.entryCount++
		}
	}
}

// atOutcomeLimit reports whether another order could exceed the limit of kept outcomes.
func (r *Reducer) atOutcomeLimit() bool {
	return r.tickets.used+len(r.keys.byName) >= r.settings.maxOutcomes
}

func (r *Reducer) emit(e rail.Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) report(n rail.EventNumber, subject, detail string) {
	r.emit(rail.NewReport(n, subject, detail))
}

func (r *Reducer) refuse(call rail.RequestID, kind rail.Kind, message string) {
	r.emit(Refused{call: call, kind: kind, message: message})
}

// answer sends a call the outcome; message states the failure if the outcome is an error kind.
func (r *Reducer) answer(call rail.RequestID, o Outcome, message string) {
	if o.kind == rail.KindNone {
		r.emit(Answered{call: call, reply: o.reply})
		return
	}
	r.refuse(call, o.kind, message)
}

// replay answers a call with the recorded outcome.
func (r *Reducer) replay(call rail.RequestID, o Outcome) {
	r.report(rail.EventOrderReplayed, string(call), string(o.kind))
	r.answer(call, o, "the order ended this way before")
}

func (r *Reducer) answerAll(calls []rail.RequestID, o Outcome) {
	message := "the upstream gave no answer"
	if o.notRun() {
		message = "the order was not run"
	}
	for _, c := range calls {
		r.answer(c, o, message)
	}
}
