package answer

import (
	"context"
	"sync"

	"dandelionrail.org/rail"
)

// storedAnswer is one answer: the concatenated tokens and the end of each token.
type storedAnswer struct {
	mu        sync.Mutex
	bytes     []byte
	tokenEnds []uint32
	team      rail.TeamName
	attempt   int
	done      bool
	kind      rail.Kind
	reply     rail.ServiceReply
	// changed is closed at the next change; it is created only when a reader waits.
	changed chan struct{}
}

func (a *storedAnswer) beginAttempt(attempt int) (int, string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || attempt < a.attempt {
		return 0, "", rail.NewError(rail.KindCancelled, "attempt %d is over", attempt)
	}
	a.attempt = attempt
	return len(a.tokenEnds), string(a.bytes), nil
}

func (a *storedAnswer) appendChunk(attempt int, c rail.Chunk) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := len(a.tokenEnds)
	switch {
	case a.done || attempt != a.attempt:
		return held, rail.NewError(rail.KindCancelled, "attempt %d is over", attempt)
	case c.Offset() < held:
		return held, nil
	case c.Offset() > held:
		return held, rail.NewError(rail.KindUpstreamFailed, "token %d came before token %d", c.Offset(), held)
	}
	a.appendToken(c.Text())
	a.wakeReaders()
	return held + 1, nil
}

// adopt takes over tokens unless an attempt has begun here, as they might not continue that attempt's tokens.
func (a *storedAnswer) adopt(tokens []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.attempt > 0 {
		return false
	}
	for i := len(a.tokenEnds); i < len(tokens); i++ {
		a.appendToken(tokens[i])
	}
	a.wakeReaders()
	return true
}

// unstarted reports whether the answer has not ended and no attempt has begun.
func (a *storedAnswer) unstarted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.done && a.attempt == 0
}

func (a *storedAnswer) ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

func (a *storedAnswer) setOwner(team rail.TeamName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.team == "" {
		a.team = team
	}
}

func (a *storedAnswer) owner() rail.TeamName {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.team
}

func (a *storedAnswer) finish(kind rail.Kind, reply rail.ServiceReply) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return 0, false
	}
	a.done, a.kind, a.reply = true, kind, reply
	a.wakeReaders()
	return len(a.bytes) + 4*len(a.tokenEnds) + len(reply.Body()), true
}

func (a *storedAnswer) offset() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tokenEnds)
}

func (a *storedAnswer) snapshot() Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Snapshot{tokens: a.tokens(0), done: a.done, kind: a.kind, reply: a.reply}
	return s
}

func (a *storedAnswer) read(ctx context.Context, from int) ([]rail.Chunk, bool, rail.Kind, error) {
	for {
		chunks, done, kind, changed := a.poll(max(from, 0))
		if len(chunks) > 0 || done {
			return chunks, done, kind, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, rail.KindNone, rail.WrapError(ctx.Err(), rail.KindCancelled, "waiting for tokens")
		case <-changed:
		}
	}
}

// poll returns what is held from the offset on, or a channel that is closed at the next change.
func (a *storedAnswer) poll(from int) ([]rail.Chunk, bool, rail.Kind, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < len(a.tokenEnds) {
		return a.chunks(from), a.done, a.kind, nil
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return nil, a.done, a.kind, a.changed
}

func (a *storedAnswer) chunks(from int) []rail.Chunk {
	tokens := a.tokens(from)
	chunks := make([]rail.Chunk, len(tokens))
	for i, token := range tokens {
		chunks[i] = rail.NewChunk(from+i, token)
	}
	return chunks
}

// tokens returns the tokens from the offset on as substrings of one string.
func (a *storedAnswer) tokens(from int) []string {
	start := a.tokenStart(from)
	all := string(a.bytes[start:])
	tokens := make([]string, 0, len(a.tokenEnds)-from)
	for i := from; i < len(a.tokenEnds); i++ {
		tokens = append(tokens, all[a.tokenStart(i)-start:a.tokenEnds[i]-start])
	}
	return tokens
}

func (a *storedAnswer) tokenStart(i int) uint32 {
	if i == 0 {
		return 0
	}
	return a.tokenEnds[i-1]
}

func (a *storedAnswer) appendToken(token string) {
	a.bytes = append(a.bytes, token...)
	a.tokenEnds = append(a.tokenEnds, uint32(len(a.bytes)))
}

func (a *storedAnswer) wakeReaders() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
