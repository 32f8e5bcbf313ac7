package answer

import (
	"time"

	"dandelionrail.org/rail"
)

// Transfer is one request on its way from a leaving entry to its successor.
type Transfer struct {
	request     rail.Request
	attempt     int
	resumeDelay time.Duration
	answer      Snapshot
	// upstream is where the last attempt ran, empty if it must not run there again.
	upstream rail.InstanceID
	// ended is whether the request ended here after a copy of it was sent.
	ended bool
}

// NewTransfer returns a transfer; attempt is the last one made, and the successor starts its own after the delay.
func NewTransfer(request rail.Request, attempt int, resumeDelay time.Duration) Transfer {
	return Transfer{request: request, attempt: attempt, resumeDelay: resumeDelay}
}

// WithAnswer returns a copy with the answer so far.
func (t Transfer) WithAnswer(s Snapshot) Transfer { t.answer = s; return t }

// WithUpstream returns a copy that names the upstream of the last attempt, which may still hold the prompt.
func (t Transfer) WithUpstream(id rail.InstanceID) Transfer { t.upstream = id; return t }

// Upstream returns the upstream of the last attempt, empty if another one must be chosen.
func (t Transfer) Upstream() rail.InstanceID { return t.upstream }

// Request returns the request.
func (t Transfer) Request() rail.Request { return t.request }

// Attempt returns the number of the last attempt made.
func (t Transfer) Attempt() int { return t.attempt }

// ResumeDelay returns how long the successor waits before it resumes, as the answer may still end at the leaving entry.
func (t Transfer) ResumeDelay() time.Duration { return t.resumeDelay }

// Answer returns the answer so far.
func (t Transfer) Answer() Snapshot { return t.answer }

// Snapshot is a copy of an answer in the store.
type Snapshot struct {
	tokens []string
	done   bool
	kind   rail.Kind
	reply  rail.ServiceReply
}

// NewSnapshot returns an unfinished answer with its tokens.
func NewSnapshot(tokens []string) Snapshot { return Snapshot{tokens: tokens} }

// WithEnd returns a copy that is finished.
func (s Snapshot) WithEnd(kind rail.Kind, reply rail.ServiceReply) Snapshot {
	s.done, s.kind, s.reply = true, kind, reply
	return s
}

// Tokens returns the tokens; the slice must not be changed.
func (s Snapshot) Tokens() []string { return s.tokens }

// size returns the number of bytes of the answer.
func (s Snapshot) size() int {
	n := len(s.reply.Body())
	for _, token := range s.tokens {
		n += len(token)
	}
	return n
}

// Done reports whether the answer is finished.
func (s Snapshot) Done() bool { return s.done }

// Kind returns why a finished answer is incomplete.
func (s Snapshot) Kind() rail.Kind { return s.kind }

// Reply returns a service's answer.
func (s Snapshot) Reply() rail.ServiceReply { return s.reply }
