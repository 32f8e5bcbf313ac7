package stand2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerNumber numbers the incarnations of all workers.
var workerNumber atomic.Int64

// worker is a model worker or a plain one. Each start is a new incarnation with a new id at the same address.
type worker struct {
	service, zone, address string
	slots, queue           int
	store                  *store
	rec                    *recorder
	// answer runs a request; it is called once the request has a slot.
	answer func(wk *worker, w http.ResponseWriter, r *http.Request, run *run)
	// full is called when a request is rejected for want of room.
	full func(wk *worker)
	// linked are the links through which machines reach it, nil for none.
	linked *links
	// shown is the address in its entry, if it is not its own.
	shown string
	// extra headers of all answers; may be nil.
	header func(wk *worker) map[string]string

	mu       sync.Mutex
	id       string
	born     time.Time
	seq      int
	up       bool
	listener net.Listener
	server   *http.Server
	tokens   chan struct{}
	waiting  int
	// rejected are the times of the rejections for want of room.
	rejected []time.Time
}

// start starts the worker, at its earlier address if it has one.
func (wk *worker) start() error {
	address := wk.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.address, wk.listener = l.Addr().String(), l
	wk.id, wk.born, wk.seq, wk.up, wk.waiting, wk.rejected = fmt.Sprintf("i-%06x", workerNumber.Add(1)), time.Now(), 0, true, 0, nil
	wk.tokens = make(chan struct{}, wk.slots)
	wk.server = &http.Server{Handler: wk.handler(wk.id, wk.tokens)}
	server := wk.server
	go func() { _ = server.Serve(l) }()
	if wk.linked != nil && wk.shown == "" {
		if wk.shown, err = wk.linked.to(wk.address); err != nil {
			return err
		}
	}
	wk.register()
	go wk.beat(wk.id)
	return nil
}

// register writes the worker's entry; wk.mu must be held.
func (wk *worker) register() {
	wk.seq++
	address := wk.address
	if wk.shown != "" {
		address = wk.shown
	}
	value, _ := json.Marshal(map[string]any{"Service": wk.service, "Address": address, "Zone": wk.zone, "Version": "v1", "Slots": wk.slots, "State": "ready", "ColdLeftMs": 0, "Seq": wk.seq, "born": wk.born.UnixMilli()})
	wk.store.put("keyed.servers", wk.id, value)
}

// beat writes the entry every heartbeat until the incarnation has ended, and lets it lapse then.
func (wk *worker) beat(id string) {
	const heartbeat = 1200 * time.Millisecond
	for {
		time.Sleep(heartbeat)
		wk.mu.Lock()
		if wk.id != id || !wk.up {
			wk.mu.Unlock()
			time.Sleep(2 * heartbeat) // Three intervals of silence.
			wk.store.put("keyed.servers", id, nil)
			return
		}
		wk.register()
		wk.mu.Unlock()
	}
}

// crash ends the incarnation: its connections are reset, and nothing listens until it starts again after the time.
func (wk *worker) crash(back time.Duration) {
	wk.mu.Lock()
	if !wk.up {
		wk.mu.Unlock()
		return
	}
	wk.up = false
	id, server := wk.id, wk.server
	wk.mu.Unlock()
	wk.rec.line("worker %s (%s at %s) crashes", id, wk.service, wk.address)
	_ = server.Close()
	go func() {
		time.Sleep(back)
		if err := wk.start(); err != nil {
			wk.rec.line("worker at %s could not start again: %v", wk.address, err)
			return
		}
		wk.rec.line("worker at %s is back as %s", wk.address, wk.id)
	}()
}

func (wk *worker) handler(id string, tokens chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/report" {
			writeJSON(w, http.StatusOK, map[string]any{"Stage": "both", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false, "Seq": 0, "Queued": 0, "Running": len(tokens), "KvUsed": 0, "KvTotal": 551359, "Handles": 0})
			return
		}
		h := w.Header()
		if wk.header != nil {
			for k, v := range wk.header(wk) {
				h.Set(k, v)
			}
		}
		if r.URL.Path == "/health" {
			h.Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusOK)
			return
		}
		request := r.Header.Get("X-Request-Id")
		h.Set("X-Request-Id", request)
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
			h.Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		wk.rec.arrived(request, id)
		select {
		case tokens <- struct{}{}:
		default:
			wk.mu.Lock()
			if wk.waiting >= wk.queue {
				wk.rejected = append(wk.rejected, time.Now())
				wk.mu.Unlock()
				h.Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				if wk.full != nil {
					wk.full(wk)
				}
				return
			}
			wk.waiting++
			wk.mu.Unlock()
			select {
			case tokens <- struct{}{}:
				wk.leaveQueue()
			case <-r.Context().Done():
				wk.leaveQueue()
				return
			}
		}
		defer func() { <-tokens }()
		h.Set("X-Response-Stamp", id+"."+request)
		run := wk.rec.begin(request, id)
		wk.answer(wk, w, r, run)
	})
}

func (wk *worker) leaveQueue() {
	wk.mu.Lock()
	wk.waiting--
	wk.mu.Unlock()
}

// promptParts returns the ids of the parts of a request's prompt.
func promptParts(r *http.Request) []string {
	var ids []string
	for _, field := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(field), ":")
		ids = append(ids, id)
	}
	return ids
}

// stream answers with events whose ids go on from Last-Event-Id.
func stream(w http.ResponseWriter, r *http.Request, events int, first, gap time.Duration) bool {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	timer := time.NewTimer(first)
	defer timer.Stop()
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= events; n++ {
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
		timer.Reset(gap)
	}
	return true
}
