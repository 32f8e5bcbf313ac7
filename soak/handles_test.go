package soak

import (
	"bufio"
	"errors"
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
	"golang.org/x/sys/unix"

	"dandelionrail.org/rail/standin/store"
)

// A gateway whose file descriptors run out answers the requests that it reads, and accepts connections again once it has some.
func TestRequestsAreAnsweredWhenDescriptorsRunOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "cut")
	}))
	defer upstream.Close()
	s := store.New()
	s.Put("keyed.op", "config", []byte(`{"Version":7,"Routes":[{"Name":"r-1","Host":"shop.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":5000,"GoalMs":500,"Service":"s-1","Attempts":1}],
"Services":[{"Name":"s-1","HealthPath":"/health","MaxConns":500}],"Tenants":[{"Name":"engravers","ApiKeys":["key-1"]}],"Limits":{"IdleTimeoutMs":60000,"HeaderTimeoutMs":3000,"MaxBodyBytes":1000,"MaxHeaderBytes":4000}}`))
	s.Put("keyed.servers", "i-1", []byte(fmt.Sprintf(`{"Service":"s-1","Address":%q,"Zone":"north","State":"ready","Slots":200}`, strings.TrimPrefix(upstream.URL, "http://"))))
	p := startSingle(t, s)
	p.awaitListener(t)
	for !p.isReady(http.DefaultClient) {
		time.Sleep(20 * time.Millisecond)
	}
	const limit, connections = 60, 120
	is.NoErr(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil))
	var conns []net.Conn
	for range connections {
		conn, err := net.Dial("tcp", p.frontAddress)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	time.Sleep(500 * time.Millisecond)
	send := func(conn net.Conn, id string, within time.Duration) (int, error) {
		_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: 3\r\n\r\ntin", id)
		if err != nil {
			return 0, err
		}
		_ = conn.SetReadDeadline(time.Now().Add(within))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	results := make(chan string, connections)
	for n, conn := range conns {
		go func() {
			status, err := send(conn, fmt.Sprintf("r-%d", n), 2*time.Second)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				results <- "not accepted"
				return
			}
			results <- fmt.Sprint(status, " ", err)
		}()
	}
	counts := map[string]int{}
	for range conns {
		counts[<-results]++
	}
	t.Log(counts)
	is.Equal(counts["200 <nil>"]+counts["503 <nil>"]+counts["not accepted"], connections)
	is.True(counts["not accepted"] > 0) // The descriptors have run out.
	for _, conn := range conns {
		_ = conn.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.frontAddress)
		is.NoErr(err)
		status, err := send(conn, "r-last", time.Second)
		_ = conn.Close()
		if err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("not served again: ", status, err)
		}
	}
	p.mu.Lock()
	p.shouldRun = false
	p.mu.Unlock()
	is.NoErr(p.cmd.Process.Signal(syscall.SIGTERM))
	<-p.ended
	is.Equal(p.cmd.ProcessState.ExitCode(), 0)
}
