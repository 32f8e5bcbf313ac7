package digest

import "dandelionrail.org/rail"

// Summary lists the sequence numbers up to which a state holds all facts of each origin.
//
// It has two sequence numbers for each origin, one for its frequent and one for
// its urgent facts. The short form has no ids: the origins are the sorted
// incarnations of a set, and only a peer with the same set can decode it.
type Summary struct {
	set       uint64
	ids       []uint64
	sequences []uint64
}

// NewSummary returns a summary; set is the hash of all origins, ids are the hash of each one, empty in the short form.
func NewSummary(set uint64, ids, sequences []uint64) Summary {
	return Summary{set: set, ids: ids, sequences: sequences}
}

// Set returns the hash over all origins.
func (s Summary) Set() uint64 { return s.set }

// IDs returns the hashes of the origins, empty in the short form.
func (s Summary) IDs() []uint64 { return s.ids }

// Sequences returns the two sequence numbers of each origin.
func (s Summary) Sequences() []uint64 { return s.sequences }

// Batch holds all registers whose latest write by the origin has a sequence number above after and at most upTo.
type Batch struct {
	origin rail.Incarnation
	urgent bool
	after  uint64
	upTo   uint64
	facts  []rail.Fact
}

// NewBatch returns a batch of the origin's urgent or frequent facts.
func NewBatch(origin rail.Incarnation, urgent bool, after, upTo uint64, facts []rail.Fact) Batch {
	return Batch{origin: origin, urgent: urgent, after: after, upTo: upTo, facts: facts}
}

// Origin returns the process that wrote the facts.
func (b Batch) Origin() rail.Incarnation { return b.origin }

// Urgent reports whether the batch holds urgent facts.
func (b Batch) Urgent() bool { return b.urgent }

// After returns the exclusive lower bound of the sequence numbers.
func (b Batch) After() uint64 { return b.after }

// UpTo returns the inclusive upper bound of the sequence numbers.
func (b Batch) UpTo() uint64 { return b.upTo }

// Facts returns the facts.
func (b Batch) Facts() []rail.Fact { return b.facts }

// Request asks a peer for the facts that the summary lacks and pushes urgent facts.
type Request struct {
	summary Summary
	pushed  []Batch
	origins []rail.Incarnation
}

// NewRequest returns a request; origins is the set of the summary, which the sender keeps because the response can refer to an origin by its index.
func NewRequest(s Summary, pushed []Batch, origins []rail.Incarnation) Request {
	return Request{summary: s, pushed: pushed, origins: origins}
}

// Summary returns the summary of the sender's state.
func (r Request) Summary() Summary { return r.summary }

// Pushed returns the urgent facts that the sender learnt recently.
func (r Request) Pushed() []Batch { return r.pushed }

// Origins returns the processes of the summary, in its order.
func (r Request) Origins() []rail.Incarnation { return r.origins }

// Response holds the facts that the request's summary lacks.
type Response struct {
	unknownSet bool
	batches    []Batch
	origins    []rail.Incarnation
}

// NewResponse returns a response; unknownSet asks for a summary with ids, origins is the set that both sides know, empty if their sets differ.
func NewResponse(unknownSet bool, batches []Batch, origins []rail.Incarnation) Response {
	return Response{unknownSet: unknownSet, batches: batches, origins: origins}
}

// Origins returns the processes that both sides know, in their order, empty if their sets differ.
func (r Response) Origins() []rail.Incarnation { return r.origins }

// UnknownSet reports whether the peer could not decode the short summary.
func (r Response) UnknownSet() bool { return r.unknownSet }

// Batches returns the facts that the summary lacked.
func (r Response) Batches() []Batch { return r.batches }
