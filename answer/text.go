package answer

import (
	"context"
	"sync"

	"dandelionrail.org/rail"
)

// text is one answer: its tokens end to end and where each of them ends.
type text struct {
	mu      sync.Mutex
	bytes   []byte
	ends    []uint32
	team    rail.TeamName
	attempt int
	done    bool
	kind    rail.Kind
	reply   rail.ServiceReply
	// wake is closed at the next change; only a waiting reader makes it.
	wake chan struct{}
}

func (t *text) begin(attempt int) (int, string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || attempt < t.attempt {
		return 0, "", rail.NewError(rail.KindCancelled, "attempt %d is over", attempt)
	}
	t.attempt = attempt
	return len(t.ends), string(t.bytes), nil
}

func (t *text) take(attempt int, c rail.Chunk) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := len(t.ends)
	switch {
	case t.done || attempt != t.attempt:
		return held, rail.NewError(rail.KindCancelled, "attempt %d is over", attempt)
	case c.Offset() < held:
		return held, nil
	case c.Offset() > held:
		return held, rail.NewError(rail.KindUpstreamFailed, "token %d came before token %d", c.Offset(), held)
	}
	t.add(c.Text())
	t.signal()
	return held + 1, nil
}

// adopt takes over tokens unless an attempt has begun here, whose tokens they might not continue.
func (t *text) adopt(tokens []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done || t.attempt > 0 {
		return false
	}
	for i := len(t.ends); i < len(tokens); i++ {
		t.add(tokens[i])
	}
	t.signal()
	return true
}

// unused reports whether no attempt has begun and none is needed.
func (t *text) unused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.done && t.attempt == 0
}

func (t *text) ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.done
}

func (t *text) own(team rail.TeamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.team == "" {
		t.team = team
	}
}

func (t *text) owner() rail.TeamName {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.team
}

func (t *text) finish(kind rail.Kind, reply rail.ServiceReply) (int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return 0, false
	}
	t.done, t.kind, t.reply = true, kind, reply
	t.signal()
	return len(t.bytes) + 4*len(t.ends) + len(reply.Body()), true
}

func (t *text) offset() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.ends)
}

func (t *text) snapshot() Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := Snapshot{tokens: t.tokens(0), done: t.done, kind: t.kind, reply: t.reply}
	return k
}

func (t *text) read(ctx context.Context, from int) ([]rail.Chunk, bool, rail.Kind, error) {
	for {
		chunks, done, kind, wake := t.poll(max(from, 0))
		if len(chunks) > 0 || done {
			return chunks, done, kind, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, rail.KindNone, rail.WrapError(ctx.Err(), rail.KindCancelled, "waiting for tokens")
		case <-wake:
		}
	}
}

// poll returns what is held from the offset on, or a channel that is closed at the next change.
func (t *text) poll(from int) ([]rail.Chunk, bool, rail.Kind, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from < len(t.ends) {
		return t.chunks(from), t.done, t.kind, nil
	}
	if t.wake == nil {
		t.wake = make(chan struct{})
	}
	return nil, t.done, t.kind, t.wake
}

func (t *text) chunks(from int) []rail.Chunk {
	tokens := t.tokens(from)
	cs := make([]rail.Chunk, len(tokens))
	for i, token := range tokens {
		cs[i] = rail.NewChunk(from+i, token)
	}
	return cs
}

// tokens returns the tokens from the offset on as parts of one string.
func (t *text) tokens(from int) []string {
	start := t.start(from)
	all := string(t.bytes[start:])
	tokens := make([]string, 0, len(t.ends)-from)
	for i := from; i < len(t.ends); i++ {
		tokens = append(tokens, all[t.start(i)-start:t.ends[i]-start])
	}
	return tokens
}

func (t *text) start(i int) uint32 {
	if i == 0 {
		return 0
	}
	return t.ends[i-1]
}

func (t *text) add(token string) {
	t.bytes = append(t.bytes, token...)
	t.ends = append(t.ends, uint32(len(t.bytes)))
}

func (t *text) signal() {
	if t.wake != nil {
		close(t.wake)
		t.wake = nil
	}
}
