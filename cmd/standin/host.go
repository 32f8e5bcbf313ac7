package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/engine"
	"dandelionrail.org/rail/standin/machine"
)

// host runs the engines that are bought from the platform's cloud API, in the platform's process.
type host struct {
	platformURL string
	startDelay  time.Duration
	group       *group.Group
	mu          sync.Mutex
	cancels     map[string]context.CancelFunc
}

// newHost returns a host without engines; each engine starts after the delay.
func newHost(ctx context.Context, platformURL string, startDelay time.Duration) *host {
	return &host{platformURL: platformURL, startDelay: startDelay, group: group.New(ctx), cancels: map[string]context.CancelFunc{}}
}

// start starts a bought instance.
func (h *host) start(i rail.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ctx, cancel := context.WithCancel(h.group.Context())
	h.cancels[string(i.ID())] = cancel
	h.group.Go(func(context.Context) { h.run(ctx, i) })
}

// stop ends the instance at once, as the cloud does, without a graceful shutdown.
func (h *host) stop(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel, ok := h.cancels[id]; ok {
		cancel()
		delete(h.cancels, id)
	}
}

// run serves one engine until its context ends.
func (h *host) run(ctx context.Context, i rail.Instance) {
	select {
	case <-time.After(h.startDelay):
	case <-ctx.Done():
		return
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		log.WithError(err).WithField("instance", i.ID()).Error("instance not started")
		return
	}
	e := engine.New(engine.Settings{Model: i.Serves(), Version: string(i.Version())})
	defer e.Close()
	m := machine.New(h.platformURL, rail.NewInstance(i.ID(), i.Domain(), i.Role(), l.Addr().String()).
		WithIncarnation(rail.Incarnation(rand.Text())).
		WithServing(i.Serves(), i.Version()).
		WithClass(i.Class()), machine.Hooks{Leaving: e.Leaving, OnNotice: e.Leave})
	s := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	g := group.New(ctx)
	g.Go(m.Run)
	g.Go(func(context.Context) { _ = s.Serve(l) }) // Returns after Close.
	<-ctx.Done()
	_ = s.Close() // The instance ends, so the error is irrelevant.
	g.Stop()
}
