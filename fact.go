package rail

// FactKind determines which reducer processes a fact.
type FactKind string

// The kinds of facts that entries exchange.
const (
	FactLeaving  FactKind = "leaving"
	FactBrake    FactKind = "brake"
	FactDocument FactKind = "document"
	FactLoad     FactKind = "load"
	FactEvidence FactKind = "evidence"
	FactDemand   FactKind = "demand"
	FactAlive    FactKind = "alive"
	FactInstance FactKind = "instance"
	// FactSuccessor names the entry that holds the tickets of an incarnation that has shut down.
	FactSuccessor FactKind = "successor"
)

// FactKey identifies one register; only its origin writes to it.
type FactKey struct {
	kind    FactKind
	subject string
	origin  Incarnation
}

// NewFactKey returns the key of the origin's register for the subject.
func NewFactKey(kind FactKind, subject string, origin Incarnation) FactKey {
	return FactKey{kind: kind, subject: subject, origin: origin}
}

// Kind returns the fact's kind.
func (k FactKey) Kind() FactKind { return k.kind }

// Subject returns what the fact is about.
func (k FactKey) Subject() string { return k.subject }

// Origin returns the incarnation of the process that wrote the fact.
func (k FactKey) Origin() Incarnation { return k.origin }

// Fact is the value of one register at one sequence number.
type Fact struct {
	key      FactKey
	sequence uint64
	value    string
}

// NewFact returns a register's value; of two facts with the same key the larger sequence wins.
func NewFact(key FactKey, sequence uint64, value string) Fact {
	return Fact{key: key, sequence: sequence, value: value}
}

// Key returns the register's key.
func (f Fact) Key() FactKey { return f.key }

// Sequence returns the sequence number of the write.
func (f Fact) Sequence() uint64 { return f.sequence }

// Value returns the value, in the text encoding of its reducer.
func (f Fact) Value() string { return f.value }
