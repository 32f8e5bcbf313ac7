package order

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"dandelionrail.org/rail"
)

const (
	// maxReplyBytes is the largest answer that is kept for retries.
	maxReplyBytes = 16 << 10
	// digestBytes is the length to which an order's hash is truncated.
	digestBytes = 12
)

// Phase is the progress of a ticket's order.
type Phase string

// The phases of a ticket's order.
const (
	PhaseOpen    Phase = "open"
	PhaseRunning Phase = "running"
	PhaseEnded   Phase = "ended"
)

// Outcome is the result of an order: an answer, or an error kind. Only kinds that leave open whether the order ran are recorded.
type Outcome struct {
	kind  rail.Kind
	reply rail.ServiceReply
}

// NewOutcome returns the outcome; with rail.KindNone the reply is the order's answer.
func NewOutcome(kind rail.Kind, reply rail.ServiceReply) Outcome {
	return Outcome{kind: kind, reply: reply}
}

// Kind returns the error kind, rail.KindNone for an answer.
func (o Outcome) Kind() rail.Kind { return o.kind }

// Reply returns the answer.
func (o Outcome) Reply() rail.ServiceReply { return o.reply }

// notRun reports whether the order is known not to have run.
func (o Outcome) notRun() bool {
	return o.kind != rail.KindNone && o.kind.Reply().Run() == rail.NotRun
}

// retained returns the outcome to keep for retries, which leaves out an answer above maxReplyBytes.
func (o Outcome) retained() Outcome {
	if o.kind == rail.KindNone && len(o.reply.Body()) > maxReplyBytes {
		return Outcome{kind: rail.KindAnswerNotKept}
	}
	return o
}

// TicketState is the state of one ticket as a handover transfers it.
type TicketState struct {
	ticket  rail.Ticket
	team    rail.TeamName
	phase   Phase
	digest  string
	outcome Outcome
}

// NewTicketState returns the state of a ticket of the team; digest is that of the order sent with it, empty for none.
func NewTicketState(ticket rail.Ticket, team rail.TeamName, phase Phase, digest string, outcome Outcome) TicketState {
	return TicketState{ticket: ticket, team: team, phase: phase, digest: digest, outcome: outcome}
}

// Ticket returns the ticket.
func (s TicketState) Ticket() rail.Ticket { return s.ticket }

// Team returns the team that it belongs to.
func (s TicketState) Team() rail.TeamName { return s.team }

// Phase returns the progress of its order.
func (s TicketState) Phase() Phase { return s.phase }

// Digest returns the digest of the order sent with it, empty for none.
func (s TicketState) Digest() string { return s.digest }

// Outcome returns the result of its order.
func (s TicketState) Outcome() Outcome { return s.outcome }

// digestOf returns a truncated hash of an order, by which a reuse of its ticket or key for another order is detected.
func digestOf(req rail.Request) string {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(req.Route()), []byte(req.Method()), []byte(req.Path()), req.Body()} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// boundedMap is a map with at most maxLen keys; it evicts the oldest ones first.
type boundedMap[K comparable, V any] struct {
	maxLen int
	values map[K]V
	order  []K
}

func newBoundedMap[K comparable, V any](maxLen int) boundedMap[K, V] {
	return boundedMap[K, V]{maxLen: maxLen, values: map[K]V{}}
}

func (m *boundedMap[K, V]) put(key K, value V) {
	if _, ok := m.values[key]; !ok {
		m.order = append(m.order, key)
	}
	m.values[key] = value
	for len(m.order) > m.maxLen {
		delete(m.values, m.order[0])
		m.order = m.order[1:]
	}
}
