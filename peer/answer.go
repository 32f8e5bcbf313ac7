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
	// maxFetchWait bounds how long a call of FetchAnswer waits for tokens.
	maxFetchWait = 10 * time.Second
	// maxAnswerBytes bounds a message of the answer service.
	maxAnswerBytes = 32 << 20
	// batchDelay is how long a call that waits at least batchMinWait collects tokens before it returns.
	batchDelay   = 100 * time.Millisecond
	batchMinWait = 500 * time.Millisecond
)

// AnswerOptions are the options for railv1connect.NewAnswerServiceHandler.
func AnswerOptions() connect.HandlerOption { return connect.WithReadMaxBytes(maxAnswerBytes) }

// AnswerServer serves the answers of this entry to the other entries.
type AnswerServer struct {
	mailbox rail.Mailbox
	store   *answer.Store
}

// NewAnswerServer returns a handler for railv1connect.NewAnswerServiceHandler.
func NewAnswerServer(mailbox rail.Mailbox, store *answer.Store) *AnswerServer {
	return &AnswerServer{mailbox: mailbox, store: store}
}

var _ railv1connect.AnswerServiceHandler = (*AnswerServer)(nil)

// HandOverAnswers takes over the requests and the finished answers of a leaving entry.
func (s *AnswerServer) HandOverAnswers(ctx context.Context, r *connect.Request[railv1.HandOverAnswersRequest]) (*connect.Response[railv1.HandOverAnswersResponse], error) {
	transfers := s.unfinished(r.Msg.GetTransfers())
	// The tokens must be stored before the reducer starts an attempt that resumes after them.
	adopted := s.adopt(transfers)
	call := rail.RequestID(r.Msg.GetCall())
	effect, err := s.mailbox.Ask(ctx, call, answer.NewHandoverReceived(call, transfers))
	if err != nil {
		// The reducer may still accept the requests, so their tokens are kept.
		return nil, ConnectError(err)
	}
	if err := handoverError(effect); err != nil {
		s.drop(adopted)
		return nil, ConnectError(err)
	}
	return connect.NewResponse(&railv1.HandOverAnswersResponse{}), nil
}

// unfinished decodes the transfers and omits requests that have already ended on this entry.
func (s *AnswerServer) unfinished(messages []*railv1.AnswerTransfer) []answer.Transfer {
	transfers := make([]answer.Transfer, 0, len(messages))
	for _, m := range messages {
		if !s.store.Done(rail.RequestID(m.GetId())) {
			transfers = append(transfers, transferFrom(m))
		}
	}
	return transfers
}

// adopt adds the answers to the store and returns the ids of those that it did not hold before.
func (s *AnswerServer) adopt(transfers []answer.Transfer) []rail.RequestID {
	var adopted []rail.RequestID
	for _, t := range transfers {
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
		s.store.DropUnstarted(id)
	}
}

func handoverError(effect rail.CallEffect) error {
	handover, ok := effect.(answer.HandoverResponse)
	if !ok {
		return rail.NewError(rail.KindInternal, "unexpected effect %s", effect.EffectName())
	}
	if handover.Kind() != rail.KindNone {
		return rail.NewError(handover.Kind(), "handover refused")
	}
	return nil
}

// FetchAnswer waits for tokens of an answer and returns them; the answer must belong to the team of the request.
func (s *AnswerServer) FetchAnswer(ctx context.Context, r *connect.Request[railv1.FetchAnswerRequest]) (*connect.Response[railv1.FetchAnswerResponse], error) {
	id := rail.RequestID(r.Msg.GetId())
	owner, held := s.store.Owner(id)
	if !held || owner != rail.TeamName(r.Msg.GetTeam()) {
		return nil, ConnectError(rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id))
	}
	if !s.store.Done(id) {
		s.mailbox.Post(answer.NewAttached(id))
	}
	wait := min(time.Duration(r.Msg.GetWaitMillis())*time.Millisecond, maxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	chunks, done, kind, err := s.readChunks(ctx, id, int(r.Msg.GetFrom()), wait)
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

// readChunks waits for tokens of an answer. With a long wait it collects tokens for batchDelay,
// so that an entry that follows the answer gets several tokens per call.
func (s *AnswerServer) readChunks(ctx context.Context, id rail.RequestID, from int, wait time.Duration) ([]rail.Chunk, bool, rail.Kind, error) {
	chunks, done, kind, err := s.store.Read(ctx, id, from)
	if err != nil || done || wait < batchMinWait {
		return chunks, done, kind, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(batchDelay):
	}
	// Read returns the tokens already held without waiting.
	return s.store.Read(context.WithoutCancel(ctx), id, from)
}
