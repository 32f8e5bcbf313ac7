package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// topic is one partition.
type topic struct {
	records [][]byte
	first   int64
	changed chan struct{} // Closed at the next append.
}

const (
	keyedPrefix = "keyed."
	// recordHead is the length of a record's length.
	recordHead = 4
	// longestWait bounds the wait of a read.
	longestWait = 30 * time.Second
)

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// topic returns the topic of the name; the caller holds the lock.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record to a topic that keeps the newest of each key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(append(append([]byte{byte(len(key))}, key...), value...)) //nolint:gosec // Keys are names.
}

func (t *topic) add(record []byte) {
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Compact drops the history of a topic; the newest record of each key stays.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	s.kept[name] = t.newest(s.kept[name])
	t.first, t.records = t.end(), nil
}

// item is the newest record of a key.
type item struct {
	Key    string
	Value  string
	Offset int64
}

// newest returns the newest record of each key, on top of those kept from before.
func (t *topic) newest(kept map[string]item) map[string]item {
	items := map[string]item{}
	for k, i := range kept {
		items[k] = i
	}
	for n, r := range t.records {
		key, value := string(r[1:1+r[0]]), r[1+r[0]:]
		if len(value) == 0 {
			delete(items, key)
			continue
		}
		items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: t.first + int64(n)}
	}
	return items
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("Topic"))
	if at := q.Get("At"); at != "" && at != strconv.FormatInt(t.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"End": t.end()})
		return
	}
	offset := t.end()
	for len(body) >= recordHead {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-recordHead {
			http.Error(w, "a record is cut off", http.StatusBadRequest)
			return
		}
		t.add(slices.Clone(body[recordHead : recordHead+n]))
		body = body[recordHead+n:]
	}
	answer(w, http.StatusOK, map[string]int64{"Offset": offset, "End": t.end()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs")) // None is no wait.
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, longestWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		if from < t.first {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]int64{"First": t.first})
			return
		}
		if from < t.end() || wait == 0 {
			body := t.since(from)
			s.mu.Unlock()
			_, _ = w.Write(body) // The reader may have left.
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

func (t *topic) since(from int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))   //nolint:gosec // Offsets are not negative.
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))      //nolint:gosec // Offsets are not negative.
	for _, r := range t.records[min(from, t.end())-t.first:] { //nolint:gosec // Offsets are not negative.
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(r))), r...) //nolint:gosec // Records are short.
	}
	return b
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	if !strings.HasPrefix(name, keyedPrefix) {
		http.Error(w, "the topic keeps no keys", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := make([]item, 0)
	for _, i := range t.newest(s.kept[name]) {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, struct {
		Items []item
		More  bool
		End   int64
	}{items, false, t.end()})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
