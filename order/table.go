package order

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

// ticket is a ticket that this incarnation issued or took over.
type ticket struct {
	name      rail.Ticket
	team      rail.TeamName
	phase     Phase
	runningAt rail.Incarnation // incarnation at which the order runs, empty for this one
	digest    string
	outcome   Outcome
	waiters   []rail.RequestID
	expires   time.Time
}

func (t *ticket) state() TicketState {
	return NewTicketState(t.name, t.team, t.phase, t.digest, t.outcome)
}

// remoteOutcome is the outcome of another entry's ticket, read from the log.
type remoteOutcome struct {
	team    rail.TeamName
	digest  string
	outcome Outcome
}

// expiry is a time at which a ticket may be deleted.
type expiry struct {
	at     time.Time
	ticket *ticket
}

// ticketTable holds the tickets of this incarnation and the recorded outcomes of other entries' tickets.
type ticketTable struct {
	issued         uint64
	byName         map[rail.Ticket]*ticket
	used           int // tickets whose order is running or ended
	expiries       []expiry
	remoteOutcomes boundedMap[rail.Ticket, remoteOutcome]
}

func newTicketTable(maxRemoteOutcomes int) ticketTable {
	return ticketTable{byName: map[rail.Ticket]*ticket{}, remoteOutcomes: newBoundedMap[rail.Ticket, remoteOutcome](maxRemoteOutcomes)}
}

func (tt *ticketTable) openCount() int { return len(tt.byName) - tt.used }

func (tt *ticketTable) add(t *ticket, expires time.Time) {
	tt.byName[t.name] = t
	if t.phase != PhaseOpen {
		tt.used++
	}
	tt.setExpiry(t, expires)
}

// setExpiry sets the time until which the ticket is kept; successive calls must pass times that do not decrease.
func (tt *ticketTable) setExpiry(t *ticket, expires time.Time) {
	t.expires = expires
	tt.expiries = append(tt.expiries, expiry{at: expires, ticket: t})
}

func (tt *ticketTable) setPhase(t *ticket, phase Phase) {
	if t.phase != PhaseOpen {
		tt.used--
	}
	t.phase = phase
	if t.phase != PhaseOpen {
		tt.used++
	}
}

// sweep deletes the expired tickets whose order is not running.
func (tt *ticketTable) sweep(now time.Time) {
	for len(tt.expiries) > 0 && !tt.expiries[0].at.After(now) {
		t := tt.expiries[0].ticket
		tt.expiries[0].ticket = nil
		tt.expiries = tt.expiries[1:]
		if t.phase == PhaseRunning || t.expires.After(now) || tt.byName[t.name] != t {
			continue
		}
		if t.phase == PhaseEnded {
			tt.used--
		}
		delete(tt.byName, t.name)
	}
}

// keyName identifies an order by the team and the caller's key.
type keyName struct {
	team rail.TeamName
	id   keyID
}

// key is the state of one idempotency key.
type key struct {
	name        keyName
	createdAt   time.Time
	digest      string
	holder      claimID   // zero if the key is free
	spentClaims []claimID // claims read from the log that lost or released the key
	ended       bool
	outcome     Outcome
	local       *localOrder
}

func (k *key) isSpent(claim claimID) bool { return slices.Contains(k.spentClaims, claim) }

// inLog reports whether a record of the log concerns the key.
func (k *key) inLog() bool { return k.ended || k.holder != (claimID{}) || len(k.spentClaims) > 0 }

// keyTable holds the keys created in the last 1.5 windows.
type keyTable struct {
	window       time.Duration
	byName       map[keyName]*key
	buckets      map[int64][]keyName // by creation time, in eighths of a window
	sweptBucket  int64
	callTimeouts []callTimeout // earliest first
}

// bucketsPerWindow is the number of buckets per window; keys are deleted by bucket of their creation time.
const bucketsPerWindow = 8

func newKeyTable(window time.Duration) keyTable {
	return keyTable{window: window, byName: map[keyName]*key{}, buckets: map[int64][]keyName{}}
}

func (kt *keyTable) bucket(createdAt time.Time) int64 {
	return createdAt.UnixMilli() / max(kt.window.Milliseconds()/bucketsPerWindow, 1)
}

// getOrCreate returns the key's state, a new one if the key is not known.
func (kt *keyTable) getOrCreate(name keyName, createdAt time.Time) *key {
	k, ok := kt.byName[name]
	if !ok {
		k = &key{name: name, createdAt: createdAt}
		kt.byName[name] = k
		b := kt.bucket(createdAt)
		kt.buckets[b] = append(kt.buckets[b], name)
	}
	return k
}

// forgotten reports whether a key with this creation time may have been deleted, given the latest time of the log.
func (kt *keyTable) forgotten(createdAt, lastTime time.Time) bool {
	return kt.bucket(createdAt) < kt.bucket(lastTime.Add(-2*kt.window))
}

// sweep deletes the keys created more than 1.5 windows before the latest time of the log, except those for which calls wait here.
func (kt *keyTable) sweep(lastTime time.Time) {
	oldest := kt.bucket(lastTime.Add(-kt.window - kt.window/2))
	if oldest <= kt.sweptBucket {
		return
	}
	kt.sweptBucket = oldest
	for b, names := range kt.buckets {
		if b >= oldest {
			continue
		}
		delete(kt.buckets, b)
		for _, n := range names {
			kt.sweepKey(n, oldest)
		}
	}
}

func (kt *keyTable) sweepKey(name keyName, oldest int64) {
	k, ok := kt.byName[name]
	if !ok {
		return
	}
	if k.local != nil {
		kt.buckets[oldest] = append(kt.buckets[oldest], name)
		return
	}
	delete(kt.byName, name)
}
