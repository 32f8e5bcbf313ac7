package gateway

import (
	"maps"
	"time"

	"dandelionrail.org/rail/runend"
)

const (
	// moveCheckInterval is the time between two checks of an engine for streams that wait, silenceCheckInterval for silent ones, which are
	// many while all engines are slow.
	moveCheckInterval    = 100 * time.Millisecond
	silenceCheckInterval = 500 * time.Millisecond
	// checkLifetime is the time after which a check that has brought no answer counts as lost.
	checkLifetime = 10 * time.Second
	// checkMemory is how long what checks have shown is kept after the last one.
	checkMemory = 10 * time.Second
	// observableAge is the age up to which a report shows that an engine tells what it runs.
	observableAge = time.Second
)

// engineCheck is what this gateway has asked of the start of an engine.
type engineCheck struct {
	history runend.History
	// pending reports whether a check is in progress, begunAt and endedAt the times of the last one.
	pending          bool
	begunAt, endedAt time.Time
}

// CheckEngine requests that an engine be asked for its report; no call is involved.
type CheckEngine struct{ upstream Upstream }

// NewCheckEngine returns the request for the engine.
func NewCheckEngine(u Upstream) CheckEngine { return CheckEngine{upstream: u} }

// Upstream returns the engine to ask.
func (e CheckEngine) Upstream() Upstream { return e.upstream }

// EngineChecked reports the answer of an engine that was asked for its report.
type EngineChecked struct {
	start upstreamStart
	check runend.Check
}

// NewEngineChecked returns the event for the request.
func NewEngineChecked(e CheckEngine, c runend.Check) EngineChecked {
	return EngineChecked{start: e.upstream.start(), check: c}
}

func (CheckEngine) gatewayEffect()  {}
func (EngineChecked) gatewayEvent() {}

// checkEngine asks the engine for its report, unless a check is in progress or the last one ended within the interval.
func (s *State) checkEngine(u Upstream, interval time.Duration) []Effect {
	k, ok := s.checks[u.start()]
	if !ok {
		k = &engineCheck{}
		s.checks[u.start()] = k
	}
	if (k.pending && s.now.Sub(k.begunAt) < checkLifetime) || s.now.Sub(k.endedAt) < interval {
		return nil
	}
	k.pending, k.begunAt = true, s.now
	return []Effect{NewCheckEngine(u)}
}

// engineChecked applies the answer of an engine, and continues the calls whose runs it shows to have ended.
func (s *State) engineChecked(e EngineChecked) []Effect {
	k, ok := s.checks[e.start]
	if !ok {
		return nil
	}
	k.pending, k.endedAt = false, s.now
	k.history.Record(e.check)
	return s.continueMoves()
}

// forgetChecks drops what is known of engines that are not checked any more.
func (s *State) forgetChecks() {
	maps.DeleteFunc(s.checks, func(_ upstreamStart, k *engineCheck) bool { return !k.pending && s.now.Sub(k.endedAt) >= checkMemory })
}

// endObservable reports whether the end of the call's run is likely to be seen if its attempt is aborted now.
func (s *State) endObservable(c *Call, p *pendingCall) bool {
	k, ok := s.checks[p.target.start()]
	return ok && k.history.Observable(p.currentRun(c), s.now.Add(-observableAge))
}

// mayAbandon reports whether the attempt of a silent stream may be aborted: its run has ended, or the stream has been silent for longer than
// a sound engine and for half of the time that its caller waits, and the end of the run is likely to be seen.
func (s *State) mayAbandon(c *Call, p *pendingCall) bool {
	if s.endingAt(p.target.Upstream, p.currentRun(c)) != runend.Unseen {
		return true
	}
	return s.now.Sub(p.lastEventAt) >= p.route.abandonTimeout() && s.endObservable(c, p)
}
