package harness

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Ways in which the store may treat a gateway.
const (
	serving = iota
	silent  // It does not answer.
	busy    // It answers 503 and does nothing.
)

// record is one record of a topic.
type storeRecord struct {
	data []byte
	at   time.Time
}

type storeTopic struct {
	records []storeRecord
	changed chan struct{}
}

// store is the platform's metadata store, with the cloud's duties. It does what the users' PROTOCOL.md says.
type store struct {
	w *world

	mu     sync.Mutex
	topics map[string]*storeTopic
	era    int64
	modes  map[string]int
	fences map[string]int64
	usage  map[int64]map[string]int64
	// watch is called for each record that the system writes to a keyed topic.
	watch func(topic, key string, value []byte)
	// usageDiffers holds the windows for which two different reports were accepted.
	usageDiffers []string
	holders      map[string]string
}

func newStore(w *world) *store {
	return &store{w: w, topics: map[string]*storeTopic{}, era: 1, modes: map[string]int{}, fences: map[string]int64{}, usage: map[int64]map[string]int64{}, holders: map[string]string{}}
}

// serve opens an address of the store for one gateway, so that the store can tell gateways apart.
func (s *store) serve(gateway, ip string) string {
	l := listen(ip)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) { s.reportUsage(gateway, w, r) })
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) { s.scale(w, r) })
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, era := s.modes[gateway], s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		switch mode {
		case silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, h) }() //nolint:gosec // A stand-in.
	return l.Addr().String()
}

// set sets how the store treats a gateway.
func (s *store) set(gateway string, mode int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[gateway] = mode
}

func (s *store) topic(name string) *storeTopic {
	t, ok := s.topics[name]
	if !ok {
		t = &storeTopic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) add(data []byte) {
	t.records = append(t.records, storeRecord{data, time.Now()})
	close(t.changed)
	t.changed = make(chan struct{})
}

func splitKeyed(data []byte) (key string, value []byte) {
	return string(data[1 : 1+data[0]]), data[1+data[0]:]
}

// put writes a record as the operator or a worker does; an empty value drops the key.
func (s *store) put(topic, key string, value any) {
	var b []byte
	if value != nil {
		var err error
		b, err = json.Marshal(value)
		must(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(append(append([]byte{byte(len(key))}, key...), b...))
}

// value returns the newest value of a key.
func (s *store) value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := ""
	for _, r := range s.topic(topic).records {
		if k, v := splitKeyed(r.data); k == key {
			last = string(v)
		}
	}
	return last
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have gone.
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	name := q.Get("Topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topic(name)
	if at := q.Get("At"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"End": len(t.records)})
		return
	}
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		data := slices.Clone(body[4 : 4+n])
		t.add(data)
		if s.watch != nil {
			key, value := splitKeyed(data)
			go s.watch(name, key, value)
		}
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]int{"Offset": offset, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs")) // Without it the read does not wait.
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		t := s.topic(q.Get("Topic"))
		if from > len(t.records) {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int{"First": 0})
			return
		}
		if from < len(t.records) || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, x := range t.records[from:] {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(x.data))), x.data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b) // The reader may have gone.
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	byKey := map[string]item{}
	for n, x := range t.records {
		key, value := splitKeyed(x.data)
		if delete(byKey, key); len(value) > 0 {
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), n}
		}
	}
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		items = append(items, byKey[key])
	}
	reply(w, http.StatusOK, map[string]any{"Items": items, "More": false, "End": len(t.records)})
}

// fenced checks the fencing token of a call; the mutex must be held.
func (s *store) fenced(w http.ResponseWriter, r *http.Request, subject string) bool {
	fence, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	if fence < s.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return true
	}
	s.fences[subject] = fence
	return false
}

func (s *store) reportUsage(gateway string, w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64
		Counts map[string]int64
	}
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced(w, r, "usage") {
		return
	}
	s.w.line("usage of window %d by %s, fence %s: %v", report.Window, gateway, r.Header.Get("X-Fence-Token"), report.Counts)
	if before, ok := s.usage[report.Window]; ok && !maps.Equal(before, report.Counts) {
		s.usageDiffers = append(s.usageDiffers, strconv.FormatInt(report.Window, 10))
	}
	if other, ok := s.holders[r.Header.Get("X-Fence-Token")]; ok && other != gateway {
		s.usageDiffers = append(s.usageDiffers, "fence "+r.Header.Get("X-Fence-Token")+" of two holders")
	}
	s.holders[r.Header.Get("X-Fence-Token")] = gateway
	s.usage[report.Window] = report.Counts
	w.WriteHeader(http.StatusOK)
}

func (s *store) scale(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenced(w, r, "scale") {
		w.WriteHeader(http.StatusOK)
	}
}
