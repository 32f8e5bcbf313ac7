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

// takenExit is the exit code of a process that the cloud has taken.
const takenExit = 9

// upstream holds the flags that engines and services share.
type upstream struct {
	listen   string
	platform string
	id       string
	domain   string
	class    string
	version  string
	grace    time.Duration
}

func newUpstream() upstream {
	return upstream{listen: "127.0.0.1:0", class: "reclaimable", version: "v1", grace: 5 * time.Second}
}

func (u *upstream) bind(s *flaggy.Subcommand) {
	s.String(&u.listen, "l", "listen", "Address to listen at; port 0 takes a free one.")
	s.String(&u.platform, "p", "platform", "URL of the platform; without one the stand-in registers nowhere.")
	s.String(&u.id, "i", "id", "Instance id (default: random).")
	s.String(&u.domain, "d", "domain", "Failure domain.")
	s.String(&u.class, "c", "class", "Price class, reclaimable or onDemand.")
	s.String(&u.version, "v", "version", "Version that it serves.")
	s.Duration(&u.grace, "", "grace", "How long a shutdown waits for calls in progress.")
}

// leaver is a stand-in that can refuse new work.
type leaver interface {
	http.Handler
	// Leave makes it refuse new work.
	Leave()
	// Leaving reports whether it refuses new work.
	Leaving() bool
}

// instance returns what the stand-in says of itself in the platform's list.
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

// machine returns the stand-in's place in the platform's list.
func (u *upstream) machine(i rail.Instance, h leaver) *machine.Registrar {
	return machine.New(u.platform, i, machine.Hooks{
		Leaving:   h.Leaving,
		OnNotice:  h.Leave,
		OnReclaim: func() { os.Exit(takenExit) },
	})
}

// serve registers the machine and answers calls until the context ends.
func (u *upstream) serve(ctx context.Context, l net.Listener, h leaver, m *machine.Registrar) error {
	g := group.New(context.WithoutCancel(ctx))
	defer g.Stop()
	if u.platform != "" {
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
