package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
)

const (
	// fetchSlack is how much longer the asking entry waits than it asked for.
	fetchSlack = 500 * time.Millisecond
	// maxServices bounds the clients that are kept; addresses change as entries are replaced.
	maxServices = 1000
)

// AnswerClient reaches the answers of other entries.
type AnswerClient struct {
	client  connect.HTTPClient
	scheme  string
	self    rail.Incarnation
	calls   atomic.Uint64
	options []connect.ClientOption

	mu       sync.Mutex
	services map[string]railv1connect.AnswerServiceClient
}

// NewAnswerClient returns a client of the entry of the incarnation; scheme is http or https.
func NewAnswerClient(client connect.HTTPClient, scheme string, self rail.Incarnation, options ...connect.ClientOption) *AnswerClient {
	return &AnswerClient{
		client: client, scheme: scheme, self: self,
		options:  append(options, connect.WithReadMaxBytes(maxAnswerBytes)),
		services: map[string]railv1connect.AnswerServiceClient{},
	}
}

var _ answer.Peers = (*AnswerClient)(nil)

// HandOver asks the entry to finish the requests.
func (c *AnswerClient) HandOver(ctx context.Context, successor rail.Instance, ts []answer.Transfer) error {
	call := fmt.Sprintf("handover-%s-%d", c.self, c.calls.Add(1))
	m := &railv1.HandOverAnswersRequest{Call: call}
	for _, t := range ts {
		m.Transfers = append(m.Transfers, transferMessage(t))
	}
	_, err := c.service(successor).HandOverAnswers(ctx, connect.NewRequest(m))
	return callError(err)
}

// Fetch waits at most so long for tokens of the team's answer.
func (c *AnswerClient) Fetch(ctx context.Context, entry rail.Instance, team rail.TeamName, id rail.RequestID, from int, wait time.Duration) (answer.Piece, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+fetchSlack)
	defer cancel()
	r, err := c.service(entry).FetchAnswer(ctx, connect.NewRequest(&railv1.FetchAnswerRequest{
		Id: string(id), Team: string(team), From: int64(from), WaitMillis: wait.Milliseconds(),
	}))
	if err != nil {
		return answer.Piece{}, callError(err)
	}
	chunks := make([]rail.Chunk, 0, len(r.Msg.GetTokens()))
	for i, token := range r.Msg.GetTokens() {
		chunks = append(chunks, rail.NewChunk(from+i, string(token)))
	}
	end := r.Msg.GetEnd()
	return answer.NewPiece(chunks, end != nil, rail.Kind(end.GetKind()), replyFrom(end)), nil
}

func (c *AnswerClient) service(i rail.Instance) railv1connect.AnswerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[i.PeerAddress()]; ok {
		return s
	}
	if len(c.services) >= maxServices {
		clear(c.services)
	}
	s := railv1connect.NewAnswerServiceClient(c.client, c.scheme+"://"+i.PeerAddress(), c.options...)
	c.services[i.PeerAddress()] = s
	return s
}

// callError gives back the kind that the other entry stated.
func callError(err error) error {
	if err == nil {
		return nil
	}
	kind := ErrorKind(err)
	if kind == rail.KindNone {
		kind = rail.KindUpstreamFailed
	}
	return rail.WrapError(err, kind, "asking an entry")
}
