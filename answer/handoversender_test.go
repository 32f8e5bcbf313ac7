package answer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/group"
)

// lateTokenPeer is a peer client during whose handover call the stopped stream delivers another token.
type lateTokenPeer struct {
	store *answer.Store
	sent  []answer.Transfer
	late  error
}

func (p *lateTokenPeer) HandOver(_ context.Context, _ rail.Instance, ts []answer.Transfer) error {
	p.sent = append(p.sent, ts...)
	_, p.late = p.store.Append("r1", 1, rail.NewChunk(1, "late "))
	return nil
}

func (*lateTokenPeer) Fetch(context.Context, rail.Instance, rail.TeamName, rail.RequestID, int, time.Duration) (answer.ReadResult, error) {
	return answer.ReadResult{}, nil
}

// recordingMailbox is a mailbox that keeps the posted events.
type recordingMailbox struct{ events chan rail.Event }

func (m recordingMailbox) Post(e rail.Event) bool { m.events <- e; return true }

func (recordingMailbox) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, nil //nolint:nilnil // no test asks
}

func TestNoTokenIsAppendedAfterAMovedAnswerWasSent(t *testing.T) {
	tests := []struct {
		name string
		wait time.Duration
		kind rail.Kind
	}{
		{"moved", 0, rail.KindCancelled},
		{"copied", time.Second, rail.KindNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := answer.NewStore(answer.Defaults())
			_, _, err := s.BeginAttempt("r1", 1)
			is.NoErr(err)
			_, err = s.Append("r1", 1, rail.NewChunk(0, "a "))
			is.NoErr(err)
			g := group.New(t.Context())
			p, mailbox := &lateTokenPeer{store: s}, recordingMailbox{make(chan rail.Event, 1)}
			sender := answer.NewHandoverSender(answer.Defaults(), s, p, mailbox, g)
			r := rail.NewRequest("r1", "shop", "briefs", time.Now())
			sender.Run(answer.NewHandOver(entryAt("e1", "edolo"), 7, []answer.Transfer{answer.NewTransfer(r, 2, tt.wait)}))
			g.Wait()
			is.Equal(<-mailbox.events, rail.Event(answer.NewHandoverAnswered("e1", 7)))
			is.Equal(p.sent[0].Answer().Tokens(), []string{"a "})
			is.Equal(rail.KindOf(p.late), tt.kind)
		})
	}
}

// lossyPeer is a peer client that loses the first handovers of finished answers.
type lossyPeer struct {
	lateTokenPeer
	lose int
	done map[rail.RequestID]int
}

func (p *lossyPeer) HandOver(_ context.Context, _ rail.Instance, ts []answer.Transfer) error {
	if len(ts) > 0 && ts[0].Answer().Done() {
		p.lose--
		if p.lose >= 0 {
			return rail.NewError(rail.KindUpstreamFailed, "lost")
		}
	}
	for _, t := range ts {
		if t.Answer().Done() {
			p.done[t.Request().ID()]++
		}
	}
	return nil
}

func TestFinishedAnswersAreSentAgainAfterALoss(t *testing.T) {
	is := is.New(t)
	s := answer.NewStore(answer.Defaults())
	for _, id := range []rail.RequestID{"a", "b", "c"} {
		s.Open(id, "shop")
		s.Finish(id, rail.KindNone, rail.NewServiceReply(200, "", make([]byte, 300<<10)))
	}
	g := group.New(t.Context())
	p, mailbox := &lossyPeer{lose: 1, done: map[rail.RequestID]int{}}, recordingMailbox{make(chan rail.Event, 3)}
	sender := answer.NewHandoverSender(answer.Defaults(), s, p, mailbox, g)
	for sequence := range 3 {
		sender.Run(answer.NewHandOver(entryAt("e1", "edolo"), sequence, nil))
		g.Wait()
	}
	is.Equal(p.done, map[rail.RequestID]int{"a": 1, "b": 1, "c": 1})
}
