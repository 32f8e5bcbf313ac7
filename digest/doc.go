// Package digest keeps the facts that entries exchange by gossip and determines
// what to send to a peer. It does no I/O; package peer transports its messages.
//
// A fact is the value of a register that only its origin writes, with a
// sequence number of that origin. A merge keeps the larger sequence of each
// register, so that it is commutative, idempotent and monotonic. For each lane
// of an origin the state records the sequence up to which it holds all facts.
// Peers compare only these numbers and send only the missing facts.
//
// Guarantees: a fact reaches every entry that is connected to its origin by
// some chain of exchanges; a later value is never replaced by an earlier one.
// Not guaranteed: an order between facts of different origins, or that every
// intermediate value is delivered.
package digest
