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
	// fetchMargin is how much longer a fetch may take than the wait that it requests.
	fetchMargin = 500 * time.Millisecond
	// maxCachedClients bounds the cached clients; addresses change as entries are replaced.
	maxCachedClients = 1000
)

// AnswerClient calls the answer service of other entries.
type AnswerClient struct {
	httpClient connect.HTTPClient
	scheme     string
	self       rail.Incarnation
	calls      atomic.Uint64
	options    []connect.ClientOption

	mu      sync.Mutex
	clients map[string]railv1connect.AnswerServiceClient
}

// NewAnswerClient returns a client for the entry with the incarnation self; scheme is http or https.
func NewAnswerClient(httpClient connect.HTTPClient, scheme string, self rail.Incarnation, options ...connect.ClientOption) *AnswerClient {
	return &AnswerClient{
		httpClient: httpClient, scheme: scheme, self: self,
		options: append(options, connect.WithReadMaxBytes(maxAnswerBytes)),
		clients: map[string]railv1connect.AnswerServiceClient{},
	}
}

var _ answer.PeerClient = (*AnswerClient)(nil)

// HandOver asks the successor to finish the requests.
func (c *AnswerClient) HandOver(ctx context.Context, successor rail.Instance, transfers []answer.Transfer) error {
	call := fmt.Sprintf("handover-%s-%d", c.self, c.calls.Add(1))
	m := &railv1.HandOverAnswersRequest{Call: call}
	for _, t := range transfers {
		m.Transfers = append(m.Transfers, transferMessage(t))
	}
	_, err := c.clientFor(successor).HandOverAnswers(ctx, connect.NewRequest(m))
	return callError(err)
}

// Fetch waits up to the given time for tokens of the team's answer.
func (c *AnswerClient) Fetch(ctx context.Context, entry rail.Instance, team rail.TeamName, id rail.RequestID, from int, wait time.Duration) (answer.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+fetchMargin)
	defer cancel()
	r, err := c.clientFor(entry).FetchAnswer(ctx, connect.NewRequest(&railv1.FetchAnswerRequest{
		Id: string(id), Team: string(team), From: int64(from), WaitMillis: wait.Milliseconds(),
	}))
	if err != nil {
		return answer.ReadResult{}, callError(err)
	}
	chunks := make([]rail.Chunk, 0, len(r.Msg.GetTokens()))
	for i, token := range r.Msg.GetTokens() {
		chunks = append(chunks, rail.NewChunk(from+i, string(token)))
	}
	end := r.Msg.GetEnd()
	return answer.NewReadResult(chunks, end != nil, rail.Kind(end.GetKind()), replyFrom(end)), nil
}

func (c *AnswerClient) clientFor(i rail.Instance) railv1connect.AnswerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.clients[i.PeerAddress()]; ok {
		return s
	}
	if len(c.clients) >= maxCachedClients {
		clear(c.clients)
	}
	s := railv1connect.NewAnswerServiceClient(c.httpClient, c.scheme+"://"+i.PeerAddress(), c.options...)
	c.clients[i.PeerAddress()] = s
	return s
}

// callError wraps the error with the kind that the other entry reported, KindUpstreamFailed if it reported none.
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
