package harness

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["rollout-then-restart"] = rolloutThenRestart }

// rolloutThenRestart lets a good rollout end as done, and kills all gateways later. RECOVER is checked for the requests that are sent
// later than RecoverS after the gateways are back.
func rolloutThenRestart(w *world) int {
	const (
		busyRate, quietRate = 60, 12
		period              = 15
		recover             = 12 * time.Second // RecoverS
		down                = time.Second
	)
	var rs runs
	var gateways []*gateway
	w.configure(1, []map[string]any{route("lookup", "/lookup/", "idempotent", "desk", 2, 800, 100, false)}, []map[string]any{service("desk", 96)})
	zones := []string{"works-hall", "old-mill"}
	var old []*worker
	for n := range 4 {
		old = append(old, w.addWorker(fmt.Sprintf("i-old%d", n), "desk", zones[n%2], "v1", 6, 15*time.Millisecond, &rs))
	}
	// The operator's side of a rollout: at the first end it stops the workers of one version, and nothing later.
	var ended sync.Once
	done := make(chan string, 1)
	w.store.watch = func(topic, key string, value []byte) {
		if topic != "keyed.status" {
			return
		}
		w.note("the system writes status %s: %s", key, value)
		var status struct{ State string }
		if json.Unmarshal(value, &status) != nil || status.State == "running" {
			return
		}
		ended.Do(func() {
			if status.State == "done" {
				for _, k := range old {
					k.end()
				}
			}
			done <- status.State
		})
	}
	for n := range 4 {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zones[n%2]))
	}
	w.awaitAll()
	c := newClients(w)
	lookup := func(n int, g *gateway) { c.send(g, "GET", fmt.Sprintf("/lookup/%d", n), "", 1500*time.Millisecond) }
	busyHours, quietHours := make(chan struct{}), make(chan struct{})
	c.flow(busyRate, busyHours, gateways, lookup)
	time.Sleep(2 * time.Second)
	w.note("the operator orders a rollout to v2, a good version")
	w.store.put("keyed.op", "rollout/desk", map[string]any{"Service": "desk", "Target": "v2", "PeriodS": period})
	for n := range 4 {
		w.addWorker(fmt.Sprintf("i-new%d", n), "desk", zones[n%2], "v2", 6, 15*time.Millisecond, &rs)
	}
	select {
	case state := <-done:
		if state != "done" {
			w.note("the rollout ended as %s before the disruption", state)
			return failed
		}
	case <-time.After((period + 5) * time.Second):
		w.note("the rollout did not end")
		return failed
	}
	time.Sleep(2 * time.Second)
	close(busyHours)
	c.flow(quietRate, quietHours, gateways, lookup)
	time.Sleep(4 * time.Second)
	before := c.between(time.Now().Add(-3*time.Second), time.Now().Add(-200*time.Millisecond))
	if w.trouble {
		w.note("all gateways are killed at the same moment")
		for _, g := range gateways {
			g.kill()
		}
		time.Sleep(down)
		for _, g := range gateways {
			g.start()
		}
	}
	back := time.Now()
	w.note("the gateways are back")
	time.Sleep(recover + 25*time.Second)
	close(quietHours)
	c.wait.Wait()
	early, late := c.between(back, back.Add(recover)), c.between(back.Add(recover), time.Now())
	w.note("served before the fault: %d of %d", count(before, isServed), len(before))
	w.note("served in the first %v after the gateways are back: %d of %d", recover, count(early, isServed), len(early))
	w.note("served later: %d of %d; answered 503: %d", count(late, isServed), len(late), count(late, func(a *attempt) bool { return a.status == 503 }))
	w.note("the last status of the rollout: %s", w.store.value("keyed.status", "rollout/desk"))
	if len(before) == 0 || len(late) == 0 || 4*count(before, isServed) < len(before) {
		return failed
	}
	if 4*count(late, isServed) < len(late) {
		w.note("RECOVER is broken: less than a quarter is served")
		return broken
	}
	return held
}
