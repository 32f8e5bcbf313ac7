package order

import (
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	// handoverTickets and handoverBytes bound one handover message.
	handoverTickets = 500
	handoverBytes   = 1 << 20
	// handoverRepeat is when a handover whose answer was lost is sent again, to the same successor.
	handoverRepeat = 500 * time.Millisecond
	// mostSuccessors is how many entries that left are remembered.
	mostSuccessors = 4096
)

// handover is what is known of tickets that moved from one entry to another.
type handover struct {
	sealed     bool
	successor  rail.Incarnation
	certain    bool // the successor may hold tickets
	number     int
	open       map[int][]TicketState         // not answered yet
	lost       []int                         // to be sent again
	refused    []int                         // refused before the successor was certain
	taken      map[rail.Incarnation]*numbers // what others handed over to this entry
	announced  map[rail.Incarnation]bool
	successors recent[rail.Incarnation, rail.Incarnation]
}

func newHandover() handover {
	return handover{
		open:       map[int][]TicketState{},
		taken:      map[rail.Incarnation]*numbers{},
		announced:  map[rail.Incarnation]bool{},
		successors: newRecent[rail.Incarnation, rail.Incarnation](mostSuccessors),
	}
}

// holder follows the successors of an incarnation as far as they are known.
func (h *handover) holder(issuer rail.Incarnation) rail.Incarnation {
	for range mostHops {
		next, ok := h.successors.values[issuer]
		if !ok {
			break
		}
		issuer = next
	}
	return issuer
}

// seal stops all dispatches by ticket for good, then hands the tickets over; the first successor stands.
func (p *Reducer) seal(successor rail.Incarnation) {
	h := &p.handover
	if !h.sealed {
		h.sealed = true
		p.report(rail.EventOrdersSealed, string(p.me), string(successor))
	}
	if h.successor != "" || successor == "" || successor == p.me {
		return
	}
	h.successor = successor
	states := make([]TicketState, 0, len(p.tickets.byName))
	for _, t := range p.tickets.byName {
		states = append(states, t.state())
	}
	slices.SortFunc(states, func(a, b TicketState) int {
		return strings.Compare(string(a.ticket), string(b.ticket))
	})
	p.handOver(states)
}

// handOver sends states to the successor in messages of bounded size.
func (p *Reducer) handOver(states []TicketState) {
	for len(states) > 0 {
		n, size := 0, 0
		for n < len(states) && n < handoverTickets && size < handoverBytes {
			size += len(states[n].outcome.reply.Body())
			n++
		}
		h := &p.handover
		h.number++
		h.open[h.number] = states[:n:n]
		p.sendHandover(h.number)
		states = states[n:]
	}
}

func (p *Reducer) sendHandover(number int) {
	h := &p.handover
	p.emit(HandOver{number: number, successor: h.successor, tickets: h.open[number]})
}

// passOn tells the successor of a ticket whose order ended after the handover.
func (p *Reducer) passOn(t *ticket) {
	if p.handover.successor != "" {
		p.handOver([]TicketState{t.state()})
	}
}

func (p *Reducer) handoverAnswered(number int) {
	h := &p.handover
	if _, ok := h.open[number]; !ok {
		return
	}
	delete(h.open, number)
	p.makeCertain()
	if len(h.open) == 0 {
		p.report(rail.EventOrdersHandedOver, string(p.me), string(h.successor))
	}
}

// handoverRefused lets another successor be named only if this one surely took nothing.
func (p *Reducer) handoverRefused(number int) {
	h := &p.handover
	if _, ok := h.open[number]; !ok {
		return
	}
	h.refused = append(h.refused, number)
	switch {
	case h.certain:
		p.makeCertain()
	case len(h.refused) == len(h.open):
		clear(h.open)
		h.refused, h.successor = nil, ""
	}
}

// makeCertain binds the handover to its successor, which is asked again for what it refused.
func (p *Reducer) makeCertain() {
	h := &p.handover
	h.certain = true
	for _, number := range h.refused {
		p.repeatLater(number)
	}
	h.refused = nil
}

// handoverLost sends the message again later; from now on no other successor is taken.
func (p *Reducer) handoverLost(number int) {
	h := &p.handover
	if _, ok := h.open[number]; !ok {
		return
	}
	p.makeCertain()
	p.repeatLater(number)
}

func (p *Reducer) repeatLater(number int) {
	h := &p.handover
	if len(h.lost) == 0 {
		p.emit(rail.NewSetTimer(timerHandover, handoverRepeat))
	}
	h.lost = append(h.lost, number)
}

func (p *Reducer) repeatHandover() {
	lost := p.handover.lost
	p.handover.lost = nil
	for _, number := range lost {
		if _, ok := p.handover.open[number]; ok {
			p.sendHandover(number)
		}
	}
}

// numbers are the messages taken from one entry; they outlive the tickets in them, which are dropped after a window.
type numbers struct {
	through int // all up to this one
	above   map[int]bool
}

// add reports whether the number is new.
func (n *numbers) add(number int) bool {
	if number <= n.through || n.above[number] {
		return false
	}
	if n.above == nil {
		n.above = map[int]bool{}
	}
	n.above[number] = true
	for n.above[n.through+1] {
		n.through++
		delete(n.above, n.through)
	}
	return true
}

// receiveTickets takes over the tickets of a sealed entry; a repeated message changes nothing.
func (p *Reducer) receiveTickets(e TicketsReceived) {
	h := &p.handover
	known, ok := h.taken[e.from]
	switch {
	case e.from == p.me:
		p.refuse(e.call, rail.KindBadRequest, "an entry cannot hand tickets over to itself")
		return
	case !ok && h.sealed:
		p.refuse(e.call, rail.KindLeaving, "this entry is leaving and takes no tickets")
		return
	case !ok && p.tickets.open() >= p.settings.openTickets:
		p.refuse(e.call, rail.KindOutcomesFull, "too many tickets are open")
		return
	}
	if !ok {
		known = &numbers{}
		h.taken[e.from] = known
		p.report(rail.EventTicketsTakenOver, string(e.from), "")
		p.announce(e.from)
	}
	if known.add(e.number) {
		for _, s := range e.tickets {
			p.receiveTicket(s, e.from)
		}
	}
	p.emit(TicketsTaken{call: e.call})
}

// receiveTicket adds a ticket, or moves one on whose order was running where it came from.
func (p *Reducer) receiveTicket(s TicketState, from rail.Incarnation) {
	if t, ok := p.tickets.byName[s.ticket]; ok {
		if t.from != "" && t.phase == PhaseRunning && s.phase != PhaseRunning {
			p.progress(t, s.phase, s.outcome)
		}
		return
	}
	t := &ticket{name: s.ticket, team: s.team, phase: s.phase, digest: s.digest, outcome: s.outcome}
	if s.phase == PhaseRunning {
		t.from = from
	}
	p.tickets.add(t, p.now.Add(p.settings.window))
	if issuer, _, ok := issuerOf(s.ticket); ok {
		p.announce(issuer)
	}
	p.passOn(t)
}

// progress notes how an order ended that was running where its ticket came from.
func (p *Reducer) progress(t *ticket, phase Phase, o Outcome) {
	t.from = ""
	p.tickets.move(t, phase)
	if phase == PhaseEnded {
		t.outcome = o
	}
	p.tickets.keep(t, p.now.Add(p.settings.window))
	p.passOn(t)
}

// announce tells the others that this entry holds the tickets of an incarnation.
func (p *Reducer) announce(issuer rail.Incarnation) {
	h := &p.handover
	if issuer == p.me || h.announced[issuer] {
		return
	}
	h.announced[issuer] = true
	p.emit(rail.NewPublish(rail.FactSuccessor, string(issuer), string(p.me)))
	p.enqueue(item{Type: itemSuccessor, Of: issuer})
}

// learnFacts notes which entries took over the tickets of others.
func (p *Reducer) learnFacts(facts []rail.Fact) {
	for _, f := range facts {
		if f.Key().Kind() == rail.FactSuccessor && f.Value() != string(p.me) {
			p.handover.successors.put(rail.Incarnation(f.Key().Subject()), rail.Incarnation(f.Value()))
		}
	}
}
