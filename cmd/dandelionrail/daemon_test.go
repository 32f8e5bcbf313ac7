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
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/platform"
	"dandelionrail.org/rail/standin/store"
)

const configuration = `{"Version":7,"Routes":[{"Name":"r-1","Host":"shop.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":5000,"GoalMs":500,"Service":"s-1","Attempts":1}],
"Services":[{"Name":"s-1","HealthPath":"/health","MaxConns":96}],"Tenants":[{"Name":"engravers","ApiKeys":["key-1"]}]}`

// freePorts returns ports that are free when it returns; another process may still take one before it is used.
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

// freeRange returns a port that is free together with the next one.
func freeRange(t *testing.T) int {
	t.Helper()
	for range 100 {
		first := freePorts(t, 1)[0]
		if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+1))); err == nil {
			_ = l.Close()
			return first
		}
	}
	t.Fatal("no two free ports in a row")
	return 0
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// system is a gateway between a stand-in store and one upstream.
type system struct {
	is       *is.I
	store    *store.Store
	daemon   *daemon
	log      *syncBuffer
	settings platform.Settings
	arrived  chan struct{}
	release  chan struct{}
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{is: is.New(t), store: store.New(), log: &syncBuffer{}, arrived: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived <- struct{}{}
		<-s.release
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		_, _ = io.WriteString(w, "cut")
	}))
	t.Cleanup(upstream.Close)
	address := strings.TrimPrefix(storeServer.URL, "http://")
	ports, first := freePorts(t, 3), freeRange(t)
	text := fmt.Sprintf("Node=front-1\nZone=north\nZones.north=midlands\nIp=127.0.0.1\nListen.Front=127.0.0.1:%d\nListen.Ready=127.0.0.1:%d\nPortRange=%d,%d\nProvider.Address=%s\nCloud.Address=%s\nCloud.Duties=usage\nBounds.UsageWindowS=1\nBounds.GraceS=8\nBootstrap=true\n",
		ports[0], ports[1], first, first+1, address, address)
	file := filepath.Join(t.TempDir(), "node.conf")
	s.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	t.Setenv(platform.SettingsVariable, file)
	t.Setenv(platform.MetricsVariable, strconv.Itoa(ports[2]))
	var err error
	s.settings, err = readPlatformSettings(file)
	s.is.NoErr(err)
	s.daemon, err = newDaemon(s.settings, s.log)
	s.is.NoErr(err)
	s.daemon.start()
	s.store.Put("keyed.op", "config", []byte(configuration))
	s.store.Put("keyed.servers", "i-1", []byte(fmt.Sprintf(`{"Service":"s-1","Address":%q,"Zone":"north","State":"ready","Slots":6}`, strings.TrimPrefix(upstream.URL, "http://"))))
	return s
}

func (s *system) eventually(what string, condition func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			s.is.Fail() // The condition did not hold before the deadline.
			panic(what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *system) ready() bool {
	resp, err := http.Get("http://" + s.settings.ReadyAddress() + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (s *system) sendOrder(id string) (int, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.settings.CallerAddress()+"/order/1", strings.NewReader("tin"))
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

func TestGatewayEndToEnd(t *testing.T) {
	s := newSystem(t)
	s.eventually("ready", s.ready)
	s.release <- struct{}{}
	status, body, err := s.sendOrder("r-1")
	s.is.NoErr(err)
	s.is.Equal(status, http.StatusOK)
	s.is.Equal(body, "cut")
	s.eventually("usage reported", func() bool {
		total := int64(0)
		for _, counts := range s.store.Usage() {
			total += counts["engravers"]
		}
		return total == 1
	})
	s.is.True(!s.store.UsageConflict())
	resp, err := http.Get("http://" + s.settings.MetricsAddress() + "/metrics")
	s.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	metrics, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	s.is.True(strings.Contains(string(metrics), "rail_requests"))

	// A shutdown does not abort an order in progress.
	<-s.arrived
	done := make(chan string, 1)
	s.daemon.group.Go(func(context.Context) {
		status, body, err := s.sendOrder("r-2") //nolint:contextcheck // The caller is not part of the daemon.
		done <- fmt.Sprint(status, body, err)
	})
	<-s.arrived
	s.daemon.group.Go(func(context.Context) { s.daemon.shutdown() }) //nolint:contextcheck // A shutdown outlives the group's context.
	s.eventually("not ready", func() bool { return !s.ready() })
	s.release <- struct{}{}
	s.is.Equal(<-done, "200cut<nil>")
}

// Guards against a gateway that its peers forget because the copy from which the store was restored is older than it.
func TestGatewayRegistersAgainAfterARestore(t *testing.T) {
	s := newSystem(t)
	s.eventually("ready", s.ready)
	registered := func() bool {
		b, err := platform.NewGatewayTopic(platform.NewStore(s.settings.StoreAddress(), s.settings.CloudAddress())).Newest(t.Context())
		return err == nil && len(b.Records()) == 1 && len(b.Records()[0].Value()) > 0
	}
	s.eventually("registered", registered)
	time.Sleep(1500 * time.Millisecond) // It reads its own registration.
	lost := s.store.Restore(time.Minute)
	s.is.True(!registered())
	for _, topic := range []string{"keyed.op", "keyed.servers"} {
		s.store.Rewrite(topic, lost[topic])
	}
	s.eventually("registered again", registered)
	s.is.True(s.ready())
}

// registrations returns those in the store.
func (s *system) registrations(ctx context.Context) map[string]string {
	values := map[string]string{}
	if b, err := platform.NewGatewayTopic(platform.NewStore(s.settings.StoreAddress(), s.settings.CloudAddress())).Newest(ctx); err == nil {
		for _, r := range b.Records() {
			values[r.Key()] = string(r.Value())
		}
	}
	return values
}

// forwardOrder sends an order as a peer does, and returns the status and the error kind.
func (s *system) forwardOrder(ctx context.Context, id, key string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.ForwardAddress()+"/order/1", strings.NewReader("tin"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "shop.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000", "Rail-Forward-Key": key, "Rail-Forward-From": "front-2", "Rail-Forward-Team": "engravers", "Rail-Forward-Config": "7", "Rail-Forward-Attempts": "1"} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	return resp.StatusCode, resp.Header.Get("Rail-Kind"), resp.Body.Close()
}

// A gateway serves requests that have the key of its registration, until it has ended what it accepted.
func TestGatewayAcceptsForwardedRequests(t *testing.T) {
	s := newSystem(t)
	s.eventually("ready", s.ready)
	s.eventually("registered", func() bool { return s.registrations(t.Context())["front-1"] != "" })
	_, forwarding, _ := strings.Cut(s.registrations(t.Context())["front-1"], "\n")
	address, key, _ := strings.Cut(forwarding, " ")
	s.is.Equal(address, s.settings.ForwardAddress())
	s.is.True(len(key) >= 20)
	status, kind, err := s.forwardOrder(t.Context(), "r-1", "other")
	s.is.NoErr(err)
	s.is.Equal(status, http.StatusForbidden)
	s.is.Equal(kind, "peerUnreachable")
	done := make(chan string, 1)
	s.daemon.group.Go(func(context.Context) {
		status, kind, err := s.forwardOrder(context.Background(), "r-2", key) //nolint:contextcheck // The peer is not part of the daemon.
		done <- fmt.Sprint(status, kind, err)
	})
	<-s.arrived
	s.daemon.group.Go(func(context.Context) { s.daemon.shutdown() }) //nolint:contextcheck // A shutdown outlives the group's context.
	s.eventually("not ready", func() bool { return !s.ready() })
	s.eventually("the listener closed", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	s.release <- struct{}{}
	s.is.Equal(<-done, "200<nil>")
	s.is.True(!strings.Contains(s.log.String(), key))
}

// A call of the duties that is still in progress does not delay the end of the listener.
func TestShutdownDoesNotWaitForTheDutiesToStopAccepting(t *testing.T) {
	s := newSystem(t)
	s.eventually("ready", s.ready)
	s.daemon.dutyGroup.Go(func(ctx context.Context) {
		<-ctx.Done()
		time.Sleep(1500 * time.Millisecond) // As a call to the cloud, which a shutdown does not cancel.
	})
	linger, _ := s.settings.DrainTimes()
	begin := time.Now()
	s.daemon.group.Go(func(context.Context) { s.daemon.shutdown() }) //nolint:contextcheck // A shutdown outlives the group's context.
	s.eventually("not ready", func() bool { return !s.ready() })
	resp, err := http.Post("http://"+s.settings.CallerAddress()+"/order/1", "", nil)
	s.is.NoErr(err)
	_ = resp.Body.Close()
	s.is.True(resp.Close) // The caller opens its next connection to another gateway.
	s.eventually("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", s.settings.CallerAddress())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	s.is.True(time.Since(begin) < linger+time.Second)
}
