package stand3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a worker in the store.
const heartbeat = 1200 * time.Millisecond

// worker is a stand-in of a worker; each start of it has the same id and address, and a later time of birth.
type worker struct {
	e                 *environment
	id, service, zone string
	address           string
	slots, queue      int
	// run answers a request that has a slot.
	run func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	up       bool
	born     int64
	seq      int64
	takes    chan struct{} // One element for each slot that is taken.
	queued   int
	running  map[string]bool
	reported []byte // The report, as of some hundred milliseconds ago.
}

// newWorker starts a worker that registers itself.
func (e *environment) newWorker(id, service, zone string, slots, queue int, run func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)) *worker {
	ip := freeIP()
	w := &worker{e: e, id: id, service: service, zone: zone, address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: slots, queue: queue, run: run}
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	w.begin()
	w.beat()
	e.every(heartbeat, func() bool { w.beat(); return true })
	var before []byte
	e.every(200*time.Millisecond, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reported, before = before, w.report()
		return true
	})
	return w
}

// begin starts the worker's process.
func (w *worker) begin() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.seq, w.up, w.conns, w.running, w.queued = time.Now().UnixMilli(), 0, true, map[net.Conn]bool{}, map[string]bool{}, 0
	w.takes = make(chan struct{}, w.slots)
	w.reported = w.report()
	conns := w.conns
	w.server = &http.Server{
		Handler: http.HandlerFunc(w.serve),
		ConnState: func(c net.Conn, s http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if s == http.StateNew {
				conns[c] = true
			} else if s == http.StateClosed {
				delete(conns, c)
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(l) }()
}

// end ends the worker's process: its connections are reset, and nothing listens.
func (w *worker) end() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server := w.server
	var conns []net.Conn
	for c := range w.conns {
		conns = append(conns, c)
	}
	w.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
}

// crash ends the worker, which starts again after the time.
func (w *worker) crash(down time.Duration) {
	w.end()
	go func() {
		select {
		case <-w.e.stop:
		case <-time.After(down):
			w.begin()
			w.beat()
		}
	}()
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.seq++
	value, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready", "ColdLeftMs": 0,
		"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": w.seq, "born": w.born,
	})
	w.e.store.put("keyed.servers", w.id, value)
}

// report returns the worker's report; w.mu must be held.
func (w *worker) report() []byte {
	runs := []any{}
	for id := range w.running {
		runs = append(runs, []any{id, 1000, 1, 5})
	}
	b, _ := json.Marshal(map[string]any{
		"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0, "State": "ready",
		"Queued": w.queued, "Running": len(w.running), "KvUsed": 0, "KvTotal": 551359, "Handles": 0, "Runs": runs, "born": w.born,
	})
	return b
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/report" {
		w.mu.Lock()
		b := w.reported
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(b)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	takes := w.takes
	if len(takes) == w.slots && w.queued >= w.queue {
		w.mu.Unlock()
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.queued++
	w.mu.Unlock()
	got := false
	select {
	case takes <- struct{}{}:
		got = true
	case <-r.Context().Done():
	}
	w.mu.Lock()
	w.queued--
	if got {
		w.running[id] = true
	}
	w.mu.Unlock()
	if !got {
		return
	}
	defer func() {
		w.mu.Lock()
		delete(w.running, id)
		w.mu.Unlock()
		<-takes
	}()
	rw.Header().Set("X-Response-Stamp", "3e1b."+w.id+"."+id)
	w.run(w, rw, r, body)
}

// stream writes a stream of so many events after the time to the first one, until its caller leaves.
func stream(ctx context.Context, rw http.ResponseWriter, first time.Duration, events int, gap time.Duration) bool {
	if !sleep(ctx, first) {
		return false
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for n := 1; n <= events; n++ {
		if n > 1 && !sleep(ctx, gap) {
			return false
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %d\n\n", n, n, events); err != nil || control.Flush() != nil {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
