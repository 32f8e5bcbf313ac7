package stand3

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["12"] = func(e *environment) int {
		return crashingPart(e, crashingPlay{gateways: 8, engines: 2, poisonEvery: 700 * time.Millisecond, length: 28 * time.Second, visitorEvery: 100 * time.Millisecond, parts: func() []string {
			first := randomHex(4)
			if e.trouble {
				first = oddID()
			}
			return []string{first + ":500", randomHex(4) + ":200"}
		}})
	}
	cases["13"] = func(e *environment) int {
		return crashingPart(e, crashingPlay{gateways: 2, engines: 3, poisonEvery: 300 * time.Millisecond, length: 40 * time.Second, visitorEvery: 25 * time.Millisecond, parts: func() []string {
			if e.trouble {
				return manyParts(500, 700)
			}
			return manyParts(2, 700)
		}})
	}
}

// crashingPlay is a play of engines that crash under one part of prompts, beside sound requests and those of a client that nobody controls.
type crashingPlay struct {
	gateways, engines int
	// poisonEvery is the time between two requests with the part, visitorEvery that between two of the client at each gateway.
	poisonEvery, visitorEvery, length time.Duration
	// parts returns the lines with the parts of a prompt of that client.
	parts func() []string
}

// crashingPart checks that sound requests are served while requests with the part come.
func crashingPart(e *environment, p crashingPlay) int {
	const (
		contact    = 3 * time.Second
		poisonPart = "bad0bad0"
	)
	zones := []string{"works-hall", "old-mill"}
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		if r.Header.Get("X-Tenant") == "visitors" || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), poisonPart+":") {
			stream(r.Context(), rw, 28*time.Millisecond, 20, 25*time.Millisecond)
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		e.note("request %s with the part reaches %s", r.Header.Get("X-Request-Id"), w.id)
		mu.Unlock()
		time.Sleep(28 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		e.note("%s crashes (%d)", w.id, len(crashes))
		mu.Unlock()
		w.crash(4 * time.Second)
	}
	e.putConfig(1,
		[]map[string]any{{"Name": "chat", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 12000, "GoalMs": 500, "Priority": 0, "Service": engineService, "Attempts": 1, "Public": false, "Sticky": true, "CanResume": false, "GapGoalMs": 500}},
		[]map[string]any{engineDefinition(64)},
		[]map[string]any{
			{"Name": "shops", "ApiKeys": []string{"key-of-the-shops"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200},
			{"Name": "visitors", "ApiKeys": []string{"key-of-visitors"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200},
		})
	for i := range p.engines {
		e.newWorker(fmt.Sprintf("i-engine%d", i+1), engineService, zones[i%2], 64, 134, run)
	}
	all := e.startGateways(p.gateways, zones, bounds())
	time.Sleep(contact + time.Second) // All are in touch.
	begin := time.Now()
	var odd, oddServed atomic.Int64
	type try struct {
		at            time.Time
		begun, served bool
	}
	var sound []try
	var poisonFrom time.Time
	for i, g := range all {
		n := 0
		e.every(100*time.Millisecond, func() bool {
			n++
			topic := (n + i) % 12
			go func() {
				at := time.Now()
				o := g.send(&call{id: randomHex(8), method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-shops", prompt: 700, output: 120, parts: fmt.Sprintf("f0f0%04x:200,7a7a%04x:300,%s:200", topic%4, topic, randomHex(4)), deadline: 12 * time.Second})
				served := o.complete() && o.events == 20
				mu.Lock()
				sound = append(sound, try{at, o.events > 0, served})
				mu.Unlock()
				if !served {
					e.note("sound request at %s: %v", g.name, o)
				}
			}()
			return time.Since(begin) < p.length
		})
		e.every(p.visitorEvery, func() bool {
			go func() {
				o := g.send(&call{id: randomHex(8), method: "POST", host: host, path: "/lohu930/2f", key: "key-of-visitors", prompt: 700, output: 120, partLines: p.parts(), deadline: 12 * time.Second})
				if odd.Add(1); o.complete() {
					oddServed.Add(1)
				} else if n := odd.Load() - oddServed.Load(); n < 10 {
					e.note("a visitor's request at %s: %v", g.name, o)
				}
			}()
			return time.Since(begin) < p.length
		})
	}
	time.Sleep(4 * time.Second)
	poisonFrom = time.Now()
	n := 0
	e.every(p.poisonEvery, func() bool {
		g := all[n%len(all)]
		n++
		go func() {
			id := randomHex(8)
			e.note("request %s with the part is sent to %s", id, g.name)
			o := g.send(&call{id: id, method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-shops", prompt: 700, output: 120, parts: fmt.Sprintf("f0f0%04x:200,%s:300,%s:200", n%4, poisonPart, randomHex(4)), deadline: 12 * time.Second})
			e.note("request %s with the part: %v", id, o)
		}()
		return time.Since(begin) < p.length
	})
	time.Sleep(p.length - 4*time.Second + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) == 0 {
		e.result("no crash")
		return unable
	}
	last := crashes[min(len(crashes), 5)-1]
	var before, beforeBegun, since, sinceBegun, served int
	for _, x := range sound {
		if x.served {
			served++
		}
		switch {
		case x.at.Before(poisonFrom.Add(-time.Second)):
			if before++; x.begun {
				beforeBegun++
			}
		case x.at.After(last.Add(2 * contact)):
			if since++; x.begun {
				sinceBegun++
			}
		}
	}
	e.result("%d crashes, %d requests with the part at workers; sound requests served: %d of %d, the visitors': %d of %d", len(crashes), len(arrivals), served, len(sound), oddServed.Load(), odd.Load())
	e.result("sound requests that began at the first attempt: %d of %d before the crashes, %d of %d from %v after the fifth (or the last) on; under half as often breaks LOST", beforeBegun, before, sinceBegun, since, 2*contact)
	if before < 20 || since < 20 {
		return unable
	}
	if 2*sinceBegun*before < beforeBegun*since {
		return broken
	}
	return held
}

// manyParts returns so many parts of a prompt with the tokens, none of which another prompt has.
func manyParts(n, tokens int) []string {
	parts := make([]string, n)
	for i := range parts {
		parts[i] = "f" + randomHex(4)[:6] + ":1"
	}
	parts[n-1] = fmt.Sprintf("%s:%d", randomHex(4), tokens-n+1)
	return parts
}

// oddID returns an id of bytes that a header may hold and that are no text in UTF-8.
func oddID() string {
	b := []byte(randomHex(4))
	for i := range b {
		b[i] |= 0x80
	}
	return string(b)
}
