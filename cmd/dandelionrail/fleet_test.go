package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
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

const (
	fleetGateways  = 6
	fleetUpstreams = 6
	fleetCallers   = 24
	fleetSlots     = 24 // Requests that an upstream runs at once.
	fleetEvents    = 6  // Events of a stream.
	// callerInterval is the mean time between two requests of a caller.
	callerInterval = 200 * time.Millisecond
	// contactTime is the users' ContactMs.
	contactTime = 3 * time.Second
	// fleetConfiguration has a route for each kind of request.
	fleetConfiguration = `{"Version":7,"Routes":[
{"Name":"draft","Host":"shop.example","PathPrefix":"/draft/","Kind":"streaming","TimeoutMs":3000,"GoalMs":500,"Service":"models","Attempts":2,"CanResume":true},
{"Name":"chat","Host":"shop.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":3000,"GoalMs":500,"Service":"models","Attempts":1},
{"Name":"order","Host":"shop.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":3000,"GoalMs":500,"Service":"desk","Attempts":2},
{"Name":"lookup","Host":"shop.example","PathPrefix":"/lookup/","Kind":"idempotent","TimeoutMs":3000,"GoalMs":500,"Service":"desk","Attempts":2}],
"Services":[{"Name":"models","HealthPath":"/health","MaxConns":200},{"Name":"desk","HealthPath":"/health","MaxConns":200}],
"Tenants":[{"Name":"engravers","ApiKeys":["key-1"]}]}`
)

var (
	fleetDomains  = []string{"north", "south"}
	fleetServices = []string{"models", "models", "desk"}
	fleetPaths    = []string{"/draft/", "/chat/", "/order/", "/lookup/"}
)

// fleetAddresses is the number of loopback addresses that were assigned to gateways.
var fleetAddresses atomic.Int32

// fleet is some gateways and upstreams with a link between each two, and callers that stay with their gateway.
type fleet struct {
	t         *testing.T
	group     *group.Group
	callers   *group.Group
	store     *store.Store
	gateways  []*daemon
	upstreams []*fleetUpstream
	links     [][]*link // By gateway and upstream.

	mu       sync.Mutex
	requests []*fleetRequest
	runs     map[string][]fleetRun // By request id.
	arrivals map[string]int        // By service.
}

type fleetUpstream struct {
	fleet                        *fleet
	id, service, domain, address string
	running                      atomic.Int32
}

type fleetRun struct {
	upstream, stamp, team, key string
	from                       int
}

// fleetRequest is the first try of a request, and its result.
type fleetRequest struct {
	id, path       string
	gateway        int
	sentAt, doneAt time.Time
	status         int
	stamp          string
	whole          bool // The answer is complete.
	wrong          string
	err            error
}

func (q *fleetRequest) served() bool { return q.err == nil && q.status == http.StatusOK && q.whole }

func (q *fleetRequest) atMostOnce() bool {
	return strings.HasPrefix(q.path, "/order/") || strings.HasPrefix(q.path, "/chat/")
}

func (q *fleetRequest) streaming() bool {
	return strings.HasPrefix(q.path, "/draft/") || strings.HasPrefix(q.path, "/chat/")
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: store.New(), runs: map[string][]fleetRun{}, arrivals: map[string]int{}}
	f.group, f.callers = group.New(context.Background()), group.New(context.Background())
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.Close)
	f.store.Put("keyed.op", "config", []byte(fleetConfiguration))
	for n := range fleetUpstreams {
		u := &fleetUpstream{fleet: f, id: "i-" + strconv.Itoa(n), service: fleetServices[n%len(fleetServices)], domain: fleetDomains[n/len(fleetServices)]}
		server := httptest.NewServer(u)
		t.Cleanup(server.CloseClientConnections)
		u.address = strings.TrimPrefix(server.URL, "http://")
		f.upstreams = append(f.upstreams, u)
		value, _ := json.Marshal(map[string]any{"Service": u.service, "Address": u.address, "Zone": u.domain, "State": "ready", "Slots": fleetSlots}) // Its values can always be encoded.
		f.store.Put("keyed.servers", u.id, value)
	}
	for n := range fleetGateways {
		f.startGateway(n, strings.TrimPrefix(storeServer.URL, "http://"))
	}
	t.Cleanup(f.stop)
	for _, d := range f.gateways {
		f.awaitReady(d)
	}
	time.Sleep(1500 * time.Millisecond) // The gateways discover each other.
	for n := range fleetCallers {
		f.callers.Go(func(ctx context.Context) { f.send(ctx, n) })
	}
	time.Sleep(time.Second) // Connections to all upstreams are open.
	return f
}

func (f *fleet) startGateway(n int, storeAddress string) {
	f.t.Helper()
	ip := fmt.Sprintf("127.2.%d.%d", os.Getpid()%250, fleetAddresses.Add(1))
	text := fmt.Sprintf(`Node=front-%d
Zone=%s
Zones.north=midlands
Zones.south=midlands
Ip=%s
Listen.Front=%s:8221
Listen.Ready=%s:8224
PortRange=7600,7615
Provider.Address=%s
Cloud.Address=%s
Cloud.Duties=usage
Bounds.ContactMs=3000
Bounds.UsageWindowS=1
Bounds.GraceS=8
Bounds.BudgetRatio=0.2
Bounds.BudgetExtra=20
`, n, fleetDomains[n%len(fleetDomains)], ip, ip, ip, storeAddress, storeAddress)
	file := filepath.Join(f.t.TempDir(), "node.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	s, err := readPlatformSettings(file)
	if err != nil {
		f.t.Fatal(err)
	}
	out := io.Discard
	if dir := os.Getenv("FLEET_LOGS"); dir != "" {
		if out, err = os.Create(filepath.Join(dir, fmt.Sprintf("%s-front-%d.log", strings.ReplaceAll(f.t.Name(), "/", "-"), n))); err != nil {
			f.t.Fatal(err)
		}
	}
	d, err := newDaemon(s, out)
	if err != nil {
		f.t.Fatal(err)
	}
	dialer := &linkDialer{inner: d.sender.Dialer(), links: map[string]*link{}}
	var links []*link
	for _, u := range f.upstreams {
		l := newLink()
		dialer.links[u.address], links = l, append(links, l)
	}
	d.sender.WithDialer(dialer)
	f.links, f.gateways = append(f.links, links), append(f.gateways, d)
	d.start()
}

func (f *fleet) awaitReady(d *daemon) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + d.settings.ReadyAddress() + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s is not ready", d.settings.NodeName())
		}
	}
}

func (f *fleet) stop() {
	f.callers.Stop()
	for _, d := range f.gateways {
		d.dutyGroup.Stop()
		_, _, _ = d.peers.Close(), d.ready.Close(), d.metrics.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_ = d.ingress.Shutdown(ctx)
		cancel()
		f.group.Go(func(context.Context) { // Connections that are watched may outlive it.
			d.group.Stop()
			d.logGroup.Stop()
		})
	}
}

// set sets the links from the gateways to the upstreams that the function selects.
func (f *fleet) set(s linkState, selected func(gateway, upstream int) bool) {
	for g, links := range f.links {
		for u, l := range links {
			if selected(g, u) {
				l.set(s)
			}
		}
	}
}

// send sends the requests of one caller over connections that stay open, whether earlier ones are answered or not.
func (f *fleet) send(ctx context.Context, n int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
	client := &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	r := rand.New(rand.NewPCG(1, uint64(n)))
	for number := 0; ctx.Err() == nil; number++ {
		q := &fleetRequest{id: fmt.Sprintf("q%d-%d", n, number), gateway: n % fleetGateways}
		q.path = fleetPaths[r.IntN(len(fleetPaths))] + q.id
		f.callers.Go(func(ctx context.Context) {
			q.send(context.WithoutCancel(ctx), client, f.gateways[q.gateway].settings.CallerAddress())
			f.mu.Lock()
			defer f.mu.Unlock()
			f.requests = append(f.requests, q)
		})
		time.Sleep(callerInterval/2 + rand.N(callerInterval))
	}
}

func (q *fleetRequest) send(ctx context.Context, client *http.Client, address string) {
	timeout := 1500 * time.Millisecond
	q.sentAt = time.Now()
	defer func() { q.doneAt = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, timeout+500*time.Millisecond)
	defer cancel()
	method, body := http.MethodPost, q.id
	if strings.HasPrefix(q.path, "/lookup/") {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+q.path, strings.NewReader(body))
	if err != nil {
		q.err = err
		return
	}
	r.GetBody = nil // Keeps the client from retrying by itself.
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token key-1")
	r.Header.Set("X-Tenant", "somebody") // The gateway must replace it by the team of the key.
	resp, err := client.Do(r)
	if err != nil {
		q.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	q.status, q.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	if q.status != http.StatusOK {
		_, q.err = io.Copy(io.Discard, resp.Body)
		return
	}
	q.readAnswer(resp.Body)
}

func (q *fleetRequest) readAnswer(body io.Reader) {
	lines := bufio.NewScanner(body)
	expected := []string{"answer to " + q.path}
	if q.streaming() {
		expected = nil
		for n := 1; n <= fleetEvents; n++ {
			expected = append(expected, fmt.Sprintf("id: %d", n), fmt.Sprintf("data: %d of %s", n, q.path), "")
		}
	}
	var got []string
	for lines.Scan() {
		got = append(got, lines.Text())
	}
	q.err = lines.Err()
	q.whole = slices.Equal(got, expected)
	if !q.whole && q.err == nil {
		q.wrong = strings.Join(got, "|")
	}
}

// ServeHTTP implements http.Handler.
func (u *fleetUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || strings.HasPrefix(r.URL.Path, "/-/") {
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.fleet.mu.Lock()
	u.fleet.arrivals[u.service]++
	u.fleet.mu.Unlock()
	if u.running.Add(1) > fleetSlots {
		u.running.Add(-1)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without the header, the answer starts at the first event.
	u.fleet.mu.Lock()
	run := fleetRun{upstream: u.id, stamp: fmt.Sprintf("%s.%s.%d", u.id, id, len(u.fleet.runs[id])), team: r.Header.Get("X-Tenant"), key: r.Header.Get("Authorization"), from: from}
	u.fleet.runs[id] = append(u.fleet.runs[id], run)
	u.fleet.mu.Unlock()
	w.Header().Set("X-Response-Stamp", run.stamp)
	if r.Method == http.MethodPost && string(body) != id {
		u.fleet.t.Errorf("UNASKED: %s has another body", r.URL.Path)
	}
	time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
	if !strings.HasPrefix(r.URL.Path, "/draft/") && !strings.HasPrefix(r.URL.Path, "/chat/") {
		_, _ = io.WriteString(w, "answer to "+r.URL.Path) // The gateway may have disconnected.
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= fleetEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", n, n, r.URL.Path); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
	}
}

// finish stops the callers and returns their requests; what must hold in any case is checked.
func (f *fleet) finish() []*fleetRequest {
	f.t.Helper()
	f.callers.Stop()
	time.Sleep(100 * time.Millisecond) // The upstreams have read what reached them.
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.requests {
		f.checkRequest(q)
	}
	for service, n := range f.arrivals {
		asked := 0
		for _, q := range f.requests {
			if q.streaming() == (service == "models") {
				asked++
			}
		}
		if extra := float64(n - asked); extra > 0.2*float64(asked)+20 {
			f.t.Errorf("BUDGET: %d attempts at %s for %d requests", n, service, asked)
		}
	}
	return f.requests
}

// checkRequest checks the promises that hold for each request; the mutex is held.
func (f *fleet) checkRequest(q *fleetRequest) {
	f.t.Helper()
	runs := f.runs[q.id]
	switch {
	case q.atMostOnce() && len(runs) > 1:
		f.t.Errorf("TWICE: %s ran %d times", q.path, len(runs))
	case q.wrong != "":
		f.t.Errorf("MIXED or ORDER: %s was answered with %q", q.path, q.wrong)
	case q.status == http.StatusOK && !slices.ContainsFunc(runs, func(r fleetRun) bool { return r.stamp == q.stamp }):
		f.t.Errorf("MIXED: %s has the stamp %q, which belongs to none of its runs", q.path, q.stamp)
	case q.status == http.StatusNotFound || q.status == http.StatusUnauthorized || q.status == http.StatusForbidden:
		f.t.Errorf("DENIED: %s was answered with %d", q.path, q.status)
	case q.atMostOnce() && len(runs) > 0 && slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, q.status):
		f.t.Errorf("REFUSED: %s was answered with %d and ran", q.path, q.status)
	}
	for _, r := range runs {
		if r.team != "engravers" || r.key != "" {
			f.t.Errorf("UNASKED: %s ran for the team %q with the key %q", q.path, r.team, r.key)
		}
	}
}

// share counts the first tries sent in the span and how many of them were served.
func share(requests []*fleetRequest, from, to time.Time, selected func(gateway int) bool) (served, tried int) {
	for _, q := range requests {
		if selected(q.gateway) && !q.sentAt.Before(from) && q.sentAt.Before(to) {
			tried++
			if q.served() {
				served++
			}
		}
	}
	return served, tried
}
