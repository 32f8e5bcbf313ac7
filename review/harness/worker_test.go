package harness

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id, worker string
	at         time.Time
}

// runs are the runs of all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(id, worker string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run{id, worker, time.Now()})
	n := 0
	for _, x := range r.all {
		if x.id == id {
			n++
		}
	}
	return n
}

// byID returns the runs by request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string][]run{}
	for _, x := range r.all {
		m[x.id] = append(m[x.id], x)
	}
	return m
}

// worker is one worker of a service. It serves one request at a time on a connection, and Slots at once.
type worker struct {
	w                          *world
	id, service, zone, version string
	address                    string
	slots                      int
	work                       time.Duration
	runs                       *runs
	server                     *http.Server
	born                       int64
	busy                       chan struct{}
	// limit returns the Server-Limit that the worker names, empty for none; it may be nil.
	limit func() string
	// answer writes the answer to a request that runs; nil writes a whole answer after the work.
	answer func(k *worker, w http.ResponseWriter, r *http.Request, body []byte)

	// listener is that of the current start.
	listener *cutListener

	mu    sync.Mutex
	down  bool
	state string
	seq   int
	stop  chan struct{}
	ended bool
}

// addWorker starts a worker that registers itself.
func (w *world) addWorker(id, service, zone, version string, slots int, work time.Duration, rs *runs) *worker {
	l := &cutListener{Listener: listen(w.address()), w: w, open: map[net.Conn]struct{}{}}
	w.mu.Lock()
	w.listeners = append(w.listeners, l)
	w.mu.Unlock()
	k := &worker{w: w, id: id, service: service, zone: zone, version: version, address: l.Addr().String(), slots: slots, work: work, runs: rs, born: time.Now().UnixMilli(), busy: make(chan struct{}, slots), state: "ready", stop: make(chan struct{}), listener: l}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	go func() { _ = k.server.Serve(l) }()
	w.workers = append(w.workers, k)
	k.register()
	go k.beat()
	return k
}

// register writes the worker's entry.
func (k *worker) register() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || k.down {
		return
	}
	k.seq++
	k.w.store.put("keyed.servers", k.id, map[string]any{
		"Service": k.service, "Address": k.address, "Zone": k.zone, "Version": k.version, "Slots": k.slots, "State": k.state, "ColdLeftMs": 0, "Seq": k.seq, "born": k.born,
	})
}

// beat writes the entry about every HeartbeatMs.
func (k *worker) beat() {
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(1200 * time.Millisecond):
			k.register()
		}
	}
}

// drain announces that the worker leaves.
func (k *worker) drain() {
	k.mu.Lock()
	k.state = "draining"
	k.mu.Unlock()
	k.register()
}

// end ends the worker's process at once, and removes its entry as the platform does.
func (k *worker) end() {
	k.mu.Lock()
	if k.ended {
		k.mu.Unlock()
		return
	}
	k.ended = true
	close(k.stop)
	k.mu.Unlock()
	_ = k.server.Close()
	k.w.store.put("keyed.servers", k.id, nil)
	k.w.line("worker %s ended", k.id)
}

// crash ends the worker's process without a word: its connections are reset. It starts again under its id and address after the time.
func (k *worker) crash(back time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down || k.ended {
		return
	}
	k.down = true
	_ = k.listener.Close()
	k.listener.resetAll()
	k.w.line("worker %s crashes", k.id)
	time.AfterFunc(back, k.restart)
}

// restart starts the worker again after a crash.
func (k *worker) restart() {
	l, err := net.Listen("tcp", k.address)
	must(err)
	k.mu.Lock()
	k.down, k.born, k.seq, k.busy = false, time.Now().UnixMilli(), 0, make(chan struct{}, k.slots)
	k.listener = &cutListener{Listener: l, w: k.w, open: map[net.Conn]struct{}{}}
	k.server = &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	server, listener := k.server, k.listener
	k.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	k.w.line("worker %s is back", k.id)
	k.register()
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", k.id)
		return
	case "/-/report":
		reply(w, http.StatusOK, map[string]any{"Stage": "both", "Busy": false, "Seq": 0, "Queued": 0, "Running": len(k.busy), "KvUsed": 0, "KvTotal": 500000, "Handles": 0})
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != k.id {
		w.Header().Set("X-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	busy := k.busy
	k.mu.Unlock()
	select {
	case busy <- struct{}{}:
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-busy }()
	if k.limit != nil {
		if v := k.limit(); v != "" {
			w.Header().Set("Server-Limit", v)
		}
	}
	n := k.runs.add(id, k.id)
	k.w.line("run %s at %s, %s %s", id, k.id, r.Method, r.URL.Path)
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s.%d", k.id, id, n))
	if k.answer != nil {
		k.answer(k, w, r, body)
		return
	}
	time.Sleep(k.work)
	k.whole(w, id)
}

// whole writes the whole answer of a plain request.
func (k *worker) whole(w http.ResponseWriter, id string) {
	text := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // The gateway may have gone.
}
