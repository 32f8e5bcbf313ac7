package order

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const claimLate = "the claim was not read back from the log in time; a new order can be sent with a ticket, a retry cannot"

// attempt is this entry's wish to run the order of a key.
type attempt struct {
	claim   claimID // zero while another entry holds the key
	item    *item
	calls   []rail.RequestID
	wanted  map[rail.RequestID]wanted // the calls, until the order runs
	running bool
}

// wanted is a request that may be dispatched until its limit.
type wanted struct {
	request rail.Request
	until   time.Time
}

// wait is the limit of one call that waits for a claim or for another entry's outcome.
type wait struct {
	at   time.Time
	call rail.RequestID
	key  keyName
}

// submitKey claims the key of an order, or answers with what is known of it.
func (p *Reducer) submitKey(r rail.Request) {
	id, birth, ok := parseKey(r.Key())
	if !ok {
		p.refuse(r.ID(), rail.KindBadRequest, "the idempotency key is no UUID of version 7")
		return
	}
	name := keyName{team: r.Team(), id: id}
	k := p.keys.byName[name]
	digest := digestOf(r)
	switch {
	case k == nil:
	case k.digest != "" && k.digest != digest:
		p.refuse(r.ID(), rail.KindKeyReused, "the key was used for another order")
		return
	case k.ended:
		p.replay(r.ID(), k.outcome)
		return
	case k.attempt != nil || k.holder != (claimID{}):
		p.join(k, r)
		return
	}
	if kind, message := p.claimFault(birth); kind != rail.KindNone {
		p.refuse(r.ID(), kind, message)
		return
	}
	k = p.keys.get(name, birth)
	k.digest = digest
	p.join(k, r)
	p.claim(k)
}

// claimFault returns why no claim can be made for a free key of this birth.
func (p *Reducer) claimFault(birth time.Time) (rail.Kind, string) {
	s := p.settings
	switch {
	case p.log.last.After(birth.Add(s.window)):
		return p.expired(birth), "the key is older than the window for claims"
	case birth.After(p.now.Add(s.window)):
		return rail.KindKeyExpired, "the key was born in the future"
	case p.handover.sealed:
		return rail.KindLeaving, "this entry is leaving and takes no orders"
	case p.log.away:
		return rail.KindPlatformUnavailable, "the log that keys are claimed in is away; a new order can be sent with a ticket, a retry cannot"
	case !p.log.ready(s):
		return rail.KindNotReady, "the log of the last key window is not read yet"
	case p.full():
		return rail.KindOutcomesFull, "no room to keep the outcome of another order"
	}
	return rail.KindNone, ""
}

// expired tells a key that surely never ran from one that is older than the records read.
func (p *Reducer) expired(birth time.Time) rail.Kind {
	if p.log.covers(birth.Add(-keySkew)) && !p.keys.forgotten(birth, p.log.last) {
		return rail.KindKeyExpired
	}
	return rail.KindKeyForgotten
}

// join adds a call to those that wait for the key; only calls of an order that does not run here have a limit.
func (p *Reducer) join(k *key, r rail.Request) {
	if k.attempt == nil {
		k.attempt = &attempt{wanted: map[rail.RequestID]wanted{}}
	}
	k.attempt.calls = appendNew(k.attempt.calls, r.ID())
	if k.attempt.running {
		return
	}
	timeout := p.settings.claimTimeoutOf(p.entries)
	until := p.now.Add(timeout)
	k.attempt.wanted[r.ID()] = wanted{request: r, until: until}
	p.keys.waits = append(p.keys.waits, wait{at: until, call: r.ID(), key: k.name})
	if len(p.keys.waits) == 1 {
		p.emit(rail.NewSetTimer(timerClaims, timeout))
	}
}

// claim queues a claim with a new id.
func (p *Reducer) claim(k *key) {
	k.attempt.item = p.enqueue(item{Type: itemClaim, Team: k.name.team, Key: &k.name.id, Digest: k.digest})
	k.attempt.claim = claimID{owner: p.me, sequence: k.attempt.item.ID}
}

// expireWaits refuses the calls that have waited too long; no claim of theirs is dispatched later.
func (p *Reducer) expireWaits() {
	ws := p.keys.waits
	for len(ws) > 0 && !ws[0].at.After(p.now) {
		if k, ok := p.keys.byName[ws[0].key]; ok && k.attempt != nil && !k.attempt.running {
			kind, message := rail.KindPlatformUnavailable, claimLate
			if k.holder != (claimID{}) {
				kind, message = rail.KindKeyPending, "another request with this key is in progress"
			}
			p.giveUp(k, ws[0].call, kind, message)
		}
		ws = ws[1:]
	}
	p.keys.waits = ws
	if len(ws) > 0 {
		p.emit(rail.NewSetTimer(timerClaims, ws[0].at.Sub(p.now)))
	}
}

// giveUp refuses one call of an order that does not run here.
func (p *Reducer) giveUp(k *key, call rail.RequestID, kind rail.Kind, message string) {
	a := k.attempt
	if _, ok := a.wanted[call]; !ok {
		return
	}
	delete(a.wanted, call)
	a.calls = without(a.calls, call)
	p.refuse(call, kind, message)
	if len(a.calls) == 0 {
		p.abandon(k)
	}
}

// dropLate refuses the calls whose limit has passed, also if the timer has not fired yet.
func (p *Reducer) dropLate(k *key) {
	for _, c := range slices.Clone(k.attempt.calls) {
		w := k.attempt.wanted[c]
		deadline := w.request.Deadline()
		if !p.now.Before(w.until) || (!deadline.IsZero() && !p.now.Before(deadline)) {
			p.giveUp(k, c, rail.KindPlatformUnavailable, claimLate)
		}
		if k.attempt == nil {
			return
		}
	}
}

// abandon ends this entry's attempt; a claim that shows up in the log all the same is released then.
func (p *Reducer) abandon(k *key) {
	if k.attempt.item != nil {
		k.attempt.item.dropped = true
		p.report(rail.EventClaimAbandoned, k.name.id.String(), "")
	}
	k.attempt = nil
	if !k.fromLog() {
		delete(p.keys.byName, k.name)
	}
}

// runKey is the only place that lets the order of a key be dispatched; the claim was read back as the holder.
func (p *Reducer) runKey(k *key) {
	a := k.attempt
	r := a.wanted[a.calls[0]].request
	a.running, a.wanted, a.item = true, nil, nil
	p.running[r.ID()] = subject{key: k.name}
	p.report(rail.EventOrderClaimed, string(r.ID()), k.name.id.String())
	p.emit(Proceed{request: r})
}

// endKey records the outcome of an order that ran here, or releases its claim if it did not run.
func (p *Reducer) endKey(name keyName, o Outcome) {
	k := p.keys.byName[name]
	calls := k.attempt.calls
	k.attempt = nil
	if o.notRun() {
		p.release(k.name, k.holder)
	} else {
		k.ended, k.outcome = true, o.kept()
		p.enqueue(newKeyOutcome(k))
	}
	p.answerAll(calls, o)
}

// release frees the key for a new claim once the release is in the log.
func (p *Reducer) release(name keyName, claim claimID) {
	p.report(rail.EventOrderReleased, name.id.String(), "")
	p.enqueue(item{Type: itemRelease, Claim: claim.sequence, Team: name.team, Key: &name.id})
}

func without(calls []rail.RequestID, call rail.RequestID) []rail.RequestID {
	return slices.DeleteFunc(calls, func(c rail.RequestID) bool { return c == call })
}
