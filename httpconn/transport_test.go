package httpconn_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/httpconn"
)

// upstream repeats the id of each request and counts connections.
type upstream struct {
	*httptest.Server
	mu       sync.Mutex
	accepted int
	open     map[net.Conn]bool
}

func startUpstream(t *testing.T) *upstream {
	u := &upstream{open: map[net.Conn]bool{}}
	u.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		_, _ = io.WriteString(w, id)
	}))
	u.Config.ConnState = func(c net.Conn, state http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch state {
		case http.StateNew:
			u.accepted++
			u.open[c] = true
		case http.StateClosed:
			delete(u.open, c)
		}
	}
	u.Start()
	t.Cleanup(u.Close)
	return u
}

func (u *upstream) counts() (accepted, open int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted, len(u.open)
}

func (u *upstream) awaitOpen(t *testing.T, want int) {
	t.Helper()
	for range 500 {
		if _, open := u.counts(); open == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the connections did not become %d", want)
}

func newClient(t *testing.T, base *http.Transport) *http.Client {
	c := &http.Client{Transport: httpconn.New(base)}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// get makes a request with the id, or with one of the transport if it is empty, and returns the body.
func get(c *http.Client, url, id string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	response, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func TestConnectionEndsAfterItsMaximumOfRequests(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t)
	c := newClient(t, &http.Transport{})
	for n := range 1001 {
		id := fmt.Sprint("r", n)
		text, err := get(c, u.URL, id)
		is.NoErr(err)
		is.Equal(text, id)
	}
	accepted, _ := u.counts()
	is.Equal(accepted, 2)
	u.awaitOpen(t, 1)
}

func TestRepeatedIDGetsAnotherConnection(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t)
	c := newClient(t, &http.Transport{MaxIdleConnsPerHost: 8})
	for _, id := range []string{"a", "b", "a", "b", "c", "a"} {
		text, err := get(c, u.URL, id)
		is.NoErr(err)
		is.Equal(text, id)
	}
	accepted, open := u.counts()
	is.Equal(accepted, 3)
	is.Equal(open, 3)
}

// Guards against requests that fail because their upstream has closed an idle connection.
func TestConnectionThatTheUpstreamClosedIsReplaced(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t)
	c := newClient(t, &http.Transport{})
	for range 50 {
		_, err := get(c, u.URL, "")
		is.NoErr(err)
		u.CloseClientConnections()
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t)
	timed := newClient(t, &http.Transport{IdleConnTimeout: 10 * time.Millisecond})
	_, err := get(timed, u.URL, "")
	is.NoErr(err)
	u.awaitOpen(t, 0)
	kept := newClient(t, &http.Transport{})
	_, err = get(kept, u.URL, "")
	is.NoErr(err)
	kept.CloseIdleConnections()
	u.awaitOpen(t, 0)
}

func TestConcurrentRequestsGetTheirOwnAnswers(t *testing.T) {
	const callers, requests, maxIdle = 16, 100, 4
	is := is.New(t)
	u := startUpstream(t)
	c := newClient(t, &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: time.Minute})
	var wrong []string
	var mu sync.Mutex
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range requests {
				id := fmt.Sprint(caller, "-", n)
				if text, err := get(c, u.URL, id); err != nil || text != id {
					mu.Lock()
					wrong = append(wrong, fmt.Sprint(id, text, err))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	is.Equal(strings.Join(wrong, "\n"), "")
	u.awaitOpen(t, maxIdle)
}

// Guards against a connection that is kept although a part of the answer on it was not read.
func TestUnreadAnswerClosesItsConnection(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t)
	c := newClient(t, &http.Transport{})
	response, err := c.Get(u.URL)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	u.awaitOpen(t, 0)
}
