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
	// handoverBytes is the size at which a handover takes no further request.
	handoverBytes = 256 << 10
	// handoverWindow is how many handovers are sent without waiting for an answer.
	handoverWindow = 8
)

// batch is what one handover carries.
type batch struct {
	ids   []rail.RequestID
	ended []Transfer
}

// restart begins a new round at once; answers to the old one no longer count.
func (p *Reducer) restart(in rail.Input) []rail.Effect {
	l := &p.leave
	for _, sequence := range slices.Sorted(maps.Keys(l.batches)) {
		l.ended = append(l.ended, l.batches[sequence].ended...)
	}
	l.batches, l.pending = nil, nil
	return p.handOver(in)
}

// handOver starts a round of handovers to one successor unless one is under way.
func (p *Reducer) handOver(in rail.Input) []rail.Effect {
	l := &p.leave
	if !l.reclaim || len(l.batches) > 0 || (len(p.requests) == 0 && len(l.ended) == 0) {
		return nil
	}
	if l.successor.ID() == "" && !p.chooseSuccessor(in) {
		l.ended = nil
		effects := append(p.unseal(in), p.drained(in)...)
		return append(effects, rail.NewSetTimer(handoverTimer, p.settings.handoverEvery))
	}
	l.again = false
	if len(l.pending) == 0 {
		l.pending = p.urgent(in.At())
	}
	return p.sendBatches(in)
}

// handOverSoon starts a round now, or right after the one under way.
func (p *Reducer) handOverSoon(in rail.Input) []rail.Effect {
	p.leave.again = true
	return p.handOver(in)
}

// urgent returns the requests to hand over, the most urgent first.
func (p *Reducer) urgent(now time.Time) []rail.RequestID {
	fs := make([]*inFlight, 0, len(p.requests))
	for _, f := range p.requests {
		if f.repeatable() {
			fs = append(fs, f)
		}
	}
	slices.SortFunc(fs, func(a, b *inFlight) int { return p.compare(now, a, b) })
	ids := make([]rail.RequestID, len(fs))
	for i, f := range fs {
		ids[i] = f.id()
	}
	return ids
}

// compare puts requests that can't end here first, then those of higher priority and earlier deadline.
func (p *Reducer) compare(now time.Time, a, b *inFlight) int {
	return cmp.Or(
		cmp.Compare(p.stay(now, a), p.stay(now, b)),
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

// stay returns how long the request may still end here, zero if it must go now.
func (p *Reducer) stay(now time.Time, f *inFlight) time.Duration {
	limit := earliest(p.leave.cutoff, f.moveAt)
	if f.state != running || !now.Before(limit) || !f.endsBy(now, limit) {
		return 0
	}
	return limit.Sub(now)
}

// sendBatches sends the next requests of the round, some batches at once.
func (p *Reducer) sendBatches(in rail.Input) []rail.Effect {
	l := &p.leave
	var effects []rail.Effect
	for len(l.batches) < handoverWindow && len(l.pending)+len(l.ended) > 0 {
		effects = append(effects, p.sendBatch(in)...)
	}
	if len(l.batches) > 0 {
		return effects
	}
	if l.again && l.proven {
		return append(effects, p.handOver(in)...)
	}
	effects = append(effects, p.drained(in)...)
	return append(effects, rail.NewSetTimer(handoverTimer, p.nextRound(in.At())))
}

// nextRound returns the time until the next round, of which one begins just when nothing may end here any more.
func (p *Reducer) nextRound(now time.Time) time.Duration {
	if left := p.leave.cutoff.Sub(now); left > 0 {
		return min(left, p.settings.handoverEvery)
	}
	return p.settings.handoverEvery
}

func (p *Reducer) sendBatch(in rail.Input) []rail.Effect {
	l := &p.leave
	l.sequence++
	b := batch{ended: l.ended}
	l.ended = nil
	transfers := slices.Clone(b.ended)
	var effects []rail.Effect
	size := 0
	for len(l.pending) > 0 && len(b.ids) < p.settings.handoverBatch && size < handoverBytes {
		f, ok := p.requests[l.pending[0]]
		l.pending = l.pending[1:]
		if !ok {
			continue
		}
		stay, sealing := p.stayOrSeal(in.At(), f)
		effects = append(effects, sealing...)
		f.copied = true
		if f.state == sealed {
			f.sentIn = l.sequence
		}
		b.ids = append(b.ids, f.id())
		size += f.size()
		transfers = append(transfers, NewTransfer(f.request, f.attempt, stay).WithUpstream(f.warmUpstream()))
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

// stayOrSeal stops a request that must go; to a successor that has taken nothing yet only a copy is sent.
func (p *Reducer) stayOrSeal(now time.Time, f *inFlight) (time.Duration, []rail.Effect) {
	l, stay := &p.leave, p.stay(now, f)
	if stay == 0 && f.state != sealed && !l.proven {
		l.again = true
		stay = max(l.cutoff.Sub(now), 0)
	} else if stay == 0 {
		return 0, p.seal(f)
	}
	// The successor must not start before it can have been told that the request ended or moved.
	return stay + 2*p.settings.handoverEvery, nil
}

// seal stops a request; its attempt number then bars every older attempt from the store.
func (p *Reducer) seal(f *inFlight) []rail.Effect {
	if f.state == sealed {
		return nil
	}
	effects := p.stop(f)
	f.state = sealed
	f.attempt++
	f.sentIn = 0
	return effects
}

// unseal resumes sealed requests here because no successor can be reached.
func (p *Reducer) unseal(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	for _, f := range sorted(p.requests) {
		if f.state == sealed {
			effects = append(effects, p.start(in, f)...)
		}
	}
	return effects
}

func (p *Reducer) handoverAnswered(in rail.Input, e HandoverAnswered) []rail.Effect {
	l := &p.leave
	b, ok := l.batches[e.sequence]
	if !ok {
		return nil
	}
	delete(l.batches, e.sequence)
	l.tries, l.proven = 0, true
	var effects []rail.Effect
	for _, id := range b.ids {
		// A request that was stopped after its copy was sent has tokens that the copy lacks.
		if f, ok := p.requests[id]; ok && f.state == sealed && f.sentIn == e.sequence {
			p.forget(f)
			effects = append(effects,
				NewMoved(id, l.successor),
				rail.NewReport(rail.EventAnswerMoved, string(id), "to "+string(l.successor.ID())))
		}
	}
	return append(effects, p.sendBatches(in)...)
}

func (p *Reducer) handoverLost(in rail.Input, e HandoverLost) []rail.Effect {
	l := &p.leave
	if _, ok := l.batches[e.sequence]; !ok {
		return nil
	}
	effects := []rail.Effect{rail.NewReport(rail.EventHandoverLost, "handover "+strconv.Itoa(e.sequence), string(e.kind))}
	l.tries++
	if l.tries >= triesOfSuccessor || e.kind == rail.KindLeaving || e.kind == rail.KindNotReady {
		l.failed = append(l.failed, l.successor.ID())
		l.drop()
	}
	return append(effects, p.restart(in)...)
}
