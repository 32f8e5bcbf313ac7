package stand2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = brittle }

// deskConfig has the orders and lookups of the deployment.
const deskConfig = `{"Version":7,"Routes":[{"Name":"r-order","Host":"ficu95.example","PathPrefix":"/order/","Kind":"non_idempotent","TimeoutMs":800,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":1,"Public":false},
{"Name":"r-lookup","Host":"ficu95.example","PathPrefix":"/lookup/","Kind":"idempotent","TimeoutMs":800,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":2,"Public":false}],
"Services":[{"Name":"desk","HealthPath":"/health","MaxConns":96,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"shop","ApiKeys":["key-shop"],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":0,"Burst":0}]}`

// brittle plays a service whose workers say that they are brittle, and a burst of 1.6 times the traffic.
func brittle(e *environment) int {
	const (
		perSecond  = 260.0
		burst      = 1.6
		brittleN   = 20
		workTime   = 60 * time.Millisecond
		calmTime   = 10 * time.Second
		brittleFor = 25 * time.Second
		burstFor   = 8 * time.Second
		back       = 3 * time.Second
		queue      = 24
		fewer      = 6
	)
	e.store.put("keyed.op", "config", []byte(deskConfig))
	var saying, fewerWait atomic.Bool
	var mu sync.Mutex
	falls, lost := 0, 0
	var workers []*worker
	for n := range 4 {
		wk := &worker{service: "desk", zone: []string{"works-hall", "old-mill", "canal-shed", "front-shop"}[n], slots: 6, queue: queue, store: e.store, rec: e.rec}
		wk.answer = func(_ *worker, w http.ResponseWriter, r *http.Request, _ *run) {
			time.Sleep(workTime/2 + rand.N(workTime))
			text := fmt.Sprintf("%s %0780d", r.Header.Get("X-Request-Id"), 0)
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = w.Write([]byte(text))
		}
		wk.header = func(*worker) map[string]string {
			if saying.Load() {
				return map[string]string{"Server-Brittle": strconv.Itoa(brittleN)}
			}
			return nil
		}
		wk.full = func(wk *worker) {
			if !fewerWait.Load() {
				return
			}
			wk.mu.Lock()
			n, up := 0, wk.up
			for _, at := range wk.rejected {
				if time.Since(at) < time.Second {
					n++
				}
			}
			wk.mu.Unlock()
			if up && n > brittleN {
				mu.Lock()
				falls++
				mu.Unlock()
				e.rec.line("worker %s has turned %d requests away in a second and falls over", wk.id, n)
				go wk.crash(back)
			}
		}
		if err := wk.start(); err != nil {
			e.say("a worker cannot start: %v", err)
			return cannot
		}
		workers = append(workers, wk)
	}
	var err error
	if e.gateways, err = startGateways(e.root, e.dir, e.address); err != nil {
		e.say("%v", err)
		return cannot
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	statuses := map[string]int{}
	play := func(length time.Duration, rate float64, phase string) {
		end := time.Now().Add(length)
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
			c := &call{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: e.gateways[rand.IntN(len(e.gateways))].front(), method: http.MethodPost, host: "ficu95.example", path: "/order/1", key: "key-shop", deadline: 1500 * time.Millisecond, body: fmt.Sprintf("%0600d", n)}
			if rand.IntN(100) < 28 {
				c.method, c.path, c.body = http.MethodGet, "/lookup/"+strconv.Itoa(n), ""
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send()
				mu.Lock()
				defer mu.Unlock()
				statuses[fmt.Sprintf("%s %s %d", phase, c.method, c.status)]++
				if c.method == http.MethodPost && c.status != http.StatusOK && len(e.rec.runsOf(c.id)) > 0 {
					lost++
					e.rec.line("order %s ran and was not answered: %s", c.id, c.result())
				}
			}()
		}
	}
	play(calmTime, perSecond, "calm")
	if e.trouble {
		saying.Store(true)
		e.rec.line("workers say Server-Brittle: %d", brittleN)
	}
	play(contact, perSecond, "named")
	if e.trouble {
		fewerWait.Store(true)
		for _, wk := range workers {
			wk.mu.Lock()
			wk.queue = fewer
			wk.mu.Unlock()
		}
		e.rec.line("workers let %d wait; the traffic is %.1f times the usual for %v", fewer, burst, burstFor)
		play(burstFor, perSecond*burst, "burst")
	} else {
		play(burstFor, perSecond, "burst")
	}
	play(brittleFor-burstFor-contact, perSecond, "after")
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, k := range sortedKeys(statuses) {
		e.say("%s: %d", k, statuses[k])
	}
	e.say("orders that ran and were not answered: %d", lost)
	allowed := 2 + 0.1*float64(len(workers))
	e.say("workers fell over %d times; %.1f are allowed", falls, allowed)
	if float64(falls) > allowed {
		e.say("LIMIT: broken")
		return broken
	}
	e.say("LIMIT: held")
	return held
}
