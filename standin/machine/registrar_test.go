package machine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/machine"
	"dandelionrail.org/rail/standin/platform"
)

const (
	pollInterval = 10 * time.Millisecond
	pollDeadline = 20 * time.Second
)

// poll waits until the condition holds.
func poll(is *is.I, condition func() bool) {
	is.Helper()
	for end := time.Now().Add(pollDeadline); !condition(); time.Sleep(pollInterval) {
		is.True(time.Now().Before(end)) // the condition must hold before the deadline
	}
}

func get(is *is.I, url string) string {
	is.Helper()
	r, err := http.Get(url)
	is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	is.NoErr(err)
	return string(body)
}

func TestRegistrationFollowsReclaimNotice(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	defer s.Close()
	var noticed, reclaimed atomic.Bool
	registrar := machine.New(s.URL, rail.NewInstance("e1", "breno", rail.RoleEngine, "127.0.0.1:1"),
		machine.Hooks{
			Leaving:   noticed.Load,
			OnNotice:  func() { noticed.Store(true) },
			OnReclaim: func() { reclaimed.Store(true) },
		})
	g := group.New(context.Background())
	g.Go(registrar.Run)
	list := func() string { return get(is, s.URL+"/instances") }
	poll(is, func() bool { return strings.Contains(list(), `"state":"live"`) })
	registrar.SetServing("tin-writer", "v2")
	poll(is, func() bool { return strings.Contains(list(), `"serves":"tin-writer","version":"v2"`) })
	r, err := http.Post(s.URL+"/control", "application/json", strings.NewReader(`{"reclaim":[{"instance":"e1","noticeMs":50}]}`))
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	poll(is, reclaimed.Load)
	is.True(noticed.Load())
	g.Stop()
	is.True(!strings.Contains(list(), "e1"))
}

func TestDeregistersWhenStopped(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	defer s.Close()
	g := group.New(context.Background())
	g.Go(machine.New(s.URL, rail.NewInstance("e1", "breno", rail.RoleEngine, "127.0.0.1:1"), machine.Hooks{}).Run)
	poll(is, func() bool { return strings.Contains(get(is, s.URL+"/instances"), "e1") })
	g.Stop()
	is.True(!strings.Contains(get(is, s.URL+"/instances"), "e1"))
}
