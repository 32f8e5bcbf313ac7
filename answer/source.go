package answer

import (
	"context"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
)

// ReadResult is a part of an answer that another entry holds.
type ReadResult struct {
	chunks []rail.Chunk
	done   bool
	kind   rail.Kind
	reply  rail.ServiceReply
}

// NewReadResult returns the tokens, whether they are the last, and why the answer is not whole.
func NewReadResult(chunks []rail.Chunk, done bool, kind rail.Kind, reply rail.ServiceReply) ReadResult {
	return ReadResult{chunks: chunks, done: done, kind: kind, reply: reply}
}

// Chunks returns the tokens.
func (p ReadResult) Chunks() []rail.Chunk { return p.chunks }

// Done reports whether no more tokens follow.
func (p ReadResult) Done() bool { return p.done }

// Kind returns why the answer is not whole.
func (p ReadResult) Kind() rail.Kind { return p.kind }

// Reply returns a service's answer.
func (p ReadResult) Reply() rail.ServiceReply { return p.reply }

// Entries lists the entries that may hold an answer.
type Entries interface {
	// Entries returns the live entries but this one.
	Entries() []rail.Instance
}

// Source finds answers in the store or at the entry that holds them.
type Source struct {
	store   *Store
	peers   PeerClient
	entries Entries
	search  time.Duration
}

// NewSource returns a source that looks for an answer at other entries for the reconnect time.
func NewSource(settings Settings, store *Store, peers PeerClient, entries Entries) *Source {
	return &Source{store: store, peers: peers, entries: entries, search: settings.reconnect}
}

// Open returns a reader of the team's answer, wherever it is held.
func (s *Source) Open(team rail.TeamName, id rail.RequestID) *Reader {
	return &Reader{source: s, team: team, id: id}
}

const (
	// lookWait is how long an entry that is asked for an answer waits for its next token.
	lookWait = 50 * time.Millisecond
	// followWait is the same for an entry that is known to hold it.
	followWait = time.Second
	// searchPause is the wait after the first search over all entries; it doubles up to maxSearchPause.
	searchPause    = 100 * time.Millisecond
	maxSearchPause = 2 * time.Second
	// searchWidth is how many entries are asked at once.
	searchWidth = 16
)

// Reader reads one answer for one caller; it is used from one goroutine.
type Reader struct {
	source *Source
	team   rail.TeamName
	id     rail.RequestID
	holder rail.Instance
}

// Next waits for tokens from the offset on; a piece without tokens that is not done asks for another call.
func (r *Reader) Next(ctx context.Context, from int) (ReadResult, error) {
	piece, err := r.local(ctx, from)
	if err == nil && !piece.moved() {
		return piece, nil
	}
	if err != nil && rail.KindOf(err) != rail.KindUnknownAnswer {
		return ReadResult{}, err
	}
	if r.holder.ID() != "" {
		piece, err = r.fetch(ctx, r.holder, from, followWait)
		if err == nil && !piece.moved() {
			return piece, nil
		}
		r.holder = rail.Instance{}
	}
	return r.search(ctx, from)
}

func (r *Reader) local(ctx context.Context, from int) (ReadResult, error) {
	owner, held := r.source.store.Owner(r.id)
	if !held || owner != r.team {
		return ReadResult{}, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", r.id)
	}
	chunks, done, kind, err := r.source.store.Read(ctx, r.id, from)
	if err != nil {
		return ReadResult{}, err
	}
	reply, _ := r.source.store.Reply(r.id)
	return NewReadResult(chunks, done, kind, reply).untilMoved(), nil
}

// moved reports whether another entry goes on with the answer.
func (p ReadResult) moved() bool { return p.done && p.kind == rail.KindMoved }

// untilMoved hands out the tokens first that came before the answer was moved.
func (p ReadResult) untilMoved() ReadResult {
	if p.moved() && len(p.chunks) > 0 {
		p.done, p.kind = false, rail.KindNone
	}
	return p
}

func (r *Reader) fetch(ctx context.Context, entry rail.Instance, from int, wait time.Duration) (ReadResult, error) {
	piece, err := r.source.peers.Fetch(ctx, entry, r.team, r.id, from, wait)
	return piece.untilMoved(), err
}

// search asks all entries again and again, because a handover may be under way.
func (r *Reader) search(ctx context.Context, from int) (ReadResult, error) {
	pause, end := searchPause, time.Now().Add(r.source.search)
	for {
		for entries := range slices.Chunk(r.source.entries.Entries(), searchWidth) {
			if piece, holder, ok := r.ask(ctx, entries, from); ok {
				r.holder = holder
				return piece, nil
			}
		}
		if !time.Now().Add(pause).Before(end) {
			return ReadResult{}, rail.NewError(rail.KindUnknownAnswer, "answer %s is held by no entry that can be reached", r.id)
		}
		select {
		case <-ctx.Done():
			return ReadResult{}, rail.WrapError(ctx.Err(), rail.KindCancelled, "looking for an answer")
		case <-time.After(pause):
		}
		pause = min(2*pause, maxSearchPause)
	}
}

// ask asks some entries at once and takes the first that holds the answer.
func (r *Reader) ask(ctx context.Context, entries []rail.Instance, from int) (ReadResult, rail.Instance, bool) {
	type found struct {
		piece  ReadResult
		holder rail.Instance
		err    error
	}
	g := group.New(ctx)
	defer g.Stop()
	results := make(chan found, len(entries))
	for _, e := range entries {
		g.Go(func(ctx context.Context) {
			piece, err := r.fetch(ctx, e, from, lookWait)
			results <- found{piece, e, err}
		})
	}
	for range entries {
		if f := <-results; f.err == nil && !f.piece.moved() {
			return f.piece, f.holder, true
		}
	}
	return ReadResult{}, rail.Instance{}, false
}
