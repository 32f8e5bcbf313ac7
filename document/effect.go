package document

import "dandelionrail.org/rail"

// Fetch asks to fetch a peer's document; the result is a Fetched or FetchFailed event.
type Fetch struct{ peer rail.Incarnation }

// Peer returns the peer to fetch from, empty for any live one.
func (e Fetch) Peer() rail.Incarnation { return e.peer }

// EffectName implements rail.Effect.
func (Fetch) EffectName() string { return "fetchDocument" }
