package gateway

import "dandelionrail.org/rail"

// forwardTerms are what both gateways know of a forwarded attempt.
type forwardTerms struct {
	team          string
	configVersion int64
	tried         []string
	attemptsLeft  int
	// running is the id of the upstream at which the stream may still run, empty if there is none; begun reports whether it is known that the
	// run has begun.
	running string
	begun   bool
	// definitions identifies the definitions of the call's route, of its services and of its team, empty if unknown.
	definitions string
}

// Team returns the name of the call's team, empty if it has none.
func (f forwardTerms) Team() string { return f.team }

// ConfigVersion returns the version of the configuration by which the call was admitted.
func (f forwardTerms) ConfigVersion() int64 { return f.configVersion }

// Tried returns the ids of the upstreams that the call was sent to before.
func (f forwardTerms) Tried() []string { return f.tried }

// AttemptsLeft returns how many attempts may run, this one included.
func (f forwardTerms) AttemptsLeft() int { return f.attemptsLeft }

// Running returns the id of the upstream at which the stream may still run, empty if there is none.
func (f forwardTerms) Running() string { return f.running }

// Begun reports whether the run at that upstream is known to have begun.
func (f forwardTerms) Begun() bool { return f.begun }

// Definitions identifies the definitions of the call's route, of its services and of its team, empty if unknown.
func (f forwardTerms) Definitions() string { return f.definitions }

// Forward describes an attempt that a peer makes on behalf of this gateway: the peer chooses the upstream.
type Forward struct {
	forwardTerms
	peer, address, key string
}

// NewForward returns the description of an attempt of the team's call at the named peer.
func NewForward(peer, address, key, team string, configVersion int64, tried []string, attemptsLeft int) Forward {
	return Forward{forwardTerms: forwardTerms{team: team, configVersion: configVersion, tried: tried, attemptsLeft: attemptsLeft}, peer: peer, address: address, key: key}
}

// WithRunning returns the description of an attempt that begins once the run at the upstream, which is known to have begun or not, has ended; an
// empty id names none.
func (f Forward) WithRunning(upstreamID string, begun bool) Forward {
	f.running, f.begun = upstreamID, begun
	return f
}

// WithDefinitions returns the description of an attempt of a call with the definitions.
func (f Forward) WithDefinitions(definitions string) Forward {
	f.definitions = definitions
	return f
}

// Peer returns the name of the peer.
func (f Forward) Peer() string { return f.peer }

// Address returns host:port at which the peer accepts forwarded calls.
func (f Forward) Address() string { return f.address }

// Key returns the key that the peer requires of forwarded calls.
func (f Forward) Key() string { return f.key }

// Forwarded describes a call that a peer forwarded to this gateway.
type Forwarded struct {
	forwardTerms
	from string
}

// NewForwarded returns the description of a call from the named gateway, which admitted it for the team, empty for none.
func NewForwarded(from, team string, configVersion int64, tried []string, attemptsLeft int) Forwarded {
	return Forwarded{forwardTerms: forwardTerms{team: team, configVersion: configVersion, tried: tried, attemptsLeft: attemptsLeft}, from: from}
}

// WithRunning returns the description of a call that begins once the run at the upstream, which is known to have begun or not, has ended; an
// empty id names none.
func (f Forwarded) WithRunning(upstreamID string, begun bool) Forwarded {
	f.running, f.begun = upstreamID, begun
	return f
}

// WithDefinitions returns the description of a call with the definitions.
func (f Forwarded) WithDefinitions(definitions string) Forwarded {
	f.definitions = definitions
	return f
}

// From returns the name of the gateway that has the caller.
func (f Forwarded) From() string { return f.from }

// WithForwarded returns the call as one that a peer forwarded; its team is taken by name, never by key.
func (c *Call) WithForwarded(f Forwarded) *Call {
	c.forwarded = &f
	return c
}

// Forwarded returns the description of a forwarded call, false for a call that arrived from its caller.
func (c *Call) Forwarded() (Forwarded, bool) {
	if c.forwarded == nil {
		return Forwarded{}, false
	}
	return *c.forwarded, true
}

// PlacementWriter is the response writer of a forwarded call. It is told of what became of the call before the status is written.
type PlacementWriter interface {
	// Placed states the upstream that the call was sent to, empty if there was none, and the kind of error, KindNone if the
	// response is that of the upstream.
	Placed(upstreamID string, kind rail.Kind)
}

// PlacementError is the error of a forwarded attempt that reached an upstream.
type PlacementError struct {
	cause      error
	upstreamID string
	idsOnce    bool
}

// NewPlacementError returns the error with its cause, the upstream that the peer sent the call to, and whether the peer says that it sends
// each request id once on a connection.
func NewPlacementError(cause error, upstreamID string, idsOnce bool) *PlacementError {
	return &PlacementError{cause: cause, upstreamID: upstreamID, idsOnce: idsOnce}
}

// Error returns the text of the cause.
func (e *PlacementError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *PlacementError) Unwrap() error { return e.cause }

// WithPlacement sets the upstream whose answer a peer forwarded, and returns the answer.
func (a *Answer) WithPlacement(upstreamID string) *Answer {
	a.placement = upstreamID
	return a
}

// Probe requests that the upstream be asked whether it can be reached; no call is involved.
type Probe struct {
	upstream Upstream
	maxConns int
}

// NewProbe returns the effect; maxConns is how many connections to the upstream this gateway may open, zero for no limit.
func NewProbe(u Upstream, maxConns int) Probe { return Probe{upstream: u, maxConns: maxConns} }

// Upstream returns the upstream to reach.
func (e Probe) Upstream() Upstream { return e.upstream }

// MaxConns returns how many connections to the upstream this gateway may open, zero for no limit.
func (e Probe) MaxConns() int { return e.maxConns }

// ProbeEnded reports whether a probe reached its upstream. One that is answered late comes twice.
type ProbeEnded struct {
	upstreamID string
	ok         bool
}

// NewProbeEnded returns the event.
func NewProbeEnded(upstreamID string, ok bool) ProbeEnded {
	return ProbeEnded{upstreamID: upstreamID, ok: ok}
}

func (Probe) gatewayEffect()     {}
func (ProbeEnded) gatewayEvent() {}
