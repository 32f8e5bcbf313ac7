package stand3

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["12"] = poison }

// poison plays engines that crash under one part of prompts. In the disruption, a client that nobody controls sends prompts of legal size
// whose parts have ids of odd bytes; without it, the same client's ids are hexadecimal.
func poison(e *environment) int {
	const (
		gateways, engines = 6, 5
		contact           = 3 * time.Second
		poisonEvery       = 1200 * time.Millisecond
		length            = 55 * time.Second
		poisonPart        = "bad0bad0"
	)
	zones := []string{"works-hall", "old-mill"}
	var mu sync.Mutex
	var crashes, arrivals []time.Time
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		parts := r.Header.Get("X-Prompt-Prefix")
		var prompt, output int
		_, _ = fmt.Sscanf(r.Header.Get("X-Token-Count"), "%d,%d", &prompt, &output)
		first := 15*time.Millisecond + time.Duration(prompt)*time.Millisecond/55
		if !strings.Contains(parts, poisonPart+":") {
			stream(r.Context(), rw, first, 20, 25*time.Millisecond)
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		e.note("request %s with the part reaches %s", r.Header.Get("X-Request-Id"), w.id)
		mu.Unlock()
		time.Sleep(first)
		mu.Lock()
		crashes = append(crashes, time.Now())
		e.note("%s crashes (%d)", w.id, len(crashes))
		mu.Unlock()
		w.crash(2500 * time.Millisecond)
	}
	e.putConfig(1,
		[]map[string]any{{"Name": "chat", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 12000, "GoalMs": 500, "Priority": 0, "Service": engineService, "Attempts": 1, "Public": false, "Sticky": true, "CanResume": false, "GapGoalMs": 500}},
		[]map[string]any{engineDefinition(64)},
		[]map[string]any{
			{"Name": "shops", "ApiKeys": []string{"key-of-the-shops"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200},
			{"Name": "visitors", "ApiKeys": []string{"key-of-visitors"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200},
		})
	for i := range engines {
		e.newWorker(fmt.Sprintf("i-engine%d", i+1), engineService, zones[i%2], 64, 134, run)
	}
	all := e.startGateways(gateways, zones, bounds())
	time.Sleep(contact + time.Second) // All are in touch.
	begin := time.Now()
	var sound, soundServed, odd, oddServed atomic.Int64
	for i, g := range all {
		n := 0
		e.every(250*time.Millisecond, func() bool {
			n++
			topic := (n + i) % 12
			go func() {
				o := g.send(&call{id: randomHex(8), method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-shops", prompt: 700, output: 120, parts: fmt.Sprintf("f0f0%04x:200,7a7a%04x:300,%s:200", topic%4, topic, randomHex(4)), deadline: 12 * time.Second})
				if sound.Add(1); o.complete() && o.events == 20 {
					soundServed.Add(1)
				} else {
					e.note("sound request at %s: %v", g.name, o)
				}
			}()
			return time.Since(begin) < length
		})
		e.every(100*time.Millisecond, func() bool {
			first := randomHex(4)
			if e.trouble {
				first = oddID()
			}
			go func() {
				o := g.send(&call{id: randomHex(8), method: "POST", host: host, path: "/lohu930/2f", key: "key-of-visitors", prompt: 700, output: 120, parts: first + ":500," + randomHex(4) + ":200", deadline: 12 * time.Second})
				if odd.Add(1); o.complete() {
					oddServed.Add(1)
				}
			}()
			return time.Since(begin) < length
		})
	}
	time.Sleep(4 * time.Second)
	n := 0
	e.every(poisonEvery, func() bool {
		g := all[n%len(all)]
		n++
		go func() {
			id := randomHex(8)
			e.note("request %s with the part is sent to %s", id, g.name)
			o := g.send(&call{id: id, method: "POST", host: host, path: "/lohu930/2f", key: "key-of-the-shops", prompt: 700, output: 120, parts: fmt.Sprintf("f0f0%04x:200,%s:300,%s:200", n%4, poisonPart, randomHex(4)), deadline: 12 * time.Second})
			e.note("request %s with the part: %v", id, o)
		}()
		return time.Since(begin) < length
	})
	time.Sleep(length - 4*time.Second + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	e.result("%d crashes, %d requests with the part at workers; sound requests served: %d of %d, the visitors': %d of %d", len(crashes), len(arrivals), soundServed.Load(), sound.Load(), oddServed.Load(), odd.Load())
	if len(crashes) < 5 {
		e.result("BUDGET held: fewer than five crashes")
		return held
	}
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[4].Add(contact)) {
			late++
		}
	}
	e.result("%d requests with the part reached workers later than %v after the fifth crash; more than 3 break BUDGET", late, contact)
	if late > 3 {
		return broken
	}
	return held
}

// oddID returns an id of bytes that a header may hold and that are no text in UTF-8.
func oddID() string {
	b := []byte(randomHex(4))
	for i := range b {
		b[i] |= 0x80
	}
	return string(b)
}
