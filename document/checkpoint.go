package document

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// turns is the number of steps over which processes spread their checkpoints.
	turns = 8
	// adoptTurn is the time between two turns to state a version that no record states.
	adoptTurn = 2 * time.Second
	// contradictTurn is the time between two turns to answer a checkpoint that is behind.
	contradictTurn = 100 * time.Millisecond
	// checkpointTimeout is how long an append may take to be read back.
	checkpointTimeout = 10 * time.Second
)

// checkpoint is the newest record by which a fresh reader can know the version accepted last.
type checkpoint struct {
	// at is when the log took it, or took the oldest record known while there is none.
	at time.Time
	// offset is its place in the log.
	offset rail.Offset
	// readTo is the offset from which a fresh reader must see all records to use it.
	readTo rail.Offset
	// overdue is when this process answers a checkpoint that is behind, zero if there is none.
	overdue time.Time
	// pending is the time until which an append of this process may still show.
	pending time.Time
}

func (c *checkpoint) begin(at time.Time) {
	if c.at.IsZero() {
		c.at = at
	}
}

func (c *checkpoint) note(r rail.Record, readTo rail.Offset) {
	c.overdue = time.Time{}
	if r.At().After(c.at) {
		c.at, c.offset, c.readTo = r.At(), r.Offset(), readTo
	}
}

// contradict lets this process answer a checkpoint of an earlier version than the one it knows, as its writer may not have known better.
func (p *Reducer) contradict(at time.Time) {
	if p.checkpoint.overdue.IsZero() {
		p.checkpoint.overdue = at.Add(p.turn() * contradictTurn)
		p.checkpoint.pending = time.Time{}
	}
}

// turn returns the place of this process among those that take turns.
func (p *Reducer) turn() time.Duration {
	return time.Duration(xxhash.Sum64String(string(p.self)) % turns)
}

// learnRetention notes that the log no longer keeps what a fresh reader needs, sooner than expected, and lets the first turn come at once.
func (p *Reducer) learnRetention(oldest rail.Offset, at time.Time) {
	if !p.history.known || oldest <= max(p.checkpoint.readTo, firstOffset) {
		return
	}
	if age := at.Sub(p.checkpoint.at); age > 0 && oldest > p.checkpoint.offset {
		p.retention = min(p.retention, age)
	}
	p.checkpoint.at, p.checkpoint.readTo = at.Add(-p.retention/2), oldest
}

// writeCheckpoint appends which version was accepted last, before the last checkpoint falls out of retention.
//
// The processes take turns by a hash of their incarnation, so that one of them
// appends as a rule. Two or more checkpoints change nothing: a reader that
// knows the last version passes over them.
func (p *Reducer) writeCheckpoint(at time.Time) []rail.Effect {
	if p.caughtUpAt.IsZero() || p.logAway || p.environment == "" || at.Before(p.checkpoint.pending) || !p.due(at) {
		return nil
	}
	body, err := newCheckpoint(p.environment, p.current.Number(), p.current.Source(), p.history.readTo(p.current))
	if err != nil {
		return nil
	}
	p.checkpoint.pending = at.Add(checkpointTimeout)
	effects := []rail.Effect{rail.NewAppend(rail.RecordDocument, body)}
	if !p.history.known {
		detail := "no checkpoint in the log can be used"
		effects = append(effects, rail.NewReport(rail.EventDocumentAdopted, numberText(p.current.Number()), detail))
	}
	return effects
}

// due reports whether it is this process's turn to write a checkpoint.
//
// A process that does not know the last version states the one in force, after
// a time in which one that knows better would have spoken up. All readers take
// the checkpoint at its place in the log, so that they go on alike.
func (p *Reducer) due(at time.Time) bool {
	turn := p.turn()
	if !p.history.known {
		return at.Sub(p.caughtUpAt) >= adoptAfter+turn*adoptTurn
	}
	if p.history.number != p.current.Number() {
		return false
	}
	if !p.checkpoint.overdue.IsZero() {
		return !at.Before(p.checkpoint.overdue)
	}
	last := p.checkpoint.at
	if last.IsZero() {
		last = p.caughtUpAt
	}
	return at.Sub(last) >= p.retention/2+turn*p.retention/(4*turns)
}
