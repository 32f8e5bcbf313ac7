package rail

import "time"

// RecordKind determines which reducer processes a log record.
type RecordKind string

// The kinds of log records.
const (
	RecordDocument RecordKind = "document"
	RecordClaims   RecordKind = "claims"
	RecordVerdict  RecordKind = "verdict"
	RecordLease    RecordKind = "lease"
	RecordFleet    RecordKind = "fleet"
)

// Record is one record of the platform's log.
type Record struct {
	offset Offset
	at     time.Time
	kind   RecordKind
	body   []byte
}

// NewRecord returns the record with the offset and time that the log assigned to it; body is JSON with camelCase names.
func NewRecord(offset Offset, at time.Time, kind RecordKind, body []byte) Record {
	return Record{offset: offset, at: at, kind: kind, body: body}
}

// Offset returns the position in the log.
func (r Record) Offset() Offset { return r.offset }

// At returns the time at which the log accepted the record, by the log's clock.
func (r Record) At() time.Time { return r.at }

// Kind returns the record's kind.
func (r Record) Kind() RecordKind { return r.kind }

// Body returns the JSON body; it must not be changed.
func (r Record) Body() []byte { return r.body }
