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

// PeerClient calls the other entries.
type PeerClient interface {
	// HandOver asks the entry to finish the requests; it may be repeated.
	HandOver(ctx context.Context, successor rail.Instance, transfers []Transfer) error
	// Fetch reads the team's answer at the entry from the offset on and waits at most the given time for tokens.
	Fetch(ctx context.Context, entry rail.Instance, team rail.TeamName, id rail.RequestID, from int, wait time.Duration) (ReadResult, error)
}

// HandoverSender sends handovers to other entries and reports their results to the reducer.
type HandoverSender struct {
	store       *Store
	peers       PeerClient
	mailbox     rail.Mailbox
	group       rail.Group
	maxRequests int

	mu           sync.Mutex
	sentFinished map[rail.InstanceID]bool
}

// NewHandoverSender returns a sender of the store's answers.
func NewHandoverSender(settings Settings, store *Store, peers PeerClient, mailbox rail.Mailbox, group rail.Group) *HandoverSender {
	return &HandoverSender{
		store: store, peers: peers, mailbox: mailbox, group: group,
		maxRequests: settings.maxHandoverRequests, sentFinished: map[rail.InstanceID]bool{},
	}
}

// Run sends the handover and returns at once.
func (s *HandoverSender) Run(e HandOver) {
	s.group.Go(func(ctx context.Context) {
		event := s.send(ctx, e)
		s.postWithRetry(ctx, event)
		if _, ok := event.(HandoverAnswered); ok && s.markFinishedSent(e.Successor().ID()) {
			if err := s.sendFinished(ctx, e.Successor()); err != nil {
				// All of them are sent again after the next successful handover.
				s.clearFinishedSent(e.Successor().ID())
			}
		}
	})
}

func (s *HandoverSender) send(ctx context.Context, e HandOver) rail.Event {
	if err := s.handOver(ctx, e.Successor(), s.addAnswers(e.Transfers())); err != nil {
		return NewHandoverLost(e.Successor().ID(), e.Sequence(), rail.KindOf(err))
	}
	return NewHandoverAnswered(e.Successor().ID(), e.Sequence())
}

// addAnswers adds what the store holds of the answers.
func (s *HandoverSender) addAnswers(transfers []Transfer) []Transfer {
	filled := make([]Transfer, 0, len(transfers))
	for _, t := range transfers {
		id := t.Request().ID()
		if t.ResumeDelay() <= 0 && !t.ended {
			// Makes the store reject the stopped attempt, so that no token is read here and generated again there.
			_, _, _ = s.store.BeginAttempt(id, t.Attempt())
		}
		snapshot, _ := s.store.Snapshot(id)
		if t.ended && !snapshot.done {
			continue
		}
		filled = append(filled, t.WithAnswer(snapshot))
	}
	return filled
}

// markFinishedSent records that the successor is sent the finished answers and reports whether it is the first time.
func (s *HandoverSender) markFinishedSent(id rail.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.sentFinished[id]
	s.sentFinished[id] = true
	return first
}

func (s *HandoverSender) clearFinishedSent(id rail.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sentFinished, id)
}

// sendFinished sends the successor the finished answers that are still kept for callers, the newest first.
func (s *HandoverSender) sendFinished(ctx context.Context, successor rail.Instance) error {
	ids := s.store.FinishedIDs()
	slices.Reverse(ids)
	var transfers []Transfer
	size := 0
	for _, id := range ids {
		snapshot, ok := s.store.Snapshot(id)
		if !ok || snapshot.kind == rail.KindMoved {
			continue
		}
		team, _ := s.store.Owner(id)
		transfers = append(transfers, NewTransfer(rail.NewRequest(id, team, "", time.Time{}), 0, 0).WithAnswer(snapshot))
		size += snapshot.size()
		if len(transfers) < s.maxRequests && size < handoverTargetBytes {
			continue
		}
		if err := s.handOver(ctx, successor, transfers); err != nil {
			return err
		}
		transfers, size = nil, 0
	}
	if len(transfers) == 0 {
		return nil
	}
	return s.handOver(ctx, successor, transfers)
}

func (s *HandoverSender) handOver(ctx context.Context, successor rail.Instance, transfers []Transfer) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return s.peers.HandOver(ctx, successor, transfers)
}

func (s *HandoverSender) postWithRetry(ctx context.Context, e rail.Event) {
	for ctx.Err() == nil && !s.mailbox.Post(e) {
		select {
		case <-ctx.Done():
		case <-time.After(postRetryInterval):
		}
	}
}
