package harness

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["silent-for-a-second"] = silentForASecond }

// streamRun is one run of a stream at a worker.
type streamRun struct {
	id, worker string
	after      int // The Last-Event-Id that it goes on from, zero for a run from the beginning.
	from, to   time.Time
}

// engineStandIn is the state of one model worker: its model makes an event each interval for each stream, and its HTTP side sends the
// events that are made, or nothing while it is silent. Only the HTTP side sees that a connection has ended.
type engineStandIn struct {
	mu          sync.Mutex
	silentUntil time.Time
}

func (e *engineStandIn) awaitVoice() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// silentForASecond lets one of three model workers fall silent for 1.2 s and go on, three times. TWICE is checked: no stream may go on
// at another worker while the first one still works on it 400 ms later.
func silentForASecond(w *world) int {
	const (
		events   = 70
		interval = 50 * time.Millisecond
		silence  = 1200 * time.Millisecond
		twice    = 400 * time.Millisecond
	)
	var rs runs
	var mu sync.Mutex
	var all []*streamRun
	draft := route("draft", "/draft/", "streaming", "models", 2, 15000, 1200, true)
	draft["Sticky"] = true
	models := service("models", 360)
	models["Engine"] = map[string]any{"Slots": 64, "KvCapacity": 551359}
	w.configure(1, []map[string]any{draft}, []map[string]any{models})
	zones := []string{"works-hall", "old-mill"}
	engines := map[string]*engineStandIn{}
	for n := range 3 {
		k := w.addWorker(fmt.Sprintf("i-engine%d", n), "models", zones[n%2], "v1", 64, 0, &rs)
		e := &engineStandIn{}
		engines[k.id] = e
		k.answer = func(k *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it the stream begins at its first event.
			run := &streamRun{id: r.Header.Get("X-Request-Id"), worker: k.id, after: after, from: time.Now()}
			mu.Lock()
			all = append(all, run)
			mu.Unlock()
			defer func() {
				mu.Lock()
				run.to = time.Now()
				mu.Unlock()
				k.w.line("run of %s at %s from event %d ended after %d ms", run.id, k.id, after, run.to.Sub(run.from).Milliseconds())
			}()
			rw.Header().Set("Content-Type", "text/event-stream")
			for sent := after; sent < events; {
				time.Sleep(interval)
				e.awaitVoice()
				if r.Context().Err() != nil {
					return // The HTTP side has seen the end of the connection: the model stops.
				}
				for made := min(events, after+int(time.Since(run.from)/interval)); sent < made; {
					sent++
					if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", sent, run.id, sent); err != nil {
						return
					}
				}
				if err := http.NewResponseController(rw).Flush(); err != nil {
					return
				}
			}
		}
	}
	var gateways []*gateway
	for n := range 3 {
		gateways = append(gateways, w.addGateway(fmt.Sprintf("front-%d", n), zones[n%2]))
	}
	w.awaitAll()
	c := newClients(w)
	c.headers = func(a *attempt, h http.Header) {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "700,420")
		h.Set("X-Prompt-Prefix", "aa01:300,bb"+strings.TrimPrefix(a.id, "q")+":400")
	}
	stop := make(chan struct{})
	c.flow(12, stop, gateways, func(n int, g *gateway) { c.send(g, "POST", fmt.Sprintf("/draft/%d", n), "a prompt", 15*time.Second) })
	time.Sleep(4 * time.Second)
	for n := range 3 {
		if w.trouble {
			id := fmt.Sprintf("i-engine%d", n)
			w.note("%s falls silent for %v", id, silence)
			engines[id].mu.Lock()
			engines[id].silentUntil = time.Now().Add(silence)
			engines[id].mu.Unlock()
		}
		time.Sleep(6 * time.Second)
	}
	close(stop)
	c.wait.Wait()
	time.Sleep(2 * time.Second)
	whole := func(a *attempt) bool {
		var want strings.Builder
		for n := 1; n <= events; n++ {
			fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", n, a.id, n)
		}
		return a.status == http.StatusOK && a.err == nil && a.body == want.String()
	}
	mu.Lock()
	defer mu.Unlock()
	resumed, overlaps := 0, 0
	var longest time.Duration
	for _, b := range all {
		for _, a := range all {
			if a.id == b.id && a != b && a.from.Before(b.from) {
				resumed++
				if over := a.to.Sub(b.from); over > twice {
					overlaps++
					longest = max(longest, over)
					w.line("%s goes on at %s from event %d; %s still works on it %d ms later", a.id, b.worker, b.after, a.worker, over.Milliseconds())
				}
			}
		}
	}
	w.note("streams: %d, whole: %d; runs that went on at another worker: %d", len(c.all), count(c.all, whole), resumed)
	w.note("the worker before still worked on the stream over %v later: %d, %v at the most", twice, overlaps, longest.Round(time.Millisecond))
	if len(c.all) == 0 || 2*count(c.all, whole) < len(c.all) {
		return failed
	}
	if overlaps > 0 {
		w.note("TWICE is broken")
		return broken
	}
	return held
}
