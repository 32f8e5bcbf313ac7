package answer

import (
	"context"
	"sync"
	"time"

	"dandelionrail.org/rail"
)

// Store holds the answers of one entry; it is safe for concurrent use.
type Store struct {
	retention        time.Duration
	maxRetainedBytes int

	mu       sync.RWMutex
	answers  map[rail.RequestID]*storedAnswer
	finished []finishedAnswer
	bytes    int
}

// finishedAnswer is the expiry time and the size of a finished answer.
type finishedAnswer struct {
	id        rail.RequestID
	expiresAt time.Time
	bytes     int
}

// NewStore returns an empty store that keeps finished answers within the limits of the settings.
func NewStore(s Settings) *Store {
	return &Store{retention: s.retention, maxRetainedBytes: s.maxRetainedBytes, answers: map[rail.RequestID]*storedAnswer{}}
}

// Open creates the team's answer so that readers can wait for it; opening it again does nothing.
func (s *Store) Open(id rail.RequestID, team rail.TeamName) { s.findOrCreate(id).setOwner(team) }

// Owner returns the team that asked for the answer.
func (s *Store) Owner(id rail.RequestID) (rail.TeamName, bool) {
	a, ok := s.find(id)
	if !ok {
		return "", false
	}
	return a.owner(), true
}

// BeginAttempt starts an attempt and returns where it resumes: the offset and the text before it.
func (s *Store) BeginAttempt(id rail.RequestID, attempt int) (int, string, error) {
	return s.findOrCreate(id).beginAttempt(attempt)
}

// Append adds a token of an attempt and returns the number of tokens held.
//
// A token that is already held is ignored. A gap or a token of an older
// attempt is an error.
func (s *Store) Append(id rail.RequestID, attempt int, c rail.Chunk) (int, error) {
	a, ok := s.find(id)
	if !ok {
		return 0, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id)
	}
	return a.appendChunk(attempt, c)
}

// Finish ends an answer; kind is KindNone for a complete one. Only the first call has an effect.
func (s *Store) Finish(id rail.RequestID, kind rail.Kind, reply rail.ServiceReply) {
	if size, first := s.findOrCreate(id).finish(kind, reply); first {
		s.addFinished(id, size)
	}
}

// MarkMoved tells the readers that another entry continues the answer.
func (s *Store) MarkMoved(id rail.RequestID) {
	s.Finish(id, rail.KindMoved, rail.ServiceReply{})
}

// Adopt takes over a request's answer from a leaving entry; tokens that are already held stay.
func (s *Store) Adopt(r rail.Request, snapshot Snapshot) {
	a := s.findOrCreate(r.ID())
	a.setOwner(r.Team())
	if a.adopt(snapshot.tokens) && snapshot.done {
		s.Finish(r.ID(), snapshot.kind, snapshot.reply)
	}
}

// DropUnstarted deletes an answer of which no attempt has begun.
func (s *Store) DropUnstarted(id rail.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.answers[id]; ok && a.unstarted() {
		delete(s.answers, id)
	}
}

// Snapshot returns a copy of what is held of the answer.
func (s *Store) Snapshot(id rail.RequestID) (Snapshot, bool) {
	a, ok := s.find(id)
	if !ok {
		return Snapshot{}, false
	}
	return a.snapshot(), true
}

// Offset returns the number of tokens held of the answer.
func (s *Store) Offset(id rail.RequestID) int {
	a, ok := s.find(id)
	if !ok {
		return 0
	}
	return a.offset()
}

// Done reports whether the answer is held and has ended.
func (s *Store) Done(id rail.RequestID) bool {
	a, ok := s.find(id)
	return ok && a.ended()
}

// Reply returns a service's finished answer.
func (s *Store) Reply(id rail.RequestID) (rail.ServiceReply, bool) {
	snapshot, ok := s.Snapshot(id)
	return snapshot.reply, ok && snapshot.done
}

// Read waits for tokens from the offset on and returns them with whether the answer is done and why it is incomplete.
//
// KindMoved with done means that another entry continues the answer.
func (s *Store) Read(ctx context.Context, id rail.RequestID, from int) ([]rail.Chunk, bool, rail.Kind, error) {
	a, ok := s.find(id)
	if !ok {
		return nil, false, rail.KindUnknownAnswer, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", id)
	}
	return a.read(ctx, from)
}

// Unfinished returns the number of held answers that have not ended.
func (s *Store) Unfinished() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.answers) - len(s.finished)
}

// FinishedIDs returns the ids of the finished answers that are kept, the oldest first.
func (s *Store) FinishedIDs() []rail.RequestID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids := make([]rail.RequestID, 0, len(s.finished))
	for _, e := range s.finished {
		ids = append(ids, e.id)
	}
	return ids
}

func (s *Store) find(id rail.RequestID) (*storedAnswer, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, ok := s.answers[id]
	return a, ok
}

func (s *Store) findOrCreate(id rail.RequestID) *storedAnswer {
	if a, ok := s.find(id); ok {
		return a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	a, ok := s.answers[id]
	if !ok {
		a = &storedAnswer{}
		s.answers[id] = a
	}
	return a
}

// addFinished records a finished answer and deletes those beyond the limits.
func (s *Store) addFinished(id rail.RequestID, bytes int) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, finishedAnswer{id: id, expiresAt: now.Add(s.retention), bytes: bytes})
	s.bytes += bytes
	s.expire(now)
}

func (s *Store) expire(now time.Time) {
	n := 0
	for n < len(s.finished) && (s.bytes > s.maxRetainedBytes || now.After(s.finished[n].expiresAt)) {
		e := s.finished[n]
		delete(s.answers, e.id)
		s.bytes -= e.bytes
		n++
	}
	if n > 0 {
		s.finished = append(s.finished[:0], s.finished[n:]...)
	}
}
