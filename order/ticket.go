package order

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dandelionrail.org/rail"
)

// mostHops is how often one request is forwarded from entry to entry.
const mostHops = 3

// issueTicket gives out a ticket of this incarnation, bound to the team.
func (p *Reducer) issueTicket(e TicketWanted) {
	switch {
	case p.handover.sealed:
		p.refuse(e.call, rail.KindLeaving, "this entry is leaving and issues no tickets")
		return
	case p.tickets.open() >= p.settings.openTickets:
		p.refuse(e.call, rail.KindOutcomesFull, "too many tickets are open")
		return
	}
	p.tickets.issued++
	name := rail.Ticket(fmt.Sprintf("%s%d", p.ticketPrefix(), p.tickets.issued))
	t := &ticket{name: name, team: e.team, phase: PhaseOpen}
	p.tickets.add(t, p.now.Add(p.settings.window))
	p.emit(TicketIssued{call: e.call, ticket: name})
}

// submitTicket runs, answers or forwards an order that carries a ticket.
func (p *Reducer) submitTicket(s Submitted) {
	r := s.request
	t, ok := p.tickets.byName[r.Ticket()]
	if !ok {
		p.submitForeign(s)
		return
	}
	digest := digestOf(r)
	switch {
	case !p.mayUse(r, t.team, t.digest, digest):
	case t.phase == PhaseEnded:
		p.replay(r.ID(), t.outcome)
	case t.phase == PhaseRunning && t.from == "":
		t.waiters = appendNew(t.waiters, r.ID())
	case t.phase == PhaseRunning:
		p.forward(s, t.from)
	case p.handover.sealed && p.handover.successor == "":
		p.refuse(r.ID(), rail.KindLeaving, "this entry is leaving and dispatches no tickets")
	case p.handover.sealed:
		p.forward(s, p.handover.successor)
	case p.full():
		p.refuse(r.ID(), rail.KindOutcomesFull, "no room to keep the outcome of another order")
	default:
		t.digest = digest
		p.runTicket(t, r)
	}
}

// runTicket is the only place that lets the order of a ticket be dispatched.
func (p *Reducer) runTicket(t *ticket, r rail.Request) {
	p.tickets.move(t, PhaseRunning)
	t.waiters = append(t.waiters, r.ID())
	p.running[r.ID()] = subject{ticket: t.name}
	p.emit(Proceed{request: r})
}

// mayUse refuses a request whose ticket or recorded outcome belongs to another team or order.
func (p *Reducer) mayUse(r rail.Request, team rail.TeamName, known, digest string) bool {
	switch {
	case team != r.Team():
		p.refuse(r.ID(), rail.KindForeignTicket, "the ticket was issued to another team")
	case known != "" && known != digest:
		p.refuse(r.ID(), rail.KindKeyReused, "the ticket was used for another order")
	default:
		return true
	}
	return false
}

// submitForeign answers an order whose ticket is not held here, or forwards it to who holds it.
func (p *Reducer) submitForeign(s Submitted) {
	r := s.request
	if known, ok := p.tickets.records.values[r.Ticket()]; ok {
		if p.mayUse(r, known.team, known.digest, digestOf(r)) {
			p.replay(r.ID(), known.outcome)
		}
		return
	}
	issuer, sequence, ok := issuerOf(r.Ticket())
	if !ok || (issuer == p.me && (!p.isMine(r.Ticket()) || sequence > p.tickets.issued)) {
		p.refuse(r.ID(), rail.KindUnknownTicket, "no entry issued this ticket")
		return
	}
	holder := p.handover.holder(issuer)
	switch {
	case holder == p.me:
		p.refuse(r.ID(), rail.KindIssuerGone, "the ticket is older than the records of its entry")
	case s.hops > 0 && holder == issuer:
		// The peer that forwarded it knows of a holder that this entry has not heard of yet.
		p.refuse(r.ID(), rail.KindIssuerUnreachable, "the ticket is being handed over")
	default:
		p.forward(s, holder)
	}
}

func (p *Reducer) forward(s Submitted, to rail.Incarnation) {
	if s.hops >= mostHops {
		p.refuse(s.request.ID(), rail.KindIssuerUnreachable, "the ticket is being handed over")
		return
	}
	p.emit(Forward{request: s.request, issuer: to, hops: s.hops + 1})
}

// endTicket keeps the outcome, or opens the ticket again if the order did not run.
func (p *Reducer) endTicket(name rail.Ticket, o Outcome) {
	t := p.tickets.byName[name]
	calls := t.waiters
	t.waiters = nil
	if o.notRun() {
		p.tickets.move(t, PhaseOpen)
	} else {
		p.tickets.move(t, PhaseEnded)
		t.outcome = o.kept()
		p.enqueue(newTicketOutcome(t))
	}
	p.tickets.keep(t, p.now.Add(p.settings.window))
	p.answerAll(calls, o)
	p.passOn(t)
}

// ticketPrefix is what all tickets of this incarnation start with.
func (p *Reducer) ticketPrefix() string { return string(p.domain) + "-" + string(p.me) + "-" }

func (p *Reducer) isMine(t rail.Ticket) bool { return strings.HasPrefix(string(t), p.ticketPrefix()) }

// issuerOf reads incarnation and sequence from a ticket; a domain may contain dashes.
func issuerOf(t rail.Ticket) (rail.Incarnation, uint64, bool) {
	fields := strings.Split(string(t), "-")
	if len(fields) < 3 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(fields[len(fields)-1], 10, 64)
	issuer := fields[len(fields)-2]
	return rail.Incarnation(issuer), sequence, err == nil && sequence > 0 && issuer != ""
}

func appendNew(calls []rail.RequestID, call rail.RequestID) []rail.RequestID {
	if slices.Contains(calls, call) {
		return calls
	}
	return append(calls, call)
}
