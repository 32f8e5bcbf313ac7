package harness

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["own-failure-as-promise"] = ownFailureAsPromise }

// ownFailureAsPromise lets workers fail part of the orders that they have run, with a 503 of their own that does not say X-Not-Run.
// REFUSED is checked for each client attempt; the orders that ran twice since a client tried again are counted as well.
func ownFailureAsPromise(w *world) int {
	const (
		rate  = 30.0
		share = 45 // In 100: the largest x of srv_grey in the site file.
	)
	var rs runs
	var grey atomic.Bool
	var mu sync.Mutex
	placed := map[string]int{} // How often each order was carried out.
	w.configure(1, []map[string]any{route("order", "/order/", "non_idempotent", "desk", 1, 800, 100, false)}, []map[string]any{service("desk", 96)})
	zones := []string{"works-hall", "old-mill"}
	var gateways []*gateway
	for n := range 4 {
		k := w.addWorker(fmt.Sprintf("i-desk%d", n), "desk", zones[n%2], "v1", 6, 15*time.Millisecond, &rs)
		ill := n < 2
		k.answer = func(k *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
			id := r.Header.Get("X-Request-Id")
			time.Sleep(k.work)
			mu.Lock()
			placed[string(body)]++
			mu.Unlock()
			h := fnv.New32a()
			_, _ = io.WriteString(h, id)
			if ill && grey.Load() && h.Sum32()%100 < share {
				rw.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(rw, "the order is booked, its confirmation is not")
				return
			}
			k.whole(rw, id)
		}
	}
	for n := range 4 {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zones[n%2]))
	}
	w.awaitAll()
	c := newClients(w)
	stop := make(chan struct{})
	c.flow(rate, stop, gateways, func(n int, g *gateway) {
		body := fmt.Sprintf("order %d", n)
		a := c.send(g, "POST", "/order/book", body, 1500*time.Millisecond)
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			time.Sleep(100 * time.Millisecond)
			c.send(gateways[(n+1)%len(gateways)], "POST", "/order/book", body, 1300*time.Millisecond) // Clients retry after a promise, once, at another daemon.
		}
	})
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.note("two of four workers fail %d in 100 of the orders that they ran, for 6.5 s", share)
		grey.Store(true)
	}
	time.Sleep(6500 * time.Millisecond)
	grey.Store(false)
	time.Sleep(2 * time.Second)
	close(stop)
	c.wait.Wait()
	ran := rs.byID()
	refused, twice := 0, 0
	for _, a := range c.all {
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(ran[a.id]) > 0 {
			refused++
		}
	}
	for _, n := range placed {
		if n > 1 {
			twice++
		}
	}
	w.note("client attempts: %d, served: %d", len(c.all), count(c.all, isServed))
	w.note("answered with 503 or 429 and run: %d; orders carried out twice since the client trusted that: %d", refused, twice)
	if len(c.all) == 0 || count(c.all, isServed) < len(c.all)/2 {
		return failed
	}
	if refused > 0 {
		w.note("REFUSED is broken")
		return broken
	}
	return held
}
