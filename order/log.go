package order

import (
	"encoding/json"
	"time"

	"dandelionrail.org/rail"
)

// marksPerWindow is how often in one window a quiet log gets a record, by which a fresh entry sees how far back it has read.
const marksPerWindow = 4

// logView is how much of the log this entry has read without a gap.
type logView struct {
	started bool
	whole   bool      // from the first record ever
	since   time.Time // record time of the first record read
	next    rail.Offset
	last    time.Time // latest record time read
	away    bool
	told    bool // that keyed orders are taken
	busy    bool // records were read since the last mark
}

// covers reports whether all records since the time have been read.
func (v *logView) covers(since time.Time) bool {
	return v.whole || (!v.since.IsZero() && !v.since.After(since))
}

// ready reports whether claims can be made: a whole window has been read.
func (v *logView) ready(s Settings) bool {
	return v.covers(v.last.Add(-s.window - keySkew))
}

// readLog takes in records in log order.
func (p *Reducer) readLog(e rail.LogRead) {
	v := &p.log
	p.comeBack()
	p.checkGap(e)
	for _, r := range e.Records() {
		if r.Offset() < v.next {
			continue
		}
		v.next = r.Offset() + 1
		v.busy = true
		if v.since.IsZero() {
			v.since = r.At()
		}
		if r.At().After(v.last) {
			v.last = r.At()
		}
		if r.Kind() == rail.RecordClaims {
			p.readRecord(r)
		}
	}
	v.next = max(v.next, e.Next())
	p.keys.sweep(v.last)
	if !v.told && v.started && v.ready(p.settings) {
		v.told = true
		p.report(rail.EventKeysReady, "", "")
	}
}

// comeBack notes that the log answers again.
func (p *Reducer) comeBack() {
	if !p.log.away {
		return
	}
	p.log.away = false
	if len(p.outbox.queued) > 0 {
		p.planFlush()
	}
}

// checkGap starts the view anew if records were dropped before they were read.
func (p *Reducer) checkGap(e rail.LogRead) {
	v := &p.log
	first := e.Next()
	if len(e.Records()) > 0 {
		first = e.Records()[0].Offset()
	}
	switch {
	case !v.started:
		v.started = true
		v.whole = e.Oldest() <= p.settings.firstOffset && first <= p.settings.firstOffset
	case e.Oldest() > v.next:
		v.whole, v.since, v.told = false, time.Time{}, false
		p.report(rail.EventOrderLogGap, "", "")
	}
}

// readRecord takes in one group of items.
func (p *Reducer) readRecord(r rail.Record) {
	var b batch
	if err := json.Unmarshal(r.Body(), &b); err != nil {
		p.report(rail.EventOrderRecordBad, "read", err.Error())
		return
	}
	for _, i := range b.Items {
		if b.Owner == p.me {
			delete(p.outbox.sent, i.ID)
		}
		p.readItem(b.Owner, i, r.At())
	}
}

func (p *Reducer) readItem(owner rail.Incarnation, i *item, at time.Time) {
	switch {
	case i.Type == itemSuccessor:
		p.handover.successors.put(i.Of, owner)
	case i.Type == itemOutcome && i.Ticket != "":
		p.readTicketOutcome(i)
	case i.Key == nil || i.Key.Version() != keyVersion:
		p.report(rail.EventOrderRecordBad, "item", string(i.Type))
	case i.Type == itemClaim:
		p.readClaim(claimID{owner, i.ID}, i, at)
	case i.Type == itemRelease:
		p.readRelease(claimID{owner, i.Claim}, i)
	case i.Type == itemOutcome:
		p.readKeyOutcome(claimID{owner, i.Claim}, i)
	}
}

// inTime reports whether a claim of a key born then counts; all readers agree, as the time is the log's.
func (p *Reducer) inTime(birth, at time.Time) bool {
	return !birth.After(at.Add(keySkew)) && !at.After(birth.Add(p.settings.window))
}

// readClaim gives a free key to the claim; any later one loses.
func (p *Reducer) readClaim(claim claimID, i *item, at time.Time) {
	name := keyName{team: i.Team, id: *i.Key}
	birth := birthOf(name.id)
	k := p.keys.byName[name]
	mine := k != nil && k.attempt != nil && k.attempt.claim == claim && !k.attempt.running
	if !p.inTime(birth, at) {
		if mine {
			p.refuseAll(k, p.expired(birth), "the claim came outside the window of the key")
		}
		return
	}
	k = p.keys.get(name, birth)
	if k.ended || k.holder != (claimID{}) || k.saw(claim) {
		p.lose(k, claim, mine)
		return
	}
	other := k.digest != "" && k.digest != i.Digest
	k.holder, k.digest = claim, i.Digest
	switch {
	case mine:
		p.win(k, at)
	case claim.owner == p.me:
		p.release(name, claim)
	case k.attempt != nil && other:
		p.refuseAll(k, rail.KindKeyReused, "the key was used for another order")
	}
}

// lose notes a claim that came after another one; calls go on waiting for that one's outcome.
func (p *Reducer) lose(k *key, claim claimID, mine bool) {
	if k.holder == claim {
		return
	}
	if !k.ended && !k.saw(claim) {
		k.seen = append(k.seen, claim)
	}
	if mine {
		k.attempt.claim, k.attempt.item = claimID{}, nil
	}
}

// win lets the order run if a call still waits for it and nothing before the claim was missed.
func (p *Reducer) win(k *key, at time.Time) {
	p.dropLate(k)
	switch {
	case k.attempt == nil:
		p.release(k.name, k.holder)
	case !p.log.covers(at.Add(-p.settings.window - keySkew)):
		p.refuseAll(k, rail.KindNotReady, "the log of the last key window is not read yet")
		p.release(k.name, k.holder)
	default:
		p.runKey(k)
	}
}

// readRelease frees the key if the claim holds it; calls that wait for it claim anew.
func (p *Reducer) readRelease(claim claimID, i *item) {
	k, ok := p.keys.byName[keyName{team: i.Team, id: *i.Key}]
	if !ok || k.ended || k.holder != claim {
		return
	}
	k.holder = claimID{}
	k.seen = append(k.seen, claim)
	switch {
	case k.attempt == nil || k.attempt.claim != (claimID{}):
	case p.handover.sealed:
		p.refuseAll(k, rail.KindLeaving, "this entry is leaving and takes no orders")
	default:
		p.claim(k)
	}
}

// readKeyOutcome notes how the order of a key ended; only the holder of the key writes one.
func (p *Reducer) readKeyOutcome(claim claimID, i *item) {
	name := keyName{team: i.Team, id: *i.Key}
	birth := birthOf(name.id)
	if p.keys.forgotten(birth, p.log.last) {
		return
	}
	k := p.keys.get(name, birth)
	if k.ended || (k.attempt != nil && k.attempt.running) {
		return
	}
	same := k.digest == "" || k.digest == i.Digest
	k.ended, k.outcome, k.holder, k.digest, k.seen = true, i.outcome(), claim, i.Digest, nil
	switch a := k.attempt; {
	case a == nil:
	case !same:
		p.refuseAll(k, rail.KindKeyReused, "the key was used for another order")
	default:
		p.abandon(k)
		for _, c := range a.calls {
			p.replay(c, k.outcome)
		}
	}
}

// readTicketOutcome keeps the outcome of a ticket that ran at another entry.
func (p *Reducer) readTicketOutcome(i *item) {
	t, ok := p.tickets.byName[i.Ticket]
	switch {
	case !ok:
		p.tickets.records.put(i.Ticket, record{team: i.Team, digest: i.Digest, outcome: i.outcome()})
	case t.from != "" && t.phase == PhaseRunning:
		p.progress(t, PhaseEnded, i.outcome())
	}
}

// refuseAll refuses all calls that wait for the key and ends the attempt.
func (p *Reducer) refuseAll(k *key, kind rail.Kind, message string) {
	for _, c := range k.attempt.calls {
		p.refuse(c, kind, message)
	}
	p.abandon(k)
}

// markLog appends an empty group if nothing was read for a while, so that a fresh entry can tell that it has read a whole window.
func (p *Reducer) markLog() {
	if p.log.started && !p.log.busy && !p.log.away && !p.handover.sealed {
		p.outbox.due = true
		p.outbox.mark = true
	}
	p.log.busy = false
	p.emit(rail.NewSetTimer(timerMark, p.settings.window/marksPerWindow))
}
