package answer

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// handoverTimeout bounds one handover call.
const handoverTimeout = 500 * time.Millisecond

// PeerClient reaches the other entries.
type PeerClient interface {
	// HandOver asks the entry to finish the requests; it may be repeated.
	HandOver(ctx context.Context, successor rail.Instance, transfers []Transfer) error
	// Fetch waits at most so long for tokens of the team's answer that the entry holds.
	Fetch(ctx context.Context, entry rail.Instance, team rail.TeamName, id rail.RequestID, from int, wait time.Duration) (ReadResult, error)
}

// HandoverSender runs handovers.
type HandoverSender struct {
	store *Store
	peers PeerClient
	desk  rail.Mailbox
	group rail.Group
	batch int

	mu           sync.Mutex
	sentFinished map[rail.InstanceID]bool
}

// NewHandoverSender returns a mover of the store's answers.
func NewHandoverSender(settings Settings, store *Store, peers PeerClient, desk rail.Mailbox, group rail.Group) *HandoverSender {
	return &HandoverSender{
		store: store, peers: peers, desk: desk, group: group,
		batch: settings.handoverBatch, sentFinished: map[rail.InstanceID]bool{},
	}
}

// Run sends the handover and returns at once.
func (m *HandoverSender) Run(e HandOver) {
	m.group.Go(func(ctx context.Context) {
		event := m.send(ctx, e)
		m.post(ctx, event)
		if _, ok := event.(HandoverAnswered); ok && m.first(e.Successor().ID()) {
			if err := m.sendFinished(ctx, e.Successor()); err != nil {
				// All are sent again after the next handover that arrives.
				m.forget(e.Successor().ID())
			}
		}
	})
}

func (m *HandoverSender) send(ctx context.Context, e HandOver) rail.Event {
	if err := m.handOver(ctx, e.Successor(), m.fill(e.Transfers())); err != nil {
		return NewHandoverLost(e.Successor().ID(), e.Sequence(), rail.KindOf(err))
	}
	return NewHandoverAnswered(e.Successor().ID(), e.Sequence())
}

// fill adds the answers so far.
func (m *HandoverSender) fill(ts []Transfer) []Transfer {
	filled := make([]Transfer, 0, len(ts))
	for _, t := range ts {
		id := t.Request().ID()
		if t.ResumeDelay() <= 0 && !t.ended {
			// Bars the stopped attempt, so that no token is read here and made again there.
			_, _, _ = m.store.BeginAttempt(id, t.Attempt())
		}
		k, _ := m.store.Snapshot(id)
		if t.ended && !k.done {
			continue
		}
		filled = append(filled, t.WithAnswer(k))
	}
	return filled
}

// first reports whether the successor has not been sent the finished answers yet.
func (m *HandoverSender) first(id rail.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := !m.sentFinished[id]
	m.sentFinished[id] = true
	return first
}

func (m *HandoverSender) forget(id rail.InstanceID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sentFinished, id)
}

// sendFinished gives the successor the finished answers that a caller may still ask for, the newest first.
func (m *HandoverSender) sendFinished(ctx context.Context, successor rail.Instance) error {
	ids := m.store.FinishedIDs()
	slices.Reverse(ids)
	var ts []Transfer
	size := 0
	for _, id := range ids {
		k, ok := m.store.Snapshot(id)
		if !ok || k.kind == rail.KindMoved {
			continue
		}
		team, _ := m.store.Owner(id)
		ts = append(ts, NewTransfer(rail.NewRequest(id, team, "", time.Time{}), 0, 0).WithAnswer(k))
		size += k.size()
		if len(ts) < m.batch && size < handoverBytes {
			continue
		}
		if err := m.handOver(ctx, successor, ts); err != nil {
			return err
		}
		ts, size = nil, 0
	}
	if len(ts) == 0 {
		return nil
	}
	return m.handOver(ctx, successor, ts)
}

func (m *HandoverSender) handOver(ctx context.Context, successor rail.Instance, ts []Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return m.peers.HandOver(ctx, successor, ts)
}

func (m *HandoverSender) post(ctx context.Context, e rail.Event) {
	for ctx.Err() == nil && !m.desk.Post(e) {
		select {
		case <-ctx.Done():
		case <-time.After(postRetry):
		}
	}
}
