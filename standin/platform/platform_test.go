package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/simtime"
	"dandelionrail.org/rail/standin/platform"
)

// result is the response to one request.
type result struct {
	status  int
	aborted bool
	body    string
}

// aborted reports whether a handler aborted its connection; it repeats any other panic.
func aborted(p any) bool {
	if p == nil {
		return false
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return true
	}
	panic(p)
}

// call passes one request directly to the handler.
func call(p *platform.Server, method, path, body string) (r result) {
	w := httptest.NewRecorder()
	defer func() {
		r.aborted = aborted(recover())
		r.status, r.body = w.Code, w.Body.String()
	}()
	p.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	return r
}

// run tests a platform with a fake clock.
func run(t *testing.T, s platform.Settings, f func(is *is.I, p *platform.Server)) {
	t.Helper()
	simtime.Run(t, func(t *testing.T) { f(is.New(t), platform.New(s)) })
}

func control(is *is.I, p *platform.Server, body string) {
	is.Helper()
	is.Equal(call(p, http.MethodPost, "/control", body).status, http.StatusNoContent)
}

func appendRecord(p *platform.Server, n int) result {
	return call(p, http.MethodPost, "/log/records", fmt.Sprintf(`{"kind":"claims","body":{"n":%d}}`, n))
}

type page struct {
	Oldest  int `json:"oldest"`
	Next    int `json:"next"`
	Records []struct {
		Offset int    `json:"offset"`
		AtMs   int64  `json:"atMs"`
		Kind   string `json:"kind"`
	} `json:"records"`
}

func read(is *is.I, p *platform.Server, query string) page {
	is.Helper()
	var g page
	r := call(p, http.MethodGet, "/log/records?"+query, "")
	is.Equal(r.status, http.StatusOK)
	is.NoErr(json.Unmarshal([]byte(r.body), &g))
	return g
}

func TestLogKeepsOrderAndRetention(t *testing.T) {
	run(t, platform.Settings{Retention: time.Minute}, func(is *is.I, p *platform.Server) {
		for i := range 5 {
			is.Equal(appendRecord(p, i).status, http.StatusOK)
			time.Sleep(10 * time.Second)
		}
		g := read(is, p, "from=0&limit=2")
		is.Equal([]int{g.Oldest, g.Next, len(g.Records)}, []int{0, 2, 2})
		g = read(is, p, "from=2")
		is.Equal([]int{g.Oldest, g.Next, len(g.Records)}, []int{0, 5, 3})
		g = read(is, p, "from=5")
		is.Equal([]int{g.Oldest, g.Next, len(g.Records)}, []int{0, 5, 0})
		time.Sleep(25 * time.Second)
		g = read(is, p, "from=0")
		is.Equal([]int{g.Oldest, g.Next, len(g.Records)}, []int{2, 5, 3})
		time.Sleep(time.Hour)
		g = read(is, p, "from=0")
		is.Equal([]int{g.Oldest, g.Next, len(g.Records)}, []int{5, 5, 0})
	})
}

func TestReadWaitsForTheNextRecord(t *testing.T) {
	run(t, platform.Settings{}, func(is *is.I, p *platform.Server) {
		start := time.Now()
		is.Equal(len(read(is, p, "from=0&waitMs=2000").Records), 0)
		is.Equal(time.Since(start), 2*time.Second)
		var g sync.WaitGroup
		g.Go(func() {
			is.Equal(read(is, p, "from=0&waitMs=20000").Records[0].Kind, "claims")
			is.Equal(time.Since(start), 5*time.Second)
		})
		time.Sleep(3 * time.Second)
		appendRecord(p, 1)
		g.Wait()
	})
}

func TestAppendRate(t *testing.T) {
	run(t, platform.Settings{AppendsPerSecond: 100}, func(is *is.I, p *platform.Server) {
		accepted := 0
		for i := range 1000 {
			switch r := appendRecord(p, i); r.status {
			case http.StatusOK:
				accepted++
			default:
				is.Equal(r.status, http.StatusTooManyRequests)
			}
			time.Sleep(time.Millisecond)
		}
		is.True(accepted >= 100 && accepted <= 115)
		is.Equal(len(read(is, p, "from=0").Records), accepted)
	})
}

func TestOutageAndLostAnswers(t *testing.T) {
	run(t, platform.Settings{}, func(is *is.I, p *platform.Server) {
		control(is, p, `{"loseAnswers":1}`)
		is.True(appendRecord(p, 1).aborted)
		is.True(!appendRecord(p, 2).aborted)
		is.Equal(len(read(is, p, "from=0").Records), 2)
		control(is, p, `{"outageMs":5000}`)
		is.Equal(appendRecord(p, 3).status, http.StatusServiceUnavailable)
		is.Equal(call(p, http.MethodGet, "/instances", "").status, http.StatusServiceUnavailable)
		time.Sleep(5 * time.Second)
		is.Equal(len(read(is, p, "from=0").Records), 2)
		control(is, p, `{"slowMs":700}`)
		start := time.Now()
		read(is, p, "from=0")
		is.Equal(time.Since(start), 700*time.Millisecond)
	})
}

func TestInvalidRequests(t *testing.T) {
	tests := []struct{ method, path, body string }{
		{http.MethodPost, "/log/records", `{`},
		{http.MethodPost, "/log/records", `{"kind":"claims"}`},
		{http.MethodGet, "/log/records?from=x", ``},
		{http.MethodPut, "/instances/e1", `{"id":"e1"}`},
		{http.MethodPost, "/cloud/instances", `{"domain":"breno"}`},
		{http.MethodPost, "/control", `no`},
	}
	for _, tt := range tests {
		run(t, platform.Settings{}, func(is *is.I, p *platform.Server) {
			is.Equal(call(p, tt.method, tt.path, tt.body).status, http.StatusBadRequest)
		})
	}
}

func TestWeightStoreIsLimited(t *testing.T) {
	run(t, platform.Settings{WeightsPerSecond: 1, MaxWeightsWaiting: 2}, func(is *is.I, p *platform.Server) {
		start := time.Now()
		is.Equal(call(p, http.MethodGet, "/weights/m/v1", "").status, http.StatusOK)
		var g sync.WaitGroup
		for range 2 {
			g.Go(func() { is.Equal(call(p, http.MethodGet, "/weights/m/v1", "").status, http.StatusOK) })
		}
		synctest.Wait()
		is.Equal(call(p, http.MethodGet, "/weights/m/v1", "").status, http.StatusTooManyRequests)
		g.Wait()
		is.Equal(time.Since(start), 2*time.Second)
	})
}

// Clients share connections only with a platform that repeats the ids of requests, on refusals too.
func TestAnswersRepeatTheRequestID(t *testing.T) {
	for _, path := range []string{"/instances", "/log/records?from=0", "/unknown"} {
		is := is.New(t)
		r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
		r.Header.Set("X-Request-Id", "r1")
		w := httptest.NewRecorder()
		platform.New(platform.Settings{}).ServeHTTP(w, r)
		is.Equal(w.Header().Values("X-Request-Id"), []string{"r1"})
	}
}
