package harness

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["back-to-a-bad-version"] = backToABadVersion }

// backToABadVersion moves a service to v2, back to v1, and to v2 again, which fails a part of its answers now. EXPOSURE is checked for the last
// rollout. TARGET=v3 orders a version that is new and as bad instead.
func backToABadVersion(w *world) int {
	const (
		rate        = 60
		period      = 15 * time.Second
		badShare    = 38 // In 100.
		exposeShare = 0.1
		exposeSlack = 50
		rollbackMs  = 5 * time.Second
		badToRoll   = 50
	)
	target := os.Getenv("TARGET")
	if target == "" {
		target = "v2"
	}
	var rs runs
	var mu sync.Mutex
	var reached, badAnswers []time.Time
	var total []time.Time
	var judged atomic.Bool
	w.configure(1, []map[string]any{
		route("order", "/order/", "non_idempotent", "desk", 1, 1500, 100, false),
		route("proof", "/proof/", "idempotent", "desk", 2, 1500, 100, false),
	}, []map[string]any{service("desk", 96)})
	zones := []string{"works-hall", "old-mill"}
	started := 0
	workers := func(version string, bad bool) []*worker {
		started++
		var list []*worker
		for n := range 4 {
			k := w.addWorker(fmt.Sprintf("i-%s-%d-%d", version, n, started), "desk", zones[n%2], version, 6, 15*time.Millisecond, &rs)
			k.answer = func(k *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
				id := r.Header.Get("X-Request-Id")
				h := fnv.New32a()
				_, _ = io.WriteString(h, id+k.id)
				fails := bad && h.Sum32()%100 < badShare
				if judged.Load() {
					mu.Lock()
					total = append(total, time.Now())
					if version == target {
						reached = append(reached, time.Now())
						if fails {
							badAnswers = append(badAnswers, time.Now())
						}
					}
					mu.Unlock()
				}
				time.Sleep(k.work)
				if fails {
					rw.WriteHeader(http.StatusInternalServerError)
					return
				}
				k.whole(rw, id)
			}
			list = append(list, k)
		}
		return list
	}
	serving := workers("v1", false)
	states := make(chan string, 100)
	w.store.watch = func(topic, key string, value []byte) {
		if topic != "keyed.status" {
			return
		}
		w.note("the system writes status %s: %s", key, value)
		var status struct{ State, Target string }
		if json.Unmarshal(value, &status) == nil && status.State != "running" {
			states <- status.Target + " " + status.State
		}
	}
	var gateways []*gateway
	for n := range 4 {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zones[n%2]))
	}
	w.awaitAll()
	c := newClients(w)
	stop := make(chan struct{})
	c.flow(rate, stop, gateways, func(n int, g *gateway) {
		if n%2 == 0 {
			c.send(g, http.MethodGet, fmt.Sprintf("/proof/%d", n), "", 1500*time.Millisecond)
			return
		}
		c.send(g, http.MethodPost, fmt.Sprintf("/order/%d", n), "order", 1500*time.Millisecond)
	})
	order := func(version string) {
		w.store.put("keyed.op", "rollout/desk", map[string]any{"Service": "desk", "Target": version, "PeriodS": period.Seconds()})
	}
	time.Sleep(2 * time.Second)
	var next []*worker
	for _, version := range []string{"v2", "v1"} {
		w.note("the operator orders a rollout to %s, a good version", version)
		next = workers(version, false)
		order(version)
		select {
		case s := <-states:
			if s != version+" done" {
				w.note("that rollout ended as %s", s)
				return failed
			}
		case <-time.After(period + 5*time.Second):
			w.note("that rollout did not end")
			return failed
		}
		for _, k := range serving {
			k.end()
		}
		serving = next
		time.Sleep(5 * time.Second)
	}
	bad := w.trouble
	w.note("the operator orders a rollout to %s, a version that is bad: %v", target, bad)
	judged.Store(true)
	next = workers(target, bad)
	ordered := time.Now()
	order(target)
	ended := ""
	select {
	case ended = <-states:
	case <-time.After(period + time.Second):
	}
	if left := time.Until(ordered.Add(period)); left > 0 {
		if ended == target+" done" {
			for _, k := range serving {
				k.end()
			}
		} else if ended == target+" rolled_back" {
			go func() {
				time.Sleep(3 * time.Second)
				for _, k := range next {
					k.drain()
				}
			}()
		}
		time.Sleep(left)
	}
	deadline := time.Now()
	close(stop)
	c.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	if !bad {
		if ended != target+" done" {
			w.note("the last rollout ended as %q", ended)
		}
		return held
	}
	exposed, all := 0, 0
	for _, at := range reached {
		if at.Before(deadline) {
			exposed++
		}
	}
	for _, at := range total {
		if at.Before(deadline) {
			all++
		}
	}
	late := 0
	if len(badAnswers) > badToRoll {
		for _, at := range reached {
			if at.After(badAnswers[badToRoll-1].Add(rollbackMs)) {
				late++
			}
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	w.note("the last rollout ended as %q", ended)
	w.note("requests that reached the service between the order and its deadline: %d, of which the bad version got %d, allowed %.0f; its bad answers: %d; its requests later than 5 s after the 50th: %d", all, exposed, allowed, len(badAnswers), late)
	if float64(exposed) > allowed || late > 0 {
		w.note("EXPOSURE is broken")
		return broken
	}
	return held
}
