package soak

import (
	"context"
	"time"
)

// maxOverlap is how long an upstream may go on with a stream that has begun again at another one.
const maxOverlap = 400 * time.Millisecond

// overlap is a stream that went on at another upstream while the one before still worked on it.
type overlap struct {
	before, after *run
	excused       bool // The gateway was out of touch or did not reach the upstream.
}

// noteOverlaps notes which of the runs go on for longer than the rule allows after the start of another run of their stream.
func (d *deployment) noteOverlaps(q *request, before []*run, after *run) {
	if len(before) == 0 || q.eventCount == 0 {
		return
	}
	d.mu.Lock()
	d.moves++
	d.mu.Unlock()
	d.group.Go(func(context.Context) {
		time.Sleep(maxOverlap)
		for _, b := range before {
			d.recorder.mu.Lock()
			ended := !b.endedAt.IsZero() && b.endedAt.Sub(after.at) <= maxOverlap
			d.recorder.mu.Unlock()
			if ended {
				continue
			}
			excused := !d.reaches(after.gateway, b.upstream, after.upstream)
			d.mu.Lock()
			d.overlaps = append(d.overlaps, overlap{b, after, excused})
			d.mu.Unlock()
		}
	})
}

// reaches reports whether the gateway ran, and its links to the store and both upstreams were whole, for contactTime before a run that began
// maxOverlap ago: the users' rule excuses gateways that are out of touch or do not reach the upstream.
func (d *deployment) reaches(gateway string, before, after *upstream) bool {
	const span = contactTime + maxOverlap
	for _, p := range d.processes {
		if p.name == gateway {
			p.mu.Lock()
			undisturbed := p.shouldRun && time.Since(p.disturbed) > span
			p.mu.Unlock()
			whole := func(p *proxy) bool { return p.undisturbedFor(span) && p.uncutFor(span) }
			return undisturbed && whole(p.storeProxy) && whole(before.proxy) && whole(after.proxy)
		}
	}
	return false
}
