package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its end.
type attempt struct {
	id, gateway, method, path string
	sentAt, endedAt           time.Time
	status                    int
	body, stamp               string
	err                       error
}

// served reports whether the client got the whole answer of a worker.
func (a *attempt) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.stamp != "" && a.body == "answer to "+a.id
}

// clients send requests and keep their ends.
type clients struct {
	w      *world
	number atomic.Int64
	host   string
	key    string // Of the tenant, empty if there is none.
	// headers sets further headers of an attempt; it may be nil.
	headers func(a *attempt, h http.Header)
	mu      sync.Mutex
	all     []*attempt
	wait    sync.WaitGroup
}

func newClients(w *world) *clients { return &clients{w: w, host: "shop.example"} }

// send makes one client attempt on a new connection.
func (c *clients) send(g *gateway, method, path, body string, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("q%d", c.number.Add(1)), gateway: g.name, method: method, path: path, sentAt: time.Now()}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, reader)
	must(err)
	r.Host = c.host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set("Authorization", "Token "+c.key)
	}
	if c.headers != nil {
		c.headers(a, r.Header)
	}
	resp, err := transport.RoundTrip(r)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.stamp = resp.StatusCode, string(b), resp.Header.Get("X-Response-Stamp")
	}
	a.err, a.endedAt = err, time.Now()
	c.w.line("sent %s %s %s to %s, after %d ms: status %d, stamp %q, error %v", a.id, method, path, g.name, a.endedAt.Sub(a.sentAt).Milliseconds(), a.status, a.stamp, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
	return a
}

// flow sends requests at the rate, to the gateways in turn, until stop is closed. next makes each request.
func (c *clients) flow(rate float64, stop <-chan struct{}, gateways []*gateway, next func(n int, g *gateway)) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
				c.wait.Add(1)
				go func() {
					defer c.wait.Done()
					next(n, gateways[n%len(gateways)])
				}()
			}
		}
	}()
}

// between returns the attempts that were sent in the time.
func (c *clients) between(from, to time.Time) []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*attempt
	for _, a := range c.all {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

// count returns how many attempts are as wanted.
func count(list []*attempt, wanted func(*attempt) bool) int {
	n := 0
	for _, a := range list {
		if wanted(a) {
			n++
		}
	}
	return n
}

func isServed(a *attempt) bool { return a.served() }

// route returns a route of the configuration.
func route(name, prefix, kind, service string, attempts, timeoutMs, goalMs int, resume bool) map[string]any {
	return map[string]any{"Name": name, "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": goalMs, "Priority": 1, "Service": service, "Attempts": attempts, "Public": true, "Sticky": false, "CanResume": resume, "GapGoalMs": 500}
}

// service returns a plain service of the configuration.
func service(name string, maxConns int) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": maxConns, "Protocol": "h1", "Tls": false}
}

// configure writes a configuration with the tenants, if there are any.
func (w *world) configure(version int, routes []map[string]any, services []map[string]any, tenants ...map[string]any) {
	config := map[string]any{"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
	if len(tenants) > 0 {
		config["Tenants"] = tenants
	}
	w.store.put("keyed.op", "config", config)
	w.line("configuration %d", version)
}
