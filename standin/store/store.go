package store

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
)

// Store is the stand-in; it is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mu     sync.Mutex
	topics map[string]*topic
	kept   map[string]map[string]item
	fences map[string]int64
	usage  map[int64]map[string]int64
	orders []Order
	status int
	losing int
	clash  bool
}

// Order is an order of upstreams that was accepted.
type Order struct {
	Service, Zone string
	Desired       int
	Spot          bool
}

// New returns an empty store.
func New() *Store {
	s := &Store{mux: http.NewServeMux(), topics: map[string]*topic{}, kept: map[string]map[string]item{}, fences: map[string]int64{}, usage: map[int64]map[string]int64{}}
	s.mux.HandleFunc("POST /-/log-append", s.append)
	s.mux.HandleFunc("GET /-/log-read", s.read)
	s.mux.HandleFunc("GET /-/log-newest", s.newest)
	s.mux.HandleFunc("POST /usage", s.reportUsage)
	s.mux.HandleFunc("POST /scale", s.scale)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status, losing := s.status, s.losing
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if rand.IntN(100) < losing {
		s.mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// LoseAnswers carries a share of the calls out, in percent, and breaks them off without an answer.
func (s *Store) LoseAnswers(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = percent
}

// Refuse answers all calls with the status until it is called with zero.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Usage returns the counts that were reported, by window.
func (s *Store) Usage() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.usage)
}

// UsageConflict reports whether two different reports came for one window.
func (s *Store) UsageConflict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clash
}

// Orders returns the orders that were accepted.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// admit reports whether the call's fence is the highest of its subject.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, subject string) bool {
	fence, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if fence < s.fences[subject] {
		answer(w, http.StatusConflict, map[string]string{"Error": "a higher fence was seen"})
		return false
	}
	s.fences[subject] = fence
	return true
}

func (s *Store) reportUsage(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64
		Counts map[string]int64
	}
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(w, r, "usage") {
		return
	}
	if before, ok := s.usage[report.Window]; ok && !maps.Equal(before, report.Counts) {
		s.clash = true
	}
	s.usage[report.Window] = report.Counts
}

func (s *Store) scale(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admit(w, r, o.Service+"/"+o.Zone) {
		s.orders = append(s.orders, o)
	}
}
