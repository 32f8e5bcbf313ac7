package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/platform"
	"dandelionrail.org/rail/standin/store"
)

const configuration = `{"Version":7,"Routes":[{"Name":"r-1","Host":"shop.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":5000,"GoalMs":500,"Service":"s-1","Attempts":1}],
"Services":[{"Name":"s-1","HealthPath":"/health","MaxConns":96}],"Tenants":[{"Name":"engravers","ApiKeys":["key-1"]}]}`

// freePorts returns ports that were free a moment ago.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// system is a gateway between a stand-in store and one upstream.
type system struct {
	is       *is.I
	store    *store.Store
	daemon   *daemon
	settings platform.Settings
	arrived  chan struct{}
	answer   chan struct{}
}

func newSystem(t *testing.T) *system {
	t.Helper()
	y := &system{is: is.New(t), store: store.New(), arrived: make(chan struct{}, 10), answer: make(chan struct{}, 10)}
	storeServer := httptest.NewServer(y.store)
	t.Cleanup(storeServer.Close)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		y.arrived <- struct{}{}
		<-y.answer
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		_, _ = io.WriteString(w, "cut")
	}))
	t.Cleanup(upstream.Close)
	address := strings.TrimPrefix(storeServer.URL, "http://")
	ports := freePorts(t, 4)
	text := fmt.Sprintf("Node=front-1\nZone=north\nZones.north=midlands\nIp=127.0.0.1\nListen.Front=127.0.0.1:%d\nListen.Ready=127.0.0.1:%d\nPortRange=%d,%d\nProvider.Address=%s\nCloud.Address=%s\nCloud.Duties=usage\nBounds.UsageWindowS=1\nBounds.GraceS=8\n",
		ports[0], ports[1], ports[2], ports[2], address, address)
	file := filepath.Join(t.TempDir(), "node.conf")
	y.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	t.Setenv(platform.SettingsVariable, file)
	t.Setenv(platform.MetricsVariable, strconv.Itoa(ports[3]))
	var err error
	y.settings, err = readPlatformSettings(file)
	y.is.NoErr(err)
	y.daemon, err = newDaemon(y.settings, io.Discard)
	y.is.NoErr(err)
	y.daemon.start()
	y.store.Put("keyed.op", "config", []byte(configuration))
	y.store.Put("keyed.servers", "i-1", []byte(fmt.Sprintf(`{"Service":"s-1","Address":%q,"Zone":"north","State":"ready","Slots":6}`, strings.TrimPrefix(upstream.URL, "http://"))))
	return y
}

func (y *system) eventually(what string, f func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			y.is.Fail() // What was waited for did not come about.
			panic(what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (y *system) ready() bool {
	resp, err := http.Get("http://" + y.settings.ReadyAddress() + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (y *system) order(id string) (int, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+y.settings.CallerAddress()+"/order/1", strings.NewReader("tin"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "5000")
	r.Header.Set("Authorization", "Token key-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func TestWholePath(t *testing.T) {
	y := newSystem(t)
	y.eventually("ready", y.ready)
	y.answer <- struct{}{}
	status, body, err := y.order("r-1")
	y.is.NoErr(err)
	y.is.Equal(status, http.StatusOK)
	y.is.Equal(body, "cut")
	y.eventually("usage reported", func() bool {
		total := int64(0)
		for _, counts := range y.store.Usage() {
			total += counts["engravers"]
		}
		return total == 1
	})
	y.is.True(!y.store.UsageConflict())
	resp, err := http.Get("http://" + y.settings.MetricsAddress() + "/metrics")
	y.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	metrics, err := io.ReadAll(resp.Body)
	y.is.NoErr(err)
	y.is.True(strings.Contains(string(metrics), "rail_requests"))

	// An order in progress is not cut off by a shutdown.
	<-y.arrived
	done := make(chan string, 1)
	y.daemon.group.Go(func(context.Context) {
		status, body, err := y.order("r-2") //nolint:contextcheck // The caller is no part of the daemon.
		done <- fmt.Sprint(status, body, err)
	})
	<-y.arrived
	y.daemon.group.Go(func(context.Context) { y.daemon.leave() }) //nolint:contextcheck // A shutdown outlives the group's context.
	y.eventually("not ready", func() bool { return !y.ready() })
	y.answer <- struct{}{}
	y.is.Equal(<-done, "200cut<nil>")
}
