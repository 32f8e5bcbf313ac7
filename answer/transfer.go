package answer

import (
	"time"

	"dandelionrail.org/rail"
)

// Transfer is one request on its way from a leaving entry to its successor.
type Transfer struct {
	request rail.Request
	attempt int
	wait    time.Duration
	answer  Snapshot
	// upstream is where the last attempt ran, empty if it must not run there again.
	upstream rail.InstanceID
	// ended says that the request ended here after a copy of it was sent.
	ended bool
}

// NewTransfer returns the request; attempt is the last one made, and the successor starts its own after the wait.
func NewTransfer(request rail.Request, attempt int, wait time.Duration) Transfer {
	return Transfer{request: request, attempt: attempt, wait: wait}
}

// WithAnswer returns a copy with the answer so far.
func (t Transfer) WithAnswer(k Snapshot) Transfer { t.answer = k; return t }

// WithUpstream returns a copy that names the upstream of the last attempt, which may still hold the prompt.
func (t Transfer) WithUpstream(id rail.InstanceID) Transfer { t.upstream = id; return t }

// Upstream returns the upstream of the last attempt, empty if another one must be taken.
func (t Transfer) Upstream() rail.InstanceID { return t.upstream }

// Request returns the request.
func (t Transfer) Request() rail.Request { return t.request }

// Attempt returns the number of the last attempt made.
func (t Transfer) Attempt() int { return t.attempt }

// ResumeDelay returns how long the successor waits before it resumes, because the answer may still end here.
func (t Transfer) ResumeDelay() time.Duration { return t.wait }

// Answer returns the answer so far.
func (t Transfer) Answer() Snapshot { return t.answer }

// Snapshot is an answer as the store holds it.
type Snapshot struct {
	tokens []string
	done   bool
	kind   rail.Kind
	reply  rail.ServiceReply
}

// NewSnapshot returns an unfinished answer with its tokens.
func NewSnapshot(tokens []string) Snapshot { return Snapshot{tokens: tokens} }

// WithEnd returns a copy that is finished.
func (k Snapshot) WithEnd(kind rail.Kind, reply rail.ServiceReply) Snapshot {
	k.done, k.kind, k.reply = true, kind, reply
	return k
}

// Tokens returns the tokens; the slice must not be changed.
func (k Snapshot) Tokens() []string { return k.tokens }

// size returns the bytes of the answer.
func (k Snapshot) size() int {
	n := len(k.reply.Body())
	for _, token := range k.tokens {
		n += len(token)
	}
	return n
}

// Done reports whether the answer is finished.
func (k Snapshot) Done() bool { return k.done }

// Kind returns why a finished answer is not whole.
func (k Snapshot) Kind() rail.Kind { return k.kind }

// Reply returns a service's answer.
func (k Snapshot) Reply() rail.ServiceReply { return k.reply }
