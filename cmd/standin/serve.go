package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/group"
)

const headerTimeout = 10 * time.Second

// listen opens the listener and prints its address, from which the parent process learns the port if it asked for port 0.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	fmt.Println("listening", l.Addr())
	return l, nil
}

// serve serves requests until the context ends, then waits at most the grace period for those in progress.
func serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	g := group.New(context.WithoutCancel(ctx))
	defer g.Stop()
	serveErr := make(chan error, 1)
	g.Go(func(context.Context) { serveErr <- s.Serve(l) })
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(s.Close(), "close the connections left after the grace")
	}
	return nil
}
