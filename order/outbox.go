package order

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"dandelionrail.org/rail"
)

const (
	// maxItems and maxBytes bound one append.
	maxItems = 500
	maxBytes = 256 << 10
	// itemBaseBytes is the approximate size of an item without its answer.
	itemBaseBytes = 200
	// resendDelay is the time after which an item that was not read back is appended again.
	resendDelay = time.Second
)

// itemType is the type of an item in a record.
type itemType string

const (
	itemClaim     itemType = "claim"
	itemRelease   itemType = "release"
	itemOutcome   itemType = "outcome"
	itemSuccessor itemType = "successor"
)

// item is one entry's claim, release, outcome or succession in the log; its id is unique within the incarnation.
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
	Issuer      rail.Incarnation `json:"of,omitempty"`

	sentAt  time.Time
	dropped bool
}

// batch is the body of one record: items of one entry, in the order in which they apply.
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

func newTicketOutcomeItem(t *ticket) item {
	i := item{Type: itemOutcome, Team: t.team, Ticket: t.name, Digest: t.digest}
	i.setOutcome(t.outcome)
	return i
}

func newKeyOutcomeItem(k *key) item {
	i := item{Type: itemOutcome, Team: k.name.team, Key: &k.name.id, Claim: k.holder.sequence, Digest: k.digest}
	i.setOutcome(k.outcome)
	return i
}

// outbox holds the items that have not been read back from the log yet.
type outbox struct {
	lastID         uint64
	queued         []*item
	sent           map[uint64]*item
	sentOrder      []*item // sent items, oldest first, including some already read back
	flushedAt      time.Time
	flushDue       bool
	commitTimerSet bool
	repeatTimerSet bool
	markDue        bool // append even an empty batch
}

// enqueue adds an item for the next append.
func (r *Reducer) enqueue(i item) *item {
	o := &r.outbox
	o.lastID++
	i.ID = o.lastID
	o.queued = append(o.queued, &i)
	r.scheduleFlush()
	return &i
}

// scheduleFlush makes the next append due now or after the commit delay since the last one.
func (r *Reducer) scheduleFlush() {
	o := &r.outbox
	wait := r.settings.commitDelayFor(r.entryCount) - r.now.Sub(o.flushedAt)
	switch {
	case o.flushDue || o.commitTimerSet:
	case wait <= 0:
		o.flushDue = true
	default:
		o.commitTimerSet = true
		r.emit(rail.NewSetTimer(commitTimer, wait))
	}
}

// flushIfDue appends one batch of items; while the log is unavailable they stay queued.
func (r *Reducer) flushIfDue() {
	o := &r.outbox
	if !o.flushDue || r.log.unavailable {
		return
	}
	o.flushDue = false
	items := o.takeBatch()
	if len(items) == 0 && !o.markDue {
		return
	}
	o.markDue = false
	o.flushedAt = r.now
	for _, i := range items {
		i.sentAt = r.now
		o.sent[i.ID] = i
		o.sentOrder = append(o.sentOrder, i)
	}
	body, err := json.Marshal(batch{Owner: r.self, Items: items})
	if err != nil {
		r.report(rail.EventOrderRecordBad, "append", err.Error())
		return
	}
	r.emit(rail.NewAppend(rail.RecordClaims, body))
	if len(o.queued) > 0 {
		r.scheduleFlush()
	}
	if !o.repeatTimerSet {
		o.repeatTimerSet = true
		r.emit(rail.NewSetTimer(repeatTimer, resendDelay))
	}
}

// takeBatch removes the items of one append from the queue.
func (o *outbox) takeBatch() []*item {
	var items []*item
	size := 0
	for len(o.queued) > 0 && len(items) < maxItems && size < maxBytes {
		i := o.queued[0]
		o.queued[0] = nil
		o.queued = o.queued[1:]
		if !i.dropped {
			items = append(items, i)
			size += itemBaseBytes + len(i.Body)
		}
	}
	return items
}

// requeueUnread queues the items again that were sent at least resendDelay ago and not read back; they keep their ids.
func (r *Reducer) requeueUnread() {
	o := &r.outbox
	o.repeatTimerSet = false
	if r.log.unavailable {
		r.scheduleRepeat()
		return
	}
	var unread []*item
	for len(o.sentOrder) > 0 && r.now.Sub(o.sentOrder[0].sentAt) >= resendDelay {
		i := o.sentOrder[0]
		o.sentOrder[0] = nil
		o.sentOrder = o.sentOrder[1:]
		if _, ok := o.sent[i.ID]; !ok {
			continue
		}
		delete(o.sent, i.ID)
		if !i.dropped {
			unread = append(unread, i)
		}
	}
	if len(unread) > 0 {
		o.queued = append(unread, o.queued...)
		r.scheduleFlush()
	}
	r.scheduleRepeat()
}

func (r *Reducer) scheduleRepeat() {
	if o := &r.outbox; !o.repeatTimerSet && len(o.sentOrder) > 0 {
		o.repeatTimerSet = true
		r.emit(rail.NewSetTimer(repeatTimer, resendDelay))
	}
}
