package answer

import (
	"strconv"

	"dandelionrail.org/rail"
)

// handleHandoverReceived takes over the requests of a leaving entry; a repeated handover changes nothing.
func (r *Reducer) handleHandoverReceived(in rail.Input, e HandoverReceived) []rail.Effect {
	if kind := r.refusalKind(e); kind != rail.KindNone {
		return []rail.Effect{
			NewHandoverResponse(e.call, kind),
			rail.NewReport(rail.EventHandoverRefused, string(e.call), string(kind)),
		}
	}
	var effects []rail.Effect
	for _, t := range e.transfers {
		effects = append(effects, r.takeOverRequest(in, t)...)
	}
	return append(effects,
		NewHandoverResponse(e.call, rail.KindNone),
		rail.NewReport(rail.EventHandoverAccepted, string(e.call), strconv.Itoa(len(e.transfers))+" requests"))
}

// refusalKind returns why the handover is refused as a whole, KindNone if it is accepted.
func (r *Reducer) refusalKind(e HandoverReceived) rail.Kind {
	if r.leave.started {
		return rail.KindLeaving
	}
	for _, t := range e.transfers {
		if _, ok := r.document.Route(t.request.Route()); !ok && !t.answer.done {
			return rail.KindNotReady
		}
	}
	return rail.KindNone
}

func (r *Reducer) takeOverRequest(in rail.Input, t Transfer) []rail.Effect {
	f, known := r.requests[t.request.ID()]
	switch {
	case t.answer.done && known && f.standby:
		effects := r.cancelAttempt(f)
		return append(effects, r.finish(in, f, t.answer.kind, t.answer.reply)...)
	case t.answer.done:
		return nil
	case known && !f.standby:
		return nil
	case !known:
		route, _ := r.document.Route(t.request.Route())
		f = &inFlight{request: t.request, route: route, standby: true, mayHaveRun: true}
		r.requests[f.id()] = f
	}
	f.attempt = max(f.attempt, t.attempt)
	f.preferredUpstream = t.upstream
	f.offset = max(f.offset, len(t.answer.tokens))
	if t.resumeDelay <= 0 {
		return r.startAttempt(in, f)
	}
	f.startAt = in.At().Add(t.resumeDelay)
	return r.setRequestTimer(in, f)
}
