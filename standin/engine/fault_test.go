package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/standin/engine"

	"dandelionrail.org/rail/standin"
)

func TestFaults(t *testing.T) {
	const maxTokens = 100
	tests := []struct {
		control string
		status  int
		tokens  int
		ended   bool
		aborted bool
		took    time.Duration
	}{
		{`{}`, http.StatusOK, maxTokens, true, false, 100 * time.Second},
		{`{"failShare":1}`, http.StatusInternalServerError, 0, false, false, time.Second},
		{`{"failShare":1,"failAfter":3}`, http.StatusOK, 3, false, true, 4 * time.Second},
		{`{"failShare":1,"failWhenRunning":2}`, http.StatusOK, maxTokens, true, false, 100 * time.Second},
		{`{"slowFactor":3}`, http.StatusOK, maxTokens, true, false, 300 * time.Second},
		{`{"slowFactor":3,"slowWhenRunning":2}`, http.StatusOK, maxTokens, true, false, 100 * time.Second},
		{`{"silentAfter":5}`, http.StatusOK, 5, false, false, 1000 * time.Second},
		{`{"frozenMs":50000}`, http.StatusOK, maxTokens, true, false, 150 * time.Second},
		{`{"leaving":true}`, http.StatusServiceUnavailable, 0, false, false, 0},
		{`{"dieAfter":10500}`, http.StatusOK, 10, false, true, 10*time.Second + 500*time.Millisecond},
	}
	for _, tt := range tests {
		run(t, engine.Settings{TokenTime: time.Second, PrefillTokensPerSecond: 1e9}, func(is *is.I, e *engine.Server) {
			post(is, e, "/control", tt.control)
			ctx, cancel := context.WithTimeout(context.Background(), 1000*time.Second)
			defer cancel()
			r := call(ctx, e, http.MethodPost, "/v1/stream", streamRequest("r", maxTokens, 0))
			is.Equal(r.status, tt.status)
			is.Equal(r.text, standin.NewAnswer("m", prompt).Text(0, tt.tokens))
			is.Equal(r.ended, tt.ended)
			is.Equal(r.aborted, tt.aborted)
			is.Equal(r.took.Round(100*time.Millisecond), tt.took)
		})
	}
}

func TestFailsOnlyUnderLoad(t *testing.T) {
	run(t, engine.Settings{TokenTime: time.Second}, func(is *is.I, e *engine.Server) {
		post(is, e, "/control", `{"failShare":1,"failWhenRunning":2}`)
		var g sync.WaitGroup
		g.Go(func() { is.True(stream(e, streamRequest("r", 10, 0)).ended) })
		synctest.Wait()
		is.Equal(stream(e, streamRequest("s", 10, 0)).status, http.StatusInternalServerError)
		g.Wait()
	})
}

func TestFailShareSelectsStreams(t *testing.T) {
	run(t, engine.Settings{TokenTime: time.Millisecond}, func(is *is.I, e *engine.Server) {
		post(is, e, "/control", `{"failShare":0.2}`)
		failed := 0
		for i := range 200 {
			if stream(e, streamRequest(fmt.Sprint(i), 1, 0)).status != http.StatusOK {
				failed++
			}
		}
		is.True(failed > 20 && failed < 60)
	})
}

func TestFencing(t *testing.T) {
	tests := []struct {
		checks bool
		status int
		serves string
	}{
		{true, http.StatusConflict, "v2"},
		{false, http.StatusNoContent, "v3"},
	}
	for _, tt := range tests {
		var changed []string
		s := engine.Settings{ChecksFencing: tt.checks, OnServingChange: func(_, version string) { changed = append(changed, version) }}
		run(t, s, func(is *is.I, e *engine.Server) {
			post(is, e, "/orders", `{"fencing":120,"serves":"m","version":"v2"}`)
			post(is, e, "/orders", `{"fencing":120,"serves":"m","version":"v2"}`)
			r := call(context.Background(), e, http.MethodPost, "/orders", `{"fencing":119,"serves":"m","version":"v3"}`)
			is.Equal(r.status, tt.status)
			is.Equal(changed[len(changed)-1], tt.serves)
			is.Equal(stream(e, `{"requestId":"r","model":"m","version":"v1"}`).status, http.StatusNotFound)
		})
	}
}

// An order that is still loading weights must not overwrite a later one when it is done.
func TestSupersededOrderIsRefused(t *testing.T) {
	slow := func(ctx context.Context, _, version string) error {
		if version == "v2" {
			time.Sleep(time.Minute)
		}
		return ctx.Err()
	}
	run(t, engine.Settings{ChecksFencing: true, FetchWeights: slow}, func(is *is.I, e *engine.Server) {
		var g sync.WaitGroup
		g.Go(func() {
			r := call(context.Background(), e, http.MethodPost, "/orders", `{"fencing":1,"serves":"m","version":"v2"}`)
			is.Equal(r.status, http.StatusConflict)
		})
		synctest.Wait()
		post(is, e, "/orders", `{"fencing":2,"serves":"m","version":"v3"}`)
		g.Wait()
		is.Equal(stream(e, `{"requestId":"r","model":"m","version":"v3"}`).status, http.StatusOK)
	})
}

func TestLoadReportLags(t *testing.T) {
	run(t, engine.Settings{Slots: 1, TokenTime: time.Second, LoadLag: 5 * time.Second}, func(is *is.I, e *engine.Server) {
		var g sync.WaitGroup
		for i := range 3 {
			g.Go(func() { stream(e, streamRequest(fmt.Sprint(i), 10, 0)) })
			synctest.Wait()
		}
		steps := []struct {
			wait             time.Duration
			running, waiting int
		}{{0, 0, 0}, {4 * time.Second, 0, 0}, {2 * time.Second, 1, 2}, {10 * time.Second, 1, 1}, {20 * time.Second, 0, 0}}
		for _, s := range steps {
			time.Sleep(s.wait)
			var load struct {
				Running int   `json:"running"`
				Waiting int   `json:"waiting"`
				Slots   int   `json:"slots"`
				AsOfMs  int64 `json:"asOfMs"`
			}
			r := call(context.Background(), e, http.MethodGet, "/load", "")
			is.NoErr(json.NewDecoder(strings.NewReader(r.body)).Decode(&load))
			is.Equal(load.Running, s.running)
			is.Equal(load.Waiting, s.waiting)
			is.Equal(load.Slots, 1)
			is.Equal(load.AsOfMs, time.Now().Add(-5*time.Second).UnixMilli())
		}
		g.Wait()
	})
}
