package answer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

const reclaimNotice = 5 * time.Second

func entryAt(id rail.InstanceID, domain rail.Domain) rail.Instance {
	return rail.NewInstance(id, domain, rail.RoleEntry, string(id)).WithPeerAddress(string(id))
}

// newLeaver returns an entry with briefs in their middle, of which none can end within the notice.
func newLeaver(requests int, entries ...rail.Instance) *driver {
	s := answer.Defaults().WithInstance("e0").WithHandover(500*time.Millisecond, 4).WithTokenTimeouts(time.Minute, time.Minute)
	d := newDriver(s, engineAt("m1", "breno"), engineAt("m2", "edolo"))
	d.do(rail.NewListRead(append(entries, entryAt("e0", "breno"))))
	for i := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", i))
		r := rail.NewRequest(id, "shop", "briefs", d.now).WithPrompt(string(id), 1000).WithPriority(i % 3)
		d.do(answer.NewAccepted(r, briefs))
		d.do(answer.NewMarked(id, 1, 1))
	}
	return d
}

func (d *driver) reclaim() []rail.Effect {
	return d.do(rail.NewShutdownStarted(true).WithDeadline(d.now.Add(reclaimNotice)))
}

func (d *driver) answered(h answer.HandOver) []rail.Effect {
	return d.do(answer.NewHandoverAnswered(h.Successor().ID(), h.Sequence()))
}

func (d *driver) lost(h answer.HandOver, kind rail.Kind) []rail.Effect {
	return d.do(answer.NewHandoverLost(h.Successor().ID(), h.Sequence(), kind))
}

func all[T rail.Effect](effects []rail.Effect) []T {
	var found []T
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

func TestSuccessorIsOneEntryOfAnotherDomain(t *testing.T) {
	tests := []struct {
		name    string
		entries []rail.Instance
		want    rail.InstanceID
	}{
		{"another domain before the own", []rail.Instance{entryAt("e1", "breno"), entryAt("e2", "edolo")}, "e2"},
		{"the own domain if there is no other", []rail.Instance{entryAt("e1", "breno")}, "e1"},
		{"none that leaves", []rail.Instance{entryAt("e1", "edolo").WithLeaving(), entryAt("e2", "darfo")}, "e2"},
		{"none at all", nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newLeaver(10, tt.entries...)
			effects := d.reclaim()
			is.Equal(count[rail.CancelAttempt](effects), 0)
			for _, h := range all[answer.HandOver](effects) {
				is.Equal(h.Successor().ID(), tt.want)
			}
			is.Equal(len(all[answer.HandOver](effects)) > 0, tt.want != "")
		})
	}
}

// members are entries known without the platform's list.
type members []rail.Instance

func (m members) Peers() []rail.Instance { return m }

func TestSuccessorIsKnownWhileThePlatformIsAway(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1)
	is.Equal(count[answer.HandOver](d.reclaim()), 0)
	d.part.UseMembers(members{entryAt("e1", "edolo")})
	sent, _ := only[answer.HandOver](d.wait(time.Second))
	is.Equal(sent.Successor().ID(), rail.InstanceID("e1"))
}

func TestHandoverCopiesFirstAndMovesThen(t *testing.T) {
	is := is.New(t)
	d := newLeaver(6, entryAt("e1", "edolo"))
	effects := d.reclaim()
	copies := all[answer.HandOver](effects)
	is.Equal(len(copies), 2) // six requests in batches of four
	is.Equal(count[rail.CancelAttempt](effects), 0)
	is.Equal(copies[0].Transfers()[0].Request().Priority(), 2)
	is.Equal(copies[1].Transfers()[1].Request().Priority(), 0)
	is.Equal(copies[0].Transfers()[0].ResumeDelay(), reclaimNotice)
	is.Equal(count[answer.Moved](d.answered(copies[0])), 0)
	effects = d.answered(copies[1])
	moves := all[answer.HandOver](effects)
	is.Equal(len(moves), 2)
	is.Equal(count[rail.CancelAttempt](effects), 6)
	is.Equal(moves[0].Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(count[answer.Moved](d.answered(moves[0])), 4)
	is.Equal(count[answer.Moved](d.answered(moves[0])), 0) // the same answer once more
	is.Equal(count[answer.Moved](d.answered(moves[1])), 2)
	is.Equal(d.part.InProgress(), 0)
	is.Equal(count[answer.Drained](d.wait(reclaimNotice)), 1)
}

func TestLargeRequestsGoInHandoversOfTheirOwn(t *testing.T) {
	is := is.New(t)
	d := newLeaver(0, entryAt("e1", "edolo"))
	for i := range 4 {
		id := rail.RequestID(fmt.Sprintf("large%d", i))
		r := rail.NewRequest(id, "shop", "briefs", d.now).WithPrompt(strings.Repeat("tin ", 100_000), 1000)
		d.do(answer.NewAccepted(r, briefs))
	}
	for _, h := range all[answer.HandOver](d.reclaim()) {
		is.Equal(len(h.Transfers()), 1)
	}
}

func TestAnswerToAnOlderHandoverChangesNothing(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1, entryAt("e1", "edolo"))
	first, _ := only[answer.HandOver](d.reclaim())
	move, _ := only[answer.HandOver](d.answered(first))
	repeated, _ := only[answer.HandOver](d.lost(move, rail.KindUpstreamFailed))
	is.Equal(count[answer.HandOver](d.lost(move, rail.KindUpstreamFailed)), 0)
	is.Equal(count[answer.Moved](d.answered(move)), 0)
	is.Equal(count[answer.Moved](d.answered(repeated)), 1)
}

func TestRequestAcceptedWhileLeavingIsHandedOverAtOnce(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1, entryAt("e1", "edolo"))
	first, _ := only[answer.HandOver](d.reclaim())
	move, _ := only[answer.HandOver](d.answered(first))
	d.answered(move)
	is.Equal(d.part.InProgress(), 0)
	r := rail.NewRequest("late", "shop", "briefs", d.now).WithPrompt("late", 1000)
	effects := d.do(answer.NewAccepted(r, briefs))
	is.Equal(count[rail.Dispatch](effects), 0)
	sent, _ := only[answer.HandOver](effects)
	is.Equal(sent.Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(count[answer.Moved](d.answered(sent)), 1)
}

func TestRequestStoppedAfterItsCopyIsNotMovedByTheCopy(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1, entryAt("e1", "edolo"))
	// The stream is fast enough to end in time.
	d.wait(time.Second)
	d.do(answer.NewMarked("r0", 1, 900))
	copied, _ := only[answer.HandOver](d.reclaim())
	is.True(copied.Transfers()[0].ResumeDelay() > 0)
	d.answered(copied)
	again, _ := only[answer.HandOver](d.wait(600 * time.Millisecond))
	is.True(again.Transfers()[0].ResumeDelay() > 0)
	// The stream fails after its copy was sent: the copy lacks tokens that the caller may have.
	d.do(answer.NewFailed("r0", 1, rail.KindUpstreamFailed, 950))
	d.wait(100 * time.Millisecond)
	effects := d.answered(again)
	is.Equal(count[answer.Moved](effects), 0)
	move, _ := only[answer.HandOver](effects)
	is.Equal(move.Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(count[answer.Moved](d.answered(move)), 1)
}

func TestSuccessorThatDoesNotTake(t *testing.T) {
	tests := []struct {
		name  string
		kind  rail.Kind
		tries int
	}{
		{"is leaving", rail.KindLeaving, 1},
		{"has no document", rail.KindNotReady, 1},
		{"can't be reached", rail.KindUpstreamFailed, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newLeaver(1, entryAt("e1", "edolo"), entryAt("e2", "darfo"))
			first, _ := only[answer.HandOver](d.reclaim())
			h := first
			for range tt.tries {
				is.Equal(h.Successor(), first.Successor())
				h, _ = only[answer.HandOver](d.lost(h, tt.kind))
			}
			is.True(h.Successor().ID() != first.Successor().ID())
		})
	}
}

func TestSuccessorThatIsReclaimedItself(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1, entryAt("e1", "edolo"), entryAt("e2", "darfo"))
	first, _ := only[answer.HandOver](d.reclaim())
	second, sent := only[answer.HandOver](d.do(rail.NewInstanceLeaving(first.Successor().ID(), "peer")))
	is.True(sent)
	is.True(second.Successor().ID() != first.Successor().ID())
	is.Equal(count[answer.HandOver](d.answered(first)), 0) // it no longer counts
}

func TestStoppedRequestGoesOnHereIfNoSuccessorIsLeft(t *testing.T) {
	is := is.New(t)
	d := newLeaver(1, entryAt("e1", "edolo"))
	first, _ := only[answer.HandOver](d.reclaim())
	move, _ := only[answer.HandOver](d.answered(first))
	again, _ := only[answer.HandOver](d.lost(move, rail.KindUpstreamFailed))
	effects := d.lost(again, rail.KindUpstreamFailed)
	is.Equal(count[answer.HandOver](effects), 0)
	is.Equal(count[rail.Dispatch](effects), 1)
	is.Equal(count[answer.HandOver](d.wait(600*time.Millisecond)), 1) // tried again later
}

func TestTakingOver(t *testing.T) {
	request := rail.NewRequest("r1", "shop", "briefs", time.Unix(1e9, 0)).WithPrompt("r1", 100)
	now := answer.NewTransfer(request, 3, 0).WithAnswer(answer.NewSnapshot([]string{"a ", "b "}))
	later := answer.NewTransfer(request, 2, 2*time.Second).WithAnswer(answer.NewSnapshot([]string{"a "}))
	done := answer.NewTransfer(request, 2, 0).WithAnswer(answer.NewSnapshot(nil).WithEnd(rail.KindNone, rail.ServiceReply{}))
	tests := []struct {
		name   string
		events []rail.Event
		wait   time.Duration
		starts int
		left   int
	}{
		{"starts at once", []rail.Event{in(now)}, 0, 1, 1},
		{"starts once if told again", []rail.Event{in(now), in(now), in(later)}, 3 * time.Second, 1, 1},
		{"waits", []rail.Event{in(later)}, time.Second, 0, 1},
		{"starts after the wait", []rail.Event{in(later)}, 3 * time.Second, 1, 1},
		{"starts when the caller comes", []rail.Event{in(later), answer.NewAttached("r1")}, 0, 1, 1},
		{"starts when told", []rail.Event{in(later), in(now)}, 0, 1, 1},
		{"forgets what ended there", []rail.Event{in(later), in(done)}, 3 * time.Second, 0, 0},
		{"does not start what ended there", []rail.Event{in(done)}, 3 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"))
			d.do(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
			var effects []rail.Effect
			for _, e := range tt.events {
				effects = append(effects, d.do(e)...)
			}
			effects = append(effects, d.wait(tt.wait)...)
			is.Equal(count[rail.Dispatch](effects), tt.starts)
			is.Equal(d.part.InProgress(), tt.left)
			for _, taken := range all[answer.HandoverResponse](effects) {
				is.Equal(taken.Kind(), rail.KindNone)
			}
		})
	}
}

func TestTakingOverGoesOnWhereThePromptIsHeld(t *testing.T) {
	request := rail.NewRequest("r1", "shop", "briefs", time.Unix(1e9, 0)).WithPrompt("r1", 100)
	for _, id := range []rail.InstanceID{"m1", "m2", "m3"} {
		is := is.New(t)
		d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "edolo"), engineAt("m3", "darfo"))
		d.do(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
		sent, _ := only[rail.Dispatch](d.do(in(answer.NewTransfer(request, 1, 0).WithUpstream(id))))
		is.Equal(sent.Upstream().ID(), id)
		// Once only: it fails there, and another upstream goes on.
		again, _ := only[rail.Dispatch](append(d.do(answer.NewFailed("r1", 2, rail.KindUpstreamFailed, 0)), d.wait(time.Second)...))
		is.True(again.Upstream().ID() != id)
	}
}

func TestTransferNamesNoLeavingUpstream(t *testing.T) {
	is := is.New(t)
	d := newLeaver(4, entryAt("e1", "edolo"))
	d.do(rail.NewInstanceLeaving("m1", "notice"))
	for _, h := range all[answer.HandOver](d.reclaim()) {
		for _, transfer := range h.Transfers() {
			is.True(transfer.Upstream() != "m1")
		}
	}
}

func in(t answer.Transfer) rail.Event {
	return answer.NewHandoverReceived("call", []answer.Transfer{t})
}

func TestTakingOverIsRefused(t *testing.T) {
	request := rail.NewRequest("r1", "shop", "briefs", time.Unix(1e9, 0)).WithPrompt("r1", 100)
	transfer := answer.NewTransfer(request, 1, 0)
	tests := []struct {
		name   string
		before rail.Event
		kind   rail.Kind
	}{
		{"without a document", rail.NewListRead(nil), rail.KindNotReady},
		{"while leaving", rail.NewShutdownStarted(false), rail.KindLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"))
			d.do(tt.before)
			taken, _ := only[answer.HandoverResponse](d.do(in(transfer)))
			is.Equal(taken.Kind(), tt.kind)
			is.Equal(d.part.InProgress(), 0)
		})
	}
}
