package answer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	// handoverTargetBytes is the estimated size from which on no further request is added to a handover.
	handoverTargetBytes = 256 << 10
	// maxHandoversInFlight is how many handovers may be unanswered at once.
	maxHandoversInFlight = 8
)

// batch is the content of one handover.
type batch struct {
	ids   []rail.RequestID
	ended []Transfer
}

// restartRound starts a new round at once; late answers to the old one are ignored.
func (r *Reducer) restartRound(in rail.Input) []rail.Effect {
	l := &r.leave
	for _, sequence := range slices.Sorted(maps.Keys(l.batches)) {
		l.ended = append(l.ended, l.batches[sequence].ended...)
	}
	l.batches, l.pending = nil, nil
	return r.startRound(in)
}

// startRound starts a round of handovers to one successor unless one is in progress.
func (r *Reducer) startRound(in rail.Input) []rail.Effect {
	l := &r.leave
	if !l.reclaim || len(l.batches) > 0 || (len(r.requests) == 0 && len(l.ended) == 0) {
		return nil
	}
	if l.successor.ID() == "" && !r.chooseSuccessor(in) {
		l.ended = nil
		effects := append(r.resumeStopped(in), r.checkDrained(in)...)
		return append(effects, rail.NewSetTimer(handoverTimer, r.settings.handoverInterval))
	}
	l.roundRequested = false
	if len(l.pending) == 0 {
		l.pending = r.requestsByUrgency(in.At())
	}
	return r.sendBatches(in)
}

// requestRound starts a round now, or right after the one in progress.
func (r *Reducer) requestRound(in rail.Input) []rail.Effect {
	r.leave.roundRequested = true
	return r.startRound(in)
}

// requestsByUrgency returns the requests to hand over, the most urgent first.
func (r *Reducer) requestsByUrgency(now time.Time) []rail.RequestID {
	requests := make([]*inFlight, 0, len(r.requests))
	for _, f := range r.requests {
		if f.repeatable() {
			requests = append(requests, f)
		}
	}
	slices.SortFunc(requests, func(a, b *inFlight) int { return r.compareUrgency(now, a, b) })
	ids := make([]rail.RequestID, len(requests))
	for i, f := range requests {
		ids[i] = f.id()
	}
	return ids
}

// compareUrgency puts requests that can't end here first, then those of higher priority, then those of earlier deadline.
func (r *Reducer) compareUrgency(now time.Time, a, b *inFlight) int {
	return cmp.Or(
		cmp.Compare(r.localRunTime(now, a), r.localRunTime(now, b)),
		cmp.Compare(b.request.Priority(), a.request.Priority()),
		compareDeadlines(a.request.Deadline(), b.request.Deadline()),
		strings.Compare(string(a.id()), string(b.id())),
	)
}

func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

// localRunTime returns how long the request may still run on this entry, zero if it must be handed over now.
func (r *Reducer) localRunTime(now time.Time, f *inFlight) time.Duration {
	limit := earliest(r.leave.cutoff, f.moveAt)
	if f.state != running || !now.Before(limit) || !f.expectedToEndBy(now, limit) {
		return 0
	}
	return limit.Sub(now)
}

// sendBatches sends the next requests of the round, up to maxHandoversInFlight batches at once.
func (r *Reducer) sendBatches(in rail.Input) []rail.Effect {
	l := &r.leave
	var effects []rail.Effect
	for len(l.batches) < maxHandoversInFlight && len(l.pending)+len(l.ended) > 0 {
		effects = append(effects, r.sendBatch(in)...)
	}
	if len(l.batches) > 0 {
		return effects
	}
	if l.roundRequested && l.successorConfirmed {
		return append(effects, r.startRound(in)...)
	}
	effects = append(effects, r.checkDrained(in)...)
	return append(effects, rail.NewSetTimer(handoverTimer, r.nextRoundDelay(in.At())))
}

// nextRoundDelay returns the time until the next round; one round starts exactly at the cutoff.
func (r *Reducer) nextRoundDelay(now time.Time) time.Duration {
	if left := r.leave.cutoff.Sub(now); left > 0 {
		return min(left, r.settings.handoverInterval)
	}
	return r.settings.handoverInterval
}

func (r *Reducer) sendBatch(in rail.Input) []rail.Effect {
	l := &r.leave
	l.sequence++
	b := batch{ended: l.ended}
	l.ended = nil
	transfers := slices.Clone(b.ended)
	var effects []rail.Effect
	size := 0
	for len(l.pending) > 0 && len(b.ids) < r.settings.maxHandoverRequests && size < handoverTargetBytes {
		f, ok := r.requests[l.pending[0]]
		l.pending = l.pending[1:]
		if !ok {
			continue
		}
		resumeDelay, stopping := r.prepareTransfer(in.At(), f)
		effects = append(effects, stopping...)
		f.copySent = true
		if f.state == stopped {
			f.sentInHandover = l.sequence
		}
		b.ids = append(b.ids, f.id())
		size += f.estimateTransferBytes()
		transfers = append(transfers, NewTransfer(f.request, f.attempt, resumeDelay).WithUpstream(f.resumeUpstream()))
	}
	if len(transfers) == 0 {
		return effects
	}
	if l.batches == nil {
		l.batches = map[int]batch{}
	}
	l.batches[l.sequence] = b
	detail := strconv.Itoa(len(transfers)) + " requests to " + string(l.successor.ID())
	return append(effects,
		NewHandOver(l.successor, l.sequence, transfers),
		rail.NewReport(rail.EventHandoverSent, "handover "+strconv.Itoa(l.sequence), detail))
}

// prepareTransfer returns the resume delay of the request's transfer and stops the request if it must be handed over now.
//
// A running request is stopped only after the successor has accepted a handover; before that, just a copy is sent.
func (r *Reducer) prepareTransfer(now time.Time, f *inFlight) (time.Duration, []rail.Effect) {
	l, delay := &r.leave, r.localRunTime(now, f)
	if delay == 0 && f.state != stopped && !l.successorConfirmed {
		l.roundRequested = true
		delay = max(l.cutoff.Sub(now), 0)
	} else if delay == 0 {
		return 0, r.stopForHandover(f)
	}
	// The successor must not resume before a later handover can have reported that the request ended or moved.
	return delay + 2*r.settings.handoverInterval, nil
}

// stopForHandover stops a request and increments its attempt number so that the store rejects every older attempt.
func (r *Reducer) stopForHandover(f *inFlight) []rail.Effect {
	if f.state == stopped {
		return nil
	}
	effects := r.cancelAttempt(f)
	f.state = stopped
	f.attempt++
	f.sentInHandover = 0
	return effects
}

// resumeStopped resumes the stopped requests here because no successor is left.
func (r *Reducer) resumeStopped(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	for _, f := range sortedByID(r.requests) {
		if f.state == stopped {
			effects = append(effects, r.startAttempt(in, f)...)
		}
	}
	return effects
}

func (r *Reducer) handleHandoverAnswered(in rail.Input, e HandoverAnswered) []rail.Effect {
	l := &r.leave
	b, ok := l.batches[e.sequence]
	if !ok {
		return nil
	}
	delete(l.batches, e.sequence)
	l.tries, l.successorConfirmed = 0, true
	var effects []rail.Effect
	for _, id := range b.ids {
		// If the request was stopped after this copy was sent, the copy lacks tokens that the store holds.
		if f, ok := r.requests[id]; ok && f.state == stopped && f.sentInHandover == e.sequence {
			r.removeRequest(f)
			effects = append(effects,
				NewMoved(id, l.successor),
				rail.NewReport(rail.EventAnswerMoved, string(id), "to "+string(l.successor.ID())))
		}
	}
	return append(effects, r.sendBatches(in)...)
}

func (r *Reducer) handleHandoverLost(in rail.Input, e HandoverLost) []rail.Effect {
	l := &r.leave
	if _, ok := l.batches[e.sequence]; !ok {
		return nil
	}
	effects := []rail.Effect{rail.NewReport(rail.EventHandoverLost, "handover "+strconv.Itoa(e.sequence), string(e.kind))}
	l.tries++
	if l.tries >= maxTriesPerSuccessor || e.kind == rail.KindLeaving || e.kind == rail.KindNotReady {
		l.failedSuccessors = append(l.failedSuccessors, l.successor.ID())
		l.dropSuccessor()
	}
	return append(effects, r.restartRound(in)...)
}
