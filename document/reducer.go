package document

import (
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

const (
	tickTimer rail.TimerName = "document.tick"
	// tickInterval is the interval for retries and checkpoints.
	tickInterval = 500 * time.Millisecond
	// fetchTimeout is how long a peer may take to return its document.
	fetchTimeout = time.Second
	// readyTimeout is how long a new entry waits for a document from a peer while the log is unavailable.
	readyTimeout = 3 * time.Second
	// adoptDelay is how long a reader waits for a checkpoint before it adopts the version in force as the last accepted one.
	adoptDelay = 10 * time.Second
	// defaultRetention is the retention of the log unless WithRetention sets it.
	defaultRetention = time.Hour
)

// Reducer keeps the document in force in one process.
type Reducer struct {
	environment string
	retention   time.Duration
	self        rail.Incarnation

	current rail.Document
	// announcedNumber is the number of the last document raised to the other reducers.
	announcedNumber uint64
	history         history

	started        bool
	startedAt      time.Time
	caughtUpAt     time.Time
	logUnavailable bool
	checkpoint     checkpoint
	peers          peers
	decisions      decisions
}

// Option configures a reducer.
type Option func(*Reducer)

// ForEnvironment makes the reducer reject the documents of other environments.
func ForEnvironment(name string) Option { return func(r *Reducer) { r.environment = name } }

// WithRetention sets how long the log keeps a record.
func WithRetention(d time.Duration) Option { return func(r *Reducer) { r.retention = d } }

// ForProcess sets the incarnation, which determines the process's time slot for checkpoints.
func ForProcess(self rail.Incarnation) Option { return func(r *Reducer) { r.self = self } }

// New returns a reducer without a document.
func New(options ...Option) *Reducer {
	r := &Reducer{retention: defaultRetention, history: newHistory(), peers: newPeers(), decisions: newDecisions()}
	for _, o := range options {
		o(r)
	}
	return r
}

// Current returns the document in force, number zero for none.
func (r *Reducer) Current() rail.Document { return r.current }

// Known reports whether the process has read the log to its end and knows the version accepted last.
func (r *Reducer) Known() bool { return r.settled() }

// Numbers returns the version in force at each process that has published one.
func (r *Reducer) Numbers() map[rail.Incarnation]uint64 { return r.peers.numbers }

// Reduce implements rail.Reducer.
func (r *Reducer) Reduce(in rail.Input) []rail.Effect {
	return append(r.reduce(in), r.announce(in.At())...)
}

func (r *Reducer) reduce(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	if !r.started {
		r.started, r.startedAt = true, in.At()
		effects = append(effects, rail.NewSetTimer(tickTimer, tickInterval))
	}
	switch e := in.Event().(type) {
	case rail.LogRead:
		return append(effects, r.applyLogRead(e, in.At())...)
	case rail.LogUnavailable:
		r.logUnavailable = true
	case rail.FactsLearned:
		r.peers.update(r.environment, e.Facts())
		return append(effects, r.fetch(in)...)
	case rail.ListRead:
		r.peers.dropUnlisted(e.Instances())
	case Fetched:
		return append(effects, r.applyFetched(e.document)...)
	case Query:
		return append(effects, QueryResult{call: e.call, document: r.current, known: r.settled()})
	case PublicationAwaited:
		r.decisions.addWaiter(e, in.At())
		return append(effects, r.decisions.resolve(r.lastAccepted(), in.At())...)
	case FetchFailed:
		r.peers.recordFailure(e.peer)
	case rail.TimerFired:
		if e.Name() == tickTimer {
			return append(effects, r.tick(in)...)
		}
	}
	return effects
}

// applyLogRead applies the records of one read of the log.
func (r *Reducer) applyLogRead(e rail.LogRead, at time.Time) []rail.Effect {
	var effects []rail.Effect
	r.logUnavailable = false
	if r.history.startRead(e.Oldest()) {
		r.caughtUpAt = time.Time{}
		r.checkpoint = checkpoint{}
	}
	r.learnRetention(e.Oldest(), at)
	for _, rec := range e.Records() {
		r.checkpoint.initialise(rec.At())
		if rec.Kind() == rail.RecordDocument {
			effects = append(effects, r.applyRecord(rec, at)...)
		}
		r.history.next = rec.Offset() + 1
	}
	r.history.next = max(r.history.next, e.Next())
	if e.CaughtUp() && r.caughtUpAt.IsZero() {
		r.caughtUpAt = at
	}
	return append(effects, r.decisions.resolve(r.lastAccepted(), at)...)
}

// lastAccepted returns the latest version known to be accepted.
func (r *Reducer) lastAccepted() uint64 { return max(r.history.number, r.current.Number()) }

// applyRecord applies one document record and puts the documents that become accepted into force.
func (r *Reducer) applyRecord(rec rail.Record, at time.Time) []rail.Effect {
	body, err := decode(rec)
	if err != nil {
		return []rail.Effect{rail.NewReport(rail.EventDocumentSkipped, offsetText(rec.Offset()), err.Error())}
	}
	if r.environment == "" {
		r.environment = body.Environment
	}
	if body.Environment != r.environment {
		detail := "environment " + body.Environment + ", not " + r.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentSkipped, offsetText(rec.Offset()), detail)}
	}
	accepted := r.history.apply(logEntry{offset: rec.Offset(), record: body})
	if len(accepted) == 0 && !body.isCheckpoint() && r.history.known {
		return []rail.Effect{r.reportRejected(rec, body)}
	}
	if body.isCheckpoint() {
		r.trackCheckpoint(rec, body, at)
	}
	return r.acceptAll(accepted)
}

// trackCheckpoint records a checkpoint that new readers can use, and schedules the correction of an outdated one.
func (r *Reducer) trackCheckpoint(rec rail.Record, body record, at time.Time) {
	switch {
	case r.history.known && body.Number < r.history.number:
		r.scheduleCorrection(at)
	case body.ReadTo >= r.history.oldest:
		r.checkpoint.update(rec, body.ReadTo)
	}
}

// reportRejected reports a publication whose base was already replaced or was never accepted.
func (r *Reducer) reportRejected(rec rail.Record, body record) rail.Effect {
	detail := "based on " + numberText(body.Base) + " while " + numberText(r.history.number) + " was accepted last"
	return rail.NewReport(rail.EventDocumentRejected, offsetText(rec.Offset()), detail)
}

func (r *Reducer) acceptAll(accepted []logEntry) []rail.Effect {
	var effects []rail.Effect
	for _, e := range accepted {
		effects = append(effects, r.accept(e.record)...)
	}
	return effects
}

// accept puts the document of an accepted record into force unless a later version is in force.
func (r *Reducer) accept(rec record) []rail.Effect {
	r.decisions.recordAccepted(rec.Number, rec.Source)
	if rec.Number <= r.current.Number() {
		return nil
	}
	d, faults := Parse(rec.Source)
	if len(faults) > 0 {
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(rec.Number), faults[0].String())}
	}
	if d.Environment() != r.environment {
		detail := "text is for environment " + d.Environment() + ", not " + r.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(rec.Number), detail)}
	}
	r.setCurrent(d.WithNumber(rec.Number))
	return nil
}

// applyFetched puts a peer's document into force if it is newer; a document of another environment does not count as a response.
func (r *Reducer) applyFetched(d rail.Document) []rail.Effect {
	if r.environment == "" {
		r.environment = d.Environment()
	}
	if d.Number() > 0 && d.Environment() != r.environment {
		detail := "a peer's is for environment " + d.Environment() + ", not " + r.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(d.Number()), detail)}
	}
	r.peers.recordAnswer()
	if d.Number() > r.current.Number() {
		r.setCurrent(d)
	}
	return nil
}

// setCurrent replaces the current document by one with a larger number.
func (r *Reducer) setCurrent(d rail.Document) {
	r.current = d
	r.decisions.recordAccepted(d.Number(), d.Source())
}

// announce raises the current document to the other reducers and publishes its number to peers, when Ready permits.
func (r *Reducer) announce(at time.Time) []rail.Effect {
	number := r.current.Number()
	if number <= r.announcedNumber || !r.Ready(at) {
		return nil
	}
	r.announcedNumber = number
	return []rail.Effect{
		rail.NewRaise(rail.NewDocumentInForce(r.current)),
		rail.NewPublish(rail.FactDocument, r.environment, numberText(number)),
		rail.NewReport(rail.EventDocumentInForce, numberText(number), r.environment),
	}
}

func numberText(n uint64) string { return strconv.FormatUint(n, 10) }

func offsetText(o rail.Offset) string { return "offset " + strconv.FormatInt(int64(o), 10) }
