package stand3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["11"] = doors }

// requestEvery is the pause between an answer and the next request of the client that nobody controls.
const requestEvery = 700 * time.Millisecond

// doors plays clients that open a connection for each request. In the disruption, a client that nobody controls has connections to one
// gateway, and sends a small legal request of odd header lines on each of them now and then.
func doors(e *environment) int {
	const (
		contact   = 3 * time.Second
		clients   = 10
		attackers = 1250
		from, to  = 8 * time.Second, 40 * time.Second
		length    = 44 * time.Second
	)
	zones := []string{"works-hall", "old-mill"}
	run := func(_ *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		if sleep(r.Context(), 15*time.Millisecond) {
			_, _ = io.WriteString(rw, strings.Repeat("proof ", 130))
		}
	}
	e.putConfig(1,
		[]map[string]any{{"Name": "lookup", "Host": host, "PathPrefix": "/cufi504/", "Kind": "idempotent", "TimeoutMs": 800, "GoalMs": 100, "Priority": 2, "Service": orderService, "Attempts": 2, "Public": false}},
		[]map[string]any{{"Name": orderService, "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false}},
		[]map[string]any{{"Name": "shops", "ApiKeys": []string{"key-of-the-shops"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200}})
	for i := range 4 {
		e.newWorker(fmt.Sprintf("i-desk%d", i+1), orderService, zones[i%2], 6, 24, run)
	}
	all := e.startGateways(2, zones, bounds())
	g := all[0]
	time.Sleep(contact + time.Second) // All are in touch.
	begin := time.Now()
	if e.trouble {
		time.AfterFunc(from, func() {
			e.note("the client that nobody controls opens %d connections to %s", attackers, g.name)
			for range attackers {
				go holdConnection(e, g, begin.Add(to))
			}
		})
	}
	type try struct {
		client int
		at     time.Time
		ready  bool
		taken  bool
		served bool
	}
	var mu sync.Mutex
	var tries []try
	readiness := &http.Client{Timeout: time.Second}
	ready := func() bool {
		resp, err := readiness.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	for n := range clients {
		e.every(500*time.Millisecond, func() bool {
			x := try{client: n, at: time.Now(), ready: ready()}
			status, err := requestOnNewConnection(g)
			x.taken, x.served = err == nil, status == http.StatusOK
			e.note("client %d: status %d, %v; ready %v", n, status, err, x.ready)
			mu.Lock()
			tries = append(tries, x)
			mu.Unlock()
			return time.Since(begin) < length
		})
	}
	time.Sleep(length + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	served, before, servedBefore := 0, 0, 0
	for _, x := range tries {
		if x.at.Sub(begin) < from {
			before++
			if x.served {
				servedBefore++
			}
		} else if x.served {
			served++
		}
	}
	e.result("served %d of %d before, %d of %d since", servedBefore, before, served, len(tries)-before)
	// The longest time in which no client got a connection that carried a request, and the clients that tried in it, while it said that it was ready.
	longest, most := time.Duration(0), 0
	for _, first := range tries {
		end, tried, ok := first.at, map[int]bool{}, true
		for _, x := range tries {
			if x.at.Before(first.at) {
				continue
			}
			if x.taken || !x.ready {
				ok = ok && x.at.Before(first.at)
				break
			}
			end, tried[x.client] = x.at, true
		}
		if d := end.Sub(first.at); d > longest {
			longest, most = d, len(tried)
		}
	}
	e.result("%s said that it was ready and took no new connection for %v, while %d clients tried; RECOVER is broken by %v and seven clients", g.name, longest.Round(time.Millisecond), most, contact)
	if longest >= contact && most >= 7 {
		return broken
	}
	return held
}

// requestOnNewConnection sends a request on a connection of its own. An error is a connection that was refused, or closed without an answer.
func requestOnNewConnection(g *gatewayProcess) (int, error) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := fmt.Fprintf(conn, "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token key-of-the-shops\r\nConnection: close\r\n\r\n", host, randomHex(8)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// holdConnection opens a connection again and again, and sends small legal requests of odd header lines on it, without a key. It reads all
// answers, and sends the next request soon after each.
func holdConnection(e *environment, g *gatewayProcess, until time.Time) {
	var b strings.Builder
	for n := range 40 {
		fmt.Fprintf(&b, "%c%d: \t%d\r\n", 'a'+n%26, n, n)
	}
	odd := b.String()
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", g.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(until)
		in := bufio.NewReader(conn)
		for time.Now().Before(until) {
			if _, err = fmt.Fprintf(conn, "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n%s\r\n", host, randomHex(8), odd); err != nil {
				break
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				break
			}
			time.Sleep(requestEvery)
		}
		_ = conn.Close()
		select {
		case <-e.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
