package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/machine"
)

// exitReclaimed is the exit code of a process that the cloud has reclaimed.
const exitReclaimed = 9

// upstream contains the flags that engines and services share.
type upstream struct {
	listen      string
	platformURL string
	id          string
	domain      string
	class       string
	version     string
	grace       time.Duration
}

func newUpstream() upstream {
	return upstream{listen: "127.0.0.1:0", class: "reclaimable", version: "v1", grace: 5 * time.Second}
}

func (u *upstream) bindFlags(s *flaggy.Subcommand) {
	s.String(&u.listen, "l", "listen", "Address to listen at; port 0 takes a free one.")
	s.String(&u.platformURL, "p", "platform", "URL of the platform; without one the stand-in registers nowhere.")
	s.String(&u.id, "i", "id", "Instance id (default: random).")
	s.String(&u.domain, "d", "domain", "Failure domain.")
	s.String(&u.class, "c", "class", "Price class, reclaimable or onDemand.")
	s.String(&u.version, "v", "version", "Version that it serves.")
	s.Duration(&u.grace, "", "grace", "How long a shutdown waits for calls in progress.")
}

// leavingHandler is the handler of a stand-in that can leave: it refuses new work and finishes the work in progress.
type leavingHandler interface {
	http.Handler
	// Leave makes the handler refuse new work.
	Leave()
	// Leaving reports whether the handler refuses new work.
	Leaving() bool
}

// instance returns the stand-in's record for the platform's list.
func (u *upstream) instance(role rail.Role, serves string, l net.Listener) rail.Instance {
	incarnation := rand.Text()
	if u.id == "" {
		u.id = string(role) + "-" + incarnation[:6]
	}
	return rail.NewInstance(rail.InstanceID(u.id), rail.Domain(u.domain), role, l.Addr().String()).
		WithIncarnation(rail.Incarnation(incarnation)).
		WithServing(serves, rail.Version(u.version)).
		WithClass(rail.Class(u.class))
}

// registrar returns the registrar that keeps the stand-in in the platform's list.
func (u *upstream) registrar(i rail.Instance, h leavingHandler) *machine.Registrar {
	return machine.New(u.platformURL, i, machine.Hooks{
		Leaving:   h.Leaving,
		OnNotice:  h.Leave,
		OnReclaim: func() { os.Exit(exitReclaimed) },
	})
}

// serve keeps the instance registered, if there is a platform, and serves requests until the context ends.
func (u *upstream) serve(ctx context.Context, l net.Listener, h leavingHandler, m *machine.Registrar) error {
	g := group.New(context.WithoutCancel(ctx))
	defer g.Stop()
	if u.platformURL != "" {
		g.Go(m.Run)
	}
	g.Go(func(stopped context.Context) {
		select {
		case <-ctx.Done():
			h.Leave()
		case <-stopped.Done():
		}
	})
	return serve(ctx, l, h, u.grace)
}
