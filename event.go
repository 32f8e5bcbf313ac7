package rail

import "time"

// The events that more than one part takes in. Events of one part only are
// declared beside that part.

// RequestArrived tells of a request that a caller sent to this entry.
type RequestArrived struct{ request Request }

// NewRequestArrived returns the event.
func NewRequestArrived(r Request) RequestArrived { return RequestArrived{request: r} }

// Request returns the request.
func (e RequestArrived) Request() Request { return e.request }

// EventName implements Event.
func (RequestArrived) EventName() string { return "requestArrived" }

// TimerName names a timer; a part starts the names of its timers with its own name and a dot.
type TimerName string

// TimerFired tells that a timer set by SetTimer has run out.
type TimerFired struct{ name TimerName }

// NewTimerFired returns the event for the timer.
func NewTimerFired(name TimerName) TimerFired { return TimerFired{name: name} }

// Name returns the timer's name.
func (e TimerFired) Name() TimerName { return e.name }

// EventName implements Event.
func (TimerFired) EventName() string { return "timerFired" }

// LogRead tells of records read from the platform's log, in log order without gaps.
type LogRead struct {
	records []Record
	oldest  Offset
	next    Offset
	caught  bool
}

// NewLogRead returns the event; oldest is the first offset still kept, next the one to read from, caughtUp whether the end was reached.
func NewLogRead(records []Record, oldest, next Offset, caughtUp bool) LogRead {
	return LogRead{records: records, oldest: oldest, next: next, caught: caughtUp}
}

// Records returns the records in log order.
func (e LogRead) Records() []Record { return e.records }

// Oldest returns the first offset that the log still keeps.
func (e LogRead) Oldest() Offset { return e.oldest }

// Next returns the offset of the next read.
func (e LogRead) Next() Offset { return e.next }

// CaughtUp reports whether the read reached the end of the log.
func (e LogRead) CaughtUp() bool { return e.caught }

// EventName implements Event.
func (LogRead) EventName() string { return "logRead" }

// LogUnavailable tells that a read of the log or an append to it failed.
type LogUnavailable struct{ err error }

// NewLogUnavailable returns the event with its cause.
func NewLogUnavailable(err error) LogUnavailable { return LogUnavailable{err: err} }

// Err returns the cause.
func (e LogUnavailable) Err() error { return e.err }

// EventName implements Event.
func (LogUnavailable) EventName() string { return "logAway" }

// ListRead tells of a snapshot of the platform's instance list, which lags.
type ListRead struct{ instances []Instance }

// NewListRead returns the event for the snapshot.
func NewListRead(instances []Instance) ListRead { return ListRead{instances: instances} }

// Instances returns the live and leaving instances.
func (e ListRead) Instances() []Instance { return e.instances }

// EventName implements Event.
func (ListRead) EventName() string { return "listRead" }

// InstanceLeaving tells that an instance is leaving, from whichever source said so first.
type InstanceLeaving struct {
	instance InstanceID
	source   string
}

// NewInstanceLeaving returns the event; source is list, notice, peer or upstream.
func NewInstanceLeaving(instance InstanceID, source string) InstanceLeaving {
	return InstanceLeaving{instance: instance, source: source}
}

// Instance returns the leaving instance.
func (e InstanceLeaving) Instance() InstanceID { return e.instance }

// Source returns who said it: list, notice, peer or upstream.
func (e InstanceLeaving) Source() string { return e.source }

// EventName implements Event.
func (InstanceLeaving) EventName() string { return "instanceLeaving" }

// FactsLearned tells of facts that were new to this entry.
type FactsLearned struct{ facts []Fact }

// NewFactsLearned returns the event.
func NewFactsLearned(facts []Fact) FactsLearned { return FactsLearned{facts: facts} }

// Facts returns the facts in no stated order.
func (e FactsLearned) Facts() []Fact { return e.facts }

// EventName implements Event.
func (FactsLearned) EventName() string { return "factsLearned" }

// LoadRead tells of an upstream's load report.
type LoadRead struct{ load Load }

// NewLoadRead returns the event.
func NewLoadRead(load Load) LoadRead { return LoadRead{load: load} }

// Load returns the report.
func (e LoadRead) Load() Load { return e.load }

// EventName implements Event.
func (LoadRead) EventName() string { return "loadRead" }

// DocumentInForce tells that a newer document is in force in this process.
type DocumentInForce struct{ document Document }

// NewDocumentInForce returns the event.
func NewDocumentInForce(d Document) DocumentInForce { return DocumentInForce{document: d} }

// Document returns the document now in force.
func (e DocumentInForce) Document() Document { return e.document }

// EventName implements Event.
func (DocumentInForce) EventName() string { return "documentInForce" }

// ShutdownStarted tells that this entry leaves, with or without a deadline.
type ShutdownStarted struct {
	reclaim  bool
	deadline time.Time
}

// NewShutdownStarted returns the event; reclaim says that the platform takes the instance after its notice.
func NewShutdownStarted(reclaim bool) ShutdownStarted { return ShutdownStarted{reclaim: reclaim} }

// WithDeadline returns a copy with the time at which the platform takes the instance.
func (e ShutdownStarted) WithDeadline(t time.Time) ShutdownStarted { e.deadline = t; return e }

// Deadline returns when the instance is taken, zero if that is not known.
func (e ShutdownStarted) Deadline() time.Time { return e.deadline }

// Reclaim reports whether the instance is taken after its notice.
func (e ShutdownStarted) Reclaim() bool { return e.reclaim }

// EventName implements Event.
func (ShutdownStarted) EventName() string { return "shutdownStarted" }
