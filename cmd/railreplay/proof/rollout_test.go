package proof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	// maxBadStreams is how many streams a bad version may get until it is rolled back.
	maxBadStreams   = 30
	rolloutTokens   = 10
	rolloutInterval = time.Second / 60
	// rolloutStreams is the number of streams in ten seconds.
	rolloutStreams = 600
)

// verdict is the record that ends a rollout.
type verdict struct {
	Route   string `json:"route"`
	Version string `json:"version"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

type verdictRecord struct {
	Kind string  `json:"kind"`
	Body verdict `json:"body"`
}

type logPage struct {
	Records []verdictRecord `json:"records"`
}

type engineTotals struct {
	Streams int `json:"streams"`
}

// get decodes a stand-in's JSON response.
func (s *system) get(ctx context.Context, url string, response any) {
	s.t.Helper()
	is := is.New(s.t)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	is.NoErr(err)
	w, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = w.Body.Close() }()
	is.NoErr(json.NewDecoder(w.Body).Decode(response))
}

// verdict returns the first verdict in the log, and false if there is none.
func (s *system) verdict(ctx context.Context) (verdict, bool) {
	s.t.Helper()
	var page logPage
	s.get(ctx, s.platform.url()+"/log/records?from=0&limit=5000", &page)
	for _, r := range page.Records {
		if r.Kind == "production/verdict" {
			return r.Body, true
		}
	}
	return verdict{}, false
}

type listResponse struct {
	Instances []listedInstance `json:"instances"`
}

type listedInstance struct {
	ID string `json:"id"`
}

// startRollout starts an engine of v2 with the faults of the control body, and publishes a rollout to v2 once the engine is
// listed.
func (s *system) startRollout(deadline time.Duration, control string) *process {
	s.t.Helper()
	is := is.New(s.t)
	e := s.start("engine-new", "standin", "engine", "--platform", s.platform.url(), "--id", "engine-new",
		"--domain", domain(0), "--model", model, "--token-time", tokenTime.String(), "--version", "v2")
	r, err := http.Post(e.url()+"/control", "application/json", strings.NewReader(control))
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	poll(s.t, "engine-new is listed", func(ctx context.Context) bool {
		var list listResponse
		s.get(ctx, s.platform.url()+"/instances", &list)
		return slices.Contains(list.Instances, listedInstance{ID: "engine-new"})
	})
	s.publish(1, fmt.Sprintf("\n[rollout.drafting]\nversion = v2\ndeadline = %s\n", time.Now().Add(deadline).UTC().Format(time.RFC3339)))
	return e
}

func (s *system) totalStreams(e *process) int {
	s.t.Helper()
	var t engineTotals
	s.get(s.t.Context(), e.url()+"/totals", &t)
	return t.Streams
}

func TestBadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	tests := []struct{ name, control string }{
		{"fails at once", `{"failShare":1}`},
		{"fails mid-stream", `{"failShare":1,"failAfter":4}`},
		{"fails half of the streams", `{"failShare":0.5}`},
		{"slow only", `{"slowFactor":8}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testRollback(t, tt.control) })
	}
}

func TestUnresponsiveVersionIsRolledBack(t *testing.T) { testRollback(t, `{"silentAfter":3}`) }

// testRollback rolls out a bad version and requires that every stream is complete, and that the version gets few streams
// before its rollback and none after it.
func testRollback(t *testing.T, control string) {
	t.Helper()
	s := newSystem(t, size{entries: 2, engines: 2})
	is := is.New(t)
	e := s.startRollout(10*time.Minute, control)
	s.replay(streams(rolloutStreams, rolloutTokens, rolloutInterval, trace.Complete))
	poll(t, "verdict", func(ctx context.Context) bool { _, ok := s.verdict(ctx); return ok })
	v, _ := s.verdict(t.Context())
	is.Equal(v.Outcome, "takenBack")
	bad := s.totalStreams(e)
	t.Logf("%d streams of %d at the bad version, %s", bad, rolloutStreams, v.Reason)
	is.True(bad > 0 && bad <= maxBadStreams)
	s.replay(streams(rolloutStreams/5, rolloutTokens, rolloutInterval, trace.Complete))
	is.Equal(s.totalStreams(e), bad) // no streams after the rollback
}

func TestGoodVersionCompletesByDeadline(t *testing.T) {
	s := newSystem(t, size{entries: 2, engines: 2})
	is := is.New(t)
	const deadline = 75 * time.Second
	s.startRollout(deadline, "{}")
	s.replay(streams(7*rolloutStreams, rolloutTokens, rolloutInterval, trace.Complete))
	poll(t, "verdict", func(ctx context.Context) bool { _, ok := s.verdict(ctx); return ok })
	v, _ := s.verdict(t.Context())
	t.Log(v.Reason)
	is.Equal(v.Outcome, "done")
}
