package document

import (
	"encoding/json"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// record is the body of a log record of the kind document.
//
// A publication has the version that it is based on as base, and the next
// number. A checkpoint has the same value as base and number, and states that
// this version was accepted last before the offset readTo; it keeps the version
// in the log after its publication has fallen out of retention.
type record struct {
	Environment string      `json:"environment"`
	Base        uint64      `json:"base"`
	Number      uint64      `json:"number"`
	Source      string      `json:"source"`
	ReadTo      rail.Offset `json:"readTo,omitempty"`
}

// NewPublication returns the body of the record that publishes a document on top of a base.
func NewPublication(d rail.Document, base uint64) ([]byte, error) {
	r := record{Environment: d.Environment(), Base: base, Number: base + 1, Source: d.Source()}
	return json.Marshal(r)
}

// newCheckpoint returns the body of a checkpoint, which states that the document was accepted last before the offset.
func newCheckpoint(environment string, number uint64, source string, readTo rail.Offset) ([]byte, error) {
	r := record{Environment: environment, Base: number, Number: number, Source: source, ReadTo: readTo}
	return json.Marshal(r)
}

func (r record) isCheckpoint() bool { return r.Base == r.Number }

// decode decodes and validates a record's body; the result is the same in all processes.
func decode(r rail.Record) (record, error) {
	var body record
	if err := json.Unmarshal(r.Body(), &body); err != nil {
		return record{}, errors.Wrap(err, "decode")
	}
	if !body.isCheckpoint() && body.Number != body.Base+1 {
		return record{}, errors.Errorf("number %d does not follow base %d", body.Number, body.Base)
	}
	if body.isCheckpoint() && body.ReadTo > r.Offset() {
		return record{}, errors.Errorf("offset %d cannot state what was read up to %d", r.Offset(), body.ReadTo)
	}
	if len(body.Source) > MaxSourceBytes {
		return record{}, errors.Errorf("source of %d bytes is over %d", len(body.Source), MaxSourceBytes)
	}
	return body, nil
}
