package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/settings"
)

const (
	// headerTimeout bounds the time that a client takes to send its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 32 << 10
)

// listener is a bound listener with its HTTP server.
type listener struct {
	net.Listener
	server *http.Server
	tls    *tls.Config
	// leaving reports that each connection closes after its next answer, ended is closed when no further one is accepted.
	leaving atomic.Bool
	ended   chan struct{}
	conns   atomic.Pointer[callerConns]
}

// listen binds the address, whose host the settings state as an IP address.
func listen(ctx context.Context, address string, handler http.Handler, t *tls.Config) (*listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "entry.listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	return &listener{Listener: l, server: server, tls: t, ended: make(chan struct{})}, nil
}

// address returns the bound host:port.
func (l *listener) address() string { return l.Addr().String() }

// serve handles requests until the server is shut down.
func (l *listener) serve(context.Context) {
	defer close(l.ended)
	conns := newCallerConns(l.Listener)
	l.conns.Store(conns)
	handler := l.server.Handler
	l.server.ConnState = conns.connState
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	var accepted net.Listener = conns
	if l.tls != nil {
		accepted = tls.NewListener(conns, l.tls)
	}
	_ = l.server.Serve(accepted)
}

// shutdown closes the listener and the connections that carry no request, and waits for the requests in flight. It does not use
// http.Server.Shutdown, which drops requests that were read.
func (l *listener) shutdown(ctx context.Context) error {
	l.leaving.Store(true)
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "shutdown")
	}
	if conns := l.conns.Load(); conns != nil {
		select {
		case <-l.ended: // What it has accepted is among the open connections now.
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "shutdown")
		}
		if err := conns.awaitClosed(ctx); err != nil {
			return errors.Wrap(err, "shutdown")
		}
	}
	return errors.Wrap(l.server.Close(), "shutdown")
}

// serverTLS returns the TLS configuration of the control listener, nil if the settings name no keys.
func serverTLS(s settings.Settings) (*tls.Config, error) {
	pair, pool, err := keys(s)
	if err != nil || pool == nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// clientTLS returns the TLS configuration of calls to peers, nil if the settings name no keys.
func clientTLS(s settings.Settings) (*tls.Config, error) {
	pair, pool, err := keys(s)
	if err != nil || pool == nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// keys reads the key files that the settings name; the pool is nil if they name none.
func keys(s settings.Settings) (tls.Certificate, *x509.CertPool, error) {
	if s.Certificate() == "" {
		return tls.Certificate{}, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.Certificate(), s.Key())
	if err != nil {
		return pair, nil, errors.Wrap(err, "entry.keys")
	}
	authority, err := os.ReadFile(s.Authority())
	if err != nil {
		return pair, nil, errors.Wrap(err, "entry.keys")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return pair, nil, errors.Errorf("entry.keys: %s holds no certificate", s.Authority())
	}
	return pair, pool, nil
}
