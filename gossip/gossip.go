package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gateway"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
)

const (
	// exchangeTimeout bounds an exchange or a mirror call; it allows for a few round trips between failure domains.
	exchangeTimeout = 350 * time.Millisecond
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 5 * time.Second
	// retryDelay is the time after a failed exchange before the peer is called again.
	retryDelay = 2 * time.Second
	// maxMessageBytes bounds a received message.
	maxMessageBytes = 8 << 20
	// maxMirrorPeers is the number of peers that Mirror tries.
	maxMirrorPeers = 2
)

// Gossip exchanges digests with the registered peers.
type Gossip struct {
	gateway  *gateway.Gateway
	log      gateway.Log
	group    rail.Group
	client   *http.Client
	watchers map[string]*gateway.Watcher
	// unreachable holds the unreachable peers with the time of the last failed exchange.
	unreachable map[string]time.Time
}

var _ gateway.MirrorClient = (*Gossip)(nil)

// New returns the gossip of a gateway; the watchers, by topic, follow what peers may mirror, and may be added until Run is started.
func New(g *gateway.Gateway, watchers map[string]*gateway.Watcher, log gateway.Log, group rail.Group) *Gossip {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: rail.MaxHeadBytes}
	return &Gossip{
		gateway: g, watchers: watchers, log: log, group: group, client: &http.Client{Transport: transport, Timeout: exchangeTimeout},
		unreachable: map[string]time.Time{},
	}
}

// Run exchanges digests until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	t := time.NewTimer(g.interval())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			t.Reset(g.interval()) // Before the round, so that its length does not delay the next one.
			g.round(ctx)
		}
	}
}

// interval returns the time until the next round.
func (g *Gossip) interval() time.Duration {
	var d time.Duration
	g.gateway.View(func(s *gateway.State) { d = s.DigestInterval() })
	return d
}

// round exchanges digests with the peers that are due and waits for all replies.
func (g *Gossip) round(ctx context.Context) {
	var contacts []gateway.Contact
	g.gateway.View(func(s *gateway.State) {
		contacts = s.Contacts(func(name string) (unreachable, retry bool) {
			last, unreachable := g.unreachable[name]
			return unreachable, time.Since(last) >= retryDelay
		})
	})
	results := make(chan result, len(contacts))
	digest := digestMessage(g.gateway.Digest(), g.watchers)
	for _, c := range contacts {
		g.group.Go(func(context.Context) { results <- result{c.Name(), g.exchange(ctx, c.Address(), digest)} })
	}
	failed := false
	for range contacts {
		r := <-results
		g.recordResult(r)
		failed = failed || r.err != nil
	}
	if failed {
		g.client.CloseIdleConnections() // An idle connection may be dead while new ones work.
	}
}

// digestMessage returns the message of the digest, with the offset up to which this gateway has read each topic.
func digestMessage(d gateway.Digest, watchers map[string]*gateway.Watcher) *railv1.GatewayDigest {
	m := d.Message()
	m.Read, m.ReadEras, m.ReadAgeMs = make(map[string]int64, len(watchers)), make(map[string]int64, len(watchers)), make(map[string]int64, len(watchers))
	for topic, w := range watchers {
		if next, ok := w.Next(); ok {
			m.Read[topic], m.ReadEras[topic] = next.Offset(), next.Era()
		}
		if age, ok := w.Age(); ok {
			m.ReadAgeMs[topic] = age.Milliseconds()
		}
	}
	return m
}

// receive applies a peer's digest and wakes the watchers of the topics that the peer has read further.
func receive(g *gateway.Gateway, watchers map[string]*gateway.Watcher, m *railv1.GatewayDigest, wantsReply bool) {
	e := gateway.NewDigestReceived(gateway.DigestFrom(m))
	if wantsReply {
		e = e.WithReplyRequested()
	}
	g.Post(e)
	for topic, next := range m.GetRead() {
		if w, ok := watchers[topic]; ok {
			w.Notify(m.GetGateway(), gateway.NewPosition(m.GetReadEras()[topic], next), readTime(m, topic))
		}
	}
}

// readTime returns the time at which the topic ended at the offset in the digest, zero if the peer does not report it.
func readTime(m *railv1.GatewayDigest, topic string) time.Time {
	age, ok := m.GetReadAgeMs()[topic]
	if !ok {
		return time.Time{}
	}
	return time.Now().Add(-time.Duration(age) * time.Millisecond)
}

// result is the outcome of an exchange.
type result struct {
	name string
	err  error
}

// recordResult records whether a peer is reachable and logs changes.
func (g *Gossip) recordResult(r result) {
	_, unreachable := g.unreachable[r.name]
	switch {
	case r.err != nil:
		g.unreachable[r.name] = time.Now()
		if !unreachable {
			g.log.Write(rail.EventPeerUnreachable, gateway.NewField("peer", r.name), gateway.NewField("error", r.err.Error()))
		}
	case unreachable:
		delete(g.unreachable, r.name)
		g.log.Write(rail.EventPeerReachable, gateway.NewField("peer", r.name))
	}
}

func (g *Gossip) peerClient(address string) railv1connect.GatewayServiceClient {
	return railv1connect.NewGatewayServiceClient(g.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

func (g *Gossip) exchange(ctx context.Context, address string, d *railv1.GatewayDigest) error {
	r, err := g.peerClient(address).Exchange(ctx, connect.NewRequest(&railv1.ExchangeDigestRequest{Digest: d}))
	if err != nil {
		return errors.Wrap(err, "Gossip.exchange")
	}
	receive(g.gateway, g.watchers, r.Msg.GetDigest(), false)
	return nil
}

// Mirror implements gateway.MirrorClient.
func (g *Gossip) Mirror(ctx context.Context, topic, peer string, from gateway.Position) (gateway.Batch, string, error) {
	addresses := map[string]string{}
	var readers []string
	g.gateway.View(func(s *gateway.State) {
		readers = s.StoreReaders()
		if peer != "" && s.Address(peer) != "" {
			readers = []string{peer}
		}
		for _, name := range readers {
			addresses[name] = s.Address(name)
		}
	})
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	err := errors.New("Gossip.Mirror: no peer can reach the store")
	for _, name := range readers[:min(len(readers), maxMirrorPeers)] {
		r, callErr := g.peerClient(addresses[name]).Mirror(ctx, connect.NewRequest(&railv1.MirrorRequest{Topic: topic, From: from.Offset(), Era: from.Era()}))
		if callErr != nil {
			err = errors.Wrap(callErr, "Gossip.Mirror")
			continue
		}
		if !r.Msg.GetKnown() {
			continue
		}
		records := make([]gateway.Record, 0, len(r.Msg.GetRecords()))
		for _, x := range r.Msg.GetRecords() {
			records = append(records, gateway.NewRecord(x.GetKey(), x.GetValue(), x.GetOffset()))
		}
		return gateway.NewBatch(records, r.Msg.GetNext()).WithEra(r.Msg.GetEra()), name, nil
	}
	return gateway.Batch{}, "", err
}
