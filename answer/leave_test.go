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

// newLeavingDriver returns an entry with running briefs, none of which can end within the notice.
func newLeavingDriver(requests int, entries ...rail.Instance) *driver {
	s := answer.Defaults().WithInstance("e0").WithHandover(500*time.Millisecond, 4).WithTokenTimeouts(time.Minute, time.Minute)
	d := newDriver(s, engineAt("m1", "breno"), engineAt("m2", "edolo"))
	d.reduce(rail.NewListRead(append(entries, entryAt("e0", "breno"))))
	for i := range requests {
		id := rail.RequestID(fmt.Sprintf("r%d", i))
		r := rail.NewRequest(id, "shop", "briefs", d.now).WithPrompt(string(id), 1000).WithPriority(i % 3)
		d.reduce(answer.NewAccepted(r, briefs))
		d.reduce(answer.NewMarked(id, 1, 1))
	}
	return d
}

func (d *driver) reclaim() []rail.Effect {
	return d.reduce(rail.NewShutdownStarted(true).WithDeadline(d.now.Add(reclaimNotice)))
}

func (d *driver) answered(h answer.HandOver) []rail.Effect {
	return d.reduce(answer.NewHandoverAnswered(h.Successor().ID(), h.Sequence()))
}

func (d *driver) lost(h answer.HandOver, kind rail.Kind) []rail.Effect {
	return d.reduce(answer.NewHandoverLost(h.Successor().ID(), h.Sequence(), kind))
}

func allOf[T rail.Effect](effects []rail.Effect) []T {
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
		{"another domain before its own", []rail.Instance{entryAt("e1", "breno"), entryAt("e2", "edolo")}, "e2"},
		{"its own domain if there is no other", []rail.Instance{entryAt("e1", "breno")}, "e1"},
		{"no leaving entry", []rail.Instance{entryAt("e1", "edolo").WithLeaving(), entryAt("e2", "darfo")}, "e2"},
		{"no other entry", nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newLeavingDriver(10, tt.entries...)
			effects := d.reclaim()
			is.Equal(countOf[rail.CancelAttempt](effects), 0)
			for _, h := range allOf[answer.HandOver](effects) {
				is.Equal(h.Successor().ID(), tt.want)
			}
			is.Equal(len(allOf[answer.HandOver](effects)) > 0, tt.want != "")
		})
	}
}

// members are the entries that are known without the platform's list.
type members []rail.Instance

func (m members) Peers() []rail.Instance { return m }

func TestSuccessorWhilePlatformUnavailable(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1)
	is.Equal(countOf[answer.HandOver](d.reclaim()), 0)
	d.reducer.UseMembers(members{entryAt("e1", "edolo")})
	sent, _ := lastOf[answer.HandOver](d.advance(time.Second))
	is.Equal(sent.Successor().ID(), rail.InstanceID("e1"))
}

func TestHandoverCopiesBeforeItMoves(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(6, entryAt("e1", "edolo"))
	effects := d.reclaim()
	copies := allOf[answer.HandOver](effects)
	is.Equal(len(copies), 2) // six requests in batches of four
	is.Equal(countOf[rail.CancelAttempt](effects), 0)
	is.Equal(copies[0].Transfers()[0].Request().Priority(), 2)
	is.Equal(copies[1].Transfers()[1].Request().Priority(), 0)
	is.Equal(copies[0].Transfers()[0].ResumeDelay(), reclaimNotice)
	is.Equal(countOf[answer.Moved](d.answered(copies[0])), 0)
	effects = d.answered(copies[1])
	moves := allOf[answer.HandOver](effects)
	is.Equal(len(moves), 2)
	is.Equal(countOf[rail.CancelAttempt](effects), 6)
	is.Equal(moves[0].Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(countOf[answer.Moved](d.answered(moves[0])), 4)
	is.Equal(countOf[answer.Moved](d.answered(moves[0])), 0) // the same answer again
	is.Equal(countOf[answer.Moved](d.answered(moves[1])), 2)
	is.Equal(d.reducer.InProgress(), 0)
	is.Equal(countOf[answer.Drained](d.advance(reclaimNotice)), 1)
}

func TestLargeRequestsInSeparateHandovers(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(0, entryAt("e1", "edolo"))
	for i := range 4 {
		id := rail.RequestID(fmt.Sprintf("large%d", i))
		r := rail.NewRequest(id, "shop", "briefs", d.now).WithPrompt(strings.Repeat("tin ", 100_000), 1000)
		d.reduce(answer.NewAccepted(r, briefs))
	}
	for _, h := range allOf[answer.HandOver](d.reclaim()) {
		is.Equal(len(h.Transfers()), 1)
	}
}

func TestAnswerToAnOlderHandoverIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1, entryAt("e1", "edolo"))
	first, _ := lastOf[answer.HandOver](d.reclaim())
	move, _ := lastOf[answer.HandOver](d.answered(first))
	repeated, _ := lastOf[answer.HandOver](d.lost(move, rail.KindUpstreamFailed))
	is.Equal(countOf[answer.HandOver](d.lost(move, rail.KindUpstreamFailed)), 0)
	is.Equal(countOf[answer.Moved](d.answered(move)), 0)
	is.Equal(countOf[answer.Moved](d.answered(repeated)), 1)
}

func TestRequestAcceptedWhileLeavingIsHandedOverAtOnce(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1, entryAt("e1", "edolo"))
	first, _ := lastOf[answer.HandOver](d.reclaim())
	move, _ := lastOf[answer.HandOver](d.answered(first))
	d.answered(move)
	is.Equal(d.reducer.InProgress(), 0)
	r := rail.NewRequest("late", "shop", "briefs", d.now).WithPrompt("late", 1000)
	effects := d.reduce(answer.NewAccepted(r, briefs))
	is.Equal(countOf[rail.Dispatch](effects), 0)
	sent, _ := lastOf[answer.HandOver](effects)
	is.Equal(sent.Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(countOf[answer.Moved](d.answered(sent)), 1)
}

func TestRequestStoppedAfterItsCopyIsNotMovedByTheCopy(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1, entryAt("e1", "edolo"))
	// The stream is fast enough to end in time.
	d.advance(time.Second)
	d.reduce(answer.NewMarked("r0", 1, 900))
	copied, _ := lastOf[answer.HandOver](d.reclaim())
	is.True(copied.Transfers()[0].ResumeDelay() > 0)
	d.answered(copied)
	again, _ := lastOf[answer.HandOver](d.advance(600 * time.Millisecond))
	is.True(again.Transfers()[0].ResumeDelay() > 0)
	// The stream fails after a copy was sent; the copy lacks tokens that the caller may already have.
	d.reduce(answer.NewFailed("r0", 1, rail.KindUpstreamFailed, 950))
	d.advance(100 * time.Millisecond)
	effects := d.answered(again)
	is.Equal(countOf[answer.Moved](effects), 0)
	move, _ := lastOf[answer.HandOver](effects)
	is.Equal(move.Transfers()[0].ResumeDelay(), time.Duration(0))
	is.Equal(countOf[answer.Moved](d.answered(move)), 1)
}

func TestFailedSuccessorIsReplaced(t *testing.T) {
	tests := []struct {
		name  string
		kind  rail.Kind
		tries int
	}{
		{"is leaving", rail.KindLeaving, 1},
		{"has no document", rail.KindNotReady, 1},
		{"is unreachable", rail.KindUpstreamFailed, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newLeavingDriver(1, entryAt("e1", "edolo"), entryAt("e2", "darfo"))
			first, _ := lastOf[answer.HandOver](d.reclaim())
			h := first
			for range tt.tries {
				is.Equal(h.Successor(), first.Successor())
				h, _ = lastOf[answer.HandOver](d.lost(h, tt.kind))
			}
			is.True(h.Successor().ID() != first.Successor().ID())
		})
	}
}

func TestReclaimedSuccessorIsReplaced(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1, entryAt("e1", "edolo"), entryAt("e2", "darfo"))
	first, _ := lastOf[answer.HandOver](d.reclaim())
	second, sent := lastOf[answer.HandOver](d.reduce(rail.NewInstanceLeaving(first.Successor().ID(), "peer")))
	is.True(sent)
	is.True(second.Successor().ID() != first.Successor().ID())
	is.Equal(countOf[answer.HandOver](d.answered(first)), 0) // this handover was sent to the earlier successor
}

func TestStoppedRequestResumesHereWithoutSuccessor(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(1, entryAt("e1", "edolo"))
	first, _ := lastOf[answer.HandOver](d.reclaim())
	move, _ := lastOf[answer.HandOver](d.answered(first))
	again, _ := lastOf[answer.HandOver](d.lost(move, rail.KindUpstreamFailed))
	effects := d.lost(again, rail.KindUpstreamFailed)
	is.Equal(countOf[answer.HandOver](effects), 0)
	is.Equal(countOf[rail.Dispatch](effects), 1)
	is.Equal(countOf[answer.HandOver](d.advance(600*time.Millisecond)), 1) // tried again later
}

func TestTakeover(t *testing.T) {
	request := rail.NewRequest("r1", "shop", "briefs", time.Unix(1e9, 0)).WithPrompt("r1", 100)
	now := answer.NewTransfer(request, 3, 0).WithAnswer(answer.NewSnapshot([]string{"a ", "b "}))
	later := answer.NewTransfer(request, 2, 2*time.Second).WithAnswer(answer.NewSnapshot([]string{"a "}))
	done := answer.NewTransfer(request, 2, 0).WithAnswer(answer.NewSnapshot(nil).WithEnd(rail.KindNone, rail.ServiceReply{}))
	tests := []struct {
		name       string
		events     []rail.Event
		wait       time.Duration
		starts     int
		inProgress int
	}{
		{"starts at once", []rail.Event{handoverOf(now)}, 0, 1, 1},
		{"starts once if the handover is repeated", []rail.Event{handoverOf(now), handoverOf(now), handoverOf(later)}, 3 * time.Second, 1, 1},
		{"waits for the resume delay", []rail.Event{handoverOf(later)}, time.Second, 0, 1},
		{"starts after the resume delay", []rail.Event{handoverOf(later)}, 3 * time.Second, 1, 1},
		{"starts when the caller reconnects", []rail.Event{handoverOf(later), answer.NewAttached("r1")}, 0, 1, 1},
		{"starts when the request was stopped there", []rail.Event{handoverOf(later), handoverOf(now)}, 0, 1, 1},
		{"drops a request that ended there", []rail.Event{handoverOf(later), handoverOf(done)}, 3 * time.Second, 0, 0},
		{"does not start a request that ended there", []rail.Event{handoverOf(done)}, 3 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(answer.Defaults(), engineAt("m1", "breno"))
			d.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
			var effects []rail.Effect
			for _, e := range tt.events {
				effects = append(effects, d.reduce(e)...)
			}
			effects = append(effects, d.advance(tt.wait)...)
			is.Equal(countOf[rail.Dispatch](effects), tt.starts)
			is.Equal(d.reducer.InProgress(), tt.inProgress)
			for _, response := range allOf[answer.HandoverResponse](effects) {
				is.Equal(response.Kind(), rail.KindNone)
			}
		})
	}
}

func TestTakeoverPrefersTheUpstreamOfTheLastAttempt(t *testing.T) {
	request := rail.NewRequest("r1", "shop", "briefs", time.Unix(1e9, 0)).WithPrompt("r1", 100)
	for _, id := range []rail.InstanceID{"m1", "m2", "m3"} {
		is := is.New(t)
		d := newDriver(answer.Defaults(), engineAt("m1", "breno"), engineAt("m2", "edolo"), engineAt("m3", "darfo"))
		d.reduce(rail.NewDocumentInForce(rail.NewDocument("trial", 1, nil, []rail.Route{briefs}, nil, "")))
		sent, _ := lastOf[rail.Dispatch](d.reduce(handoverOf(answer.NewTransfer(request, 1, 0).WithUpstream(id))))
		is.Equal(sent.Upstream().ID(), id)
		// The preference holds for one attempt: after a failure another upstream is chosen.
		again, _ := lastOf[rail.Dispatch](append(d.reduce(answer.NewFailed("r1", 2, rail.KindUpstreamFailed, 0)), d.advance(time.Second)...))
		is.True(again.Upstream().ID() != id)
	}
}

func TestTransferNamesNoLeavingUpstream(t *testing.T) {
	is := is.New(t)
	d := newLeavingDriver(4, entryAt("e1", "edolo"))
	d.reduce(rail.NewInstanceLeaving("m1", "notice"))
	for _, h := range allOf[answer.HandOver](d.reclaim()) {
		for _, transfer := range h.Transfers() {
			is.True(transfer.Upstream() != "m1")
		}
	}
}

func handoverOf(t answer.Transfer) rail.Event {
	return answer.NewHandoverReceived("call", []answer.Transfer{t})
}

func TestTakeoverRefused(t *testing.T) {
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
			d.reduce(tt.before)
			response, _ := lastOf[answer.HandoverResponse](d.reduce(handoverOf(transfer)))
			is.Equal(response.Kind(), tt.kind)
			is.Equal(d.reducer.InProgress(), 0)
		})
	}
}
