package gateway

import (
	"time"

	"dandelionrail.org/rail"
)

// Event is something that State takes in.
type Event interface{ gatewayEvent() }

// ConfigRead tells of a version of the configuration; older ones than that in force have no effect.
type ConfigRead struct {
	catalogue *Config
	source    string
}

// NewConfigRead returns the event; source is store or the name of a peer.
func NewConfigRead(c *Config, source string) ConfigRead {
	return ConfigRead{catalogue: c, source: source}
}

// UpstreamsRead tells of changes of the list of upstreams, in their order.
type UpstreamsRead struct {
	changes []UpstreamChange
	whole   bool
	source  string
}

// NewUpstreamsRead returns the event; whole says that upstreams without a change are gone.
func NewUpstreamsRead(changes []UpstreamChange, whole bool, source string) UpstreamsRead {
	return UpstreamsRead{changes: changes, whole: whole, source: source}
}

// StoreReadFinished tells whether a read of the store succeeded.
type StoreReadFinished struct {
	ok  bool
	err error
}

// NewStoreReadFinished returns the event; err is nil after a success.
func NewStoreReadFinished(err error) StoreReadFinished {
	return StoreReadFinished{ok: err == nil, err: err}
}

// DigestReceived tells of a peer's digest.
type DigestReceived struct {
	digest Digest
	asks   bool
}

// WithReplyRequested returns the event of a digest with which the peer asks for this gateway's.
func (e DigestReceived) WithReplyRequested() DigestReceived { e.asks = true; return e }

// NewDigestReceived returns the event.
func NewDigestReceived(d Digest) DigestReceived { return DigestReceived{digest: d} }

// PeersRead tells of gateways that registered in the store, or left it.
type PeersRead struct {
	listings map[string]Registration
	whole    bool
}

// NewPeersRead returns the event with the gateways by name; whole says that there are no others.
func NewPeersRead(listings map[string]Registration, whole bool) PeersRead {
	return PeersRead{listings: listings, whole: whole}
}

// RolloutRead tells of the newest rollout order of a service and of its verdict, if there is one.
type RolloutRead struct{ order RolloutOrder }

// NewRolloutRead returns the event.
func NewRolloutRead(o RolloutOrder) RolloutRead { return RolloutRead{order: o} }

// SettingsRead tells that the settings were read again.
type SettingsRead struct{ settings Settings }

// NewSettingsRead returns the event; name, domain and incarnation stay as they were.
func NewSettingsRead(s Settings) SettingsRead { return SettingsRead{settings: s} }

// LeaseUpdated tells whether this gateway holds the lease on the duties.
type LeaseUpdated struct{ fence int64 }

// NewLeaseUpdated returns the event; fence is zero if it does not.
func NewLeaseUpdated(fence int64) LeaseUpdated { return LeaseUpdated{fence: fence} }

// AdmittedRestored tells what teams had admitted before this gateway's start.
type AdmittedRestored struct {
	admitted map[string][]int64
	at       time.Time
}

// NewAdmittedRestored returns the event with the admitted of each eighth of a window up to the time, by team.
func NewAdmittedRestored(admitted map[string][]int64, at time.Time) AdmittedRestored {
	return AdmittedRestored{admitted: admitted, at: at}
}

// Ticked tells that time has passed.
type Ticked struct{}

// ShutdownStarted tells that this gateway shuts down.
type ShutdownStarted struct{}

// CallArrived tells of a call.
type CallArrived struct{ call *Call }

// AnswerStarted tells that an upstream began to answer a call.
type AnswerStarted struct{ call *Call }

// StreamProgressed tells that an upstream sent events of a stream.
type StreamProgressed struct{ call *Call }

// Outcome says how an attempt ended.
type Outcome struct {
	kind rail.Kind
	// events is the number of stream events that reached the caller in this attempt.
	events int
	// last is the id of the last event that reached the caller, empty if none did.
	last string
	// answered says that the upstream gave a whole answer of its own, whatever its status.
	answered bool
	// status is the HTTP status of that answer.
	status int
	// timedOut says that nothing came back from the upstream in time.
	timedOut bool
	err      error
}

// AttemptEnded tells that an attempt of a call is over.
type AttemptEnded struct {
	call    *Call
	outcome Outcome
}

// CallerDisconnected tells that the caller of a call went away.
type CallerDisconnected struct{ call *Call }

func (ConfigRead) gatewayEvent()         {}
func (UpstreamsRead) gatewayEvent()      {}
func (StoreReadFinished) gatewayEvent()  {}
func (DigestReceived) gatewayEvent()     {}
func (PeersRead) gatewayEvent()          {}
func (RolloutRead) gatewayEvent()        {}
func (SettingsRead) gatewayEvent()       {}
func (LeaseUpdated) gatewayEvent()       {}
func (AdmittedRestored) gatewayEvent()   {}
func (Ticked) gatewayEvent()             {}
func (ShutdownStarted) gatewayEvent()    {}
func (CallArrived) gatewayEvent()        {}
func (AnswerStarted) gatewayEvent()      {}
func (StreamProgressed) gatewayEvent()   {}
func (AttemptEnded) gatewayEvent()       {}
func (CallerDisconnected) gatewayEvent() {}

// Effect is something that State wants done.
type Effect interface{ gatewayEffect() }

// Send asks that a call be sent to an upstream.
type Send struct {
	call     *Call
	upstream Upstream
	route    *Route
	team     string
	number   int
	rank     int
	maxConns int
	resume   string
	fetch    string
	deadline time.Time
	patience time.Duration
}

// Refuse asks that a call be answered with an error of this gateway.
type Refuse struct {
	call       *Call
	kind       rail.Kind
	retryAfter time.Duration
}

// Deliver asks that the upstream's own answer be handed to the caller.
type Deliver struct{ call *Call }

// Abort asks that the attempt of a call be broken off for the reason.
type Abort struct {
	call *Call
	kind rail.Kind
}

// Report asks for a log line.
type Report struct {
	number rail.EventNumber
	fields []Field
}

// Field is one value of a log line.
type Field struct {
	key   string
	value any
}

// NewField returns the value under the key.
func NewField(key string, value any) Field { return Field{key: key, value: value} }

// ErrorField returns the error's text under its key, empty for none.
func ErrorField(err error) Field {
	if err == nil {
		return NewField("error", "")
	}
	return NewField("error", err.Error())
}

// Key returns the key.
func (f Field) Key() string { return f.key }

// Value returns the value.
func (f Field) Value() any { return f.value }

func (Send) gatewayEffect()    {}
func (Refuse) gatewayEffect()  {}
func (Deliver) gatewayEffect() {}
func (Abort) gatewayEffect()   {}
func (Report) gatewayEffect()  {}

func report(n rail.EventNumber, fields ...Field) Report { return Report{number: n, fields: fields} }

// Attempt returns the number of the attempt, from one.
func (e Send) Attempt() int { return e.number }

// Call returns the call to send.
func (e Send) Call() *Call { return e.call }

// Upstream returns where the attempt goes.
func (e Send) Upstream() Upstream { return e.upstream }

// Team returns the name of the team whose key the call has, empty for a public route.
func (e Send) Team() string { return e.team }

// Priority returns the urgency from zero, the most urgent, to nine.
func (e Send) Priority() int { return e.rank }

// MaxConns returns how many connections to the upstream this gateway may hold.
func (e Send) MaxConns() int { return e.maxConns }

// Resume returns the id of the event after which the stream goes on, empty for its start.
func (e Send) Resume() string { return e.resume }

// CacheSource returns host:port of an upstream from which to copy the cached parts of the prompt, empty for none.
func (e Send) CacheSource() string { return e.fetch }

// Deadline returns when the answer is of no use any more.
func (e Send) Deadline() time.Time { return e.deadline }

// Streaming reports whether the answer is a stream of events.
func (e Send) Streaming() bool { return e.route.streaming }
