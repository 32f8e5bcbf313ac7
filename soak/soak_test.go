package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dandelionrail.org/rail/group"
	"dandelionrail.org/rail/standin/store"
)

var (
	seedCount = flag.Int("soak.seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "the first seed")
	length    = flag.Duration("soak.length", 6*time.Second, "how long faults are injected")
	gateways  = flag.Int("soak.gateways", 4, "number of gateways")
	keep      = flag.String("soak.keep", "", "directory to which the logs of failed seeds are copied")
)

// failure is a seed that has failed, with the cause.
type failure struct {
	scenario scenario
	seed     uint64
	cause    string
}

// failedLength is how long faults were injected when the seeds below failed.
const failedLength = 10 * time.Second

// fixedFailures are the failures whose cause is fixed.
var fixedFailures = []failure{
	{planned, 5014, "QUOTA: gateways that start at the same time did not discover each other for four seconds"},
	{poisoned, 2014, "QUOTA: a gateway that took the lease right after its start stored that nothing had been admitted meanwhile"},
	{mixed, 5004, "QUOTA: after two kills of all gateways, a record 5.4 s old counted as 4 s of unknown usage"},
	{mixed, 5002, "QUOTA: what a killed gateway was known to have admitted was forgotten"},
}

// knownFailures are the failures that are listed in KNOWN-RED.txt.
var knownFailures []failure

// The limits of the deployment.
const (
	retryRatio    = 0.2
	retryExtra    = 20
	retryWindow   = 10 * time.Second
	quotaSlack    = 20_000
	quotaOver     = 0.1
	quotaWindow   = 8 * time.Second
	limitedRate   = 6000 // Tokens per second of the team with a limit; its burst is the same number of tokens.
	callers       = 24
	recoverWithin = 6 * time.Second
)

// program is the path of the gateway's executable, built once for all tests.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "dandelionrail")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/dandelionrail").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), mixed, *length)
	}
}

func TestPromisesHoldUnderGarbage(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), hostile, *length)
	}
}

func TestPlannedWorkCutsNothing(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), planned, *length)
	}
}

func TestPromisesHoldUnderPoison(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), poisoned, *length)
	}
}

func TestPromisesHoldAcrossRestores(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), restored, *length)
	}
}

func TestPromisesHoldUnderCrashingRequests(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), crashing, *length)
	}
}

func TestPromisesHoldUnderPartitions(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), partitioned, *length)
	}
}

func TestPromisesHoldUnderEvacuation(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), evacuated, *length)
	}
}

func TestStreamsRunAtOneUpstreamAtATime(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), silent, *length)
	}
}

func TestPromisesHoldUnderRepeatedAnswers(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), repeated, *length)
	}
}

func TestPromisesHoldInALargeFleet(t *testing.T) {
	for i := range *seedCount {
		runScenario(t, *firstSeed+uint64(i), large, *length)
	}
}

func TestSeedsThatFailedOnce(t *testing.T) {
	for _, f := range fixedFailures {
		runScenario(t, f.seed, f.scenario, failedLength)
	}
}

func TestSeedsThatStillFail(t *testing.T) {
	for _, f := range knownFailures {
		runScenario(t, f.seed, f.scenario, failedLength)
	}
}

// scenario selects the faults of a run.
type scenario string

const (
	mixed   scenario = "mixed"
	hostile scenario = "hostile" // As mixed, with upstreams that send bytes that are no answer.
	// As mixed, with prompts under which upstreams crash, upstreams that name request limits, and streams that end with their connection.
	poisoned scenario = "poisoned"
	restored scenario = "restored" // As mixed, with a store that is restored from older copies.
	crashing scenario = "crashing" // As mixed, with a request under which upstreams crash.
	// With gateways that lose all upstreams, those of a service or those of a domain; half of the seeds have only planned events beside it.
	partitioned scenario = "partitioned"
	// As planned, with a domain that is evacuated for a time, and new upstreams that are cold at first.
	evacuated scenario = "evacuated"
	// As mixed, with engines that fall silent or pause while streams run, preempt streams, or see the ends of connections late.
	silent scenario = "silent"
	// As mixed, with upstreams that send refusals twice and are listed anew, and callers that send an id again.
	repeated scenario = "repeated"
	// As silent and repeated, with more engines, order services that go down and return under their ids, one attempt for orders, and callers
	// that send each id once.
	large   scenario = "large"
	planned scenario = "planned" // Only SIGTERM, SIGHUP, new configurations and replaced upstreams.
)

// test returns the name of the test whose seeds the flags choose.
func (s scenario) test() string {
	return map[scenario]string{mixed: "TestPromisesHoldUnderFaults", hostile: "TestPromisesHoldUnderGarbage", poisoned: "TestPromisesHoldUnderPoison", restored: "TestPromisesHoldAcrossRestores", crashing: "TestPromisesHoldUnderCrashingRequests", partitioned: "TestPromisesHoldUnderPartitions", repeated: "TestPromisesHoldUnderRepeatedAnswers", silent: "TestStreamsRunAtOneUpstreamAtATime", large: "TestPromisesHoldInALargeFleet", evacuated: "TestPromisesHoldUnderEvacuation", planned: "TestPlannedWorkCutsNothing"}[s]
}

// deployment is the system under test, with its store, upstreams and callers.
type deployment struct {
	t           *testing.T
	random      *rand.Rand
	scenario    scenario
	group       *group.Group
	callers     *group.Group
	store       *store.Store
	poison      poisonRecord
	storeServer *httptest.Server
	recorder    *recorder
	processes   []*process
	seed        uint64
	startedAt   time.Time // When all gateways were ready.
	stoppedAt   time.Time
	recoverAt   time.Time // When all faults are over.
	started     atomic.Bool
	partitionMu sync.Mutex // Held while gateways are partitioned.

	mu            sync.Mutex
	upstreams     []*upstream
	holderByFence map[string]string
	requests      []*request
	version       int
	configuration []byte // The newest version.
	// leavingTold holds when a gateway first passed on an answer of an upstream that said that it leaves.
	leavingTold map[told]time.Time
	overload    bool
	partitions  []partitionRecord
	evacuation  evacuation
	overlaps    []overlap
	moves       int // Runs of streams that follow one at another upstream.
	// storeDisturbedUntil is when the last disturbance of the store began or ended.
	storeDisturbedUntil time.Time
	log                 []string
}

func runScenario(t *testing.T, seed uint64, kind scenario, length time.Duration) {
	t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
		t.Parallel()
		dir := t.TempDir()
		d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, scenario: kind, store: store.New(), recorder: newRecorder(), holderByFence: map[string]string{}, leavingTold: map[told]time.Time{}}
		d.group = group.New(context.Background())
		d.callers = group.New(context.Background())
		d.storeServer = httptest.NewServer(http.HandlerFunc(d.serveStore))
		defer d.storeServer.Close()
		defer d.group.Stop()
		if err := d.start(dir); err != nil {
			t.Fatal(err)
		}
		d.recoverAt = time.Now().Add(length + shutdownGrace)
		d.group.Go(d.faultInjector(time.Now().Add(length)))
		if kind == evacuated {
			d.group.Go(d.evacuate)
		}
		if kind == large {
			for n := range orderServices {
				d.group.Go(d.flap(n, rand.New(rand.NewPCG(seed, uint64(n)))))
			}
		}
		for n := range d.callerCount() {
			d.callers.Go(d.sendRequests(n, rand.New(rand.NewPCG(seed, uint64(n)+2))))
		}
		if kind == partitioned {
			for n := range d.processes {
				d.callers.Go(d.sendSteadily(n, rand.New(rand.NewPCG(seed, uint64(callers+n)+2))))
			}
		}
		time.Sleep(length + shutdownGrace + recoverWithin)
		if kind == restored {
			d.checkNewestConfiguration(t.Context())
		}
		d.stoppedAt = time.Now()
		d.callers.Stop()
		for _, p := range d.processes {
			p.kill()
		}
		if kind == partitioned {
			d.awaitUpstreams()
		}
		d.check()
		if kind == evacuated {
			d.checkEvacuation()
			d.checkColdUpstreams()
		}
		d.logSummary()
		if len(d.recorder.violations) > 0 {
			d.report(seed, dir)
		}
	})
}

func (d *deployment) start(dir string) error {
	d.configure()
	services := []string{"models", "models", "desk", "models", "models", "desk"}
	if d.scenario == large {
		services = append(slices.Repeat([]string{"desk"}, orderServices), slices.Repeat([]string{"models"}, *engines)...)
	}
	for n, service := range services {
		if _, err := d.addUpstream(service, []string{"north", "south"}[n*2/len(services)]); err != nil {
			return err
		}
	}
	for n := range *gateways {
		p, err := newProcess(d.group, d.recorder, d.seed, dir, "gateway-"+strconv.Itoa(n), []string{"north", "south"}[n%2], strings.TrimPrefix(d.storeServer.URL, "http://"))
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
	}
	for _, p := range d.processes {
		for !p.isReady(http.DefaultClient) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.started.Store(true)
	d.startedAt = time.Now()
	time.Sleep(time.Second) // The gateways discover each other.
	return nil
}

// serveStore serves the store and checks that each fence has only one holder.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request) {
	if fence := r.Header.Get("X-Fence-Token"); fence != "" {
		holder := r.Header.Get("X-Duty-Holder")
		d.mu.Lock()
		if before, ok := d.holderByFence[fence]; ok && before != holder {
			d.recorder.recordViolation("ONE: %s and %s use the fence %s", before, holder, fence)
		}
		d.holderByFence[fence] = holder
		d.mu.Unlock()
	}
	d.store.ServeHTTP(w, r)
}

// configure publishes the next version of the configuration.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	version := d.version
	type object map[string]any
	timeout, attempts := 3*time.Second, 2
	if d.scenario == silent || d.scenario == large {
		timeout = streamTimeout
	}
	if d.scenario == repeated {
		attempts = 3 // So that a request that is refused at both entries of an upstream can go on.
	}
	route := func(path, kind, service string, attempts int, resume bool) object {
		return object{"Name": "r" + strings.ReplaceAll(path, "/", "-"), "Host": "shop.example", "PathPrefix": path, "Kind": kind, "TimeoutMs": int(timeout.Milliseconds()) + version, "GoalMs": 500, "Service": service, "Attempts": attempts, "Sticky": service == "models", "CanResume": resume}
	}
	routes := []object{route("/draft/", "streaming", "models", 2, true), route("/chat/", "streaming", "models", 1, false), route("/order/", "non_idempotent", "desk", attempts, false), route("/lookup/", "idempotent", "desk", 2, false)}
	if d.scenario == large {
		routes[2] = route("/order/", "non_idempotent", "desk", 1, false)
		routes = append(routes, route("/draft/long/", "streaming", "models", 2, true))
	}
	if d.scenario == restored {
		routes = append(routes, route(fmt.Sprintf("/added-%d/", version), "idempotent", "desk", 2, false))
	}
	models, desk := object{"Name": "models", "HealthPath": "/health", "MaxConns": 200, "Engine": object{"Slots": slots, "KvCapacity": 500_000}}, object{"Name": "desk", "HealthPath": "/health", "MaxConns": 200}
	if d.scenario == evacuated {
		for _, s := range []object{models, desk} {
			s["ColdS"], s["ColdPerS"] = coldTime.Seconds(), coldRate
		}
	}
	d.configuration, _ = json.Marshal(object{ // Its values can always be encoded.
		"Version":  version,
		"Routes":   routes,
		"Services": []object{models, desk},
		"Tenants":  []object{{"Name": "engravers", "ApiKeys": []string{"key-of-engravers"}}, {"Name": "printers", "ApiKeys": []string{"key-of-printers"}, "Unit": "tokens", "PlainTokens": 200, "RatePerS": limitedRate, "Burst": limitedRate}},
	})
	d.store.Put("keyed.op", "config", d.configuration)
}

func (d *deployment) addUpstream(service, zone string) (*upstream, error) {
	d.mu.Lock()
	id := fmt.Sprintf("i-%d", len(d.upstreams))
	d.mu.Unlock()
	u, err := newUpstream(d.group, d.recorder, id, service, zone)
	if err != nil {
		return nil, err
	}
	u.deployment = d
	if d.scenario == partitioned || d.scenario == silent || d.scenario == large {
		u.proxy.identifyBy(d.connectionOwner)
	}
	if d.scenario == repeated && *earlyAnswers {
		u.proxy.setAnswerEarly(u.answerEarly)
	}
	if d.scenario == poisoned {
		u.unframedPercent.Store(20)
	}
	if d.scenario == evacuated && d.started.Load() {
		u.coldUntil = time.Now().Add(coldTime)
	}
	u.register(d.store, "ready")
	d.mu.Lock()
	d.upstreams = append(d.upstreams, u)
	d.mu.Unlock()
	return u, nil
}

// sendRequests returns the loop of one caller, which sends requests to one gateway over a persistent connection and
// switches to another gateway after an error.
func (d *deployment) sendRequests(n int, r *rand.Rand) func(context.Context) {
	return func(ctx context.Context) {
		transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		client := &http.Client{Transport: transport}
		p := d.processes[n%len(d.processes)]
		for number := n * 1_000_000; ctx.Err() == nil; number++ {
			team := "engravers"
			if n%4 == 0 && (d.scenario != large || n%16 == 0) {
				team = "printers"
			}
			q := newRequest(r, number, team)
			if d.scenario == crashing {
				q.makeCrashing(r)
			}
			if d.scenario == poisoned {
				q.addPrompt(r)
			}
			if d.scenario == silent {
				q.lengthen()
			}
			if d.scenario == large {
				q.makeLarge(n)
			}
			if d.scenario == repeated {
				q.makeUpload(r)
			}
			d.exchange(ctx, q, p, client)
			d.sendAgain(ctx, q, p, client, r)
			d.mu.Lock()
			pause := time.Duration(r.IntN(60)) * time.Millisecond
			if d.overload && team == "printers" {
				pause = 5 * time.Millisecond
			}
			d.mu.Unlock()
			// An answer that goes on at the caller's deadline is cut.
			if q.err != nil && q.doneAt.Before(q.deadline) && (d.scenario == planned || d.scenario == evacuated) && d.reached(q) {
				d.recorder.recordViolation("LOST: %s %s at %s: %v after %v, %d events", q.method, q.path, q.gateway, q.err, q.doneAt.Sub(q.sentAt), q.received)
			}
			if q.err != nil {
				transport.CloseIdleConnections()
				p = d.processes[r.IntN(len(d.processes))]
				for tries := 0; tries < 20 && !p.isReady(http.DefaultClient) && ctx.Err() == nil; tries++ {
					p = d.processes[r.IntN(len(d.processes))]
					time.Sleep(20 * time.Millisecond)
				}
			}
			time.Sleep(pause)
		}
	}
}

// callerCount returns the number of callers.
func (d *deployment) callerCount() int {
	if d.scenario == large {
		return 2 * max(callers, len(d.processes))
	}
	return callers
}

// exchange sends the request to the gateway and records it with its result.
func (d *deployment) exchange(ctx context.Context, q *request, p *process, client *http.Client) {
	q.gateway = p.name
	d.recorder.mu.Lock()
	d.recorder.sent[q.attemptID()] = q
	d.recorder.mu.Unlock()
	q.send(context.WithoutCancel(ctx), client, p.frontAddress)
	d.noteAnswer(q)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, q)
}

// reached reports whether an upstream got the request.
func (d *deployment) reached(q *request) bool {
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	return len(d.recorder.runs[q.attemptID()]) > 0
}

// logSummary logs the number of requests by result.
func (d *deployment) logSummary() {
	counts := map[string]int{}
	for _, q := range d.requests {
		if q.err != nil {
			counts["aborted"]++
		} else {
			counts[strconv.Itoa(q.status)]++
		}
	}
	starts := 0
	for _, p := range d.processes {
		starts += p.starts
	}
	d.t.Logf("%d requests, by result %v; %d faults, %d starts, %d usage windows", len(d.requests), counts, len(d.log), starts, len(d.store.Usage()))
	d.t.Log(d.countCases())
}

// report reports the violations and the injected faults, and copies the logs if they are to be kept.
func (d *deployment) report(seed uint64, dir string) {
	for i, f := range d.recorder.violations {
		if i == 10 {
			d.t.Logf("%d more violations", len(d.recorder.violations)-i)
			break
		}
		d.t.Error(f)
	}
	test := strings.Split(d.t.Name(), "/")[0]
	if d.scenario.test() != test { // The seeds of the other tests are fixed.
		d.t.Log("to repeat: go test ./soak -run '" + d.t.Name() + "'")
	} else {
		d.t.Log("to repeat: go test ./soak -run " + test + " -soak.seed " + strconv.FormatUint(seed, 10))
	}
	for _, l := range d.log {
		d.t.Log(l)
	}
	if *keep != "" {
		to := filepath.Join(*keep, fmt.Sprintf("%s-%d", d.scenario, seed))
		if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
			d.t.Log(err)
		}
	}
}
