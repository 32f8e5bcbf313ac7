package gateway

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/evacuation"
	"dandelionrail.org/rail/runend"
)

// promiseSeeds is the number of plays for each size of the fleet.
const promiseSeeds = 100

// promiseCall is what a call's caller and upstreams have seen of it.
type promiseCall struct {
	call *Call
	// once reports whether the call may run once, possibleRuns how many of its attempts may have run.
	once         bool
	possibleRuns int
	attempt      *Send // Under way, nil if there is none.
	// reached are the upstreams that have got the call, by start as far as this gateway has sent it.
	reached      map[upstreamStart]bool
	aborted      rail.Kind
	events       int
	waits, ended bool
}

// promisePlay posts random events to a gateway, and checks what callers are promised.
type promisePlay struct {
	*harness
	t       *testing.T
	random  *rand.Rand
	peers   int
	version int64
	serial  int64
	open    map[*Call]*promiseCall
	started map[string]int64
	trace   []string
	seen    map[string]int
}

func newPromisePlay(t *testing.T, seed uint64, peers int) *promisePlay {
	t.Helper()
	return &promisePlay{harness: newHarness(), t: t, random: rand.New(rand.NewPCG(seed, 61)), peers: peers, open: map[*Call]*promiseCall{}, started: map[string]int64{}, seen: map[string]int{}}
}

func (p *promisePlay) chance(percent int) bool { return p.random.IntN(100) < percent }

func oneOf[T any](p *promisePlay, list ...T) T { return list[p.random.IntN(len(list))] }

// do posts the event and checks its effects; it returns the number of those that end a wait or an attempt of the call.
func (p *promisePlay) do(name string, e Event) (steps int) {
	p.trace = append(p.trace, fmt.Sprintf("%s %s", p.now.Format("05.000"), name))
	own := eventCall(e)
	for _, x := range p.post(e) {
		if a, ok := x.(Abort); ok {
			p.abort(a)
			continue
		}
		c := effectCall(x)
		if c == nil {
			continue
		}
		p.trace = append(p.trace, fmt.Sprintf("  %T of %s", x, c.id))
		if c == own {
			steps++
		}
		q, known := p.open[c]
		if !known || q.ended {
			p.fail("%T of %s, which has ended", x, c.id)
			continue
		}
		if q.attempt != nil {
			p.fail("%T of %s, which is under way", x, c.id)
		}
		p.apply(q, x)
	}
	return steps
}

func (p *promisePlay) abort(a Abort) {
	if a.kind.Reply().Run() == rail.NotRun {
		p.fail("an attempt is aborted as %s", a.kind)
	}
	if q, ok := p.open[a.call]; ok && q.attempt != nil {
		p.seen["abort"]++
		q.aborted = a.kind
	}
}

// apply applies an effect of a call that is not under way.
func (p *promisePlay) apply(q *promiseCall, x Effect) {
	q.waits = false
	switch x := x.(type) {
	case Hold:
		q.waits = true
		p.seen["hold"]++
	case Send:
		if q.once && q.possibleRuns > 0 {
			p.fail("%s may have run, and is sent again", q.call.id)
		}
		if q.once && x.forward == nil && q.reached[x.upstream.start()] {
			p.fail("%s is sent twice to %s", q.call.id, x.upstream.id)
		}
		for start := range q.reached {
			if x.forward != nil && !slices.Contains(x.forward.tried, start.id) {
				p.fail("%s is forwarded without the upstream %s that it was sent to", q.call.id, start.id)
			}
		}
		q.attempt, q.aborted = &x, rail.KindNone
		p.seen["send"]++
		if x.forward != nil {
			p.seen["forward"]++
		}
		if x.attempt > 1 {
			p.seen["again"]++
		}
	case Refuse:
		q.ended = true
		reply := x.kind.Reply()
		switch reply.Status() {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if q.possibleRuns > 0 || reply.Run() != rail.NotRun {
				p.fail("%s may have run, and is refused with %d as %s", q.call.id, reply.Status(), x.kind)
			}
		}
		if reply.Run() == rail.NotRun && q.possibleRuns > 0 {
			p.fail("%s may have run, and is refused as %s", q.call.id, x.kind)
		}
		p.seen["refuse "+string(x.kind)]++
	case Deliver:
		q.ended = true
		p.seen["deliver"]++
	}
}

func (p *promisePlay) fail(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf(format, args...)
	for _, line := range p.trace[max(0, len(p.trace)-60):] {
		p.t.Log(line)
	}
	p.t.FailNow()
}

// some returns a call for which the condition holds, nil if there is none.
func (p *promisePlay) some(holds func(q *promiseCall) bool) *promiseCall {
	var list []*promiseCall
	for _, q := range p.open {
		if !q.ended && holds(q) {
			list = append(list, q)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *promiseCall) int { return strings.Compare(a.call.id, b.call.id) })
	return list[p.random.IntN(len(list))]
}

func (p *promisePlay) underWay() *promiseCall {
	return p.some(func(q *promiseCall) bool { return q.attempt != nil })
}

// arrive posts a new call, of a caller or of a peer.
func (p *promisePlay) arrive() {
	p.serial++
	path := oneOf(p, "/orders/1", "/orders/1", "/orders/1", "/chats/1", "/chats/1", "/drafts/1", "/orders/lookup/1")
	wait := oneOf(p, 100*time.Millisecond, time.Second, 12*time.Second)
	parts := []PromptPart{NewPromptPart("p"+strconv.Itoa(p.random.IntN(6)), 400), NewPromptPart("own"+strconv.FormatInt(p.serial, 10), 20)}
	c := NewCall("r-"+fmt.Sprintf("%05d", p.serial), path, oneOf(p, "key-1", "key-1", "key-2"), NewMessage("POST", path, "shop.example", nil, nil), p.now, p.now.Add(wait)).WithTokens(oneOf(p, int64(420), 9000), 100, parts)
	if p.chance(20) {
		f := NewForwarded("gateway-2", oneOf(p, "engravers", "engravers", "weavers"), p.version+int64(p.random.IntN(3))-1, oneOf(p, nil, []string{p.upstream("desk")}), 1+p.random.IntN(2))
		if p.chance(30) {
			f = f.WithRunning(p.upstream("models"), p.chance(50))
		}
		c = c.WithForwarded(f)
	}
	q := &promiseCall{call: c, reached: map[upstreamStart]bool{}, once: path != "/drafts/1" && path != "/orders/lookup/1"}
	p.open[c] = q
	if p.do("arrives "+c.id+" "+path, CallArrived{call: c}) == 0 {
		p.fail("%s arrived, and nothing follows", c.id)
	}
}

// end ends an attempt by a random outcome.
func (p *promisePlay) end(q *promiseCall) {
	o := p.outcome(q)
	switch {
	case o.kind == rail.KindUpstreamUnreachable:
	case q.attempt.forward == nil:
		q.reached[q.attempt.upstream.start()] = true
	case o.placement != "":
		q.reached[upstreamStart{id: o.placement}] = true // The peer does not name the start.
	}
	q.attempt = nil
	switch {
	case o.kind == rail.KindNone:
		q.ended = true
		q.possibleRuns++
	case o.kind.Reply().Run() != rail.NotRun:
		q.possibleRuns++
	}
	steps := p.do(fmt.Sprintf("ends %s %s answered %t placement %q", q.call.id, o.kind, o.answered, o.placement), AttemptEnded{call: q.call, outcome: o})
	if o.kind != rail.KindNone && steps == 0 {
		p.fail("an attempt of %s ended, and nothing follows", q.call.id)
	}
}

func (p *promisePlay) outcome(q *promiseCall) Outcome {
	broken := []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, os.NewSyscallError("read", syscall.ETIMEDOUT), errors.New("garbage")}
	forward := q.attempt.forward
	if q.aborted != rail.KindNone && p.chance(90) {
		return Outcome{kind: q.aborted, timedOut: q.aborted == rail.KindUpstreamSilent, events: q.events, placement: p.placement(forward)}
	}
	if q.events > 0 { // Of an answer that has begun.
		if p.chance(50) {
			return Outcome{status: 200, answered: true, events: q.events, placement: p.placement(forward), headRead: true}
		}
		return Outcome{kind: rail.KindUpstreamFailed, events: q.events, lastEventID: oneOf(p, "", "3"), err: oneOf(p, broken...), final: p.chance(30), placement: p.placement(forward), headRead: true}
	}
	switch p.random.IntN(8) {
	case 0, 1:
		return Outcome{status: oneOf(p, 200, 404), answered: true, placement: p.placement(forward), headRead: true}
	case 2:
		return Outcome{kind: rail.KindUpstreamFailed, status: 500, answered: true, placement: p.placement(forward), headRead: true}
	case 3:
		err := oneOf(p, broken...)
		return Outcome{kind: rail.KindUpstreamFailed, err: err, timedOut: errors.Is(err, syscall.ETIMEDOUT), placement: oneOf(p, "", p.placement(forward))}
	case 4:
		return Outcome{kind: oneOf(p, rail.KindUpstreamSilent, rail.KindDeadlinePassed, rail.KindInternal, rail.KindMoved), timedOut: true, placement: oneOf(p, "", p.placement(forward))}
	}
	if forward == nil {
		kind := oneOf(p, rail.KindUpstreamFull, rail.KindUpstreamReplaced, rail.KindUpstreamUnreachable, rail.KindUpstreamUnreachable)
		return Outcome{kind: kind, refused: kind != rail.KindUpstreamUnreachable, timedOut: kind == rail.KindUpstreamUnreachable && p.chance(50)}
	}
	kind := oneOf(p, rail.KindPeerUnreachable, rail.KindOverloaded, rail.KindLeaving, rail.KindNotReady, rail.KindNoUpstream, rail.KindUnknownRoute, rail.KindUnknownTeam, rail.KindQuarantined, rail.KindUpstreamUnreachable, rail.KindUpstreamFull, rail.KindUpstreamReplaced)
	return Outcome{kind: kind, placement: oneOf(p, "", p.placement(forward))}
}

// placement returns the upstream that a peer names, empty without a forward.
func (p *promisePlay) placement(f *Forward) string {
	if f == nil {
		return ""
	}
	return p.upstream(oneOf(p, "desk", "models"))
}

// upstream returns the id of an upstream that is listed at times.
func (p *promisePlay) upstream(service string) string {
	return service + "-" + strconv.Itoa(p.random.IntN(5))
}

func (p *promisePlay) entry(service string) Upstream {
	id := p.upstream(service)
	if p.chance(40) || p.started[id] == 0 {
		p.started[id]++
	}
	u := NewUpstream(id, service, "127.0.0.1:"+strconv.Itoa(1+p.random.IntN(8)), oneOf(p, "north", "south", "east"), p.started[id]).WithVersion(oneOf(p, "v1", "v1", "v2"))
	u = u.WithSlots(oneOf(p, 1, 6, 64), 0).WithSequence(p.serial)
	if p.chance(15) {
		u = u.WithLeaving(time.Duration(p.random.IntN(5)) * time.Second)
	}
	return u
}

func (p *promisePlay) changeUpstreams() {
	var changes []UpstreamChange
	for range 1 + p.random.IntN(6) {
		service := oneOf(p, "desk", "models")
		if p.chance(30) {
			changes = append(changes, UpstreamRemoved(p.upstream(service)))
		} else {
			changes = append(changes, UpstreamSet(p.entry(service)))
		}
	}
	p.do("upstreams", NewUpstreamsRead(changes, p.chance(10), "store"))
}

func (p *promisePlay) changeConfig() {
	p.version++
	teams := []*Team{testTeam(), NewTeam("weavers", 2, []string{"key-2"})}
	if p.chance(10) {
		teams = teams[1:]
	}
	x := testConfig(p.version, teams...)
	if p.chance(10) {
		x.routesByHost["shop.example"] = slices.DeleteFunc(x.routesByHost["shop.example"], func(*Route) bool { return p.chance(30) })
	}
	if p.chance(10) {
		delete(x.services, oneOf(p, "desk", "models"))
	}
	p.do("config", NewConfigRead(x, "store"))
}

func (p *promisePlay) changePeers(all bool) {
	registrations := map[string]Registration{}
	for n := range p.peers {
		if all || p.chance(80) {
			name := "gateway-" + strconv.Itoa(2+n)
			registrations[name] = NewRegistration("127.0.0.1:1", oneOf(p, "north", "south", "east")).WithForwarding("127.0.0.1:"+strconv.Itoa(2+p.random.IntN(3)), "access")
		}
	}
	p.do("peers", NewPeersRead(registrations, true))
}

func (p *promisePlay) digests() {
	for range min(p.peers, 8) {
		name := "gateway-" + strconv.Itoa(2+p.random.IntN(p.peers))
		d := Digest{gateway: name, incarnation: name, sequence: p.now.UnixNano(), wall: p.now, covers: 1, domains: []string{"north", "south", "east"}, notReady: p.chance(5), storeUnavailable: p.chance(10)}
		if p.chance(20) {
			d.partitions = map[string][]string{oneOf(p, "desk", "models"): {name}}
		}
		if p.chance(10) {
			id := p.upstream("desk")
			d.leaving = []upstreamStart{{id: id, startedAtMs: p.started[id]}}
		}
		if p.chance(10) {
			id := p.upstream("models")
			d.ends = map[upstreamStart]time.Time{{id: id, startedAtMs: p.started[id]}: p.now}
		}
		p.do("digest", NewDigestReceived(DigestFrom(d.Message())).WithReplyRequested())
	}
}

// partition makes all upstreams of a service unreachable.
func (p *promisePlay) partition() {
	service := oneOf(p, "desk", "models")
	for _, t := range p.state.registry.ofService(service) {
		p.state.recordNotReached(t.service, t)
	}
	for n := range 5 {
		p.do("probe", NewProbeEnded(service+"-"+strconv.Itoa(n), false))
	}
}

func (p *promisePlay) checkEngine() {
	id := p.upstream("models")
	upstream := CheckEngine{upstream: NewUpstream(id, "models", "127.0.0.1:1", "north", p.started[id])}
	if p.chance(50) {
		p.do("check", NewEngineChecked(upstream, runend.NewCheck(p.now, oneOf(p, runend.NoAnswer, runend.Refused, runend.TimedOut))))
		return
	}
	var runs []string
	for n := range p.serial {
		if p.chance(30) {
			runs = append(runs, "r-"+fmt.Sprintf("%05d", n+1))
		}
	}
	p.do("report", NewEngineChecked(upstream, runend.NewReport(p.now, runend.NewRuns(runs, p.random.IntN(2)))))
}

// suspects reads the records of parts of prompts, some of which are blocked.
func (p *promisePlay) suspects() {
	records, err := p.state.UnstoredSuspects(p.now)
	is.New(p.t).NoErr(err)
	e, _ := NewSuspectsRead(records, p.chance(10))
	for n := range 6 {
		if p.chance(20) {
			x := suspect{crashes: map[upstreamStart]time.Time{}, first: map[upstreamStart]time.Time{}}
			for m := range 4 {
				x.crashes[upstreamStart{id: "gone-" + strconv.Itoa(m), startedAtMs: int64(m)}] = p.state.trueTime().Add(-time.Duration(m) * time.Second)
			}
			maps.Copy(x.first, x.crashes)
			e.suspects[partKey(NewPromptPart("p"+strconv.Itoa(n), 400))] = x
		}
	}
	p.do("suspects", e)
}

// other posts an event that concerns no single call.
func (p *promisePlay) other() {
	switch p.random.IntN(14) {
	case 0, 1, 2:
		p.changeUpstreams()
	case 3:
		p.changeConfig()
	case 4:
		p.changePeers(false)
	case 5, 6:
		p.digests()
	case 7:
		p.partition()
	case 8, 9:
		p.checkEngine()
	case 10:
		p.suspects()
	case 11:
		p.do("probe", NewProbeEnded(p.upstream(oneOf(p, "desk", "models")), p.chance(70)))
	case 12:
		p.store()
	default:
		p.advance(oneOf(p, 0, 100*time.Millisecond, 100*time.Millisecond, 400*time.Millisecond, 3*time.Second, time.Minute))
		p.do("tick", Ticked{})
	}
}

func (p *promisePlay) store() {
	switch p.random.IntN(7) {
	case 0:
		p.do("store is lost", NewStoreReadFinished(errors.New("refused")))
	case 1:
		p.do("store is back", NewStoreReadFinished(nil))
	case 2:
		p.do("store is restored", StoreRestored{})
	case 3:
		p.do("evacuation", NewEvacuationsRead([]evacuation.Change{evacuation.NewChange(oneOf(p, "north", "south"), p.chance(40))}, false, "store"))
	case 4:
		p.do("rollout", NewRolloutRead(NewRolloutOrder(oneOf(p, "desk", "models"), "v2", 12*time.Second, oneOf(p, RolloutRunning, RolloutDone))))
	case 5:
		p.do("settings", NewSettingsRead(p.state.settings.WithSpillover(p.chance(50))))
	default:
		p.do("admitted", NewAdmittedRestored(map[string][]int64{"engravers": {5000, 0, 0, 0, 0, 0, 0, 0}}, p.now))
	}
}

// progress posts what an attempt under way brings before it ends.
func (p *promisePlay) progress(q *promiseCall) {
	switch p.random.IntN(5) {
	case 0, 1:
		if q.attempt.route.streaming {
			q.events++
			p.do("event of "+q.call.id, AnswerStarted{call: q.call})
			p.do("more events of "+q.call.id, StreamProgressed{call: q.call})
		}
	case 2:
		p.do("failover of "+q.call.id, FailoverDue{call: q.call})
	case 3:
		p.do("limit", LimitRead{call: q.call, limit: ParseRequestLimit(oneOf(p, "3.5", ""))})
	default:
		p.do("notice", NoticeRead{call: q.call, notice: Notice{}.WithLeaving().WithWait(time.Second)})
	}
}

func (p *promisePlay) step() {
	if p.chance(30) {
		p.advance(time.Duration(p.random.IntN(50)) * time.Millisecond)
	}
	q := p.underWay()
	switch n := p.random.IntN(100); {
	case n < 25:
		p.arrive()
	case n < 50 && q != nil:
		p.end(q)
	case n < 60 && q != nil:
		p.progress(q)
	case n < 63:
		if q = p.some(func(q *promiseCall) bool { return q.attempt != nil || q.waits }); q != nil {
			q.ended, q.attempt = true, nil
			p.do("disconnects "+q.call.id, CallerDisconnected{call: q.call})
		}
	default:
		p.other()
	}
}

// finish ends the process, or lets time pass until nothing waits any more.
func (p *promisePlay) finish() {
	if p.chance(70) {
		p.do("shutdown", ShutdownStarted{})
		for range p.random.IntN(40) {
			p.step()
		}
		p.do("shutdown ends", ShutdownEnding{})
	}
	for range 200 {
		for q := p.underWay(); q != nil; q = p.underWay() {
			p.end(q)
		}
		p.advance(100 * time.Millisecond)
		p.do("tick", Ticked{})
	}
	if q := p.some(func(*promiseCall) bool { return true }); q != nil {
		p.fail("%s waits without end", q.call.id)
	}
}

// Guards against a request that may have run and is sent again, or refused with the promise that it was not run.
func TestCallThatMayHaveRunIsNeitherSentAgainNorPromised(t *testing.T) {
	for _, peers := range []int{5, 89} {
		seen := map[string]int{}
		for seed := range uint64(promiseSeeds) {
			t.Run(fmt.Sprintf("%d peers, seed %d", peers, seed), func(t *testing.T) {
				p := newPromisePlay(t, seed, peers)
				p.do("early tick", Ticked{})
				p.changeConfig()
				p.changePeers(true)
				for range 3 {
					p.changeUpstreams()
				}
				for range 800 {
					p.step()
				}
				p.finish()
				for what, n := range p.seen {
					seen[what] += n
				}
			})
		}
		t.Log(seen)
		for _, what := range []string{"send", "again", "forward", "hold", "abort", "deliver", "refuse leaving", "refuse limited", "refuse noUpstream", "refuse quarantined", "refuse overloaded", "refuse notReady", "refuse upstreamFailed", "refuse upstreamFull", "refuse upstreamUnreachable"} {
			if seen[what] == 0 {
				t.Errorf("no %s with %d peers", what, peers)
			}
		}
	}
}
