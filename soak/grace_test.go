package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/standin/store"
)

// putSilentUpstream writes a configuration and an upstream that answers when the function that is returned is called.
func putSilentUpstream(t *testing.T, s *store.Store) func() {
	t.Helper()
	release := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		<-release
	}))
	s.Put("keyed.op", "config", []byte(`{"Version":7,"Routes":[{"Name":"r-1","Host":"shop.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":30000,"GoalMs":500,"Service":"s-1","Attempts":1},
{"Name":"r-2","Host":"shop.example","PathPrefix":"/lookup/","Kind":"idempotent","TimeoutMs":30000,"GoalMs":30000,"Service":"s-1","Attempts":2}],
"Services":[{"Name":"s-1","HealthPath":"/health","MaxConns":500}],"Tenants":[{"Name":"engravers","ApiKeys":["key-1"]}]}`))
	for _, id := range []string{"i-1", "i-2"} {
		s.Put("keyed.servers", id, []byte(fmt.Sprintf(`{"Service":"s-1","Address":%q,"Zone":"north","State":"ready","Slots":200}`, strings.TrimPrefix(upstream.URL, "http://"))))
	}
	return func() {
		close(release)
		upstream.Close()
	}
}

// statusOf sends a request and returns the status of its complete answer.
func statusOf(address, path string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r%s\r\nX-Deadline-Ms: 30000\r\nAuthorization: Token key-1\r\nContent-Length: 3\r\n\r\ntin", path, strings.ReplaceAll(path, "/", "-")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against requests that are cut, instead of answered, since their upstream needs longer than the gateway has.
func TestRequestsInProgressAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := store.New()
	defer putSilentUpstream(t, s)()
	p := startSingle(t, s)
	p.awaitListener(t)
	for !p.isReady(http.DefaultClient) {
		time.Sleep(20 * time.Millisecond)
	}
	results := make(chan string, 2)
	for _, path := range []string{"/order/1", "/lookup/1"} {
		go func() {
			status, err := statusOf(p.frontAddress, path)
			results <- fmt.Sprint(status, " ", err)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	p.stopWithin(t, shutdownGrace)
	for range 2 {
		is.Equal(<-results, "504 <nil>")
	}
}

// stopWithin sends SIGTERM and requires that the gateway exits in time.
func (p *process) stopWithin(t *testing.T, d time.Duration) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	p.shouldRun = false
	p.mu.Unlock()
	select {
	case <-p.ended:
	case <-time.After(d):
		t.Error("the gateway did not exit within ", d)
	}
}

// Guards against a gateway that is killed with its requests since its grace period was shortened after its start.
func TestChangedGracePeriodBoundsTheShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := store.New()
	defer putSilentUpstream(t, s)()
	p := startSingle(t, s)
	p.kill()
	settings, err := os.ReadFile(p.settingsPath())
	is.NoErr(err)
	write := func(seconds int) {
		text := strings.Replace(string(settings), fmt.Sprintf("GraceS=%d", int(shutdownGrace.Seconds())), fmt.Sprintf("GraceS=%d", seconds), 1)
		is.NoErr(os.WriteFile(p.settingsPath(), []byte(text), 0o600))
	}
	write(20)
	is.NoErr(p.start())
	p.awaitListener(t)
	for !p.isReady(http.DefaultClient) {
		time.Sleep(20 * time.Millisecond)
	}
	go func() { _, _ = statusOf(p.frontAddress, "/order/1") }() // Its upstream answers later than that.
	write(int(shutdownGrace.Seconds()))
	p.signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	p.stopWithin(t, shutdownGrace)
}
