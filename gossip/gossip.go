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
	// Interval is the time between two exchanges with a peer in a small fleet.
	Interval = 400 * time.Millisecond
	// exchangeTimeout bounds an exchange or a mirror call: some round trips between failure domains.
	exchangeTimeout = 350 * time.Millisecond
	// idleTimeout ends idle connections to peers.
	idleTimeout = 5 * time.Second
	// failedFor is how long a peer that did not answer is not called again.
	failedFor = 2 * time.Second
	// maxMessageBytes bounds a message.
	maxMessageBytes = 8 << 20
	// mirrorsAsked is the number of peers that a mirror call tries.
	mirrorsAsked = 2
)

// Gossip exchanges digests with the peers that the store lists.
type Gossip struct {
	gateway  *gateway.Gateway
	log      gateway.Log
	group    rail.Group
	client   *http.Client
	watchers map[string]*gateway.Watcher
	// away holds when the peers that do not answer were last called.
	away map[string]time.Time
}

var _ gateway.MirrorClient = (*Gossip)(nil)

// New returns the gossip of a gateway; the watchers are those of the topics that peers mirror, and may be added before Run is started.
func New(g *gateway.Gateway, watchers map[string]*gateway.Watcher, log gateway.Log, group rail.Group) *Gossip {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true}
	return &Gossip{
		gateway: g, watchers: watchers, log: log, group: group, client: &http.Client{Transport: transport, Timeout: exchangeTimeout},
		away: map[string]time.Time{},
	}
}

// Run exchanges digests until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.round(ctx)
		}
	}
}

// round exchanges digests with some peers and waits for all answers.
func (g *Gossip) round(ctx context.Context) {
	var contacts []gateway.Contact
	g.gateway.View(func(s *gateway.State) {
		contacts = s.Contacts(func(name string) (away, again bool) {
			last, away := g.away[name]
			return away, time.Since(last) >= failedFor
		})
	})
	results := make(chan result, len(contacts))
	digest := message(g.gateway.Digest(), g.watchers)
	for _, c := range contacts {
		g.group.Go(func(context.Context) { results <- result{c.Name(), g.exchange(ctx, c.Address(), digest)} })
	}
	failed := false
	for range contacts {
		r := <-results
		g.note(r)
		failed = failed || r.err != nil
	}
	if failed {
		g.client.CloseIdleConnections() // A connection may have gone silent while new ones work.
	}
}

// message returns the digest with how far this gateway has read.
func message(d gateway.Digest, watchers map[string]*gateway.Watcher) *railv1.GatewayDigest {
	m := d.Message()
	m.Read = make(map[string]int64, len(watchers))
	for topic, w := range watchers {
		if next, ok := w.Next(); ok {
			m.Read[topic] = next
		}
	}
	return m
}

// hear takes in a peer's digest.
func hear(g *gateway.Gateway, watchers map[string]*gateway.Watcher, m *railv1.GatewayDigest, asks bool) {
	e := gateway.NewDigestReceived(gateway.DigestFrom(m))
	if asks {
		e = e.WithReplyRequested()
	}
	g.Post(e)
	for topic, next := range m.GetRead() {
		if w, ok := watchers[topic]; ok {
			w.Notify(m.GetGateway(), next)
		}
	}
}

// result is what came of an exchange.
type result struct {
	name string
	err  error
}

// note logs a peer that is lost or regained.
func (g *Gossip) note(r result) {
	_, away := g.away[r.name]
	switch {
	case r.err != nil:
		g.away[r.name] = time.Now()
		if !away {
			g.log.Write(rail.EventPeerUnreachable, gateway.NewField("peer", r.name), gateway.NewField("error", r.err.Error()))
		}
	case away:
		delete(g.away, r.name)
		g.log.Write(rail.EventPeerReachable, gateway.NewField("peer", r.name))
	}
}

func (g *Gossip) service(address string) railv1connect.GatewayServiceClient {
	return railv1connect.NewGatewayServiceClient(g.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

func (g *Gossip) exchange(ctx context.Context, address string, d *railv1.GatewayDigest) error {
	r, err := g.service(address).Exchange(ctx, connect.NewRequest(&railv1.ExchangeDigestRequest{Digest: d}))
	if err != nil {
		return errors.Wrap(err, "Gossip.exchange")
	}
	hear(g.gateway, g.watchers, r.Msg.GetDigest(), false)
	return nil
}

// Mirror implements gateway.Mirrors.
func (g *Gossip) Mirror(ctx context.Context, topic, peer string, from int64) (gateway.Batch, string, error) {
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
	err := errors.New("Gossip.Mirror: no peer reaches the store")
	for _, name := range readers[:min(len(readers), mirrorsAsked)] {
		r, callErr := g.service(addresses[name]).Mirror(ctx, connect.NewRequest(&railv1.MirrorRequest{Topic: topic, From: from}))
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
		return gateway.NewBatch(records, r.Msg.GetNext()), name, nil
	}
	return gateway.Batch{}, "", err
}
