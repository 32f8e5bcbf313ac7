package harness

import (
	"fmt"
	"time"
)

func init() { cases["replaced-then-restart"] = replacedThenRestart }

// replacedThenRestart replaces gateways by new ones at other addresses, and kills all of them later. RECOVER is checked for the
// requests that are sent later than RecoverS after the gateways are back. The tenant stays at three quarters of its limit.
func replacedThenRestart(w *world) int {
	const (
		rate         = 60  // Requests a second.
		plainTokens  = 500 // Of each request.
		limit        = 40_000
		replacements = 36
		recover      = 12 * time.Second // RecoverS
		down         = time.Second
	)
	var rs runs
	lookups := route("lookup", "/lookup/", "idempotent", "desk", 2, 800, 100, false)
	lookups["Public"] = false
	w.configure(1, []map[string]any{lookups}, []map[string]any{service("desk", 96)}, map[string]any{
		"Name": "hule930", "ApiKeys": []string{"i9n73hh2b9wu3fexd9dn"}, "Priority": 1, "Unit": "tokens", "PlainTokens": plainTokens, "RatePerS": limit, "Burst": limit,
	})
	zones := []string{"works-hall", "old-mill"}
	for n := range 4 {
		w.addWorker(fmt.Sprintf("i-desk%d", n), "desk", zones[n%2], "v1", 6, 15*time.Millisecond, &rs)
	}
	var live []*gateway
	for n := range 4 {
		live = append(live, w.addGateway(fmt.Sprintf("front-%d", n), zones[n%2]))
	}
	w.awaitAll()
	c := newClients(w)
	c.key = "i9n73hh2b9wu3fexd9dn"
	stop, begin := make(chan struct{}), time.Now()
	c.flow(rate, stop, live, func(n int, g *gateway) { c.send(g, "GET", fmt.Sprintf("/lookup/%d", n), "", 1500*time.Millisecond) })
	time.Sleep(10 * time.Second)
	if w.trouble {
		for n := range replacements {
			g := w.addGateway(fmt.Sprintf("front-%d", 4+n), zones[n%2])
			if !g.awaitReady(8 * time.Second) {
				return failed
			}
			time.Sleep(300 * time.Millisecond)
			old := live[n%4]
			live[n%4] = g
			old.kill()
		}
		w.note("%d gateways were removed for good, each replaced by a new one at another address", replacements)
	}
	time.Sleep(3 * time.Second)
	before := c.between(begin, time.Now().Add(-200*time.Millisecond))
	if w.trouble {
		w.note("all gateways are killed at the same moment")
		for _, g := range live {
			g.kill()
		}
		time.Sleep(down)
		for _, g := range live {
			g.start()
		}
	}
	back := time.Now()
	w.note("the gateways are back")
	time.Sleep(recover + 16*time.Second)
	close(stop)
	c.wait.Wait()
	late := c.between(back.Add(recover), time.Now())
	w.note("served before the fault: %d of %d", count(before, isServed), len(before))
	w.note("served later than %v after the gateways are back: %d of %d; answered 429: %d", recover, count(late, isServed), len(late), count(late, func(a *attempt) bool { return a.status == 429 }))
	w.note("the tenant asked for %d tokens a second; its limit is %d", rate*plainTokens, limit)
	if len(before) == 0 || len(late) == 0 || 4*count(before, isServed) < len(before) {
		return failed
	}
	if 4*count(late, isServed) < len(late) {
		w.note("RECOVER is broken: less than a quarter is served")
		return broken
	}
	return held
}
