package order

import (
	"slices"
	"time"

	"dandelionrail.org/rail"
)

const claimTimeoutMessage = "the claim was not read back from the log in time; a new order can be sent with a ticket, a retry cannot"

// localOrder holds the calls at this entry for the order of a key, and this entry's claim of the key.
type localOrder struct {
	claim      claimID // zero while another claim holds the key
	item       *item
	calls      []rail.RequestID
	candidates map[rail.RequestID]candidate // the requests of calls; nil once the order runs
	running    bool
}

// candidate is a request that may be dispatched until it expires.
type candidate struct {
	request   rail.Request
	expiresAt time.Time
}

// callTimeout is the time limit of one call that waits for a claim or for the outcome at another entry.
type callTimeout struct {
	at   time.Time
	call rail.RequestID
	key  keyName
}

// submitKey claims the key of an order, or handles the call by the known state of the key.
func (r *Reducer) submitKey(req rail.Request) {
	id, createdAt, ok := parseKey(req.Key())
	if !ok {
		r.refuse(req.ID(), rail.KindBadRequest, "the idempotency key is no UUID of version 7")
		return
	}
	name := keyName{team: req.Team(), id: id}
	k := r.keys.byName[name]
	digest := digestOf(req)
	switch {
	case k == nil:
	case k.digest != "" && k.digest != digest:
		r.refuse(req.ID(), rail.KindKeyReused, "the key was used for another order")
		return
	case k.ended:
		r.replay(req.ID(), k.outcome)
		return
	case k.local != nil || k.holder != (claimID{}):
		r.addCall(k, req)
		return
	}
	if kind, message := r.claimRefusal(createdAt); kind != rail.KindNone {
		r.refuse(req.ID(), kind, message)
		return
	}
	k = r.keys.getOrCreate(name, createdAt)
	k.digest = digest
	r.addCall(k, req)
	r.enqueueClaim(k)
}

// claimRefusal returns why a free key with this creation time cannot be claimed, rail.KindNone if it can.
func (r *Reducer) claimRefusal(createdAt time.Time) (rail.Kind, string) {
	s := r.settings
	switch {
	case r.log.lastTime.After(createdAt.Add(s.window)):
		return r.expiredKind(createdAt), "the key is older than the window for claims"
	case createdAt.After(r.now.Add(s.window)):
		return rail.KindKeyExpired, "the key was born in the future"
	case r.handover.sealed:
		return rail.KindLeaving, "this entry is leaving and takes no orders"
	case r.log.unavailable:
		return rail.KindPlatformUnavailable, "the log that keys are claimed in is away; a new order can be sent with a ticket, a retry cannot"
	case !r.log.ready(s):
		return rail.KindNotReady, "the log of the last key window is not read yet"
	case r.atOutcomeLimit():
		return rail.KindOutcomesFull, "no room to keep the outcome of another order"
	}
	return rail.KindNone, ""
}

// expiredKind returns KindKeyExpired if the order certainly never ran, and KindKeyForgotten if the key is older than the records read.
func (r *Reducer) expiredKind(createdAt time.Time) rail.Kind {
	if r.log.covers(createdAt.Add(-maxKeySkew)) && !r.keys.forgotten(createdAt, r.log.lastTime) {
		return rail.KindKeyExpired
	}
	return rail.KindKeyForgotten
}

// addCall adds a call to those that wait for the key; a call has a time limit only if the order is not running here.
func (r *Reducer) addCall(k *key, req rail.Request) {
	if k.local == nil {
		k.local = &localOrder{candidates: map[rail.RequestID]candidate{}}
	}
	k.local.calls = appendUnique(k.local.calls, req.ID())
	if k.local.running {
		return
	}
	timeout := r.settings.claimTimeoutFor(r.entryCount)
	expiresAt := r.now.Add(timeout)
	k.local.candidates[req.ID()] = candidate{request: req, expiresAt: expiresAt}
	r.keys.callTimeouts = append(r.keys.callTimeouts, callTimeout{at: expiresAt, call: req.ID(), key: k.name})
	if len(r.keys.callTimeouts) == 1 {
		r.emit(rail.NewSetTimer(claimsTimer, timeout))
	}
}

// enqueueClaim queues a claim with a new id.
func (r *Reducer) enqueueClaim(k *key) {
	k.local.item = r.enqueue(item{Type: itemClaim, Team: k.name.team, Key: &k.name.id, Digest: k.digest})
	k.local.claim = claimID{owner: r.self, sequence: k.local.item.ID}
}

// refuseTimedOutCalls refuses the calls that have exceeded their time limit; their requests are not dispatched later.
func (r *Reducer) refuseTimedOutCalls() {
	timeouts := r.keys.callTimeouts
	for len(timeouts) > 0 && !timeouts[0].at.After(r.now) {
		if k, ok := r.keys.byName[timeouts[0].key]; ok && k.local != nil && !k.local.running {
			kind, message := rail.KindPlatformUnavailable, claimTimeoutMessage
			if k.holder != (claimID{}) {
				kind, message = rail.KindKeyPending, "another request with this key is in progress"
			}
			r.refuseCall(k, timeouts[0].call, kind, message)
		}
		timeouts = timeouts[1:]
	}
	r.keys.callTimeouts = timeouts
	if len(timeouts) > 0 {
		r.emit(rail.NewSetTimer(claimsTimer, timeouts[0].at.Sub(r.now)))
	}
}

// refuseCall refuses one call of an order that is not running here.
func (r *Reducer) refuseCall(k *key, call rail.RequestID, kind rail.Kind, message string) {
	local := k.local
	if _, ok := local.candidates[call]; !ok {
		return
	}
	delete(local.candidates, call)
	local.calls = removeCall(local.calls, call)
	r.refuse(call, kind, message)
	if len(local.calls) == 0 {
		r.abandon(k)
	}
}

// refuseLateCalls refuses the calls whose time limit or deadline has passed, even if the timer has not fired yet.
func (r *Reducer) refuseLateCalls(k *key) {
	for _, c := range slices.Clone(k.local.calls) {
		waiting := k.local.candidates[c]
		deadline := waiting.request.Deadline()
		if !r.now.Before(waiting.expiresAt) || (!deadline.IsZero() && !r.now.Before(deadline)) {
			r.refuseCall(k, c, rail.KindPlatformUnavailable, claimTimeoutMessage)
		}
		if k.local == nil {
			return
		}
	}
}

// abandon drops the calls and the claim of this entry; if the claim is read from the log later, it is released then.
func (r *Reducer) abandon(k *key) {
	if k.local.item != nil {
		k.local.item.dropped = true
		r.report(rail.EventClaimAbandoned, k.name.id.String(), "")
	}
	k.local = nil
	if !k.inLog() {
		delete(r.keys.byName, k.name)
	}
}

// dispatchKey is the only function that dispatches the order of a key; the entry's own claim must have been read back as the holder.
func (r *Reducer) dispatchKey(k *key) {
	local := k.local
	req := local.candidates[local.calls[0]].request
	local.running, local.candidates, local.item = true, nil, nil
	r.running[req.ID()] = orderID{key: k.name}
	r.report(rail.EventOrderClaimed, string(req.ID()), k.name.id.String())
	r.emit(Proceed{request: req})
}

// endKey records the outcome of an order dispatched here, or releases its claim if the order did not run.
func (r *Reducer) endKey(name keyName, o Outcome) {
	k := r.keys.byName[name]
	calls := k.local.calls
	k.local = nil
	if o.notRun() {
		r.release(k.name, k.holder)
	} else {
		k.ended, k.outcome = true, o.retained()
		r.enqueue(newKeyOutcomeItem(k))
	}
	r.answerAll(calls, o)
}

// release appends a release of the claim; the key is free for a new claim once the release is read from the log.
func (r *Reducer) release(name keyName, claim claimID) {
	r.report(rail.EventOrderReleased, name.id.String(), "")
	r.enqueue(item{Type: itemRelease, Claim: claim.sequence, Team: name.team, Key: &name.id})
}

func removeCall(calls []rail.RequestID, call rail.RequestID) []rail.RequestID {
	return slices.DeleteFunc(calls, func(c rail.RequestID) bool { return c == call })
}
