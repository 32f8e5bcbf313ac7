package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

const (
	// silentEngineTimeout is the minimum time without an event on any stream after which an engine counts as silent: a sound one may be
	// silent for about a second and goes on with its streams then.
	silentEngineTimeout = time.Second
	// minSilentStreams is the number of streams needed to distinguish a silent engine from a slow request.
	minSilentStreams = 2
	// minPatience, patienceGoals and patienceGaps bound the time without an event after which callers leave:
	// two seconds, four times the goal or eight times the goal for gaps, whichever is longest.
	minPatience   = 2 * time.Second
	patienceGoals = 4
	patienceGaps  = 8
	// stallMargin is added to that time before a stream counts as stalled, so that a caller that waits decides first.
	stallMargin = 500 * time.Millisecond
)

// silenceTimeout returns the time without an event after which an engine counts as silent for streams of the route. A gap
// within the route's goal is none; progress is reported with a delay.
func (r *Route) silenceTimeout() time.Duration {
	return max(silentEngineTimeout, r.quietTimeout())
}

// quietTimeout returns the time without an event after which an engine is asked what it runs.
func (r *Route) quietTimeout() time.Duration { return r.gapGoal + progressInterval }

// patience returns how long callers of the route wait for the next event.
func (r *Route) patience() time.Duration {
	return max(minPatience, patienceGoals*r.goal, patienceGaps*r.gapGoal)
}

// abandonTimeout returns how long a stream stays with an engine that sends it nothing and is reached, and waits for a sign that an engine has
// read its request.
func (r *Route) abandonTimeout() time.Duration { return max(r.patience()/2, 2*silentEngineTimeout) }

// stallTimeout returns the time after an event in which a stream of the route must have another one, whatever bytes arrive.
func (r *Route) stallTimeout() time.Duration { return r.patience() + stallMargin }

// abortSilent aborts the streams that stalled, and the attempts at engines that stopped sending on all their streams at once if
// another attempt can go on with the stream.
func (s *State) abortSilent() []Effect {
	type streamActivity struct {
		streams int
		last    time.Time
	}
	activity := map[*target]*streamActivity{}
	for _, p := range s.calls {
		if !p.route.streaming || !p.gotFirstToken {
			continue
		}
		a := activity[p.target]
		if a == nil {
			a = &streamActivity{}
			activity[p.target] = a
		}
		a.streams++
		if p.lastEventAt.After(a.last) {
			a.last = p.lastEventAt
		}
	}
	var effects []Effect
	taken := room{}
	for c, p := range s.calls {
		if _, waits := s.moves[c]; waits {
			continue
		}
		if p.gotFirstToken && p.route.streaming && s.now.Sub(p.lastEventAt) >= p.route.stallTimeout() {
			effects = append(effects, Abort{call: c, kind: rail.KindUpstreamSilent})
			continue
		}
		a := activity[p.target]
		if a == nil || s.now.Sub(a.last) < p.route.quietTimeout() || !p.route.mayResume() || p.runsLeft() <= 1 {
			continue
		}
		if a.streams < minSilentStreams && !s.peersSilent(p.target.domain) {
			continue
		}
		tracked := s.tracksRuns(p) && p.peer == ""
		if tracked {
			effects = append(effects, s.checkEngine(p.target.Upstream, silenceCheckInterval)...)
		}
		if s.now.Sub(a.last) < p.route.silenceTimeout() || (tracked && !s.mayAbandon(c, p)) {
			continue
		}
		if !s.reserveRetry(c, p, taken.take) {
			continue
		}
		effects = append(effects, Abort{call: c, kind: rail.KindUpstreamSilent})
	}
	return effects
}
