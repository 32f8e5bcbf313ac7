package service_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/simtime"
	"dandelionrail.org/rail/standin/service"
)

// result is the response to one request.
type result struct {
	status  int
	aborted bool
	notRun  string
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

// call passes one request directly to the handler and cancels it after a minute.
func call(s *service.Server, method, path, id string, body io.Reader) (r result) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w := httptest.NewRecorder()
	defer func() {
		r.aborted = aborted(recover())
		r.status, r.notRun, r.body = w.Code, w.Header().Get("X-Not-Run"), w.Body.String()
	}()
	q := httptest.NewRequestWithContext(ctx, method, path, body)
	q.Header.Set("X-Request-Id", id)
	s.ServeHTTP(w, q)
	return r
}

func runs(s *service.Server, query string) string {
	return call(s, http.MethodGet, "/runs?"+query, "", http.NoBody).body
}

func TestRunsAreCounted(t *testing.T) {
	is := is.New(t)
	s := service.New(service.Settings{})
	post := func(id string) result {
		return call(s, http.MethodPost, "/orders/7", id, strings.NewReader("two tins"))
	}
	is.Equal(runs(s, "id=a"), "{\"runs\":0}\n")
	first, again, other := post("a"), post("a"), post("b")
	is.Equal(first.status, http.StatusOK)
	is.Equal(first.body, again.body)
	is.True(first.body != other.body)
	call(s, http.MethodGet, "/orders/7", "c", http.NoBody)
	is.Equal(runs(s, "id=a"), "{\"runs\":2}\n")
	is.Equal(runs(s, "id=c"), "{\"runs\":1}\n")
	is.Equal(runs(s, "path=/orders/7"), "{\"runs\":3}\n")
}

func TestFaults(t *testing.T) {
	tests := []struct {
		control string
		status  int
		aborted bool
		notRun  string
		runs    string
		took    time.Duration
	}{
		{`{}`, http.StatusOK, false, "", "1", 0},
		{`{"delayMs":3000}`, http.StatusOK, false, "", "1", 3 * time.Second},
		{`{"dropAnswers":1}`, http.StatusOK, true, "", "1", 0},
		{`{"silent":1}`, http.StatusInternalServerError, false, "", "1", time.Minute},
		{`{"refuse":1}`, http.StatusServiceUnavailable, false, "true", "0", 0},
		{`{"leaving":true}`, http.StatusServiceUnavailable, false, "true", "0", 0},
		{`{"failShare":1}`, http.StatusInternalServerError, false, "", "1", 0},
	}
	for _, tt := range tests {
		simtime.Run(t, func(t *testing.T) {
			is := is.New(t)
			s := service.New(service.Settings{})
			is.Equal(call(s, http.MethodPost, "/control", "", strings.NewReader(tt.control)).status, http.StatusNoContent)
			start := time.Now()
			r := call(s, http.MethodPost, "/orders/7", "a", strings.NewReader("two tins"))
			is.Equal(time.Since(start), tt.took)
			is.Equal(r.status, tt.status)
			is.Equal(r.aborted, tt.aborted)
			is.Equal(r.notRun, tt.notRun)
			is.Equal(runs(s, "id=a"), "{\"runs\":"+tt.runs+"}\n")
		})
	}
}

func TestTruncatedBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	s := service.New(service.Settings{})
	truncated := io.MultiReader(strings.NewReader("two ti"), iotest.ErrReader(errors.New("truncated")))
	is.Equal(call(s, http.MethodPost, "/orders/7", "a", truncated).status, http.StatusBadRequest)
	is.Equal(runs(s, "id=a"), "{\"runs\":0}\n")
}

// Clients share connections only with services that repeat the ids of requests, on refusals and load reports too.
func TestAnswersRepeatTheRequestID(t *testing.T) {
	for path, s := range map[string]*service.Server{"/tins": service.New(service.Settings{}), "/load": service.New(service.Settings{})} {
		for _, leaving := range []bool{false, true} {
			is := is.New(t)
			if leaving {
				s.Leave()
			}
			r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
			r.Header.Set("X-Request-Id", "r1")
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			is.Equal(w.Header().Values("X-Request-Id"), []string{"r1"})
		}
	}
}
