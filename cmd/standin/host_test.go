package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/standin/platform"
)

const (
	pollInterval = 10 * time.Millisecond
	pollDeadline = 20 * time.Second
)

// send sends one request and returns status and body.
func send(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.NoErr(err)
	w, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = w.Body.Close() }()
	text, err := io.ReadAll(w.Body)
	is.NoErr(err)
	return w.StatusCode, string(text)
}

// poll waits until the condition holds, and fails the test if it does not within the deadline.
func poll(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(pollDeadline); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("condition did not hold before the deadline")
		}
	}
}

func TestBoughtInstancesRunUntilReleased(t *testing.T) {
	is := is.New(t)
	s := httptest.NewUnstartedServer(nil)
	h := newHost(context.Background(), "http://"+s.Listener.Addr().String(), 0)
	defer h.group.Stop()
	s.Config.Handler = platform.New(platform.Settings{ListLag: -1, StartInstance: h.start, StopInstance: h.stop})
	s.Start()
	defer s.Close()
	status, body := send(t, http.MethodPost, s.URL+"/cloud/instances",
		`{"clientToken":"t1","domain":"breno","class":"reclaimable","serves":"frame-advisor","version":"v2"}`)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "{\"id\":\"m1\"}\n")
	listed := func() bool {
		_, list := send(t, http.MethodGet, s.URL+"/instances", "")
		return strings.Contains(list, `"id":"m1"`) && strings.Contains(list, `"serves":"frame-advisor","version":"v2"`)
	}
	poll(t, listed)
	status, _ = send(t, http.MethodDelete, s.URL+"/cloud/instances/m1", "")
	is.Equal(status, http.StatusNoContent)
	poll(t, func() bool { return !listed() })
}

func TestParseOffers(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{{"breno:reclaimable:0.4", true}, {"breno:reclaimable", false}, {"breno:reclaimable:cheap", false}}
	for _, tt := range tests {
		is := is.New(t)
		offers, err := parseOffers([]string{tt.text})
		is.Equal(err == nil, tt.ok)
		is.Equal(len(offers) == 1, tt.ok)
	}
}
