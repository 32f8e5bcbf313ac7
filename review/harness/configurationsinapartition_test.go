package harness

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() { cases["configurations-in-a-partition"] = configurationsInAPartition }

// configurationsInAPartition partitions both gateways of a zone from all workers while two configurations a second come. RECOVER
// (users' third letter) is checked. ONLY=partition and ONLY=storm leave out the other one, GAP=330ms sets another time
// between two configurations.
func configurationsInAPartition(w *world) int {
	const (
		contact = 3 * time.Second // ContactMs.
		storm   = 4 * time.Second
		rate    = 75.0 // A second, at all gateways.
	)
	only := os.Getenv("ONLY")
	gap := 500 * time.Millisecond // That of the storms in the site file is 330 ms.
	if v, err := time.ParseDuration(os.Getenv("GAP")); err == nil {
		gap = v
	}
	var rs runs
	version := 0
	configure := func() {
		version++
		routes := []map[string]any{
			route("order", "/order/", "non_idempotent", "desk", 1, 1500, 100, false),
			route("proof", "/proof/", "idempotent", "desk", 2, 1500, 100, false),
		}
		for n := range version {
			routes = append(routes, route(fmt.Sprintf("idle%d", n), fmt.Sprintf("/idle%d/", n), "idempotent", "desk", 2, 1500, 100, false))
		}
		w.configure(10*version, routes, []map[string]any{service("desk", 96)})
	}
	configure()
	zones := []string{"works-hall", "old-mill", "canal-shed", "front-shop"}
	for n := range 4 {
		w.addWorker(fmt.Sprintf("i-desk%d", n), "desk", zones[n], "v1", 6, 15*time.Millisecond, &rs)
	}
	var gateways []*gateway
	for n, zone := range []string{"works-hall", "works-hall", "old-mill", "old-mill", "canal-shed", "front-shop"} {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zone))
	}
	w.awaitAll()
	cut := map[string]bool{gateways[0].name: true, gateways[1].name: true}
	c := newClients(w)
	stop := make(chan struct{})
	c.flow(rate, stop, gateways, func(n int, g *gateway) {
		if n%4 == 0 {
			c.send(g, http.MethodGet, fmt.Sprintf("/proof/%d", n), "", 1500*time.Millisecond)
			return
		}
		c.send(g, http.MethodPost, fmt.Sprintf("/order/%d", n), fmt.Sprintf("order %d", n), 1500*time.Millisecond)
	})
	time.Sleep(6 * time.Second)
	began := time.Now()
	if w.trouble && only != "storm" {
		w.note("both gateways of works-hall are partitioned from all workers")
		w.cutFromWorkers(gateways[0], gateways[1])
	}
	time.Sleep(contact)
	for end := time.Now().Add(storm); time.Now().Before(end); time.Sleep(gap) {
		if w.trouble && only != "partition" {
			configure()
		}
	}
	w.note("%d configurations were sent", version)
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
