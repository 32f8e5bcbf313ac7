package order

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"dandelionrail.org/rail"
)

const (
	// mostItems and mostBytes bound one append.
	mostItems = 500
	mostBytes = 256 << 10
	// itemBytes is about what an item takes without its answer.
	itemBytes = 200
	// repeatAfter is when an append that was not read back is sent again.
	repeatAfter = time.Second
)

// itemType says what an item of a record tells.
type itemType string

const (
	itemClaim     itemType = "claim"
	itemRelease   itemType = "release"
	itemOutcome   itemType = "outcome"
	itemSuccessor itemType = "successor"
)

// item is one statement of an entry in the log; its id is unique in the entry's incarnation.
type item struct {
	Type        itemType         `json:"type"`
	ID          uint64           `json:"id"`
	Claim       uint64           `json:"claim,omitempty"`
	Team        rail.TeamName    `json:"team,omitempty"`
	Key         *uuid.UUID       `json:"key,omitempty"`
	Ticket      rail.Ticket      `json:"ticket,omitempty"`
	Digest      string           `json:"digest,omitempty"`
	Kind        rail.Kind        `json:"kind,omitempty"`
	Status      int              `json:"status,omitempty"`
	ContentType string           `json:"contentType,omitempty"`
	Body        []byte           `json:"body,omitempty"`
	Of          rail.Incarnation `json:"of,omitempty"`

	sentAt  time.Time
	dropped bool
}

// batch is the body of one record: a group of items of one entry, in their order.
type batch struct {
	Owner rail.Incarnation `json:"owner"`
	Items []*item          `json:"items"`
}

func (i *item) outcome() Outcome {
	return Outcome{kind: i.Kind, reply: rail.NewServiceReply(i.Status, i.ContentType, i.Body)}
}

func (i *item) setOutcome(o Outcome) {
	i.Kind = o.kind
	if o.kind == rail.KindNone {
		i.Status, i.ContentType, i.Body = o.reply.Status(), o.reply.ContentType(), o.reply.Body()
	}
}

func newTicketOutcome(t *ticket) item {
	i := item{Type: itemOutcome, Team: t.team, Ticket: t.name, Digest: t.digest}
	i.setOutcome(t.outcome)
	return i
}

func newKeyOutcome(k *key) item {
	i := item{Type: itemOutcome, Team: k.name.team, Key: &k.name.id, Claim: k.holder.sequence, Digest: k.digest}
	i.setOutcome(k.outcome)
	return i
}

// outbox holds the items that have not been read back from the log yet.
type outbox struct {
	issued  uint64
	queued  []*item
	sent    map[uint64]*item
	order   []*item // sent, the oldest first; some are read back already
	flushed time.Time
	due     bool
	timed   bool
	repeats bool
	mark    bool // append even an empty group
}

// enqueue adds an item for the next append.
func (p *Reducer) enqueue(i item) *item {
	o := &p.outbox
	o.issued++
	i.ID = o.issued
	o.queued = append(o.queued, &i)
	p.planFlush()
	return &i
}

// planFlush makes the next append due now or after the commit delay since the last one.
func (p *Reducer) planFlush() {
	o := &p.outbox
	wait := p.settings.commitDelayOf(p.entries) - p.now.Sub(o.flushed)
	switch {
	case o.due || o.timed:
	case wait <= 0:
		o.due = true
	default:
		o.timed = true
		p.emit(rail.NewSetTimer(timerCommit, wait))
	}
}

// flushIfDue appends one group of items; while the log is away they wait.
func (p *Reducer) flushIfDue() {
	o := &p.outbox
	if !o.due || p.log.away {
		return
	}
	o.due = false
	items := o.takeGroup()
	if len(items) == 0 && !o.mark {
		return
	}
	o.mark = false
	o.flushed = p.now
	for _, i := range items {
		i.sentAt = p.now
		o.sent[i.ID] = i
		o.order = append(o.order, i)
	}
	body, err := json.Marshal(batch{Owner: p.me, Items: items})
	if err != nil {
		p.report(rail.EventOrderRecordBad, "append", err.Error())
		return
	}
	p.emit(rail.NewAppend(rail.RecordClaims, body))
	if len(o.queued) > 0 {
		p.planFlush()
	}
	if !o.repeats {
		o.repeats = true
		p.emit(rail.NewSetTimer(timerRepeat, repeatAfter))
	}
}

// takeGroup takes the items of one append out of the queue.
func (o *outbox) takeGroup() []*item {
	var group []*item
	size := 0
	for len(o.queued) > 0 && len(group) < mostItems && size < mostBytes {
		i := o.queued[0]
		o.queued[0] = nil
		o.queued = o.queued[1:]
		if !i.dropped {
			group = append(group, i)
			size += itemBytes + len(i.Body)
		}
	}
	return group
}

// repeatLost queues again, with their ids, the items that were sent a while ago and not read back.
func (p *Reducer) repeatLost() {
	o := &p.outbox
	o.repeats = false
	if p.log.away {
		p.planRepeat()
		return
	}
	var again []*item
	for len(o.order) > 0 && p.now.Sub(o.order[0].sentAt) >= repeatAfter {
		i := o.order[0]
		o.order[0] = nil
		o.order = o.order[1:]
		if _, ok := o.sent[i.ID]; !ok {
			continue
		}
		delete(o.sent, i.ID)
		if !i.dropped {
			again = append(again, i)
		}
	}
	if len(again) > 0 {
		o.queued = append(again, o.queued...)
		p.planFlush()
	}
	p.planRepeat()
}

func (p *Reducer) planRepeat() {
	if o := &p.outbox; !o.repeats && len(o.order) > 0 {
		o.repeats = true
		p.emit(rail.NewSetTimer(timerRepeat, repeatAfter))
	}
}
