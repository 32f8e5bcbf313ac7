package gateway

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

// Event is an input of State.
type Event interface{ gatewayEvent() }

// ConfigRead reports a version of the configuration; one that is not newer than the version in force has no effect.
type ConfigRead struct {
	config *Config
	source string
}

// NewConfigRead returns the event; source is "store" or the name of a peer.
func NewConfigRead(c *Config, source string) ConfigRead {
	return ConfigRead{config: c, source: source}
}

// UpstreamsRead reports changes to the list of upstreams, in order.
type UpstreamsRead struct {
	changes []UpstreamChange
	full    bool
	source  string
}

// NewUpstreamsRead returns the event; full reports whether the changes are the complete list, so that other upstreams are removed.
func NewUpstreamsRead(changes []UpstreamChange, full bool, source string) UpstreamsRead {
	return UpstreamsRead{changes: changes, full: full, source: source}
}

// StoreReadFinished reports whether a read of the store succeeded.
type StoreReadFinished struct {
	ok  bool
	err error
}

// NewStoreReadFinished returns the event; err is nil after a success.
func NewStoreReadFinished(err error) StoreReadFinished {
	return StoreReadFinished{ok: err == nil, err: err}
}

// StoreRestored reports that the store was restored from a copy. What it acknowledged after the copy was made is gone, and the
// complete lists that follow may lack entries or have older ones.
type StoreRestored struct{}

// DigestReceived reports a peer's digest.
type DigestReceived struct {
	digest         Digest
	replyRequested bool
}

// WithReplyRequested returns the event of a digest whose sender requests this gateway's digest in reply.
func (e DigestReceived) WithReplyRequested() DigestReceived { e.replyRequested = true; return e }

// NewDigestReceived returns the event.
func NewDigestReceived(d Digest) DigestReceived { return DigestReceived{digest: d} }

// PeersRead reports gateways that were registered in the store or removed from it.
type PeersRead struct {
	registrations map[string]Registration
	full          bool
}

// NewPeersRead returns the event with the registrations by gateway name; full reports whether there are no others.
func NewPeersRead(registrations map[string]Registration, full bool) PeersRead {
	return PeersRead{registrations: registrations, full: full}
}

// SuspectsRead reports records of prompt parts that may make engines crash, by key; an empty record removes one.
type SuspectsRead struct {
	suspects map[string]suspect
	full     bool
}

// NewSuspectsRead returns the event with the values of records, by key, and the errors of those that cannot be decoded; full
// reports whether there are no others.
func NewSuspectsRead(records map[string][]byte, full bool) (SuspectsRead, map[string]error) {
	e, skipped := SuspectsRead{suspects: make(map[string]suspect, len(records)), full: full}, map[string]error{}
	for key, value := range records {
		x, err := decodeSuspect(value)
		if err != nil {
			skipped[key] = err
			continue
		}
		e.suspects[key] = x
	}
	return e, skipped
}

// RolloutRead reports the newest rollout order of a service and its verdict, if there is one.
type RolloutRead struct{ order RolloutOrder }

// NewRolloutRead returns the event.
func NewRolloutRead(o RolloutOrder) RolloutRead { return RolloutRead{order: o} }

// SettingsRead reports that the settings were reloaded.
type SettingsRead struct{ settings Settings }

// NewSettingsRead returns the event; the gateway's name, domain, incarnation, start time and first-start flag do not change.
func NewSettingsRead(s Settings) SettingsRead { return SettingsRead{settings: s} }

// LeaseUpdated reports whether this gateway holds the duty lease.
type LeaseUpdated struct{ fence int64 }

// NewLeaseUpdated returns the event with the lease's fencing number, zero if this gateway does not hold it.
func NewLeaseUpdated(fence int64) LeaseUpdated { return LeaseUpdated{fence: fence} }

// AdmittedRestored reports what was admitted for each team before this gateway's start.
type AdmittedRestored struct {
	admitted map[string][]int64
	at       time.Time
}

// NewAdmittedRestored returns the event with the amounts admitted in each eighth of the window that ends at the time, by team.
func NewAdmittedRestored(admitted map[string][]int64, at time.Time) AdmittedRestored {
	return AdmittedRestored{admitted: admitted, at: at}
}

// Ticked reports that time has passed.
type Ticked struct{}

// ShutdownStarted reports that this gateway is shutting down.
type ShutdownStarted struct{}

// ShutdownEnding reports that the process ends: calls in progress are aborted, and answered if nothing of an answer was sent.
type ShutdownEnding struct{}

// CallArrived reports a new call.
type CallArrived struct{ call *Call }

// AnswerStarted reports that an upstream began to answer a call.
type AnswerStarted struct{ call *Call }

// LimitRead reports the request limit that the answer to a call names; it is posted only if there is one, or was one before.
type LimitRead struct {
	call  *Call
	limit RequestLimit
}

// NoticeRead reports that the answer to a call says that its upstream leaves, or wants no requests for some time.
type NoticeRead struct {
	call   *Call
	notice Notice
}

// StreamProgressed reports that an upstream sent events of a stream.
type StreamProgressed struct {
	call *Call
	// gaps are the times between the events since the last report or the first event.
	gaps []time.Duration
}

// Outcome describes how an attempt ended.
type Outcome struct {
	kind rail.Kind
	// events is the number of stream events that were delivered to the caller.
	events int
	// lastEventID is the id of the last event that was delivered to the caller, empty if none was.
	lastEventID string
	// answered reports whether the upstream returned a complete answer, whatever its status.
	answered bool
	// status is the HTTP status of that answer.
	status int
	// timedOut reports whether the upstream failed to answer in time.
	timedOut bool
	// endedWithConnection reports whether the end of the complete answer was marked by the end of its connection only.
	endedWithConnection bool
	// final reports whether the caller has a part of an answer that no other attempt can complete.
	final bool
	err   error
	// refused reports whether the upstream itself rejected the request.
	refused bool
	// headRead reports whether the head of an answer was read.
	headRead bool
	// placement is the id of the upstream that a peer sent the call to, empty if it sent it to none.
	placement string
	// idsOnce reports whether that peer says that it sends each request id once on a connection.
	idsOnce    bool
	connection ConnectionUse
}

// brokenOff reports whether the upstream's connection ended before the answer did.
func (o Outcome) brokenOff() bool {
	ended := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF) || errors.Is(o.err, syscall.ECONNRESET) || errors.Is(o.err, syscall.EPIPE)
	return ended && o.kind == rail.KindUpstreamFailed && !o.timedOut
}

// AttemptEnded reports that an attempt of a call ended.
type AttemptEnded struct {
	call    *Call
	outcome Outcome
}

// FailoverDue reports that the current attempt of a call has had its failover timeout without an answer.
type FailoverDue struct{ call *Call }

// CallerDisconnected reports that the caller of a call disconnected.
type CallerDisconnected struct{ call *Call }

func (ConfigRead) gatewayEvent()         {}
func (UpstreamsRead) gatewayEvent()      {}
func (StoreReadFinished) gatewayEvent()  {}
func (StoreRestored) gatewayEvent()      {}
func (DigestReceived) gatewayEvent()     {}
func (PeersRead) gatewayEvent()          {}
func (SuspectsRead) gatewayEvent()       {}
func (RolloutRead) gatewayEvent()        {}
func (SettingsRead) gatewayEvent()       {}
func (LeaseUpdated) gatewayEvent()       {}
func (AdmittedRestored) gatewayEvent()   {}
func (Ticked) gatewayEvent()             {}
func (ShutdownStarted) gatewayEvent()    {}
func (ShutdownEnding) gatewayEvent()     {}
func (CallArrived) gatewayEvent()        {}
func (AnswerStarted) gatewayEvent()      {}
func (LimitRead) gatewayEvent()          {}
func (NoticeRead) gatewayEvent()         {}
func (StreamProgressed) gatewayEvent()   {}
func (AttemptEnded) gatewayEvent()       {}
func (FailoverDue) gatewayEvent()        {}
func (CallerDisconnected) gatewayEvent() {}

// Effect is an action that State requests.
type Effect interface{ gatewayEffect() }

// Send requests an attempt of a call at an upstream.
type Send struct {
	call        *Call
	upstream    Upstream
	route       *Route
	team        string
	attempt     int
	priority    int
	maxConns    int
	resume      string
	cacheSource string
	// copyFrom is the failure domain of the cache source, copyBytes the size of a copy of the prompt's shared parts.
	copyFrom        string
	copyBytes       int64
	deadline        time.Time
	failoverTimeout time.Duration
	// limited reports whether the upstream had named a request limit.
	limited bool
	// forward is set if a peer makes the attempt.
	forward *Forward
}

// Refuse requests that a call be answered with an error of this gateway.
type Refuse struct {
	call       *Call
	kind       rail.Kind
	retryAfter time.Duration
}

// Deliver requests that the upstream's error answer be forwarded to the caller.
type Deliver struct{ call *Call }

// Abort requests that the current attempt of a call be aborted with the error kind.
type Abort struct {
	call *Call
	kind rail.Kind
}

// Hold requests that a call wait for its next effect, which follows from a later event.
type Hold struct {
	call *Call
	// next receives that effect.
	next <-chan Effect
}

// QueueChanged reports that a call was added to the queue of a service or left it for a reason, or was refused for it at once.
type QueueChanged struct {
	service string
	length  int
	// reason is empty for a call that was added.
	reason   string
	priority int
	waited   time.Duration
}

// Report requests a log line.
type Report struct {
	number rail.EventNumber
	fields []Field
}

// Field is a key and a value of a log line.
type Field struct {
	key   string
	value any
}

// NewField returns a field.
func NewField(key string, value any) Field { return Field{key: key, value: value} }

// ErrorField returns a field with the error's text, empty for nil.
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
func (Hold) gatewayEffect()    {}

func (QueueChanged) gatewayEffect() {}

func report(n rail.EventNumber, fields ...Field) Report { return Report{number: n, fields: fields} }

// Attempt returns the number of the attempt, starting at one.
func (e Send) Attempt() int { return e.attempt }

// Call returns the call to send.
func (e Send) Call() *Call { return e.call }

// Upstream returns the upstream of the attempt.
func (e Send) Upstream() Upstream { return e.upstream }

// Team returns the name of the team whose key the call carries, empty if there is none.
func (e Send) Team() string { return e.team }

// Priority returns the priority from zero, the most urgent, to nine.
func (e Send) Priority() int { return e.priority }

// MaxConns returns how many connections to the upstream this gateway may open, zero for no limit.
func (e Send) MaxConns() int { return e.maxConns }

// Resume returns the id of the event after which the stream resumes, empty to start at the beginning.
func (e Send) Resume() string { return e.resume }

// CacheSource returns host:port of an upstream to copy the prompt's cached parts from, empty for none.
func (e Send) CacheSource() string { return e.cacheSource }

// Deadline returns the time after which the caller no longer needs the answer.
func (e Send) Deadline() time.Time { return e.deadline }

// Forward returns the description of an attempt that a peer makes; false for one at an upstream.
func (e Send) Forward() (Forward, bool) {
	if e.forward == nil {
		return Forward{}, false
	}
	return *e.forward, true
}

// Streaming reports whether the answer is a stream of events.
func (e Send) Streaming() bool { return e.route.streaming }
