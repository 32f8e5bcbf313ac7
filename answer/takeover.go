package answer

import (
	"strconv"

	"dandelionrail.org/rail"
)

// takeOver takes in the requests of a leaving entry; taking them again changes nothing.
func (p *Reducer) takeOver(in rail.Input, e HandoverReceived) []rail.Effect {
	if kind := p.refusal(e); kind != rail.KindNone {
		return []rail.Effect{
			NewHandoverResponse(e.call, kind),
			rail.NewReport(rail.EventHandoverRefused, string(e.call), string(kind)),
		}
	}
	var effects []rail.Effect
	for _, t := range e.transfers {
		effects = append(effects, p.takeOne(in, t)...)
	}
	return append(effects,
		NewHandoverResponse(e.call, rail.KindNone),
		rail.NewReport(rail.EventHandoverAccepted, string(e.call), strconv.Itoa(len(e.transfers))+" requests"))
}

// refusal returns why the requests can't be taken, all or none.
func (p *Reducer) refusal(e HandoverReceived) rail.Kind {
	if p.leave.started {
		return rail.KindLeaving
	}
	for _, t := range e.transfers {
		if _, ok := p.document.Route(t.request.Route()); !ok && !t.answer.done {
			return rail.KindNotReady
		}
	}
	return rail.KindNone
}

func (p *Reducer) takeOne(in rail.Input, t Transfer) []rail.Effect {
	f, known := p.requests[t.request.ID()]
	switch {
	case t.answer.done && known && f.standby:
		effects := p.stop(f)
		return append(effects, p.finish(in, f, t.answer.kind, t.answer.reply)...)
	case t.answer.done:
		return nil
	case known && !f.standby:
		return nil
	case !known:
		route, _ := p.document.Route(t.request.Route())
		f = &inFlight{request: t.request, route: route, standby: true, mayRun: true}
		p.requests[f.id()] = f
	}
	f.attempt = max(f.attempt, t.attempt)
	f.preferred = t.upstream
	f.offset = max(f.offset, len(t.answer.tokens))
	if t.wait <= 0 {
		return p.start(in, f)
	}
	f.startAt = in.At().Add(t.wait)
	return p.arm(in, f)
}
