package entry

import (
	"context"
	"net/http"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/gen/railv1/railv1connect"
	"dandelionrail.org/rail/operator"
	"dandelionrail.org/rail/peer"
	"dandelionrail.org/rail/timeline"
)

const (
	// maxIdlePeers bounds the idle connections to one peer.
	maxIdlePeers = 4
	// idlePeerTimeout bounds how long an idle connection to a peer is kept.
	idlePeerTimeout = 30 * time.Second
)

// peerClients are the clients that call the other entries.
type peerClients struct {
	answers  answer.PeerClient
	orders   OrderClient
	exchange *peer.ExchangeClient
}

// newPeerClients builds the clients and sets the handlers of the control listener.
func (d *Daemon) newPeerClients(store *answer.Store) (peerClients, error) {
	clientKeys, err := clientTLS(d.settings)
	if err != nil {
		return peerClients{}, err
	}
	scheme := "http"
	if clientKeys != nil {
		scheme = "https"
	}
	base := &http.Transport{TLSClientConfig: clientKeys, MaxIdleConnsPerHost: maxIdlePeers, IdleConnTimeout: idlePeerTimeout, MaxResponseHeaderBytes: rail.MaxHeadBytes}
	client := &http.Client{Transport: timeline.Transport(d.ring, base)}
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.metrics.Handler())
	mux.Handle(timeline.NewServer(d.ring).Handler())
	mux.Handle(railv1connect.NewExchangeServiceHandler(peer.NewExchangeServer(d.loop), peer.ExchangeOptions()))
	mux.Handle(railv1connect.NewOrderServiceHandler(peer.NewOrderServer(d.loop, d.me.Incarnation()), peer.OrderOptions()))
	mux.Handle(railv1connect.NewOperatorServiceHandler(operator.NewServer(d.settings.Environment(), d.log, d.loop), operator.Options()))
	mux.Handle(railv1connect.NewAnswerServiceHandler(peer.NewAnswerServer(d.loop, store), peer.AnswerOptions()))
	d.controlListener.server.Handler = timeline.Handler(d.ring, mux)
	return peerClients{
		answers:  peer.NewAnswerClient(client, scheme, d.me.Incarnation()),
		orders:   peer.NewOrderClient(client, scheme),
		exchange: peer.NewExchangeClient(client, scheme),
	}, nil
}

// queryConfiguredPeers asks the peers that the settings name for the instances
// that they know, until this entry knows another one. An entry that starts while
// the platform is unavailable finds its peers this way.
func (d *Daemon) queryConfiguredPeers(ctx context.Context) {
	every(ctx, d.settings.PeerInterval(), func() {
		if len(d.runner.Entries()) > 0 {
			return
		}
		for _, a := range d.settings.Peers() {
			known := rail.NewInstance(rail.InstanceID(a), "", rail.RoleEntry, "").WithPeerAddress(a)
			_ = d.loop.PostWait(ctx, d.exchange.Instances(ctx, known))
		}
	})
}
