package document

import (
	"strconv"
	"time"

	"dandelionrail.org/rail"
)

const (
	timerTick rail.TimerName = "document.tick"
	// tickEvery is how often the part looks for something to repeat.
	tickEvery = 500 * time.Millisecond
	// fetchTimeout is how long a peer may take to hand out its document.
	fetchTimeout = time.Second
	// readyTimeout is how long a fresh entry asks peers when the log is away.
	readyTimeout = 3 * time.Second
	// adoptAfter is how long a reader waits for a checkpoint before it states the version in force as the last one accepted.
	adoptAfter = 10 * time.Second
	// defaultRetention is how long the log keeps records if the settings do not say.
	defaultRetention = time.Hour
)

// Part keeps the document in force in one process.
type Part struct {
	environment string
	retention   time.Duration
	self        rail.Incarnation

	current rail.Document
	// announced is the number of the document that the other parts know.
	announced uint64
	history   history

	started    bool
	startedAt  time.Time
	caughtUpAt time.Time
	logAway    bool
	checkpoint checkpoint
	peers      peers
	decisions  decisions
}

// Option sets a property of a part.
type Option func(*Part)

// ForEnvironment lets the part refuse the documents of other environments.
func ForEnvironment(name string) Option { return func(p *Part) { p.environment = name } }

// WithRetention tells how long the log keeps a record.
func WithRetention(d time.Duration) Option { return func(p *Part) { p.retention = d } }

// ForProcess names the process, so that the processes take turns to write checkpoints.
func ForProcess(self rail.Incarnation) Option { return func(p *Part) { p.self = self } }

// New returns a part without a document.
func New(options ...Option) *Part {
	p := &Part{retention: defaultRetention, history: newHistory(), peers: newPeers(), decisions: newDecisions()}
	for _, o := range options {
		o(p)
	}
	return p
}

// Current returns the document in force, number zero for none.
func (p *Part) Current() rail.Document { return p.current }

// Known reports whether the process knows the last accepted version at its place in the log.
func (p *Part) Known() bool { return p.settled() }

// Numbers returns the version in force at each process that told of one.
func (p *Part) Numbers() map[rail.Incarnation]uint64 { return p.peers.numbers }

// Reduce implements rail.Part.
func (p *Part) Reduce(in rail.Input) []rail.Effect {
	return append(p.reduce(in), p.announce(in.At())...)
}

func (p *Part) reduce(in rail.Input) []rail.Effect {
	var effects []rail.Effect
	if !p.started {
		p.started, p.startedAt = true, in.At()
		effects = append(effects, rail.NewSetTimer(timerTick, tickEvery))
	}
	switch e := in.Event().(type) {
	case rail.LogRead:
		return append(effects, p.read(e, in.At())...)
	case rail.LogUnavailable:
		p.logAway = true
	case rail.FactsLearned:
		p.peers.learn(p.environment, e.Facts())
		return append(effects, p.fetch(in)...)
	case rail.ListRead:
		p.peers.drop(e.Instances())
	case Offered:
		return append(effects, p.offer(e.document)...)
	case Wanted:
		return append(effects, Given{call: e.call, document: p.current, known: p.settled()})
	case Awaited:
		p.decisions.wait(e, in.At())
		return append(effects, p.decisions.answer(p.last(), in.At())...)
	case FetchFailed:
		p.peers.failed(e.peer)
	case rail.TimerFired:
		if e.Name() == timerTick {
			return append(effects, p.tick(in)...)
		}
	}
	return effects
}

// read follows the records of one read of the log.
func (p *Part) read(e rail.LogRead, at time.Time) []rail.Effect {
	var effects []rail.Effect
	p.logAway = false
	if p.history.begin(e.Oldest()) {
		p.caughtUpAt = time.Time{}
		p.checkpoint = checkpoint{}
	}
	p.learnRetention(e.Oldest(), at)
	for _, r := range e.Records() {
		p.checkpoint.begin(r.At())
		if r.Kind() == rail.RecordDocument {
			effects = append(effects, p.record(r, at)...)
		}
		p.history.next = r.Offset() + 1
	}
	p.history.next = max(p.history.next, e.Next())
	if e.CaughtUp() && p.caughtUpAt.IsZero() {
		p.caughtUpAt = at
	}
	return append(effects, p.decisions.answer(p.last(), at)...)
}

// last returns the largest version known to be accepted.
func (p *Part) last() uint64 { return max(p.history.number, p.current.Number()) }

// record follows one document record and puts into force what it accepts.
func (p *Part) record(r rail.Record, at time.Time) []rail.Effect {
	body, err := decode(r)
	if err != nil {
		return []rail.Effect{rail.NewReport(rail.EventDocumentSkipped, offsetText(r.Offset()), err.Error())}
	}
	if p.environment == "" {
		p.environment = body.Environment
	}
	if body.Environment != p.environment {
		detail := "environment " + body.Environment + ", not " + p.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentSkipped, offsetText(r.Offset()), detail)}
	}
	accepted := p.history.take(entry{offset: r.Offset(), record: body})
	if len(accepted) == 0 && !body.isCheckpoint() && p.history.known {
		return []rail.Effect{p.rejected(r, body)}
	}
	if body.isCheckpoint() {
		p.noteCheckpoint(r, body, at)
	}
	return p.acceptAll(accepted)
}

// noteCheckpoint remembers a checkpoint that fresh readers can use, and answers one that is behind.
func (p *Part) noteCheckpoint(r rail.Record, body record, at time.Time) {
	switch {
	case p.history.known && body.Number < p.history.number:
		p.contradict(at)
	case body.ReadTo >= p.history.oldest:
		p.checkpoint.note(r, body.ReadTo)
	}
}

// rejected reports a publication whose base had been replaced before it, or was never in force.
func (p *Part) rejected(r rail.Record, body record) rail.Effect {
	detail := "based on " + numberText(body.Base) + " while " + numberText(p.history.number) + " was accepted last"
	return rail.NewReport(rail.EventDocumentRejected, offsetText(r.Offset()), detail)
}

func (p *Part) acceptAll(accepted []entry) []rail.Effect {
	var effects []rail.Effect
	for _, e := range accepted {
		effects = append(effects, p.accept(e.record)...)
	}
	return effects
}

// accept puts an accepted record into force unless a later version is.
func (p *Part) accept(r record) []rail.Effect {
	p.decisions.accepted(r.Number, r.Source)
	if r.Number <= p.current.Number() {
		return nil
	}
	d, faults := Parse(r.Source)
	if len(faults) > 0 {
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(r.Number), faults[0].String())}
	}
	if d.Environment() != p.environment {
		detail := "text is for environment " + d.Environment() + ", not " + p.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(r.Number), detail)}
	}
	p.enforce(d.WithNumber(r.Number))
	return nil
}

// offer takes a peer's document if it is newer than the one in force; one of another environment is no answer.
func (p *Part) offer(d rail.Document) []rail.Effect {
	if p.environment == "" {
		p.environment = d.Environment()
	}
	if d.Number() > 0 && d.Environment() != p.environment {
		detail := "a peer's is for environment " + d.Environment() + ", not " + p.environment
		return []rail.Effect{rail.NewReport(rail.EventDocumentUnreadable, numberText(d.Number()), detail)}
	}
	p.peers.answered()
	if d.Number() > p.current.Number() {
		p.enforce(d)
	}
	return nil
}

// enforce takes the document as the current one; its number is larger than the last.
func (p *Part) enforce(d rail.Document) {
	p.current = d
	p.decisions.accepted(d.Number(), d.Source())
}

// announce puts the current document into force for the other parts and tells peers, once this process may serve by it.
func (p *Part) announce(at time.Time) []rail.Effect {
	number := p.current.Number()
	if number <= p.announced || !p.Ready(at) {
		return nil
	}
	p.announced = number
	return []rail.Effect{
		rail.NewRaise(rail.NewDocumentInForce(p.current)),
		rail.NewPublish(rail.FactDocument, p.environment, numberText(number)),
		rail.NewReport(rail.EventDocumentInForce, numberText(number), p.environment),
	}
}

func numberText(n uint64) string { return strconv.FormatUint(n, 10) }

func offsetText(o rail.Offset) string { return "offset " + strconv.FormatInt(int64(o), 10) }
