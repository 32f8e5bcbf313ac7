package answer

import (
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

const (
	requestTimer  = "answer.request/"
	drainTimer    = "answer.drain"
	handoverTimer = "answer.handover"
)

// Budget decides whether a team may spend one more retry.
type Budget interface {
	// Retry reports whether the team may retry a request now; the retry counts as spent.
	Retry(team rail.TeamName) bool
}

// Reducer is the reducer of the requests in progress.
type Reducer struct {
	settings  Settings
	domain    rail.Domain
	directory rail.Directory
	chooser   rail.Chooser
	picker    rail.VersionPicker
	budget    Budget
	backlog   Backlog
	members   Members

	requests   map[rail.RequestID]*inFlight
	byUpstream map[rail.InstanceID]map[rail.RequestID]*inFlight
	document   rail.Document
	entries    []rail.Instance
	gone       map[rail.InstanceID]bool
	leave      leave
	drawn      uint64
}

// New returns the part without requests.
func New(settings Settings, domain rail.Domain, directory rail.Directory, chooser rail.Chooser, picker rail.VersionPicker) *Reducer {
	return &Reducer{
		settings: settings, domain: domain, directory: directory, chooser: chooser, picker: picker,
		requests:   map[rail.RequestID]*inFlight{},
		byUpstream: map[rail.InstanceID]map[rail.RequestID]*inFlight{},
		gone:       map[rail.InstanceID]bool{},
	}
}

// Backlog counts the requests that the entry has taken in and not yet handed to this part.
type Backlog interface {
	// Waiting returns the number of such requests.
	Waiting() int
}

// UseBacklog makes a leaving entry wait for the requests of the backlog as well.
func (p *Reducer) UseBacklog(b Backlog) { p.backlog = b }

// Members knows the other entries, also while the platform's list cannot be read.
type Members interface {
	// Peers returns the other entries that are not leaving, in order of their ids.
	Peers() []rail.Instance
}

// UseMembers makes successors come from the members in place of the list last read.
func (p *Reducer) UseMembers(m Members) { p.members = m }

// UseBudget makes retries after failures subject to the budget.
func (p *Reducer) UseBudget(b Budget) { p.budget = b }

// InProgress returns the number of requests in progress.
func (p *Reducer) InProgress() int { return len(p.requests) }

// Reduce implements rail.Part.
func (p *Reducer) Reduce(in rail.Input) []rail.Effect {
	switch e := in.Event().(type) {
	case Accepted:
		return p.accept(in, e)
	case Marked:
		return p.mark(in, e)
	case Ended:
		return p.end(in, e)
	case Replied:
		return p.reply(in, e)
	case Failed:
		return p.failed(in, e)
	case Cancelled:
		return p.cancel(in, e)
	case Detached:
		return p.detach(in, e)
	case Attached:
		return p.attach(in, e)
	case HandoverReceived:
		return p.takeOver(in, e)
	case HandoverAnswered:
		return p.handoverAnswered(in, e)
	case HandoverLost:
		return p.handoverLost(in, e)
	case rail.TimerFired:
		return p.timer(in, e)
	case rail.InstanceLeaving:
		return p.instanceLeaving(in, e.Instance())
	case rail.ListRead:
		return p.listRead(in, e)
	case rail.DocumentInForce:
		p.document = e.Document()
	case rail.ShutdownStarted:
		return p.shutdown(in, e)
	}
	return nil
}

func (p *Reducer) accept(in rail.Input, e Accepted) []rail.Effect {
	id := e.request.ID()
	if _, ok := p.requests[id]; ok {
		return nil
	}
	// What the entry took in before may have waited for its team's turn since.
	if p.leave.refuses(e.request.At()) {
		return []rail.Effect{NewFinished(id, rail.KindLeaving, rail.ServiceReply{})}
	}
	p.leave.drained = false
	f := &inFlight{request: e.request, route: e.route}
	p.requests[id] = f
	if p.leave.reclaim && f.repeatable() {
		return append(p.seal(f), p.handOverSoon(in)...)
	}
	return p.start(in, f)
}

func (p *Reducer) mark(in rail.Input, e Marked) []rail.Effect {
	f, ok := p.current(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.offset = max(f.offset, e.offset)
	f.marked = in.At()
	if f.paceAt.IsZero() {
		f.paceAt, f.paceOffset = in.At(), f.offset
	}
	f.waitingSince, f.refusals = time.Time{}, 0
	return p.arm(in, f)
}

func (p *Reducer) end(in rail.Input, e Ended) []rail.Effect {
	f, ok := p.current(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.usage = sum(f.usage, e.usage)
	return p.finish(in, f, rail.KindNone, rail.ServiceReply{})
}

func (p *Reducer) reply(in rail.Input, e Replied) []rail.Effect {
	f, ok := p.current(e.request, e.attempt)
	if !ok {
		return nil
	}
	return p.finish(in, f, rail.KindNone, e.reply)
}

func (p *Reducer) failed(in rail.Input, e Failed) []rail.Effect {
	f, ok := p.current(e.request, e.attempt)
	if !ok {
		return nil
	}
	f.offset = max(f.offset, e.offset)
	var effects []rail.Effect
	if f.route.Kind() == rail.RouteModel && e.kind.Reply().Run() != rail.NotRun {
		// Its connection broke, but the engine may not have noticed and go on.
		effects = append(effects, rail.NewCancelAttempt(f.id(), f.attempt, f.upstream))
	}
	return append(effects, p.retry(in, f, e.kind)...)
}

func (p *Reducer) cancel(in rail.Input, e Cancelled) []rail.Effect {
	f, ok := p.requests[e.request]
	// A request that may not be repeated runs to its end, so that its outcome is known.
	if !ok || !f.repeatable() {
		return nil
	}
	effects := p.stop(f)
	return append(effects, p.finish(in, f, rail.KindCancelled, rail.ServiceReply{})...)
}

func (p *Reducer) detach(in rail.Input, e Detached) []rail.Effect {
	f, ok := p.requests[e.request]
	if !ok || !f.repeatable() {
		return nil
	}
	f.detached = in.At()
	return p.arm(in, f)
}

func (p *Reducer) attach(in rail.Input, e Attached) []rail.Effect {
	f, ok := p.requests[e.request]
	if !ok {
		return nil
	}
	f.detached = time.Time{}
	if !f.standby {
		return nil
	}
	// The caller came here because its connection to the leaving entry broke.
	return p.start(in, f)
}

func (p *Reducer) timer(in rail.Input, e rail.TimerFired) []rail.Effect {
	switch e.Name() {
	case drainTimer:
		return p.drained(in)
	case handoverTimer:
		return p.handOver(in)
	}
	id, ok := strings.CutPrefix(string(e.Name()), requestTimer)
	if !ok {
		return nil
	}
	f, ok := p.requests[rail.RequestID(id)]
	if !ok {
		return nil
	}
	return p.check(in, f)
}

// check does what the request's timer is for.
func (p *Reducer) check(in rail.Input, f *inFlight) []rail.Effect {
	now, late := in.At(), time.Duration(0)
	if !f.timer.IsZero() {
		late = now.Sub(f.timer)
	}
	f.timer = time.Time{}
	// A process that was paused has not read the tokens that came meanwhile.
	if late > p.settings.betweenTokens/2 {
		f.marked = now
	}
	switch {
	case passed(f.request.Deadline(), now):
		return p.giveUp(in, f, rail.KindDeadlinePassed)
	case !f.detached.IsZero() && passed(f.detached.Add(p.settings.reconnect), now):
		return p.giveUp(in, f, rail.KindCancelled)
	case f.state == waiting && passed(f.startAt, now):
		return p.start(in, f)
	case f.state == running && passed(f.moveAt, now):
		return p.move(in, f)
	case f.state == running && passed(f.silentAt(p.settings), now):
		return append(p.stop(f), p.retry(in, f, rail.KindUpstreamSilent)...)
	}
	return p.arm(in, f)
}

// current returns the request if the attempt is the one that runs.
func (p *Reducer) current(id rail.RequestID, attempt int) (*inFlight, bool) {
	f, ok := p.requests[id]
	return f, ok && f.state == running && f.attempt == attempt
}

// arm sets the request's timer if none fires early enough.
func (p *Reducer) arm(in rail.Input, f *inFlight) []rail.Effect {
	due := f.due(p.settings)
	if due.IsZero() || (!f.timer.IsZero() && !due.Before(f.timer)) {
		return nil
	}
	f.timer = due
	name := rail.TimerName(requestTimer + string(f.id()))
	return []rail.Effect{rail.NewSetTimer(name, max(due.Sub(in.At()), 0))}
}

// random returns a random number of its own for each use within one input.
func (p *Reducer) random(in rail.Input) uint64 {
	const golden = 0x9e3779b97f4a7c15
	p.drawn++
	x := in.Random() + p.drawn*golden
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// sorted returns the requests in order of their ids, so that one input always has the same effects.
func sorted(m map[rail.RequestID]*inFlight) []*inFlight {
	fs := make([]*inFlight, 0, len(m))
	for _, f := range m {
		fs = append(fs, f)
	}
	slices.SortFunc(fs, func(a, b *inFlight) int { return strings.Compare(string(a.id()), string(b.id())) })
	return fs
}

// passed reports whether the time is set and has come.
func passed(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

func sum(a, b rail.Usage) rail.Usage {
	return rail.NewUsage(a.Prompt()+b.Prompt(), a.Recomputed()+b.Recomputed(), a.Generated()+b.Generated())
}
