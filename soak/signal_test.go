package soak

import (
	"context"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/store"
)

// startSingle starts one gateway with the store.
func startSingle(t *testing.T, s *store.Store) *process {
	t.Helper()
	g := group.New(context.Background())
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		g.Stop()
		server.Close()
	})
	p, err := newProcess(g, newRecorder(), 1, t.TempDir(), "gateway-0", "north", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	return p
}

// awaitListener waits until the gateway accepts connections.
func (p *process) awaitListener(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", p.readyAddress); err == nil {
			_ = conn.Close()
			return
		}
	}
	t.Fatal("the gateway does not listen")
}

// blockSettings replaces the settings file by a pipe, so that each read of it lasts until the function that is returned ends it.
func (p *process) blockSettings(t *testing.T) func() {
	t.Helper()
	is := is.New(t)
	settings, err := os.ReadFile(p.settingsPath())
	is.NoErr(err)
	pipe := filepath.Join(t.TempDir(), "pipe")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	is.NoErr(os.Rename(pipe, p.settingsPath()))
	return func() {
		f, err := os.OpenFile(p.settingsPath(), os.O_WRONLY|syscall.O_NONBLOCK, 0)
		is.NoErr(err) // Fails if nobody reads.
		_, err = f.Write(settings)
		is.NoErr(err)
		is.NoErr(f.Close())
	}
}

// Guards against a SIGTERM that is dropped since it follows signals that the settings have changed.
func TestSIGTERMRightAfterSIGHUPsStopsTheGateway(t *testing.T) {
	t.Parallel()
	p := startSingle(t, store.New())
	p.awaitListener(t)
	p.blockSettings(t)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		p.signal(s)
		time.Sleep(100 * time.Millisecond) // The kernel merges pending signals of one kind.
	}
	p.mu.Lock()
	p.shouldRun = false
	p.mu.Unlock()
	select {
	case <-p.ended:
		is.New(t).Equal(p.cmd.ProcessState.ExitCode(), 0)
	case <-time.After(shutdownGrace):
		t.Fatal("the gateway did not stop")
	}
}

// Guards against a gateway that is ended by the signal for changed settings, which the platform may send right after the start.
func TestSIGHUPDuringTheStartDoesNotEndTheGateway(t *testing.T) {
	t.Parallel()
	p := startSingle(t, store.New())
	p.kill()
	readSettings := p.blockSettings(t)
	is := is.New(t)
	is.NoErr(p.start())
	time.Sleep(500 * time.Millisecond) // It waits for its settings.
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	select {
	case <-p.ended:
		t.Fatal("the gateway ended: ", p.cmd.ProcessState)
	default:
	}
	readSettings()
	p.awaitListener(t)
}
