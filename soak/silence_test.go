package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxCloseDelay  = 2 * time.Second // By which an upstream may see the end of a connection late.
	streamTimeout  = 8 * time.Second // Of streams in the silent scenario.
	streamFactor   = 4               // How many times as many events these have.
	silencePolling = 5 * time.Millisecond
)

// silence is what an engine does not do for a time.
type silence struct {
	mu sync.Mutex
	// Until silentUntil it sends nothing of its streams and sees no end of a connection, while its runs go on.
	silentUntil time.Time
	deaf        bool      // Whether it also reads nothing meanwhile, and answers no reports.
	pausedUntil time.Time // Until then, it does nothing at all.
	unreadUntil time.Time // Until then, it reads no requests, but answers reports.
}

func (s *silence) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil) || time.Now().Before(s.pausedUntil)
}

func (s *silence) paused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.pausedUntil)
}

func (s *silence) readsNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.pausedUntil) || s.deaf && time.Now().Before(s.silentUntil)
}

func (s *silence) begin(d time.Duration, deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil, s.deaf = time.Now().Add(d), deaf
}

func (s *silence) leavesUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.unreadUntil)
}

func (s *silence) leaveUnread(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadUntil = time.Now().Add(d)
}

func (s *silence) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// awaitEnd waits while the condition holds.
func awaitEnd(condition func() bool) {
	for condition() {
		time.Sleep(silencePolling)
	}
}

// preempt makes the newest half of the engine's streams wait.
func (u *upstream) preempt(d time.Duration) {
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	now := time.Now()
	active := slices.Clone(u.recent)
	active = slices.DeleteFunc(active, func(x *run) bool { return !x.activeAt(now) || x.preemptedBy(now) })
	for _, x := range active[len(active)/2:] {
		x.preemptedAt, x.preemptedUntil = now, now.Add(d)
	}
}

func (u *upstream) isPreempted(x *run) bool {
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	return x.preemptedBy(time.Now())
}

// writeEvents writes the events of a stream as they are made; an engine that is silent sends them afterwards.
func (u *upstream) writeEvents(w http.ResponseWriter, r *http.Request, q *request, x *run) {
	deadline := q.deadline
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = x.at.Add(time.Duration(ms) * time.Millisecond)
	}
	stopped := func() bool {
		late := (u.deployment.scenario == silent || u.deployment.scenario == large) && time.Now().After(deadline)
		return !u.silence.paused() && (late || !u.silence.silent() && r.Context().Err() != nil)
	}
	var unsent strings.Builder
	for n := x.from + 1; n <= q.eventCount; n++ {
		awaitEnd(func() bool { return (u.silence.paused() || u.isPreempted(x)) && !stopped() })
		if stopped() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(&unsent, "id: %d\ndata: %s\n\n", n, answerData(q.path, n))
		u.countEvent(x)
		if !u.silence.silent() {
			if _, err := io.WriteString(w, unsent.String()); err != nil {
				return
			}
			unsent.Reset()
			w.(http.Flusher).Flush()
		}
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		if rand.IntN(1000) < int(u.failPercent.Load()) {
			panic(http.ErrAbortHandler)
		}
	}
	u.endRun(x)
	awaitEnd(u.silence.silent)
	_, _ = io.WriteString(w, unsent.String()) // The gateway may have disconnected.
}

// lengthen makes a stream long enough to meet the faults of the silent scenario.
func (q *request) lengthen() {
	if q.eventCount > 0 {
		q.eventCount, q.timeout, q.deadline = streamFactor*q.eventCount, streamTimeout, q.sentAt.Add(streamTimeout)
	}
}

// silentFaults come in addition in the silent scenario.
var silentFaults = []fault{
	{"engine falls silent", false, func(d *deployment, f *faultParams) {
		d.engine(f).silence.begin(300*time.Millisecond+f.duration, f.percent%2 == 0)
	}},
	{"engine sees closed connections late", false, func(d *deployment, f *faultParams) {
		p := d.engine(f).proxy
		p.delayCloses(maxCloseDelay)
		time.Sleep(maxCloseDelay + f.duration)
		p.delayCloses(0)
	}},
	{"streams are preempted", false, func(d *deployment, f *faultParams) { d.engine(f).preempt(time.Second + f.duration/3) }},
	{"engine pauses", false, func(d *deployment, f *faultParams) { d.engine(f).silence.pause(f.duration) }},
}

// engine returns the engine that the fault affects.
func (d *deployment) engine(f *faultParams) *upstream {
	engines := d.serving("models")
	return engines[f.target%len(engines)]
}
