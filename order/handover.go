package order

import (
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	// maxHandoverTickets and maxHandoverBytes bound one handover message.
	maxHandoverTickets = 500
	maxHandoverBytes   = 1 << 20
	// handoverRetryDelay is the delay before a handover message whose answer was lost is sent again, to the same successor.
	handoverRetryDelay = 500 * time.Millisecond
	// maxSuccessors bounds the number of entries whose successor is remembered.
	maxSuccessors = 4096
)

// handoverState is the state of the handovers from and to this entry, and the successors that are known.
type handoverState struct {
	sealed         bool
	successor      rail.Incarnation
	successorFixed bool // the successor may hold tickets, so no other one can be named
	lastNumber     int
	unanswered     map[int][]TicketState           // messages by number
	toRetry        []int                           // numbers of the messages to send again
	refused        []int                           // numbers refused before the successor was fixed
	received       map[rail.Incarnation]*numberSet // message numbers received, by sender
	announced      map[rail.Incarnation]bool
	successors     boundedMap[rail.Incarnation, rail.Incarnation]
}

func newHandover() handoverState {
	return handoverState{
		unanswered: map[int][]TicketState{},
		received:   map[rail.Incarnation]*numberSet{},
		announced:  map[rail.Incarnation]bool{},
		successors: newBoundedMap[rail.Incarnation, rail.Incarnation](maxSuccessors),
	}
}

// currentHolder follows the known successors of an incarnation and returns the last one, after at most maxHops steps.
func (h *handoverState) currentHolder(issuer rail.Incarnation) rail.Incarnation {
	for range maxHops {
		next, ok := h.successors.values[issuer]
		if !ok {
			break
		}
		issuer = next
	}
	return issuer
}

// seal stops all dispatches by ticket permanently and hands the tickets over; a second successor is ignored.
func (r *Reducer) seal(successor rail.Incarnation) {
	h := &r.handover
	if !h.sealed {
		h.sealed = true
		r.report(rail.EventOrdersSealed, string(r.self), string(successor))
	}
	if h.successor != "" || successor == "" || successor == r.self {
		return
	}
	h.successor = successor
	states := make([]TicketState, 0, len(r.tickets.byName))
	for _, t := range r.tickets.byName {
		states = append(states, t.state())
	}
	slices.SortFunc(states, func(a, b TicketState) int {
		return strings.Compare(string(a.ticket), string(b.ticket))
	})
	r.handOver(states)
}

// handOver sends ticket states to the successor in messages of bounded size.
func (r *Reducer) handOver(states []TicketState) {
	for len(states) > 0 {
		n, size := 0, 0
		for n < len(states) && n < maxHandoverTickets && size < maxHandoverBytes {
			size += len(states[n].outcome.reply.Body())
			n++
		}
		h := &r.handover
		h.lastNumber++
		h.unanswered[h.lastNumber] = states[:n:n]
		r.sendHandover(h.lastNumber)
		states = states[n:]
	}
}

func (r *Reducer) sendHandover(number int) {
	h := &r.handover
	r.emit(HandOver{number: number, successor: h.successor, tickets: h.unanswered[number]})
}

// handOverUpdate sends the successor, if there is one, a ticket that changed or arrived after the handover.
func (r *Reducer) handOverUpdate(t *ticket) {
	if r.handover.successor != "" {
		r.handOver([]TicketState{t.state()})
	}
}

func (r *Reducer) handleHandoverAnswered(number int) {
	h := &r.handover
	if _, ok := h.unanswered[number]; !ok {
		return
	}
	delete(h.unanswered, number)
	r.fixSuccessor()
	if len(h.unanswered) == 0 {
		r.report(rail.EventOrdersHandedOver, string(r.self), string(h.successor))
	}
}

// handleHandoverRefused allows another successor only if this one refused every message, so that it certainly holds no ticket.
func (r *Reducer) handleHandoverRefused(number int) {
	h := &r.handover
	if _, ok := h.unanswered[number]; !ok {
		return
	}
	h.refused = append(h.refused, number)
	switch {
	case h.successorFixed:
		r.fixSuccessor()
	case len(h.refused) == len(h.unanswered):
		clear(h.unanswered)
		h.refused, h.successor = nil, ""
	}
}

// fixSuccessor rules out any other successor and schedules the messages that this one refused to be sent again.
func (r *Reducer) fixSuccessor() {
	h := &r.handover
	h.successorFixed = true
	for _, number := range h.refused {
		r.scheduleHandoverRetry(number)
	}
	h.refused = nil
}

// handleHandoverLost schedules the message to be sent again; as the successor may have processed it, no other successor is allowed from then on.
func (r *Reducer) handleHandoverLost(number int) {
	h := &r.handover
	if _, ok := h.unanswered[number]; !ok {
		return
	}
	r.fixSuccessor()
	r.scheduleHandoverRetry(number)
}

func (r *Reducer) scheduleHandoverRetry(number int) {
	h := &r.handover
	if len(h.toRetry) == 0 {
		r.emit(rail.NewSetTimer(handoverTimer, handoverRetryDelay))
	}
	h.toRetry = append(h.toRetry, number)
}

func (r *Reducer) retryHandovers() {
	numbers := r.handover.toRetry
	r.handover.toRetry = nil
	for _, number := range numbers {
		if _, ok := r.handover.unanswered[number]; ok {
			r.sendHandover(number)
		}
	}
}

// numberSet is the set of message numbers received from one entry. It is kept longer than the tickets in the messages, which are deleted
// after an order window, so that a message repeated later is still recognised.
type numberSet struct {
	contiguous int // all numbers up to this one are in the set
	above      map[int]bool
}

// add adds a number and reports whether it is new.
func (n *numberSet) add(number int) bool {
	if number <= n.contiguous || n.above[number] {
		return false
	}
	if n.above == nil {
		n.above = map[int]bool{}
	}
	n.above[number] = true
	for n.above[n.contiguous+1] {
		n.contiguous++
		delete(n.above, n.contiguous)
	}
	return true
}

// receiveTickets takes over the tickets of a sealed entry; a repeated message is acknowledged and has no other effect.
func (r *Reducer) receiveTickets(e TicketsReceived) {
	h := &r.handover
	known, ok := h.received[e.from]
	switch {
	case e.from == r.self:
		r.refuse(e.call, rail.KindBadRequest, "an entry cannot hand tickets over to itself")
		return
	case !ok && h.sealed:
		r.refuse(e.call, rail.KindLeaving, "this entry is leaving and takes no tickets")
		return
	case !ok && r.tickets.openCount() >= r.settings.maxOpenTickets:
		r.refuse(e.call, rail.KindOutcomesFull, "too many tickets are open")
		return
	}
	if !ok {
		known = &numberSet{}
		h.received[e.from] = known
		r.report(rail.EventTicketsTakenOver, string(e.from), "")
		r.announce(e.from)
	}
	if known.add(e.number) {
		for _, s := range e.tickets {
			r.receiveTicket(s, e.from)
		}
	}
	r.emit(TicketsTaken{call: e.call})
}

// receiveTicket adds a ticket; for a known one whose order was running at another entry it records the outcome.
func (r *Reducer) receiveTicket(s TicketState, from rail.Incarnation) {
	if t, ok := r.tickets.byName[s.ticket]; ok {
		if t.runningAt != "" && t.phase == PhaseRunning && s.phase != PhaseRunning {
			r.recordRemoteOutcome(t, s.phase, s.outcome)
		}
		return
	}
	t := &ticket{name: s.ticket, team: s.team, phase: s.phase, digest: s.digest, outcome: s.outcome}
	if s.phase == PhaseRunning {
		t.runningAt = from
	}
	r.tickets.add(t, r.now.Add(r.settings.window))
	if issuer, _, ok := parseTicket(s.ticket); ok {
		r.announce(issuer)
	}
	r.handOverUpdate(t)
}

// recordRemoteOutcome records the result of an order that was running at another entry when its ticket was handed over.
func (r *Reducer) recordRemoteOutcome(t *ticket, phase Phase, o Outcome) {
	t.runningAt = ""
	r.tickets.setPhase(t, phase)
	if phase == PhaseEnded {
		t.outcome = o
	}
	r.tickets.setExpiry(t, r.now.Add(r.settings.window))
	r.handOverUpdate(t)
}

// announce publishes, as a fact and in the log, that this entry holds the tickets of an incarnation.
func (r *Reducer) announce(issuer rail.Incarnation) {
	h := &r.handover
	if issuer == r.self || h.announced[issuer] {
		return
	}
	h.announced[issuer] = true
	r.emit(rail.NewPublish(rail.FactSuccessor, string(issuer), string(r.self)))
	r.enqueue(item{Type: itemSuccessor, Issuer: issuer})
}

// applyFacts records which entries took over the tickets of others.
func (r *Reducer) applyFacts(facts []rail.Fact) {
	for _, f := range facts {
		if f.Key().Kind() == rail.FactSuccessor && f.Value() != string(r.self) {
			r.handover.successors.put(rail.Incarnation(f.Key().Subject()), rail.Incarnation(f.Value()))
		}
	}
}
