package answer

import (
	"context"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Store holds the answers of one entry; it may be used from many goroutines.
type Store struct {
	keepFor   time.Duration
	keepBytes int

	mu       sync.RWMutex
	answers  map[rail.RequestID]*text
	finished []expiry
	bytes    int
}

// expiry says until when a finished answer is kept.
type expiry struct {
	id    rail.RequestID
	at    time.Time
	bytes int
}

// NewStore returns an empty store that keeps finished answers within the limits of the settings.
func NewStore(s Settings) *Store {
	return &Store{keepFor: s.keepFor, keepBytes: s.keepBytes, answers: map[rail.RequestID]*text{}}
}

// Open makes room for the team's answer so that readers may wait for it; opening it again does nothing.
func (s *Store) Open(id rail.RequestID, team rail.TeamName) { s.open(id).own(team) }

// Owner returns the team that asked for the answer.
func (s *Store) Owner(id rail.RequestID) (rail.TeamName, bool) {
	t, ok := s.find(id)
	if !ok {
		return "", false
	}
	return t.owner(), true
}

// BeginAttempt starts an attempt and returns from where it goes on: the offset and the text before it.
func (s *Store) BeginAttempt(id rail.RequestID, attempt int) (int, string, error) {
	return s.open(id).begin(attempt)
}

// Append adds a token of an attempt and returns the number of tokens held.
//
// A token that is already held is dropped. A gap and a token of an older
// attempt are errors.
func (s *Store) Append(id rail.RequestID, attempt int, c rail.Chunk) (int, error) {
	t, ok := s.find(id)
	if !ok {
		return 0, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id)
	}
	return t.take(attempt, c)
}

// Finish ends an answer; kind is KindNone for a whole one, and only the first end counts.
func (s *Store) Finish(id rail.RequestID, kind rail.Kind, reply rail.ServiceReply) {
	if size, first := s.open(id).finish(kind, reply); first {
		s.keep(id, size)
	}
}

// MarkMoved tells the readers that another entry goes on with the answer.
func (s *Store) MarkMoved(id rail.RequestID) {
	s.Finish(id, rail.KindMoved, rail.ServiceReply{})
}

// Adopt takes over a request's answer from a leaving entry; tokens that are already held are kept.
func (s *Store) Adopt(r rail.Request, k Snapshot) {
	t := s.open(r.ID())
	t.own(r.Team())
	if t.adopt(k.tokens) && k.done {
		s.Finish(r.ID(), k.kind, k.reply)
	}
}

// DropUnstarted forgets an answer of which no attempt has begun.
func (s *Store) DropUnstarted(id rail.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.answers[id]; ok && t.unused() {
		delete(s.answers, id)
	}
}

// Snapshot returns the answer as far as it is held.
func (s *Store) Snapshot(id rail.RequestID) (Snapshot, bool) {
	t, ok := s.find(id)
	if !ok {
		return Snapshot{}, false
	}
	return t.snapshot(), true
}

// Offset returns the number of tokens held of the answer.
func (s *Store) Offset(id rail.RequestID) int {
	t, ok := s.find(id)
	if !ok {
		return 0
	}
	return t.offset()
}

// Done reports whether the answer is held and has ended.
func (s *Store) Done(id rail.RequestID) bool {
	t, ok := s.find(id)
	return ok && t.ended()
}

// Reply returns a service's finished answer.
func (s *Store) Reply(id rail.RequestID) (rail.ServiceReply, bool) {
	k, ok := s.Snapshot(id)
	return k.reply, ok && k.done
}

// Read waits for tokens from the offset on and returns them with whether the answer is done and why it is not whole.
//
// KindMoved with done says that another entry goes on with the answer.
func (s *Store) Read(ctx context.Context, id rail.RequestID, from int) ([]rail.Chunk, bool, rail.Kind, error) {
	t, ok := s.find(id)
	if !ok {
		return nil, false, rail.KindUnknownAnswer, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id)
	}
	return t.read(ctx, from)
}

// Unfinished returns how many answers are held that have not ended.
func (s *Store) Unfinished() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.answers) - len(s.finished)
}

// FinishedIDs returns the finished answers that are kept, the oldest first.
func (s *Store) FinishedIDs() []rail.RequestID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids := make([]rail.RequestID, 0, len(s.finished))
	for _, e := range s.finished {
		ids = append(ids, e.id)
	}
	return ids
}

func (s *Store) find(id rail.RequestID) (*text, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.answers[id]
	return t, ok
}

func (s *Store) open(id rail.RequestID) *text {
	if t, ok := s.find(id); ok {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	t, ok := s.answers[id]
	if !ok {
		t = &text{}
		s.answers[id] = t
	}
	return t
}

// keep counts a finished answer and drops those beyond the limits.
func (s *Store) keep(id rail.RequestID, bytes int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, expiry{id: id, at: now.Add(s.keepFor), bytes: bytes})
	s.bytes += bytes
	s.expire(now)
}

func (s *Store) expire(now time.Time) {
	n := 0
	for n < len(s.finished) && (s.bytes > s.keepBytes || now.After(s.finished[n].at)) {
		e := s.finished[n]
		delete(s.answers, e.id)
		s.bytes -= e.bytes
		n++
	}
	if n > 0 {
		s.finished = append(s.finished[:0], s.finished[n:]...)
	}
}
