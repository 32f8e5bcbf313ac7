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

// lateToken is a peer call during which the stopped stream still brings a token.
type lateToken struct {
	store *answer.Store
	sent  []answer.Transfer
	late  error
}

func (p *lateToken) HandOver(_ context.Context, _ rail.Instance, ts []answer.Transfer) error {
	p.sent = append(p.sent, ts...)
	_, p.late = p.store.Append("r1", 1, rail.NewChunk(1, "late "))
	return nil
}

func (*lateToken) Fetch(context.Context, rail.Instance, rail.TeamName, rail.RequestID, int, time.Duration) (answer.ReadResult, error) {
	return answer.ReadResult{}, nil
}

// inbox is a desk that keeps what is posted.
type inbox struct{ events chan rail.Event }

func (b inbox) Post(e rail.Event) bool { b.events <- e; return true }

func (inbox) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, nil //nolint:nilnil // no test asks
}

func TestNoTokenIsTakenAfterAMovedAnswerWasSent(t *testing.T) {
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
			p, b := &lateToken{store: s}, inbox{make(chan rail.Event, 1)}
			m := answer.NewHandoverSender(answer.Defaults(), s, p, b, g)
			r := rail.NewRequest("r1", "shop", "briefs", time.Now())
			m.Run(answer.NewHandOver(entryAt("e1", "edolo"), 7, []answer.Transfer{answer.NewTransfer(r, 2, tt.wait)}))
			g.Wait()
			is.Equal(<-b.events, rail.Event(answer.NewHandoverAnswered("e1", 7)))
			is.Equal(p.sent[0].Answer().Tokens(), []string{"a "})
			is.Equal(rail.KindOf(p.late), tt.kind)
		})
	}
}

// flaky loses the first handovers of finished answers.
type flaky struct {
	lateToken
	lose int
	done map[rail.RequestID]int
}

func (p *flaky) HandOver(_ context.Context, _ rail.Instance, ts []answer.Transfer) error {
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
	p, b := &flaky{lose: 1, done: map[rail.RequestID]int{}}, inbox{make(chan rail.Event, 3)}
	m := answer.NewHandoverSender(answer.Defaults(), s, p, b, g)
	for sequence := range 3 {
		m.Run(answer.NewHandOver(entryAt("e1", "edolo"), sequence, nil))
		g.Wait()
	}
	is.Equal(p.done, map[rail.RequestID]int{"a": 1, "b": 1, "c": 1})
}
