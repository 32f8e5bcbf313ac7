package proof_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/replay"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	model     = "brief-writer"
	tokenTime = 20 * time.Millisecond
)

var domains = []string{"works-hall", "old-mill"}

// limits are the limits of the callers.
var limits = caller.Limits{Deadline: 45 * time.Second, IdleTimeout: 3 * time.Second, SearchTimeout: 20 * time.Second, MaxUnknownRetries: 5}

// size is the number of processes of each kind in a system.
type size struct{ entries, engines, services int }

// system is a running system of real processes.
type system struct {
	t         testing.TB
	platform  *process
	entries   []string
	processes map[string]int
}

// newSystem starts a system and waits until every entry is ready. It marks the test as parallel.
func newSystem(t *testing.T, n size) *system {
	t.Helper()
	t.Parallel()
	s := startSystem(t, n)
	s.ready(n.services)
	return s
}

// startSystem starts a system without waiting until its entries are ready.
func startSystem(t testing.TB, n size) *system {
	t.Helper()
	s := &system{t: t, processes: map[string]int{}}
	s.platform = start(t, "platform", "standin", "platform", "--list-lag", "300ms")
	s.publish(0, "")
	for i := range n.engines {
		s.start(fmt.Sprintf("engine-%d", i+1), "standin", "engine", "--platform", s.platform.url(), "--id", fmt.Sprintf("engine-%d", i+1),
			"--domain", domain(i), "--model", model, "--token-time", tokenTime.String())
	}
	for i := range n.services {
		s.start(fmt.Sprintf("service-%d", i+1), "standin", "service", "--platform", s.platform.url(), "--id", fmt.Sprintf("service-%d", i+1),
			"--domain", domain(i), "--serves", "order-desk")
	}
	for i := range n.entries {
		s.startEntry(i)
	}
	return s
}

func domain(i int) string { return domains[i%len(domains)] }

func (s *system) start(name, program string, args ...string) *process {
	s.t.Helper()
	p := start(s.t, name, program, args...)
	s.processes[name] = p.id()
	return p
}

// startEntry starts an entry with a settings file of its own.
func (s *system) startEntry(i int) { s.startEntryAt(i, s.platform.url()) }

// startEntryAt starts an entry that reaches the platform at the URL.
func (s *system) startEntryAt(i int, platform string) {
	s.t.Helper()
	is := is.New(s.t)
	id := fmt.Sprintf("entry-%d", i+1)
	file := filepath.Join(s.t.TempDir(), id+".ini")
	settings := fmt.Sprintf("[entry]\nid = %s\ndomain = %s\n\n[platform]\nurl = %s\n", id, domain(i), platform)
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	s.entries = append(s.entries, s.start(id, "dandelionrail", "serve", "--config", file).url())
}

type documentRecord struct {
	Environment string `json:"environment"`
	Base        int    `json:"base"`
	Number      int    `json:"number"`
	Source      string `json:"source"`
}

type appendBody struct {
	Kind string         `json:"kind"`
	Body documentRecord `json:"body"`
}

// publish appends the demo's document, with the appended text, as the successor of the base version.
func (s *system) publish(base int, appended string) {
	s.t.Helper()
	is := is.New(s.t)
	source, err := os.ReadFile(filepath.Join("..", "..", "..", "demo", "harrowgate.ini"))
	is.NoErr(err)
	record := documentRecord{Environment: "production", Base: base, Number: base + 1, Source: string(source) + appended}
	body, err := json.Marshal(appendBody{Kind: "production/document", Body: record})
	is.NoErr(err)
	r, err := http.Post(s.platform.url()+"/log/records", "application/json", bytes.NewReader(body))
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	is.Equal(r.StatusCode, http.StatusOK)
}

// ready waits until each entry answers a stream and, if there are services, a lookup.
func (s *system) ready(services int) {
	s.t.Helper()
	probes := streams(1, 1, 0, trace.Complete)
	if services > 0 {
		probes = append(probes, trace.NewLookup(0, office, "proofs", "/proofs/1"))
	}
	t := trace.New("ready", "harrowgate", 0, probes, nil)
	is.New(s.t).NoErr(replay.WaitReady(s.t.Context(), t, s.entries, startDeadline))
}

// replay replays requests and faults, requires every expected outcome and returns the report.
func (s *system) replay(requests []trace.Request, faults ...trace.Fault) replay.Report {
	s.t.Helper()
	report := replay.Run(s.t.Context(), trace.New(s.t.Name(), "harrowgate", 0, requests, faults), replay.Settings{
		Entries:          s.entries,
		Platform:         s.platform.url(),
		Processes:        s.processes,
		Limits:           limits,
		MaxInFlight:      1000,
		Speed:            1,
		FirstTokenTarget: 800 * time.Millisecond,
	})
	var b strings.Builder
	is.New(s.t).NoErr(report.Print(&b))
	if !report.Passed() {
		s.t.Fatal(b.String())
	}
	s.t.Log(b.String())
	return report
}

// office is the caller of all requests here.
var office = trace.NewCaller("office", "office-token")

// streams returns n streams of the given number of tokens, one per interval.
func streams(n, tokens int, interval time.Duration, o trace.Outcome) []trace.Request {
	var rs []trace.Request
	for i := range n {
		prompt := trace.NewPrompt(uint64(i%4), 64, uint64(i), 16)
		rs = append(rs, trace.NewStream(time.Duration(i)*interval, office, model, prompt, tokens).WithOutcome(o))
	}
	return rs
}

// lookups returns n lookups, one per interval.
func lookups(n int, interval time.Duration) []trace.Request {
	var rs []trace.Request
	for i := range n {
		rs = append(rs, trace.NewLookup(time.Duration(i)*interval, office, "proofs", fmt.Sprintf("/proofs/%d", i)))
	}
	return rs
}

// sortByOffset merges requests in order of their offsets.
func sortByOffset(lists ...[]trace.Request) []trace.Request {
	rs := slices.Concat(lists...)
	slices.SortStableFunc(rs, func(a, b trace.Request) int { return int(a.Offset() - b.Offset()) })
	return rs
}
