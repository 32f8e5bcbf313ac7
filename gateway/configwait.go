package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

const (
	// configWait is how long a forwarded call waits for the configuration that admitted it: less than its gateway waits for an answer before
	// it asks another peer.
	configWait = hopMargin
	// maxConfigWait is that time for a call that its gateway sends to no other peer meanwhile; it is half of the call's time at most.
	maxConfigWait = time.Second
	// maxConfigWaits bounds the calls that wait.
	maxConfigWaits = 256
)

// definitions identifies the definitions of the route, of its services and of the team, which is nil for a call without one: two
// configurations in which they are the same treat a call in the same way. It is empty without a route.
func (c *Config) definitions(r *Route, t *Team) string {
	if r == nil {
		return ""
	}
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%+v\n", *r) // A hash reports no errors.
	for _, b := range r.backends {
		if service := c.services[b.service]; service != nil {
			x := *service
			x.scaling = nil // A pointer, which calls do not depend on.
			_, _ = fmt.Fprintf(h, "%+v\n", x)
		}
	}
	if t != nil {
		_, _ = fmt.Fprintf(h, "%q %d %q\n", t.name, t.priority, t.regions)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// awaitVersion makes a forwarded call wait until this gateway has the configuration that admitted it. The route is the one that it has
// now, nil if there is none.
func (s *State) awaitVersion(c *Call, route *Route) []Effect {
	wait := configWait
	if route != nil && !route.mayRunAgain() {
		wait = maxConfigWait
	}
	wait = min(wait, c.deadline.Sub(s.now)/2)
	if len(s.configWaits) >= maxConfigWaits || wait <= 0 {
		return s.refuse(c, nil, rail.KindNotReady, notReadyRetryAfter)
	}
	s.configWaits[c] = s.now.Add(wait)
	return []Effect{Hold{call: c}}
}

// continueConfigWaits places the calls whose configuration has come, and refuses those that have waited for too long.
func (s *State) continueConfigWaits() []Effect {
	var effects []Effect
	for c, until := range s.configWaits {
		switch {
		case c.forwarded.configVersion <= s.config.version:
			delete(s.configWaits, c)
			effects = append(effects, s.forwardedArrived(c)...)
		case !s.now.Before(until):
			delete(s.configWaits, c)
			effects = append(effects, s.refuse(c, nil, rail.KindNotReady, notReadyRetryAfter)...)
		}
	}
	return effects
}

// refuseConfigWaits refuses the calls that wait for a configuration, so that other peers can take them.
func (s *State) refuseConfigWaits() []Effect {
	var effects []Effect
	for c := range s.configWaits {
		delete(s.configWaits, c)
		effects = append(effects, s.refuse(c, nil, rail.KindLeaving, 0)...)
	}
	return effects
}

// configWaitDisconnected ends the wait of a call whose peer has disconnected, and reports whether it waited.
func (s *State) configWaitDisconnected(c *Call) ([]Effect, bool) {
	if _, ok := s.configWaits[c]; !ok {
		return nil, false
	}
	delete(s.configWaits, c)
	return []Effect{s.reportDisconnected(c, "", "")}, true
}
