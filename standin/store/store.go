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

// eraHeader names the era in each response; it rises by one with each restore.
const eraHeader = "Store-Era"

// Store is the stand-in; it is safe for concurrent use.
type Store struct {
	mux *http.ServeMux

	mu            sync.Mutex
	topics        map[string]*topic
	era           int64
	fences        map[string]int64
	usage         map[int64]map[string]int64
	orders        []Order
	refuseStatus  int
	losePercent   int
	usageConflict bool
}

// Order is an accepted order of upstreams; its fields are decoded under their own names.
type Order struct {
	Service, Zone string
	Desired       int
	Spot          bool
}

// New returns an empty store.
func New() *Store {
	s := &Store{mux: http.NewServeMux(), topics: map[string]*topic{}, era: 1, fences: map[string]int64{}, usage: map[int64]map[string]int64{}}
	s.mux.HandleFunc("POST /-/log-append", s.appendRecords)
	s.mux.HandleFunc("GET /-/log-read", s.readRecords)
	s.mux.HandleFunc("GET /-/log-newest", s.newestRecords)
	s.mux.HandleFunc("POST /usage", s.reportUsage)
	s.mux.HandleFunc("POST /scale", s.scale)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status, losePercent, era := s.refuseStatus, s.losePercent, s.era
	s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if rand.IntN(100) < losePercent {
		s.mux.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// LoseAnswers makes the store execute the given percentage of calls and abort their connections without an answer.
func (s *Store) LoseAnswers(percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losePercent = percent
}

// Refuse makes the store answer all calls with the status and execute none, until it is called with zero.
func (s *Store) Refuse(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseStatus = status
}

// Usage returns the reported counts by window.
func (s *Store) Usage() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.usage)
}

// UsageConflict reports whether two reports of the same window differed.
func (s *Store) UsageConflict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usageConflict
}

// Orders returns the orders that were accepted.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// checkFence records the call's fence and reports whether none higher was seen for the subject;
// otherwise it writes the error response. s.mu must be held.
func (s *Store) checkFence(w http.ResponseWriter, r *http.Request, subject string) bool {
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
	if !s.checkFence(w, r, "usage") {
		return
	}
	if before, ok := s.usage[report.Window]; ok && !maps.Equal(before, report.Counts) {
		s.usageConflict = true
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
	if s.checkFence(w, r, o.Service+"/"+o.Zone) {
		s.orders = append(s.orders, o)
	}
}
