package order

import (
	"time"

	"github.com/google/uuid"

	"dandelionrail.org/rail"
)

// keyID is a caller's key in binary form, so that different spellings of one UUID are equal.
type keyID = uuid.UUID

// claimID identifies a claim by the incarnation that made it and the item's id there.
type claimID struct {
	owner    rail.Incarnation
	sequence uint64
}

// uuidVersion is the UUID version that carries its creation time.
const uuidVersion = 7

// parseKey returns a key's binary form and creation time, false if it is not a UUID of version 7.
func parseKey(k rail.Key) (keyID, time.Time, bool) {
	id, err := uuid.Parse(string(k))
	if err != nil || id.Version() != uuidVersion {
		return keyID{}, time.Time{}, false
	}
	return id, creationTime(id), true
}

// creationTime returns the time in the first 48 bits, which count milliseconds since 1970.
func creationTime(id keyID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
