package order

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dandelionrail.org/rail"
)

// maxHops is how many times a request may be forwarded from entry to entry.
const maxHops = 3

// issueTicket issues a ticket of this incarnation, bound to the team.
func (r *Reducer) issueTicket(e TicketWanted) {
	switch {
	case r.handover.sealed:
		r.refuse(e.call, rail.KindLeaving, "this entry is leaving and issues no tickets")
		return
	case r.tickets.openCount() >= r.settings.maxOpenTickets:
		r.refuse(e.call, rail.KindOutcomesFull, "too many tickets are open")
		return
	}
	r.tickets.issued++
	name := rail.Ticket(fmt.Sprintf("%s%d", r.ticketPrefix(), r.tickets.issued))
	t := &ticket{name: name, team: e.team, phase: PhaseOpen}
	r.tickets.add(t, r.now.Add(r.settings.window))
	r.emit(TicketIssued{call: e.call, ticket: name})
}

// submitTicket dispatches, answers or forwards an order that carries a ticket.
func (r *Reducer) submitTicket(s Submitted) {
	req := s.request
	t, ok := r.tickets.byName[req.Ticket()]
	if !ok {
		r.submitRemote(s)
		return
	}
	digest := digestOf(req)
	switch {
	case !r.checkTicketUse(req, t.team, t.digest, digest):
	case t.phase == PhaseEnded:
		r.replay(req.ID(), t.outcome)
	case t.phase == PhaseRunning && t.runningAt == "":
		t.waiters = appendUnique(t.waiters, req.ID())
	case t.phase == PhaseRunning:
		r.forward(s, t.runningAt)
	case r.handover.sealed && r.handover.successor == "":
		r.refuse(req.ID(), rail.KindLeaving, "this entry is leaving and dispatches no tickets")
	case r.handover.sealed:
		r.forward(s, r.handover.successor)
	case r.atOutcomeLimit():
		r.refuse(req.ID(), rail.KindOutcomesFull, "no room to keep the outcome of another order")
	default:
		t.digest = digest
		r.dispatchTicket(t, req)
	}
}

// dispatchTicket is the only function that dispatches the order of a ticket.
func (r *Reducer) dispatchTicket(t *ticket, req rail.Request) {
	r.tickets.setPhase(t, PhaseRunning)
	t.waiters = append(t.waiters, req.ID())
	r.running[req.ID()] = orderID{ticket: t.name}
	r.emit(Proceed{request: req})
}

// checkTicketUse refuses a request whose ticket or recorded outcome belongs to another team or order, and reports whether it may proceed.
func (r *Reducer) checkTicketUse(req rail.Request, team rail.TeamName, known, digest string) bool {
	switch {
	case team != req.Team():
		r.refuse(req.ID(), rail.KindForeignTicket, "the ticket was issued to another team")
	case known != "" && known != digest:
		r.refuse(req.ID(), rail.KindKeyReused, "the ticket was used for another order")
	default:
		return true
	}
	return false
}

// submitRemote answers an order whose ticket is not held here, or forwards it to the entry that holds the ticket.
func (r *Reducer) submitRemote(s Submitted) {
	req := s.request
	if known, ok := r.tickets.remoteOutcomes.values[req.Ticket()]; ok {
		if r.checkTicketUse(req, known.team, known.digest, digestOf(req)) {
			r.replay(req.ID(), known.outcome)
		}
		return
	}
	issuer, sequence, ok := parseTicket(req.Ticket())
	if !ok || (issuer == r.self && (!r.issuedHere(req.Ticket()) || sequence > r.tickets.issued)) {
		r.refuse(req.ID(), rail.KindUnknownTicket, "no entry issued this ticket")
		return
	}
	holder := r.handover.currentHolder(issuer)
	switch {
	case holder == r.self:
		r.refuse(req.ID(), rail.KindIssuerGone, "the ticket is older than the records of its entry")
	case s.hops > 0 && holder == issuer:
		// The peer that forwarded the order knows of a holder that has not been announced to this entry yet.
		r.refuse(req.ID(), rail.KindIssuerUnreachable, "the ticket is being handed over")
	default:
		r.forward(s, holder)
	}
}

func (r *Reducer) forward(s Submitted, to rail.Incarnation) {
	if s.hops >= maxHops {
		r.refuse(s.request.ID(), rail.KindIssuerUnreachable, "the ticket is being handed over")
		return
	}
	r.emit(Forward{request: s.request, issuer: to, hops: s.hops + 1})
}

// endTicket records the outcome, or makes the ticket usable again if the order did not run.
func (r *Reducer) endTicket(name rail.Ticket, o Outcome) {
	t := r.tickets.byName[name]
	calls := t.waiters
	t.waiters = nil
	if o.notRun() {
		r.tickets.setPhase(t, PhaseOpen)
	} else {
		r.tickets.setPhase(t, PhaseEnded)
		t.outcome = o.retained()
		r.enqueue(newTicketOutcomeItem(t))
	}
	r.tickets.setExpiry(t, r.now.Add(r.settings.window))
	r.answerAll(calls, o)
	r.handOverUpdate(t)
}

// ticketPrefix returns the common prefix of all tickets of this incarnation.
func (r *Reducer) ticketPrefix() string { return string(r.domain) + "-" + string(r.self) + "-" }

func (r *Reducer) issuedHere(t rail.Ticket) bool {
	return strings.HasPrefix(string(t), r.ticketPrefix())
}

// parseTicket returns the issuer and the sequence number in a ticket; a domain may contain dashes.
func parseTicket(t rail.Ticket) (rail.Incarnation, uint64, bool) {
	fields := strings.Split(string(t), "-")
	if len(fields) < 3 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(fields[len(fields)-1], 10, 64)
	issuer := fields[len(fields)-2]
	return rail.Incarnation(issuer), sequence, err == nil && sequence > 0 && issuer != ""
}

func appendUnique(calls []rail.RequestID, call rail.RequestID) []rail.RequestID {
	if slices.Contains(calls, call) {
		return calls
	}
	return append(calls, call)
}
