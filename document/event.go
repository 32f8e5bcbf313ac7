package document

import "dandelionrail.org/rail"

// Fetched tells of the document that a peer has in force, number zero if it has none.
type Fetched struct{ document rail.Document }

// NewFetched returns the event; the document carries its number.
func NewFetched(d rail.Document) Fetched { return Fetched{document: d} }

// EventName implements rail.Event.
func (Fetched) EventName() string { return "documentOffered" }

// FetchFailed tells that a peer did not answer for its document.
type FetchFailed struct{ peer rail.Incarnation }

// NewFetchFailed returns the event for the peer that was asked.
func NewFetchFailed(peer rail.Incarnation) FetchFailed { return FetchFailed{peer: peer} }

// EventName implements rail.Event.
func (FetchFailed) EventName() string { return "documentFetchFailed" }
