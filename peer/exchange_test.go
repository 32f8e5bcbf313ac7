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

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/peer"
)

const source = "[environment]\nname = trial\n[team.members]\ntokenHash = " +
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n" +
	"[route.frames]\nkind = model\nserves = frame-writer\nidempotent = true\nstable = v1\n"

// partsDesk answers calls by the parts of one entry.
type partsDesk struct {
	mu    sync.Mutex
	parts []rail.Reducer
}

// Post implements rail.Desk.
func (d *partsDesk) Post(e rail.Event) bool {
	_, _ = d.Ask(context.Background(), "", e)
	return true
}

// Ask implements rail.Desk.
func (d *partsDesk) Ask(_ context.Context, id rail.RequestID, e rail.Event) (rail.CallEffect, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var answer rail.CallEffect
	for _, p := range d.parts {
		for _, effect := range p.Reduce(rail.NewInput(e, time.Unix(0, 0), 1)) {
			if call, ok := effect.(rail.CallEffect); ok && call.Call() == id {
				answer = call
			}
		}
	}
	return answer, nil
}

// countingConn counts what goes over a connection in both directions.
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

// newExchange serves the parts of an entry and returns a client, the entry, its desk and the count of bytes on the wire.
func newExchange(t *testing.T) (*peer.ExchangeClient, rail.Instance, *partsDesk, *atomic.Int64) {
	t.Helper()
	desk := &partsDesk{}
	mux := http.NewServeMux()
	mux.Handle(railv1connect.NewExchangeServiceHandler(peer.NewExchangeServer(desk), peer.ExchangeOptions()))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	me := rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1").WithIncarnation("e1-a").
		WithPeerAddress(strings.TrimPrefix(server.URL, "http://"))
	members := instance.New(me)
	desk.parts = []rail.Reducer{members, digest.New(members), document.New(document.ForEnvironment("trial"))}
	wire := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, wire}, err
	}
	transport := &http.Transport{DialContext: dial}
	t.Cleanup(transport.CloseIdleConnections)
	return peer.NewExchangeClient(&http.Client{Transport: transport}, "http"), me, desk, wire
}

func TestDocumentAndInstancesOverTheWire(t *testing.T) {
	is := is.New(t)
	c, me, desk, _ := newExchange(t)
	is.Equal(c.Document(t.Context(), me), rail.Event(document.NewOffered(rail.Document{})))
	d, faults := document.Parse(source)
	is.Equal(len(faults), 0)
	desk.Post(document.NewOffered(d.WithNumber(7)))
	is.Equal(c.Document(t.Context(), me), rail.Event(document.NewOffered(d.WithNumber(7))))
	m1 := rail.NewInstance("m1", "edolo", rail.RoleEngine, "127.0.0.1:2").WithServing("frame-writer", "v1").WithClass(rail.ClassReclaimable).WithFencing(true)
	desk.Post(rail.NewListRead([]rail.Instance{m1}))
	desk.Post(rail.NewInstanceLeaving("m1", instance.SourceNotice))
	is.Equal(c.Instances(t.Context(), me), rail.Event(instance.NewOffered([]rail.Instance{m1.WithLeaving(), me})))
}

func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	c, me, _, _ := newExchange(t)
	gone := me.WithPeerAddress("127.0.0.1:0")
	is.Equal(c.Document(t.Context(), gone), rail.Event(document.NewFetchFailed("e1-a")))
	is.Equal(c.Instances(t.Context(), gone), rail.Event(digest.NewExchangeFailed(gone)))
}

// exchanges returns what a second entry asks of the first one, which holds facts of so many others.
func exchanges(desk *partsDesk, me rail.Instance, origins int) (rail.Reducer, digest.Exchange) {
	members := instance.New(rail.NewInstance("e2", "breno", rail.RoleEntry, "127.0.0.1:2").WithIncarnation("e2-a"))
	members.Reduce(rail.NewInput(rail.NewListRead([]rail.Instance{me}), time.Unix(0, 0), 1))
	other := digest.New(members)
	for i := range origins {
		key := rail.NewFactKey(rail.FactDemand, "members", rail.Incarnation(fmt.Sprintf("%032x", i)))
		batch := digest.NewBatch(key.Origin(), false, 0, 300, []rail.Fact{rail.NewFact(key, 300, "12.5")})
		desk.Post(digest.NewAsked("", digest.NewRequest(digest.Summary{}, []digest.Batch{batch}, nil)))
	}
	for _, e := range other.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), time.Unix(1, 0), 1)) {
		if x, ok := e.(digest.Exchange); ok {
			return other, x
		}
	}
	return other, digest.Exchange{}
}

// TestExchangeOverTheWire lets a fresh entry learn all facts, and reports the bytes of an exchange in which nothing is new.
func TestExchangeOverTheWire(t *testing.T) {
	for _, origins := range []int{9, 81, 330} {
		t.Run(fmt.Sprint(origins), func(t *testing.T) {
			is := is.New(t)
			c, me, desk, wire := newExchange(t)
			other, x := exchanges(desk, me, origins)
			learnt := 0
			// The first answer says that the sets differ, the second one carries all facts.
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
			is.Equal(learnt, origins+1) // and that the first entry is alive
			before := wire.Load()
			for _, e := range other.Reduce(rail.NewInput(rail.NewTimerFired("digest.tick"), time.Unix(2, 0), 1)) {
				if x, ok := e.(digest.Exchange); ok {
					_ = c.Exchange(t.Context(), x)
				}
			}
			t.Logf("%d origins: %d bytes on the wire for an exchange with nothing new", origins, wire.Load()-before)
		})
	}
}
