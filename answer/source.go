package answer

import (
	"context"
	"slices"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/group"
)

// ReadResult is a part of an answer, read here or at another entry.
type ReadResult struct {
	chunks []rail.Chunk
	done   bool
	kind   rail.Kind
	reply  rail.ServiceReply
}

// NewReadResult returns the tokens, whether they are the last, and why the answer is incomplete.
func NewReadResult(chunks []rail.Chunk, done bool, kind rail.Kind, reply rail.ServiceReply) ReadResult {
	return ReadResult{chunks: chunks, done: done, kind: kind, reply: reply}
}

// Chunks returns the tokens.
func (r ReadResult) Chunks() []rail.Chunk { return r.chunks }

// Done reports whether no more tokens follow.
func (r ReadResult) Done() bool { return r.done }

// Kind returns why the answer is incomplete.
func (r ReadResult) Kind() rail.Kind { return r.kind }

// Reply returns a service's answer.
func (r ReadResult) Reply() rail.ServiceReply { return r.reply }

// Entries lists the entries that may hold an answer.
type Entries interface {
	// Entries returns the live entries except this one.
	Entries() []rail.Instance
}

// Source finds answers in the store or at the entry that holds them.
type Source struct {
	store         *Store
	peers         PeerClient
	entries       Entries
	searchTimeout time.Duration
}

// NewSource returns a source that searches the other entries for an answer for at most the reconnect time.
func NewSource(settings Settings, store *Store, peers PeerClient, entries Entries) *Source {
	return &Source{store: store, peers: peers, entries: entries, searchTimeout: settings.reconnectTimeout}
}

// Open returns a reader of the team's answer, wherever it is held.
func (s *Source) Open(team rail.TeamName, id rail.RequestID) *Reader {
	return &Reader{source: s, team: team, id: id}
}

const (
	// searchFetchWait is how long an entry waits for the next token when a search asks it for an answer.
	searchFetchWait = 50 * time.Millisecond
	// holderFetchWait is the same for an entry that is known to hold the answer.
	holderFetchWait = time.Second
	// minSearchPause is the wait after the first search of all entries; it doubles up to maxSearchPause.
	minSearchPause = 100 * time.Millisecond
	maxSearchPause = 2 * time.Second
	// maxParallelFetches is how many entries a search asks at once.
	maxParallelFetches = 16
)

// Reader reads one answer for one caller; it is not safe for concurrent use.
type Reader struct {
	source *Source
	team   rail.TeamName
	id     rail.RequestID
	holder rail.Instance
}

// Next waits for tokens from the offset on; if the result has no tokens and is not done, Next must be called again.
func (r *Reader) Next(ctx context.Context, from int) (ReadResult, error) {
	result, err := r.readLocal(ctx, from)
	if err == nil && !result.moved() {
		return result, nil
	}
	if err != nil && rail.KindOf(err) != rail.KindUnknownAnswer {
		return ReadResult{}, err
	}
	if r.holder.ID() != "" {
		result, err = r.fetch(ctx, r.holder, from, holderFetchWait)
		if err == nil && !result.moved() {
			return result, nil
		}
		r.holder = rail.Instance{}
	}
	return r.search(ctx, from)
}

func (r *Reader) readLocal(ctx context.Context, from int) (ReadResult, error) {
	owner, held := r.source.store.Owner(r.id)
	if !held || owner != r.team {
		return ReadResult{}, rail.NewError(rail.KindUnknownAnswer, "answer %s is not held", r.id)
	}
	chunks, done, kind, err := r.source.store.Read(ctx, r.id, from)
	if err != nil {
		return ReadResult{}, err
	}
	reply, _ := r.source.store.Reply(r.id)
	return NewReadResult(chunks, done, kind, reply).withTokensBeforeMove(), nil
}

// moved reports whether another entry continues the answer.
func (r ReadResult) moved() bool { return r.done && r.kind == rail.KindMoved }

// withTokensBeforeMove hides a move as long as the result has tokens that were generated before it.
func (r ReadResult) withTokensBeforeMove() ReadResult {
	if r.moved() && len(r.chunks) > 0 {
		r.done, r.kind = false, rail.KindNone
	}
	return r
}

func (r *Reader) fetch(ctx context.Context, entry rail.Instance, from int, wait time.Duration) (ReadResult, error) {
	result, err := r.source.peers.Fetch(ctx, entry, r.team, r.id, from, wait)
	return result.withTokensBeforeMove(), err
}

// search asks all entries repeatedly, because a handover may be in progress.
func (r *Reader) search(ctx context.Context, from int) (ReadResult, error) {
	pause, end := minSearchPause, time.Now().Add(r.source.searchTimeout)
	for {
		for entries := range slices.Chunk(r.source.entries.Entries(), maxParallelFetches) {
			if result, holder, ok := r.fetchFirst(ctx, entries, from); ok {
				r.holder = holder
				return result, nil
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

// fetchFirst asks the entries in parallel and returns the first result of one that holds the answer.
func (r *Reader) fetchFirst(ctx context.Context, entries []rail.Instance, from int) (ReadResult, rail.Instance, bool) {
	type fetched struct {
		result ReadResult
		holder rail.Instance
		err    error
	}
	g := group.New(ctx)
	defer g.Stop()
	results := make(chan fetched, len(entries))
	for _, e := range entries {
		g.Go(func(ctx context.Context) {
			result, err := r.fetch(ctx, e, from, searchFetchWait)
			results <- fetched{result, e, err}
		})
	}
	for range entries {
		if f := <-results; f.err == nil && !f.result.moved() {
			return f.result, f.holder, true
		}
	}
	return ReadResult{}, rail.Instance{}, false
}
