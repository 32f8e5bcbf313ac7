package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
)

const (
	// maxFetchWait bounds how long a call for an answer is held.
	maxFetchWait = 10 * time.Second
	// maxAnswerBytes bounds a message of the answer service.
	maxAnswerBytes = 32 << 20
	// gatherTime is how long tokens are gathered in a call that waits at least gatherFrom.
	gatherTime = 100 * time.Millisecond
	gatherFrom = 500 * time.Millisecond
)

// AnswerOptions are the options for railv1connect.NewAnswerServiceHandler.
func AnswerOptions() connect.HandlerOption { return connect.WithReadMaxBytes(maxAnswerBytes) }

// AnswerServer serves the answers of this entry to the other entries.
type AnswerServer struct {
	desk  rail.Mailbox
	store *answer.Store
}

// NewAnswerServer returns a handler for railv1connect.NewAnswerServiceHandler.
func NewAnswerServer(desk rail.Mailbox, store *answer.Store) *AnswerServer {
	return &AnswerServer{desk: desk, store: store}
}

var _ railv1connect.AnswerServiceHandler = (*AnswerServer)(nil)

// HandOverAnswers takes the requests of a leaving entry.
func (s *AnswerServer) HandOverAnswers(ctx context.Context, r *connect.Request[railv1.HandOverAnswersRequest]) (*connect.Response[railv1.HandOverAnswersResponse], error) {
	transfers := s.unfinished(r.Msg.GetTransfers())
	// The tokens come before the reducer starts an attempt that goes on from them.
	adopted := s.adopt(transfers)
	call := rail.RequestID(r.Msg.GetCall())
	effect, err := s.desk.Ask(ctx, call, answer.NewHandedIn(call, transfers))
	if err != nil {
		// The reducer may still take the requests, so their tokens stay.
		return nil, ConnectError(err)
	}
	if err := takenError(effect); err != nil {
		s.drop(adopted)
		return nil, ConnectError(err)
	}
	return connect.NewResponse(&railv1.HandOverAnswersResponse{}), nil
}

// unfinished leaves out the requests that have ended here.
func (s *AnswerServer) unfinished(ms []*railv1.AnswerTransfer) []answer.Transfer {
	ts := make([]answer.Transfer, 0, len(ms))
	for _, m := range ms {
		if !s.store.Done(rail.RequestID(m.GetId())) {
			ts = append(ts, transferFrom(m))
		}
	}
	return ts
}

// adopt puts the answers into the store and returns those that it did not hold.
func (s *AnswerServer) adopt(ts []answer.Transfer) []rail.RequestID {
	var adopted []rail.RequestID
	for _, t := range ts {
		id := t.Request().ID()
		if _, held := s.store.Owner(id); !held {
			adopted = append(adopted, id)
		}
		s.store.Adopt(t.Request(), t.Answer())
	}
	return adopted
}

func (s *AnswerServer) drop(ids []rail.RequestID) {
	for _, id := range ids {
		s.store.Drop(id)
	}
}

func takenError(effect rail.CallEffect) error {
	taken, ok := effect.(answer.HandoverTaken)
	if !ok {
		return rail.NewError(rail.KindInternal, "unexpected effect %s", effect.EffectName())
	}
	if taken.Kind() != rail.KindNone {
		return rail.NewError(taken.Kind(), "handover refused")
	}
	return nil
}

// FetchAnswer waits for tokens of an answer of the team.
func (s *AnswerServer) FetchAnswer(ctx context.Context, r *connect.Request[railv1.FetchAnswerRequest]) (*connect.Response[railv1.FetchAnswerResponse], error) {
	id := rail.RequestID(r.Msg.GetId())
	owner, held := s.store.Owner(id)
	if !held || owner != rail.TeamName(r.Msg.GetTeam()) {
		return nil, ConnectError(rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id))
	}
	if !s.store.Done(id) {
		s.desk.Post(answer.NewAttached(id))
	}
	wait := min(time.Duration(r.Msg.GetWaitMillis())*time.Millisecond, maxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	chunks, done, kind, err := s.read(ctx, id, int(r.Msg.GetFrom()), wait)
	if err != nil && ctx.Err() == nil {
		return nil, ConnectError(err)
	}
	m := &railv1.FetchAnswerResponse{}
	for _, c := range chunks {
		m.Tokens = append(m.Tokens, []byte(c.Text()))
	}
	if done {
		reply, _ := s.store.Reply(id)
		m.End = endMessage(kind, reply)
	}
	return connect.NewResponse(m), nil
}

// read returns what comes within the wait; one that follows the answer gets several tokens in one call.
func (s *AnswerServer) read(ctx context.Context, id rail.RequestID, from int, wait time.Duration) ([]rail.Chunk, bool, rail.Kind, error) {
	chunks, done, kind, err := s.store.Read(ctx, id, from)
	if err != nil || done || wait < gatherFrom {
		return chunks, done, kind, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(gatherTime):
	}
	// What is held already is returned without a wait.
	return s.store.Read(context.WithoutCancel(ctx), id, from)
}
