package soak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	reportAge = 200 * time.Millisecond // How old the content of a report is.
	runMemory = time.Second            // How long an upstream keeps runs that have ended, for its reports.
	// defaultPriority is the priority of a run whose request names none.
	defaultPriority = 5
)

// run is one run of a request at an upstream. Its times and events are guarded by the recorder's mutex.
type run struct {
	id       string
	upstream *upstream
	gateway  string // The one that sent it.
	at       time.Time
	endedAt  time.Time // When the upstream stopped to work on it, zero before.
	tokens   int64
	team     string
	stamp    string
	from     int
	priority int
	events   int
	// preemptedAt and preemptedUntil bound the last time in which it waited for others.
	preemptedAt, preemptedUntil time.Time
}

// activeAt reports whether the upstream worked on the run at the time, or had preempted it.
func (x *run) activeAt(t time.Time) bool {
	return !x.at.After(t) && (x.endedAt.IsZero() || x.endedAt.After(t))
}

// preemptedBy reports whether the run waited for others at the time.
func (x *run) preemptedBy(t time.Time) bool {
	return !x.preemptedAt.After(t) && x.preemptedUntil.After(t)
}

// beginRun records the start of a run and returns it, with the earlier runs of the request at other upstreams.
func (u *upstream) beginRun(q *request, r *http.Request, from int) (*run, []*run) {
	gateway := u.proxy.ownerOfTarget(r.RemoteAddr)
	if gateway == "" {
		gateway = q.gateway
	}
	x := &run{id: q.id, upstream: u, gateway: gateway, tokens: q.tokens, team: q.team, from: from, priority: defaultPriority}
	if p, err := strconv.Atoi(r.Header.Get("X-Request-Priority")); err == nil {
		x.priority = p
	}
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	x.at = time.Now()
	before := u.recorder.runs[q.attemptID()]
	x.stamp = u.id + "." + q.attemptID() + "." + strconv.Itoa(len(before))
	u.recorder.runs[q.attemptID()] = append(slices.Clone(before), x)
	u.recent = append(slices.DeleteFunc(u.recent, func(x *run) bool { return !x.endedAt.IsZero() && time.Since(x.endedAt) > runMemory }), x)
	return x, slices.DeleteFunc(before, func(b *run) bool { return b.upstream == u })
}

// endRun records that the upstream stopped to work on the run, unless it had stopped before.
func (u *upstream) endRun(x *run) {
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	if x.endedAt.IsZero() {
		x.endedAt = time.Now()
	}
}

// countEvent counts an event of the run.
func (u *upstream) countEvent(x *run) {
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	x.events++
}

// serveReport answers with what the upstream did a while ago.
func (u *upstream) serveReport(w http.ResponseWriter) {
	u.recorder.mu.Lock()
	at, queued, runs := time.Now().Add(-reportAge), 0, [][]any{}
	for _, x := range u.recent {
		if !x.activeAt(at) {
			continue
		}
		if x.preemptedBy(at) {
			queued++
			continue
		}
		runs = append(runs, []any{x.id, x.tokens, x.events, x.priority})
	}
	u.recorder.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "both", "Queued": queued, "Running": len(runs), "Runs": runs}) // The gateway may have disconnected.
}
