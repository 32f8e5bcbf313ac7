package stand2

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's log store and cloud API, as PROTOCOL.md describes them, as far as the gateways use them.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// delay is the time of an append and of a read.
	delay  time.Duration
	fences map[string]int64
	usage  map[int64]map[string]int64
	rec    *recorder
	// era rises with each restore from a copy; away makes the store turn calls away meanwhile.
	era  int64
	away bool
	// differing counts the usage reports that were accepted for a window with other counts than before.
	differing int
	holder    string
}

// storeRecord is a record with the time at which it was written.
type storeRecord struct {
	data []byte
	at   time.Time
}

func (r storeRecord) key() string   { return string(r.data[1 : 1+int(r.data[0])]) }
func (r storeRecord) value() []byte { return r.data[1+int(r.data[0]):] }

func newStore(rec *recorder) *store {
	return &store{topics: map[string][]storeRecord{}, changed: make(chan struct{}), delay: 4 * time.Millisecond, fences: map[string]int64{}, usage: map[int64]map[string]int64{}, rec: rec, era: 1}
}

// listen serves the store at a free loopback port and returns its address.
func (s *store) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("POST /usage", s.reportUsage)
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(l, s.announced(mux)) }()
	return l.Addr().String(), nil
}

// announced names the era in all answers, and turns calls away while the store is away.
func (s *store) announced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		if away && strings.HasPrefix(r.URL.Path, "/-/") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// restore lets the store be away for the time, and come back from a copy of the moment. What the operator and the workers wrote since
// is written again.
func (s *store) restore(copied time.Time, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	for name, records := range s.topics {
		n := len(records)
		for n > 0 && records[n-1].at.After(copied) {
			n--
		}
		s.topics[name] = records[:n:n]
		if name != "keyed.op" && name != "keyed.servers" {
			continue
		}
		lost := map[string][]byte{}
		for _, x := range records[n:] {
			lost[x.key()] = x.data
		}
		for _, data := range lost {
			s.add(name, data)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// firstWrite returns when the first record of a topic was written, zero if there is none.
func (s *store) firstWrite(topic string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.topics[topic]) == 0 {
		return time.Time{}
	}
	return s.topics[topic][0].at
}

// put writes a record of a keyed topic, as the operator and the workers do; without a value the key is dropped.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) add(topic string, data []byte) {
	s.topics[topic] = append(s.topics[topic], storeRecord{data, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.delay)
	q := r.URL.Query()
	name := q.Get("Topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topics[name]))
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"End": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": end, "End": int64(len(s.topics[name]))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("Topic")
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[name], s.changed
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10)) // It may have been restored while the read waited.
		s.mu.Unlock()
		end := int64(len(records))
		if from > end {
			writeJSON(w, http.StatusGone, map[string]int64{"First": 0})
			return
		}
		if from < end || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, x := range records[from:] {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(x.data))), x.data...)
			}
			_, _ = w.Write(b)
			return
		}
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
		Offset     int64
	}
	const pageItems = 500
	q := r.URL.Query()
	after := q.Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[q.Get("Topic")]
	byKey := map[string]item{}
	for n, x := range records {
		if len(x.value()) == 0 {
			delete(byKey, x.key())
			continue
		}
		byKey[x.key()] = item{x.key(), base64.StdEncoding.EncodeToString(x.value()), int64(n)}
	}
	items := []item{}
	for _, i := range byKey {
		if after == "" || i.Key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, http.StatusOK, struct {
		Items []item
		More  bool
		End   int64
	}{items, more, int64(len(records))})
}

func (s *store) reportUsage(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64
		Counts map[string]int64
	}
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence < s.fences["usage"] {
		writeJSON(w, http.StatusConflict, map[string]string{})
		return
	}
	s.fences["usage"] = fence
	if before, ok := s.usage[report.Window]; ok && !maps.Equal(before, report.Counts) {
		s.differing++
		s.rec.line("usage of window %d accepted with different counts: %v and %v", report.Window, before, report.Counts)
	}
	s.usage[report.Window] = report.Counts
	s.holder = r.Header.Get("X-Duty-Holder")
	s.rec.line("usage of window %d from %s, fence %d: %v", report.Window, r.Header.Get("X-Duty-Holder"), fence, report.Counts)
	w.WriteHeader(http.StatusOK)
}
