package harness

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

func init() { cases["refusals-of-one-service"] = refusalsOfOneService }

// refusalsOfOneService partitions both gateways of a zone from all workers, while the workers of one service are in need and name a
// Server-Limit below what is asked of them. RECOVER (users' third letter) is checked. ONLY=partition and ONLY=limit leave out the other one.
func refusalsOfOneService(w *world) int {
	const (
		contact   = 3 * time.Second // ContactMs.
		lasts     = 10 * time.Second
		orders    = 60.0 // A second, at all gateways.
		lookups   = 15.0
		perWorker = "1.0"
	)
	only := os.Getenv("ONLY")
	var rs runs
	var need atomic.Bool
	w.configure(1, []map[string]any{
		route("order", "/order/", "non_idempotent", "desk", 1, 1500, 100, false),
		route("proof", "/proof/", "idempotent", "proofs", 2, 1500, 100, false),
	}, []map[string]any{service("desk", 96), service("proofs", 96)})
	zones := []string{"works-hall", "old-mill", "canal-shed", "front-shop"}
	for n := range 4 {
		w.addWorker(fmt.Sprintf("i-desk%d", n), "desk", zones[n], "v1", 6, 15*time.Millisecond, &rs)
	}
	for n := range 4 {
		k := w.addWorker(fmt.Sprintf("i-proofs%d", n), "proofs", zones[n], "v1", 6, 15*time.Millisecond, &rs)
		k.limit = func() string {
			if need.Load() {
				return perWorker
			}
			return ""
		}
	}
	var gateways []*gateway
	for n, zone := range []string{"works-hall", "works-hall", "old-mill", "old-mill", "canal-shed", "front-shop"} {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zone))
	}
	w.awaitAll()
	cut := map[string]bool{gateways[0].name: true, gateways[1].name: true}
	c := newClients(w)
	stop := make(chan struct{})
	c.flow(orders, stop, gateways, func(n int, g *gateway) {
		c.send(g, http.MethodPost, fmt.Sprintf("/order/%d", n), fmt.Sprintf("order %d", n), 1500*time.Millisecond)
	})
	c.flow(lookups, stop, gateways, func(n int, g *gateway) {
		c.send(g, http.MethodGet, fmt.Sprintf("/proof/%d", n), "", 1500*time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	if w.trouble && only != "partition" {
		w.note("the four workers of proofs name Server-Limit: %s, %.0f lookups a second are sent", perWorker, lookups)
		need.Store(true)
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	if w.trouble && only != "limit" {
		w.note("both gateways of works-hall are partitioned from all workers for %v", lasts)
		w.cutFromWorkers(gateways[0], gateways[1])
	}
	time.Sleep(lasts)
	ended := time.Now()
	w.cutFromWorkers()
	w.note("the partition ends")
	time.Sleep(3 * time.Second)
	close(stop)
	c.wait.Wait()
	if count(c.between(w.begin, began), isServed) < 100 {
		return failed
	}
	return w.judgePartition(c, cut, began.Add(contact), ended)
}

// judgePartition checks RECOVER for a partition of some gateways from all workers: all attempts are first tries.
func (w *world) judgePartition(c *clients, cut map[string]bool, from, to time.Time) int {
	var tried, served [2]int
	kinds := map[string]*[2][2]int{}
	ends := map[string]int{}
	for _, a := range c.between(from, to) {
		side := 0
		if cut[a.gateway] {
			side = 1
			ends[fmt.Sprintf("%d", a.status)]++
		}
		k := kinds[a.method]
		if k == nil {
			k = &[2][2]int{}
			kinds[a.method] = k
		}
		tried[side]++
		k[side][0]++
		if a.served() {
			served[side]++
			k[side][1]++
		}
	}
	for method, k := range kinds {
		w.note("%s: served %d of %d at the partitioned gateways, %d of %d at the others", method, k[1][1], k[1][0], k[0][1], k[0][0])
	}
	w.note("statuses at the partitioned gateways: %v", ends)
	w.note("first tries from 3 s after the start of the partition to its end: served %d of %d at the partitioned gateways, %d of %d at the others", served[1], tried[1], served[0], tried[0])
	failedTries := tried[1] - served[1]
	if 3*served[1]*tried[0] < 2*served[0]*tried[1] && float64(failedTries) > 10+float64(tried[0]+tried[1])/50 {
		w.note("RECOVER is broken: less than two thirds as often, and %d failed, more than %.0f", failedTries, 10+float64(tried[0]+tried[1])/50)
		return broken
	}
	return held
}
