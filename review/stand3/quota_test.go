package stand3

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["14"] = quota }

// quota plays a tenant that sends more than its quota all the time. In the disruption, another tenant sends 7.5 times its usual for some
// seconds, so that requests of the first one wait, and their clients leave.
func quota(e *environment) int {
	const (
		window, over, slack = 8 * time.Second, 0.1, 140_000.0
		rate, burst         = 40_000.0, 40_000.0
		tokens              = 8000
		patience            = 4 * time.Second // Eight times the pause of the route.
	)
	usual, hotFrom, hotFor, length := 3.0, 10*time.Second, 6500*time.Millisecond, 34*time.Second
	hold := 3 * time.Second
	zones := []string{"works-hall", "old-mill"}
	type ran struct{ sent, at time.Time }
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var runs []ran
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		if r.Header.Get("X-Tenant") == "shops" {
			stream(r.Context(), rw, 50*time.Millisecond, int(hold/(100*time.Millisecond)), 100*time.Millisecond)
			return
		}
		mu.Lock()
		runs = append(runs, ran{sentAt[r.Header.Get("X-Request-Id")], time.Now()})
		mu.Unlock()
		stream(r.Context(), rw, 80*time.Millisecond, 4, 20*time.Millisecond)
	}
	e.putConfig(1,
		[]map[string]any{{"Name": "chat", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 12000, "GoalMs": 500, "Priority": 0, "Service": engineService, "Attempts": 1, "Public": false, "Sticky": true, "CanResume": false, "GapGoalMs": 500}},
		[]map[string]any{engineDefinition(8)},
		[]map[string]any{
			{"Name": "shops", "ApiKeys": []string{"key-of-the-shops"}, "Priority": 0, "Unit": "tokens", "PlainTokens": 200},
			{"Name": "school", "ApiKeys": []string{"key-of-the-school"}, "Priority": 0, "Unit": "tokens", "PlainTokens": 200, "RatePerS": rate, "Burst": burst},
		})
	for i := range 2 {
		e.newWorker(fmt.Sprintf("i-engine%d", i+1), engineService, zones[i%2], 8, 134, run)
	}
	all := e.startGateways(2, zones, bounds())
	time.Sleep(4 * time.Second)
	begin := time.Now()
	var shops, shopsServed, left, refused, served atomic.Int64
	shop := func(n int) {
		g := all[n%len(all)]
		go func() {
			o := g.send(&call{id: randomHex(8), method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-shops", prompt: 500, output: 200, parts: fmt.Sprintf("f0f0%04x:300,%s:200", n%4, randomHex(4)), deadline: 12 * time.Second})
			if shops.Add(1); o.complete() {
				shopsServed.Add(1)
			}
		}()
	}
	n, debt := 0, 0.0
	e.every(20*time.Millisecond, func() bool {
		since := time.Since(begin)
		x := usual
		if e.trouble && since >= hotFrom && since < hotFrom+hotFor {
			x *= 7.5
		}
		for debt += x * 0.02; debt >= 1; debt-- {
			n++
			shop(n)
		}
		return since < length
	})
	m := 0
	e.every(50*time.Millisecond, func() bool {
		g := all[m%len(all)]
		m++
		part := m % 6
		go func() {
			id := randomHex(8)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			o := g.send(&call{id: id, method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-school", prompt: tokens - 100, output: 100, parts: fmt.Sprintf("5c5c%04x:3900,%s:4000", part, randomHex(4)), deadline: 12 * time.Second, patience: patience})
			switch {
			case o.complete():
				served.Add(1)
			case o.status == http.StatusTooManyRequests:
				refused.Add(1)
			default:
				left.Add(1)
			}
			e.note("school's request %s at %s: %v", id, g.name, o)
		}()
		return time.Since(begin) < length
	})
	time.Sleep(length + patience)
	mu.Lock()
	defer mu.Unlock()
	sort.Slice(runs, func(a, b int) bool { return runs[a].sent.Before(runs[b].sent) })
	most, at := 0, time.Time{}
	for _, first := range runs {
		sum := 0
		for _, x := range runs {
			if !x.sent.Before(first.sent) && x.at.Before(first.sent.Add(window)) {
				sum += tokens
			}
		}
		if sum > most {
			most, at = sum, first.sent
		}
	}
	allowed := (rate*window.Seconds()+burst)*(1+over) + slack
	e.result("school: served %d, 429 %d, left or failed %d; shops served %d of %d", served.Load(), refused.Load(), left.Load(), shopsServed.Load(), shops.Load())
	e.result("most tokens that were sent and run in %v: %d, from %.1f s after the start of traffic; allowed are %.0f", window, most, at.Sub(begin).Seconds(), allowed)
	if float64(most) > allowed {
		return broken
	}
	return held
}
