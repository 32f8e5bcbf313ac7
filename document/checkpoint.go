package document

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// checkpointSlots is the number of time slots over which processes are spread when a checkpoint is due.
	checkpointSlots = 8
	// adoptSlot is the time between two slots for the checkpoint of a version that no record confirms.
	adoptSlot = 2 * time.Second
	// correctionSlot is the time between two slots for the correction of an outdated checkpoint.
	correctionSlot = 100 * time.Millisecond
	// checkpointTimeout is how long an append may take to be read back.
	checkpointTimeout = 10 * time.Second
)

// checkpoint is the newest record from which a new reader can determine the version accepted last.
type checkpoint struct {
	// at is when the log accepted the checkpoint, or the oldest known record while there is no checkpoint.
	at time.Time
	// offset is its position in the log.
	offset rail.Offset
	// readTo is the offset from which a new reader must see all records to use the checkpoint.
	readTo rail.Offset
	// correctionAt is when this process corrects an outdated checkpoint, zero if there is none.
	correctionAt time.Time
	// pendingUntil is the time until which an append of this process may still appear in the log.
	pendingUntil time.Time
}

func (c *checkpoint) initialise(at time.Time) {
	if c.at.IsZero() {
		c.at = at
	}
}

func (c *checkpoint) update(r rail.Record, readTo rail.Offset) {
	c.correctionAt = time.Time{}
	if r.At().After(c.at) {
		c.at, c.offset, c.readTo = r.At(), r.Offset(), readTo
	}
}

// scheduleCorrection schedules a checkpoint after one of an earlier version than this process knows; the writer of that one may not have known the later version.
func (r *Reducer) scheduleCorrection(at time.Time) {
	if r.checkpoint.correctionAt.IsZero() {
		r.checkpoint.correctionAt = at.Add(r.slot() * correctionSlot)
		r.checkpoint.pendingUntil = time.Time{}
	}
}

// slot returns the time slot of this process.
func (r *Reducer) slot() time.Duration {
	return time.Duration(xxhash.Sum64String(string(r.self)) % checkpointSlots)
}

// learnRetention detects that the log has dropped records that a new reader needs, earlier than expected; it shortens the retention and makes a checkpoint due at once in the first slot.
func (r *Reducer) learnRetention(oldest rail.Offset, at time.Time) {
	if !r.history.known || oldest <= max(r.checkpoint.readTo, firstOffset) {
		return
	}
	if age := at.Sub(r.checkpoint.at); age > 0 && oldest > r.checkpoint.offset {
		r.retention = min(r.retention, age)
	}
	r.checkpoint.at, r.checkpoint.readTo = at.Add(-r.retention/2), oldest
}

// writeCheckpoint appends a checkpoint of the version accepted last, before the previous checkpoint falls out of retention.
//
// A hash of the incarnation assigns each process a time slot, so that usually
// only one of them appends. Further checkpoints have no effect: a reader that
// knows the last version ignores them.
func (r *Reducer) writeCheckpoint(at time.Time) []rail.Effect {
	if r.caughtUpAt.IsZero() || r.logUnavailable || r.environment == "" || at.Before(r.checkpoint.pendingUntil) || !r.checkpointDue(at) {
		return nil
	}
	body, err := newCheckpoint(r.environment, r.current.Number(), r.current.Source(), r.history.readTo(r.current))
	if err != nil {
		return nil
	}
	r.checkpoint.pendingUntil = at.Add(checkpointTimeout)
	effects := []rail.Effect{rail.NewAppend(rail.RecordDocument, body)}
	if !r.history.known {
		detail := "no checkpoint in the log can be used"
		effects = append(effects, rail.NewReport(rail.EventDocumentAdopted, numberText(r.current.Number()), detail))
	}
	return effects
}

// checkpointDue reports whether this process must write a checkpoint now.
//
// A process that does not know the last version writes a checkpoint of the one
// in force, after a delay in which a process that knows it would have written
// one. All readers apply the checkpoint at its position in the log, so that
// they reach the same state.
func (r *Reducer) checkpointDue(at time.Time) bool {
	slot := r.slot()
	if !r.history.known {
		return at.Sub(r.caughtUpAt) >= adoptDelay+slot*adoptSlot
	}
	if r.history.number != r.current.Number() {
		return false
	}
	if !r.checkpoint.correctionAt.IsZero() {
		return !at.Before(r.checkpoint.correctionAt)
	}
	last := r.checkpoint.at
	if last.IsZero() {
		last = r.caughtUpAt
	}
	return at.Sub(last) >= r.retention/2+slot*r.retention/(4*checkpointSlots)
}
