package document

import "dandelionrail.org/rail"

// Fetched reports the document that a peer has in force, with number zero if it has none.
type Fetched struct{ document rail.Document }

// NewFetched returns the event; the document carries its number.
func NewFetched(d rail.Document) Fetched { return Fetched{document: d} }

// EventName implements rail.Event.
func (Fetched) EventName() string { return "documentOffered" }

// FetchFailed reports that a document could not be fetched from a peer.
type FetchFailed struct{ peer rail.Incarnation }

// NewFetchFailed returns the event for the peer.
func NewFetchFailed(peer rail.Incarnation) FetchFailed { return FetchFailed{peer: peer} }

// EventName implements rail.Event.
func (FetchFailed) EventName() string { return "documentFetchFailed" }
