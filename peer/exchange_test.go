package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/peer"
)

const documentSource = "[environment]\nname = trial\n[team.members]\ntokenHash = " +
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n" +
	"[route.frames]\nkind = model\nserves = frame-writer\nidempotent = true\nstable = v1\n"

// reducerMailbox passes events to the reducers of one entry and returns their response at once.
type reducerMailbox struct {
	mu       sync.Mutex
	reducers []rail.Reducer
}

// Post implements rail.Mailbox.
func (m *reducerMailbox) Post(e rail.Event) bool {
	_, _ = m.Ask(context.Background(), "", e)
	return true
}

// Ask implements rail.Mailbox.
func (m *reducerMailbox) Ask(_ context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var answer rail.CallEffect
	for _, reducer := range m.reducers {
		for _, effect := range reducer.Reduce(rail.NewInput(e, time.Unix(0, 0), 1)) {
			if call, ok := effect.(rail.CallEffect); ok && call.Call() == id {
				answer = call
			}
		}
	}
	return answer, nil
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// newExchange serves the reducers of an entry and returns a client, the entry, its mailbox and the number of bytes on the wire.
func newExchange(t *testing.T) (*peer.ExchangeClient, rail.Instance, *reducerMailbox, *atomic.Int64) {
	t.Helper()
	mailbox := &reducerMailbox{}
	mux := http.NewServeMux()
	mux.Handle(railv1connect.NewExchangeServiceHandler(peer.NewExchangeServer(mailbox), peer.ExchangeOptions()))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	self := rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1").WithIncarnation("e1-a").
		WithPeerAddress(strings.TrimPrefix(server.URL, "http://"))
	members := instance.New(self)
	mailbox.reducers = []rail.Reducer{members, digest.New(members), document.New(document.ForEnvironment("trial"))}
	wireBytes := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, wireBytes}, err
	}
	transport := &http.Transport{DialContext: dial}
	t.Cleanup(transport.CloseIdleConnections)
	return peer.NewExchangeClient(&http.Client{Transport: transport}, "http"), self, mailbox, wireBytes
}

func TestDocumentAndInstancesOverTheWire(t *testing.T) {
	is := is.New(t)
	c, self, mailbox, _ := newExchange(t)
	is.Equal(c.Document(t.Context(), self), rail.Event(document.NewFetched(rail.Document{})))
	d, faults := document.Parse(documentSource)
	is.Equal(len(faults), 0)
	mailbox.Post(document.NewFetched(d.WithNumber(7)))
	is.Equal(c.Document(t.Context(), self), rail.Event(document.NewFetched(d.WithNumber(7))))
	m1 := rail.NewInstance("m1", "edolo", rail.RoleEngine, "127.0.0.1:2").WithServing("frame-writer", "v1").WithClass(rail.ClassReclaimable).WithFencing(true)
	mailbox.Post(rail.NewListRead([]rail.Instance{m1}))
	mailbox.Post(rail.NewInstanceLeaving("m1", instance.SourceNotice))
	is.Equal(c.Instances(t.Context(), self), rail.Event(instance.NewFetched([]rail.Instance{m1.WithLeaving(), self})))
}

func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	c, self, _, _ := newExchange(t)
	unreachable := self.WithPeerAddress("127.0.0.1:0")
	is.Equal(c.Document(t.Context(), unreachable), rail.Event(document.NewFetchFailed("e1-a")))
	is.Equal(c.Instances(t.Context(), unreachable), rail.Event(digest.NewExchangeFailed(unreachable)))
}

// firstExchange fills the mailbox of the target with facts of the given number of origins and returns
// the digest of a new entry and its first exchange with the target.
func firstExchange(mailbox *reducerMailbox, target rail.Instance, origins int) (rail.Reducer, digest.Exchange) {
	members := instance.New(rail.NewInstance("e2", "breno", rail.RoleEntry, "127.0.0.1:2").WithIncarnation("e2-a"))
	members.Reduce(rail.NewInput(rail.NewListRead([]rail.Instance{target}), time.Unix(0, 0), 1))
	other := digest.New(members)
	for i := range origins {
		key := rail.NewFactKey(rail.FactDemand, "members", rail.Incarnation(fmt.Sprintf("%032x", i)))
		batch := digest.NewBatch(key.Origin(), false, 0, 300, []rail.Fact{rail.NewFact(key, 300, "12.5")})
		mailbox.Post(digest.NewRequestReceived("", digest.NewRequest(digest.Summary{}, []digest.Batch{batch}, nil)))
	}
	for _, e := range other.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), time.Unix(1, 0), 1)) {
		if x, ok := e.(digest.Exchange); ok {
			return other, x
		}
	}
	return other, digest.Exchange{}
}

// TestExchangeOverTheWire checks that a new entry learns all facts, and logs the bytes of an exchange with nothing new.
func TestExchangeOverTheWire(t *testing.T) {
	for _, origins := range []int{9, 81, 330} {
		t.Run(fmt.Sprint(origins), func(t *testing.T) {
			is := is.New(t)
			c, self, mailbox, wireBytes := newExchange(t)
			other, x := firstExchange(mailbox, self, origins)
			learnt := 0
			// The first response reports that the sets of origins differ, the second one carries all facts.
			for range 2 {
				reply := c.Exchange(t.Context(), x)
				for _, e := range other.Reduce(rail.NewInput(reply, time.Unix(1, 0), 1)) {
					switch e := e.(type) {
					case digest.Exchange:
						x = e
					case rail.Raise:
						learnt += len(e.Event().(rail.FactsLearned).Facts())
					}
				}
			}
			is.Equal(learnt, origins+1) // plus the fact that the target is alive
			before := wireBytes.Load()
			for _, e := range other.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), time.Unix(2, 0), 1)) {
				if x, ok := e.(digest.Exchange); ok {
					_ = c.Exchange(t.Context(), x)
				}
			}
			t.Logf("%d origins: %d bytes on the wire for an exchange with nothing new", origins, wireBytes.Load()-before)
		})
	}
}

// fullMailbox rejects every event.
type fullMailbox struct{ rail.Mailbox }

func (fullMailbox) Ask(context.Context, rail.RequestID, rail.Event) (rail.CallEffect, error) {
	return nil, rail.NewError(rail.KindOverloaded, "the queue is full")
}

// The error of a call tells its kind, as in the other services between entries.
func TestExchangeErrorHasItsKind(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.Handle(railv1connect.NewExchangeServiceHandler(peer.NewExchangeServer(fullMailbox{}), peer.ExchangeOptions()))
	server := httptest.NewServer(mux)
	defer server.Close()
	_, err := railv1connect.NewExchangeServiceClient(server.Client(), server.URL).FetchDocument(t.Context(), connect.NewRequest(&railv1.FetchDocumentRequest{}))
	is.Equal(peer.ErrorKind(err), rail.KindOverloaded)
}
