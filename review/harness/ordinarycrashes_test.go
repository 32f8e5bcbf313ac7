package harness

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["ordinary-crashes"] = ordinaryCrashes }

// ordinaryCrashes lets three of eighteen model workers crash one after the other, whatever they run, and kills all gateways. Streams are
// short and end with their connections. RECOVER is checked for the requests that are sent later than RecoverS after the gateways are back.
// ONLY=crashes and ONLY=kill leave out the other one; with FORM=chunks the streams come in chunks.
func ordinaryCrashes(w *world) int {
	const (
		events   = 4
		interval = 50 * time.Millisecond
		rate     = 30
		gap      = 8 * time.Second
		back     = 4 * time.Second
		down     = time.Second
		recover  = 12 * time.Second // RecoverS
	)
	only, chunks := os.Getenv("ONLY"), os.Getenv("FORM") == "chunks"
	var rs runs
	var mu sync.Mutex
	running := map[*worker]int{}
	draft := route("tag", "/tag/", "streaming", "models", 2, 3000, 600, true)
	draft["Sticky"] = true
	models := service("models", 360)
	models["Engine"] = map[string]any{"Slots": 64, "KvCapacity": 551359}
	w.configure(1, []map[string]any{draft}, []map[string]any{models})
	zones := []string{"works-hall", "old-mill", "canal-shed", "front-shop"}
	for n := range 18 {
		k := w.addWorker(fmt.Sprintf("i-engine%d", n), "models", zones[n%4], "v1", 64, 0, &rs)
		k.answer = func(k *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			count := func(d int) {
				mu.Lock()
				defer mu.Unlock()
				running[k] += d
			}
			count(1)
			defer count(-1)
			rw.Header().Set("Content-Type", "text/event-stream")
			write, flush := io.Writer(rw), http.NewResponseController(rw).Flush
			if !chunks {
				conn, head, err := http.NewResponseController(rw).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }() // The end of the answer.
				_, _ = io.WriteString(head, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
				_ = rw.Header().Write(head)
				_, _ = io.WriteString(head, "\r\n")
				write, flush = head, head.Flush
			}
			for n := 1; n <= events; n++ {
				time.Sleep(interval)
				_, _ = fmt.Fprintf(write, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n)
				if flush() != nil {
					return
				}
			}
		}
	}
	var gateways []*gateway
	for n := range 4 {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zones[n]))
	}
	w.awaitAll()
	c := newClients(w)
	c.headers = func(a *attempt, h http.Header) {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "700,24")
		h.Set("X-Prompt-Prefix", "aa01:500,ee"+strings.TrimPrefix(a.id, "q")+":200")
	}
	stop := make(chan struct{})
	c.flow(rate, stop, gateways, func(n int, g *gateway) { c.send(g, "POST", fmt.Sprintf("/tag/%d", n), "a prompt", 3*time.Second) })
	time.Sleep(8 * time.Second)
	before := time.Now()
	for n := range 3 {
		if n > 0 {
			time.Sleep(gap)
		}
		if w.trouble && only != "kill" {
			var busiest *worker
			mu.Lock()
			for _, k := range w.workers {
				if busiest == nil || running[k] > running[busiest] {
					busiest = k
				}
			}
			w.note("%s crashes, it runs %d requests; back after %v", busiest.id, running[busiest], back)
			mu.Unlock()
			busiest.crash(back)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble && only != "crashes" {
		w.note("all gateways are killed at the same moment")
		for _, g := range gateways {
			g.kill()
		}
		time.Sleep(down)
		for _, g := range gateways {
			g.start()
		}
	}
	again := time.Now()
	time.Sleep(recover + 15*time.Second)
	close(stop)
	c.wait.Wait()
	served := func(a *attempt) bool { return a.err == nil && a.status == http.StatusOK && a.stamp != "" }
	list, late := c.between(w.begin, again.Add(-down)), c.between(again.Add(recover), time.Now())
	w.note("served before the first crash: %d of %d; before the final fault: %d of %d", count(c.between(w.begin, before), served), len(c.between(w.begin, before)), count(list, served), len(list))
	w.note("served later than %v after the gateways are back: %d of %d; answered 503: %d", recover, count(late, served), len(late), count(late, func(a *attempt) bool { return a.status == http.StatusServiceUnavailable }))
	if len(late) == 0 || 4*count(list, served) < len(list) {
		return failed
	}
	if only != "crashes" && 4*count(late, served) < len(late) { // Without a final fault there is nothing to recover from.
		w.note("RECOVER is broken: less than a quarter is served")
		return broken
	}
	return held
}
