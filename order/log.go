package order

import (
	"encoding/json"
	"time"

	"dandelionrail.org/rail"
)

// marksPerWindow is how many times per order window an empty record (mark) is appended to an idle log. A newly started entry needs
// records to determine how far back it has read.
const marksPerWindow = 4

// logView is the part of the log that this entry has read without a gap.
type logView struct {
	started       bool
	complete      bool      // read from the log's very first record on
	firstTime     time.Time // time of the first record read
	next          rail.Offset
	lastTime      time.Time // latest time of a record read
	unavailable   bool
	readyReported bool // EventKeysReady was reported
	readSinceMark bool // records were read since the mark timer last fired
}

// covers reports whether all records since the given time have been read.
func (v *logView) covers(since time.Time) bool {
	return v.complete || (!v.firstTime.IsZero() && !v.firstTime.After(since))
}

// ready reports whether claims can be made: a full order window has been read.
func (v *logView) ready(s Settings) bool {
	return v.covers(v.lastTime.Add(-s.window - maxKeySkew))
}

// applyLog processes records in log order.
func (r *Reducer) applyLog(e rail.LogRead) {
	v := &r.log
	r.handleLogAvailable()
	r.checkGap(e)
	for _, rec := range e.Records() {
		if rec.Offset() < v.next {
			continue
		}
		v.next = rec.Offset() + 1
		v.readSinceMark = true
		if v.firstTime.IsZero() {
			v.firstTime = rec.At()
		}
		if rec.At().After(v.lastTime) {
			v.lastTime = rec.At()
		}
		if rec.Kind() == rail.RecordClaims {
			r.applyRecord(rec)
		}
	}
	v.next = max(v.next, e.Next())
	r.keys.sweep(v.lastTime)
	if !v.readyReported && v.started && v.ready(r.settings) {
		v.readyReported = true
		r.report(rail.EventKeysReady, "", "")
	}
}

// handleLogAvailable resumes appending if the log was unavailable.
func (r *Reducer) handleLogAvailable() {
	if !r.log.unavailable {
		return
	}
	r.log.unavailable = false
	if len(r.outbox.queued) > 0 {
		r.scheduleFlush()
	}
}

// checkGap resets the view if the log deleted records before they were read.
func (r *Reducer) checkGap(e rail.LogRead) {
	v := &r.log
	first := e.Next()
	if len(e.Records()) > 0 {
		first = e.Records()[0].Offset()
	}
	switch {
	case !v.started:
		v.started = true
		v.complete = e.Oldest() <= r.settings.firstOffset && first <= r.settings.firstOffset
	case e.Oldest() > v.next:
		v.complete, v.firstTime, v.readyReported = false, time.Time{}, false
		r.report(rail.EventOrderLogGap, "", "")
	}
}

// applyRecord processes the batch of items in one record.
func (r *Reducer) applyRecord(rec rail.Record) {
	var b batch
	if err := json.Unmarshal(rec.Body(), &b); err != nil {
		r.report(rail.EventOrderRecordBad, "read", err.Error())
		return
	}
	for _, i := range b.Items {
		if b.Owner == r.self {
			delete(r.outbox.sent, i.ID)
		}
		r.applyItem(b.Owner, i, rec.At())
	}
}

func (r *Reducer) applyItem(owner rail.Incarnation, i *item, at time.Time) {
	switch {
	case i.Type == itemSuccessor:
		r.handover.successors.put(i.Issuer, owner)
	case i.Type == itemOutcome && i.Ticket != "":
		r.applyTicketOutcome(i)
	case i.Key == nil || i.Key.Version() != uuidVersion:
		r.report(rail.EventOrderRecordBad, "item", string(i.Type))
	case i.Type == itemClaim:
		r.applyClaim(claimID{owner, i.ID}, i, at)
	case i.Type == itemRelease:
		r.applyRelease(claimID{owner, i.Claim}, i)
	case i.Type == itemOutcome:
		r.applyKeyOutcome(claimID{owner, i.Claim}, i)
	}
}

// inClaimWindow reports whether a claim recorded at the given time is valid; at is the log's time, so that all readers agree.
func (r *Reducer) inClaimWindow(createdAt, at time.Time) bool {
	return !createdAt.After(at.Add(maxKeySkew)) && !at.After(createdAt.Add(r.settings.window))
}

// applyClaim makes the claim the holder of its key if the key is free; later claims lose.
func (r *Reducer) applyClaim(claim claimID, i *item, at time.Time) {
	name := keyName{team: i.Team, id: *i.Key}
	createdAt := creationTime(name.id)
	k := r.keys.byName[name]
	mine := k != nil && k.local != nil && k.local.claim == claim && !k.local.running
	if !r.inClaimWindow(createdAt, at) {
		if mine {
			r.refuseAll(k, r.expiredKind(createdAt), "the claim came outside the window of the key")
		}
		return
	}
	k = r.keys.getOrCreate(name, createdAt)
	if k.ended || k.holder != (claimID{}) || k.isSpent(claim) {
		r.handleClaimLost(k, claim, mine)
		return
	}
	otherOrder := k.digest != "" && k.digest != i.Digest
	k.holder, k.digest = claim, i.Digest
	switch {
	case mine:
		r.handleClaimWon(k, at)
	case claim.owner == r.self:
		r.release(name, claim)
	case k.local != nil && otherOrder:
		r.refuseAll(k, rail.KindKeyReused, "the key was used for another order")
	}
}

// handleClaimLost records a claim that does not become the holder of its key; calls keep waiting for the holder's outcome.
func (r *Reducer) handleClaimLost(k *key, claim claimID, mine bool) {
	if k.holder == claim {
		return
	}
	if !k.ended && !k.isSpent(claim) {
		k.spentClaims = append(k.spentClaims, claim)
	}
	if mine {
		k.local.claim, k.local.item = claimID{}, nil
	}
}

// handleClaimWon dispatches the order if a call still waits for it and no record of the window before the claim was missed.
func (r *Reducer) handleClaimWon(k *key, at time.Time) {
	r.refuseLateCalls(k)
	switch {
	case k.local == nil:
		r.release(k.name, k.holder)
	case !r.log.covers(at.Add(-r.settings.window - maxKeySkew)):
		r.refuseAll(k, rail.KindNotReady, "the log of the last key window is not read yet")
		r.release(k.name, k.holder)
	default:
		r.dispatchKey(k)
	}
}

// applyRelease frees the key if the claim holds it; if calls wait for the key, a new claim is queued.
func (r *Reducer) applyRelease(claim claimID, i *item) {
	k, ok := r.keys.byName[keyName{team: i.Team, id: *i.Key}]
	if !ok || k.ended || k.holder != claim {
		return
	}
	k.holder = claimID{}
	k.spentClaims = append(k.spentClaims, claim)
	switch {
	case k.local == nil || k.local.claim != (claimID{}):
	case r.handover.sealed:
		r.refuseAll(k, rail.KindLeaving, "this entry is leaving and takes no orders")
	default:
		r.enqueueClaim(k)
	}
}

// applyKeyOutcome records the outcome of the order of a key; only the holder of the key appends it.
func (r *Reducer) applyKeyOutcome(claim claimID, i *item) {
	name := keyName{team: i.Team, id: *i.Key}
	createdAt := creationTime(name.id)
	if r.keys.forgotten(createdAt, r.log.lastTime) {
		return
	}
	k := r.keys.getOrCreate(name, createdAt)
	if k.ended || (k.local != nil && k.local.running) {
		return
	}
	sameOrder := k.digest == "" || k.digest == i.Digest
	k.ended, k.outcome, k.holder, k.digest, k.spentClaims = true, i.outcome(), claim, i.Digest, nil
	switch local := k.local; {
	case local == nil:
	case !sameOrder:
		r.refuseAll(k, rail.KindKeyReused, "the key was used for another order")
	default:
		r.abandon(k)
		for _, c := range local.calls {
			r.replay(c, k.outcome)
		}
	}
}

// applyTicketOutcome records the outcome of a ticket whose order ran at another entry.
func (r *Reducer) applyTicketOutcome(i *item) {
	t, ok := r.tickets.byName[i.Ticket]
	switch {
	case !ok:
		r.tickets.remoteOutcomes.put(i.Ticket, remoteOutcome{team: i.Team, digest: i.Digest, outcome: i.outcome()})
	case t.runningAt != "" && t.phase == PhaseRunning:
		r.recordRemoteOutcome(t, PhaseEnded, i.outcome())
	}
}

// refuseAll refuses all calls that wait for the key and abandons the claim.
func (r *Reducer) refuseAll(k *key, kind rail.Kind, message string) {
	for _, c := range k.local.calls {
		r.refuse(c, kind, message)
	}
	r.abandon(k)
}

// markLog requests an empty record if no record was read since the timer last fired, so that a newly started entry can determine that
// it has read a full window.
func (r *Reducer) markLog() {
	if r.log.started && !r.log.readSinceMark && !r.log.unavailable && !r.handover.sealed {
		r.outbox.flushDue = true
		r.outbox.markDue = true
	}
	r.log.readSinceMark = false
	r.emit(rail.NewSetTimer(markTimer, r.settings.window/marksPerWindow))
}
