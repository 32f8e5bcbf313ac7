package harness

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["wrong-part-is-blocked"] = wrongPartIsBlocked }

// wrongPartIsBlocked sends requests with a prompt part under which each worker crashes that begins to answer it. Their other parts are
// those of sound requests. Streams are short and end with their connections. LOST (users' first letter) is checked. With FORM=chunks they
// come in chunks; with LULL=1 sound requests pause for some seconds when the first of the others come.
func wrongPartIsBlocked(w *world) int {
	const (
		contact  = 3 * time.Second // ContactMs.
		events   = 4
		interval = 50 * time.Millisecond
		rate     = 3 // Sound requests a second.
		back     = 3 * time.Second
		shared   = "aa01:300"
		poison   = "cc99:150"
		style    = "dd04:200" // The last part that other requests have too.
		before   = 15 * time.Second
		lull     = 2500 * time.Millisecond
		lasts    = 45 * time.Second
	)
	chunks, lulled := os.Getenv("FORM") == "chunks", os.Getenv("LULL") == "1"
	var rs runs
	var mu sync.Mutex
	var crashes []time.Time
	draft := route("draft", "/draft/", "streaming", "models", 2, 15000, 1200, true)
	draft["Sticky"] = true
	models := service("models", 360)
	models["Engine"] = map[string]any{"Slots": 64, "KvCapacity": 551359}
	w.configure(1, []map[string]any{draft}, []map[string]any{models})
	zones := []string{"works-hall", "old-mill", "canal-shed", "front-shop"}
	for n := range 9 {
		k := w.addWorker(fmt.Sprintf("i-engine%d", n), "models", zones[n%4], "v1", 64, 0, &rs)
		k.answer = func(k *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Without it the stream begins at its first event.
			parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
			for _, p := range parts[:len(parts)-1] {
				if p == poison {
					time.Sleep(interval)
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
					k.crash(back)
					return
				}
			}
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
			for n := after + 1; n <= events; n++ {
				time.Sleep(interval)
				if _, err := fmt.Fprintf(write, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n); err != nil {
					return
				}
				if err := flush(); err != nil {
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
	prefix := func(a *attempt, parts ...string) string {
		return strings.Join(append(parts, "ee"+strings.TrimPrefix(a.id, "q")+":400"), ",")
	}
	sound, bad := newClients(w), newClients(w)
	bad.number.Store(1_000_000)
	header := func(h http.Header) {
		h.Set("X-Model", "m")
		h.Set("X-Token-Count", "900,120")
	}
	sound.headers = func(a *attempt, h http.Header) { header(h); h.Set("X-Prompt-Prefix", prefix(a, shared, style)) }
	bad.headers = func(a *attempt, h http.Header) { header(h); h.Set("X-Prompt-Prefix", prefix(a, shared, poison, style)) }
	send := func(c *clients, name string) func(int, *gateway) {
		return func(n int, g *gateway) {
			c.send(g, "POST", fmt.Sprintf("/draft/%s%d", name, n), "a prompt", 15*time.Second)
		}
	}
	stop := make(chan struct{})
	sound.flow(rate, stop, gateways, send(sound, "sound"))
	time.Sleep(before)
	if w.trouble && lulled {
		close(stop)
		stop = make(chan struct{})
		time.Sleep(lull)
	}
	calmUntil := time.Now()
	stopBad := make(chan struct{})
	if w.trouble {
		w.note("requests with a part that crashes workers come, one a second")
		bad.flow(1, stopBad, gateways, send(bad, "bad"))
	}
	if w.trouble && lulled {
		time.Sleep(time.Second + lull)
		sound.flow(rate, stop, gateways, send(sound, "sound"))
	}
	time.Sleep(lasts)
	ended := time.Now()
	close(stopBad)
	close(stop)
	sound.wait.Wait()
	bad.wait.Wait()
	began := func(list []*attempt) int {
		ran := rs.byID()
		return count(list, func(a *attempt) bool { return len(ran[a.id]) > 0 })
	}
	mu.Lock()
	defer mu.Unlock()
	from := calmUntil
	switch {
	case !w.trouble:
	case len(crashes) == 0:
		return failed
	case len(crashes) < 5:
		from = crashes[len(crashes)-1].Add(2 * contact)
	default:
		from = crashes[4].Add(2 * contact)
	}
	outside, inside := sound.between(w.begin, calmUntil), sound.between(from, ended)
	late := 0
	for _, a := range bad.between(from.Add(-contact), ended) {
		if len(rs.byID()[a.id]) > 0 {
			late++
		}
	}
	refused := count(inside, func(a *attempt) bool { return a.status == http.StatusServiceUnavailable })
	w.note("crashes: %d; requests with the part: %d, of which %d sent later than 3 s after the fifth crash ran", len(crashes), len(bad.all), late)
	w.note("sound requests outside disruption: %d, begun at the first attempt: %d", len(outside), began(outside))
	w.note("sound requests from 6 s after the fifth crash, while such requests come: %d, begun at the first attempt: %d, refused with 503: %d", len(inside), began(inside), refused)
	if len(outside) < 20 || len(inside) < 20 {
		return failed
	}
	if 2*began(inside)*len(outside) < began(outside)*len(inside) {
		w.note("LOST is broken: less than half as often")
		return broken
	}
	return held
}
