package soak

import (
	"net/http"
	"strings"
	"time"
)

const (
	drainTime = 2 * time.Second // Within which a gateway must stop to send to an upstream that leaves.
	// refusalWait is the time that half of the refusals name, refusalGrace the time after which it is observed.
	refusalWait     = 1500 * time.Millisecond
	refusalGrace    = 500 * time.Millisecond
	maxDuringWait   = 2
	refusalWaitText = "1.5"
)

// told is a gateway that passed on an answer of an upstream.
type told struct{ gateway, upstream string }

// refusal is a refusal that named a time, with the requests that came in it nevertheless.
type refusal struct {
	at       time.Time
	arrivals int
}

// announceLeaving says in the answer that the upstream leaves.
func (u *upstream) announceLeaving(w http.ResponseWriter) {
	u.deployment.mu.Lock()
	defer u.deployment.mu.Unlock()
	if u.draining {
		w.Header().Set("Server-Leaving", "1")
	}
}

// nameWait names in half of the refusals of an upstream that is made full a time in which it wants no requests of the gateway.
func (u *upstream) nameWait(w http.ResponseWriter, q *request) {
	if len(q.id)%2 == 0 || u.fullPercent.Load() == 0 {
		return
	}
	w.Header().Set("Retry-After", refusalWaitText)
	u.recorder.mu.Lock()
	defer u.recorder.mu.Unlock()
	if u.refusals == nil {
		u.refusals = map[string]refusal{}
	}
	if time.Since(u.refusals[q.gateway].at) > refusalWait {
		u.refusals[q.gateway] = refusal{at: time.Now()}
	}
}

// undisturbedSince reports whether the gateway has run, and its links were whole, since the time.
func (d *deployment) undisturbedSince(gateway string, since time.Time) bool {
	for _, p := range d.processes {
		if p.name == gateway {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.shouldRun && p.disturbed.Before(since.Add(-time.Second))
		}
	}
	return false
}

// noteArrival checks a request that arrives at an upstream against what the upstream has said.
func (d *deployment) noteArrival(u *upstream, q *request) {
	if q == nil {
		return
	}
	d.mu.Lock()
	at, leaves := d.leavingTold[told{q.gateway, u.id}]
	d.mu.Unlock()
	if leaves && q.sentAt.Sub(at) > drainTime && d.undisturbedSince(q.gateway, at) {
		d.recorder.recordViolation("DRAIN: %s, sent %v after %s had passed on that %s leaves", q.path, q.sentAt.Sub(at), q.gateway, u.id)
	}
	d.recorder.mu.Lock()
	r, named := u.refusals[q.gateway]
	since := time.Since(r.at)
	if named = named && since > refusalGrace && since < refusalWait; named {
		r.arrivals++
		u.refusals[q.gateway] = r
	}
	d.recorder.mu.Unlock()
	if named && r.arrivals == maxDuringWait+1 && u.knownTo(q.gateway) && d.undisturbedSince(q.gateway, r.at) && u.proxy.undisturbedFor(refusalWait+time.Second) && u.proxy.uncutFor(refusalWait+time.Second) {
		d.recorder.recordViolation("BUDGET: %s got more than %d requests from %s in the time that it had named", u.id, maxDuringWait, q.gateway)
	}
}

// noteAnswer notes what an answer said of its upstream.
func (d *deployment) noteAnswer(q *request) {
	id, _, stamped := strings.Cut(q.stamp, ".")
	if !q.leaving || !stamped {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := (told{q.gateway, id}); d.leavingTold[k].IsZero() {
		d.leavingTold[k] = time.Now()
	}
}
