package stand3

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store and of its API for duties. It answers all calls, in time.
type store struct {
	listener net.Listener
	mu       sync.Mutex
	topics   map[string]*topic
	fences   map[string]int64
	usage    map[int64]string
}

type topic struct {
	records [][]byte
	changed chan struct{}
}

func newStore(e *environment) (*store, error) {
	l, err := net.Listen("tcp", freeIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string]*topic{}, fences: map[string]int64{}, usage: map[int64]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.appendCall)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) { s.duty(w, r, func([]byte) string { return "usage" }) })
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) {
		s.duty(w, r, func(b []byte) string {
			var o struct{ Service, Zone string }
			_ = json.Unmarshal(b, &o)
			return o.Service + "/" + o.Zone
		})
	})
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Store-Era", "1")
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// topic returns the topic; s.mu must be held.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record of a keyed topic; an empty value deletes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...))
}

func (t *topic) add(record []byte) {
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) appendCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	q := r.URL.Query()
	if err != nil || (strings.HasPrefix(q.Get("Topic"), "keyed.op") || strings.HasPrefix(q.Get("Topic"), "keyed.servers")) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("Topic"))
	offset := len(t.records)
	if at := q.Get("At"); at != "" && at != strconv.Itoa(offset) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"End": offset})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		t.add(append([]byte{}, body[4:4+n]...))
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]int{"Offset": offset, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
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
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(x))), x...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
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
	t := s.topic(r.URL.Query().Get("Topic"))
	byKey := map[string]item{}
	for i, x := range t.records {
		key, value := string(x[1:1+x[0]]), x[1+x[0]:]
		if delete(byKey, key); len(value) > 0 {
			byKey[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for _, i := range byKey {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, struct {
		Items []item
		More  bool
		End   int
	}{items, false, end})
}

// duty accepts a call unless a higher token was seen for its subject.
func (s *store) duty(w http.ResponseWriter, r *http.Request, subject func([]byte) string) {
	body, _ := io.ReadAll(r.Body)
	token, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := subject(body); token < s.fences[key] {
		reply(w, http.StatusConflict, map[string]string{"Error": "a higher fence was seen"})
	} else {
		s.fences[key] = token
		reply(w, http.StatusOK, struct{}{})
	}
}
