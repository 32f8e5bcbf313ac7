package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/blocklist"
)

// quarantine finds the parts of prompts, and the requests, under which upstreams
// crash, and blocks them. A crash breaks off all requests at the upstream, so
// that most of them and of their parts are sound. A request whose answer goes on
// clears itself and its parts of all earlier crashes, and a crash counts for the
// part, or the request, with the most of them only. Those that crashes do not
// tell apart are blocked together: requests with all of them are refused, and
// requests with some of them are let through one at a time until an answer or
// further crashes tell which are to blame. Gateways exchange what they know. It
// can be merged in any order and more than once. All times are estimates of the
// true time of day.
type quarantine struct {
	suspects map[string]*suspect
	// answered holds when an engine was last seen to go on after it began to answer a request with the part.
	answered map[string]time.Time
	// answerTimes are times at which requests were answered, answerSpacing apart at least.
	answerTimes []time.Time
	// trials holds the last request with a blocked part that was sent to an engine to find out whether it still crashes.
	trials map[string]*Call
	// blocked holds the blocked parts and requests; it is outdated if changed is set, and from outdatedAt on.
	blocked    *blocklist.List
	changed    bool
	outdatedAt time.Time
	// requests is the number of suspects that are requests, blockedRequests that of the blocked ones.
	requests, blockedRequests int
	// comparesRequests reports whether requests are among the alternatives to blocked parts.
	comparesRequests bool
	// logged holds the parts and requests that were logged as blocked.
	logged map[string]bool
	// stored holds the suspects as in their newest records in the store.
	stored map[string]suspect
	// partKind and requestKind bound and order the suspects that are prompt parts, and those that are requests.
	partKind, requestKind suspectKind
	// added is the number of suspects that were added so far.
	added int64
}

const (
	// minCrashes is the number of crashes, since a request with the part was last answered, from which a part is blocked.
	minCrashes = 3
	// crashSpacing is the time within which crashes count as one, since reclaimed or partitioned engines end together.
	crashSpacing = 500 * time.Millisecond
	// minUnspacedCrashes is the number of crashes from which a part is blocked however close together they were, if no request
	// with it is answered within answerWait of the first answer to another one. All engines may have ended together.
	minUnspacedCrashes = 5
	// minRepeatedCrashes is the number of crashes from which a suspect may be to blame for those of another one that has more.
	minRepeatedCrashes = 2
	// alternativesTime is how long after the crashes that led to a block further ones may be those of other suspects: gateways that had not
	// heard of the block sent such requests.
	alternativesTime = 2 * time.Second
	answerWait       = 1500 * time.Millisecond
	answerSpacing    = 100 * time.Millisecond
	// answerBeginning is the time after an answer's first event in which the request may be what made its engine crash.
	answerBeginning = 500 * time.Millisecond
	// minBlockTime is how long a part is blocked; each further crash doubles the time up to maxBlockDoublings times.
	minBlockTime      = time.Minute
	maxBlockDoublings = 4
	// unreachedTrialRetryAfter is the Retry-After value while the gateway that tries out a part is not reached.
	unreachedTrialRetryAfter = 5 * time.Second
	// suspicionTime is how long crashes of a part that is not blocked are remembered.
	suspicionTime = 5 * time.Minute
	// clearedTime is how long a cleared part, and the last answer for each part, are remembered: news of crashes before may come later.
	clearedTime = 10 * time.Second
	// storeDelay is how long after a crash the parts that are not blocked are stored: most of them are cleared until then.
	storeDelay = 600 * time.Millisecond
	// maxSuspects and maxAnswered bound the parts that are tracked, maxRequestSuspects the requests, maxCrashes the crashes of each.
	maxSuspects        = 256
	maxRequestSuspects = 512
	maxAnswered        = 4096
	maxCrashes         = 32
	// maxPartKeyBytes is the longest id that is used as a key; longer ones are hashed.
	maxPartKeyBytes = 64
)

func newQuarantine() *quarantine {
	return &quarantine{suspects: map[string]*suspect{}, answered: map[string]time.Time{}, trials: map[string]*Call{}, blocked: blocklist.New(), logged: map[string]bool{}, stored: map[string]suspect{}, partKind: newSuspectKind(maxSuspects), requestKind: newSuspectKind(maxRequestSuspects)}
}

// partKey returns the key of a part in digests and in the store.
func partKey(p PromptPart) string {
	if len(p.id) <= maxPartKeyBytes {
		return p.id
	}
	return strconv.FormatUint(xxhash.Sum64String(p.id), 16)
}

// countSpaced returns the number of the sorted times, those within crashSpacing of the last one that counts left out.
func countSpaced(times []time.Time) int {
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= crashSpacing {
			n, last = n+1, at
		}
	}
	return n
}

// block is the time for which a part or a request is blocked, and after which it is tried out; a zero from is at once.
type block struct {
	from, until time.Time
	// trialOnly reports that the crashes may be ordinary ones.
	trialOnly bool
}

// blockAfter returns the block that crashes at the sorted times lead to, false if there are too few.
func (q *quarantine) blockAfter(times []time.Time, now time.Time) (block, bool) {
	if len(times) < minCrashes {
		return block{}, false
	}
	spaced := countSpaced(times)
	until := times[len(times)-1].Add(blockTime(spaced))
	switch {
	case spaced >= minCrashes:
		return block{until: until}, true
	case len(times) >= minUnspacedCrashes:
		return block{from: q.firstAnswerAfter(times[minUnspacedCrashes-1], now).Add(answerWait), until: until}, true
	}
	return block{}, false
}

// noteAnswer notes that some request was answered.
func (q *quarantine) noteAnswer(at time.Time) {
	if n := len(q.answerTimes); n == 0 || at.Sub(q.answerTimes[n-1]) >= answerSpacing {
		q.answerTimes = append(q.answerTimes, at)
	}
}

// firstAnswerAfter returns the time of the first answer after the time, now if none is known.
func (q *quarantine) firstAnswerAfter(t, now time.Time) time.Time {
	for _, at := range q.answerTimes {
		if at.After(t) {
			return at
		}
	}
	return now
}

// blockTime returns how long a part is blocked after the last of the crashes, of which so many were spaced.
func blockTime(spaced int) time.Duration {
	return minBlockTime << min(max(0, spaced-minCrashes), maxBlockDoublings)
}

// candidate is a suspect with enough crashes to be blocked for them.
type candidate struct {
	*suspect
	key   string
	count int
}

// evaluate updates the blocked parts and requests. The part with the most crashes comes first, together with those that crashes do not
// tell apart from it. Crashes that they explain do not count for the others.
func (q *quarantine) evaluate(now time.Time) {
	if !q.changed && (q.outdatedAt.IsZero() || now.Before(q.outdatedAt)) {
		return
	}
	q.changed, q.outdatedAt = false, time.Time{}
	before := q.blocked
	q.blocked = blocklist.New()
	var candidates []candidate
	q.requests, q.blockedRequests, q.comparesRequests = 0, 0, false
	for key, x := range q.suspects {
		if x.request {
			q.requests++
		}
		if n := x.crashCount(); n >= minCrashes {
			candidates = append(candidates, candidate{x, key, n})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(a.request, b.request), cmp.Compare(b.count, a.count), cmp.Compare(b.depth, a.depth), a.clearedAt.Compare(b.clearedAt), cmp.Compare(a.key, b.key))
	})
	explained := map[upstreamStart]bool{}
	for i, x := range candidates {
		b, ok := q.blockOf(x, explained, before, now)
		if !ok {
			continue
		}
		members := []candidate{x}
		if !b.trialOnly { // Otherwise it may be a sound one that was running at upstreams which ended together.
			members = append(members, q.alike(x, candidates[i+1:], explained, before, now)...)
		}
		keys := make([]string, 0, len(members))
		for _, m := range members {
			keys = append(keys, m.key)
			if m.request {
				q.blockedRequests++
			}
		}
		entry := blocklist.NewEntry(keys, b.until)
		q.blocked.Add(entry)
		if b.trialOnly {
			continue
		}
		if !x.request {
			entry.WithAlternatives(q.alternatives(x, keys, explained))
		}
		for _, m := range members {
			for engine, at := range m.crashes {
				explained[engine] = explained[engine] || m.counts(at)
			}
		}
	}
}

// blockOf returns the block that the crashes of the suspect lead to, false if there is none now. Crashes that are explained do not count.
func (q *quarantine) blockOf(x candidate, explained map[upstreamStart]bool, before *blocklist.List, now time.Time) (block, bool) {
	blockAfter := q.blockAfter
	if x.request {
		blockAfter = blockRequestAfter
	}
	b, ok := blockAfter(x.crashTimes(explained), now)
	if !ok || !now.Before(b.from) || before.Entry(x.key) != nil {
		return b, ok
	}
	if q.outdatedAt.IsZero() || b.from.Before(q.outdatedAt) {
		q.outdatedAt = b.from
	}
	return b, false
}

// alike returns those of the candidates that crashes do not tell apart from x. A prompt holds one part at each place, and a call is one
// request: if crashes fit several candidates of a place, x is what their calls have in common, and none of them is returned.
func (q *quarantine) alike(x candidate, others []candidate, explained map[upstreamStart]bool, before *blocklist.List, now time.Time) []candidate {
	crashes := x.unexplained(explained)
	byPlace := map[int][]candidate{}
	for _, y := range others {
		if x.request || !blocklist.Alike(crashes, y.countsCrash) {
			continue
		}
		if _, ok := q.blockOf(y, explained, before, now); ok {
			byPlace[y.place()] = append(byPlace[y.place()], y)
		}
	}
	var alike []candidate
	for _, candidates := range byPlace {
		if len(candidates) == 1 {
			alike = append(alike, candidates[0])
		}
	}
	return alike
}

// alternatives returns, for each crash of x that is not explained, the suspects besides the members that have it and another one. Crashes
// later than alternativesTime after those that led to the block have none, which bounds the requests that are tried out.
func (q *quarantine) alternatives(x candidate, members []string, explained map[upstreamStart]bool) [][]string {
	starts := x.unexplained(explained)
	slices.SortFunc(starts, func(a, b upstreamStart) int { return x.firstCrash(a).Compare(x.firstCrash(b)) })
	last := x.firstCrash(starts[min(len(starts), minUnspacedCrashes)-1])
	if known := x.firstCrash(starts[min(len(starts), minCrashes)-1]).Add(alternativesTime); known.After(last) {
		last = known
	}
	alternatives := make([][]string, len(starts))
	for key, y := range q.suspects {
		if slices.Contains(members, key) || y.crashCount() < minRepeatedCrashes {
			continue
		}
		for i, start := range starts {
			if y.countsCrash(start) && !x.firstCrash(start).After(last) {
				alternatives[i] = append(alternatives[i], key)
				q.comparesRequests = q.comparesRequests || y.request
			}
		}
	}
	return alternatives
}

// recordCrash records that an engine broke off a request when it began to answer it.
func (q *quarantine) recordCrash(parts []PromptPart, engine upstreamStart, at time.Time) {
	for i, p := range shareableParts(parts) {
		q.observe(partKey(p), suspect{depth: i, crashes: map[upstreamStart]time.Time{engine: at.Truncate(time.Millisecond)}})
	}
}

// recordAnswer records that an engine went on after it began to answer a request with the parts.
func (q *quarantine) recordAnswer(parts []PromptPart, at time.Time) {
	if len(q.answered) > maxAnswered {
		clear(q.answered)
	}
	q.noteAnswer(at)
	for _, p := range shareableParts(parts) {
		key := partKey(p)
		q.answered[key] = at.Truncate(time.Millisecond)
		q.clear(key, q.answered[key])
	}
}

// clear clears the part or the request, if it is suspected, of all crashes before the time.
func (q *quarantine) clear(key string, at time.Time) {
	x, ok := q.suspects[key]
	if !ok || !at.After(x.clearedAt) {
		return
	}
	if x.clearedAt = at.Truncate(time.Millisecond); len(x.crashes) > 0 {
		q.changed = true
		q.noteOwnChange(key, x)
	}
}

// merge adds what is known about a part or a request, and reports whether that changed what to tell peers.
func (q *quarantine) merge(key string, o suspect) (changed bool) {
	x, ok := q.suspects[key]
	if !ok {
		request := isRequestKey(key)
		q.makeRoom(request)
		q.added++
		x = &suspect{request: request, number: q.added, clearedAt: q.answered[key], crashes: map[upstreamStart]time.Time{}, first: map[upstreamStart]time.Time{}}
		q.suspects[key] = x
		if x.request {
			q.requests++
		}
	}
	if o.clearedAt.After(x.clearedAt) {
		x.clearedAt, changed = o.clearedAt, true
		q.noteAnswer(o.clearedAt)
	}
	x.depth = max(x.depth, o.depth)
	for engine, at := range o.crashes {
		for _, earlier := range []time.Time{x.crashes[engine], o.first[engine], at} {
			changed = x.noteFirst(engine, earlier) || changed
		}
		if at.After(x.crashes[engine]) {
			x.crashes[engine], changed = at, true
		}
	}
	q.changed = q.changed || changed
	x.dropMiddleCrashes()
	return changed
}

// forget drops a suspect.
func (q *quarantine) forget(key string) {
	if x, ok := q.suspects[key]; ok {
		if x.request {
			q.requests--
		}
		q.kind(x.request).dropNews(x)
	}
	delete(q.suspects, key)
	delete(q.trials, key)
	q.changed = true
}

// check decides on a call of the team. onTrial reports whether another call that tries out the part or the request is pending, mayTry
// whether this gateway may try out a blocked request so long after the end of its block.
func (q *quarantine) check(c *Call, team string, now time.Time, onTrial func(key string) bool, mayTry func(key string, since time.Duration) bool) blocklist.Verdict {
	v := q.blockOfCall(c, team, now)
	for _, t := range v.Trials() {
		key := t.Entry().Key()
		switch {
		case slices.ContainsFunc(t.Entry().Members(), onTrial):
			v = v.Refuse(pendingTrialRetryAfter)
		case onlyRequest(t.Entry()) && !mayTry(key, now.Sub(t.Entry().Until())):
			v = v.Refuse(pendingTrialRetryAfter)
		}
	}
	return v
}

// blockOfCall decides on a call of the team by what is blocked alone.
func (q *quarantine) blockOfCall(c *Call, team string, now time.Time) blocklist.Verdict {
	q.evaluate(now)
	return q.blocked.Check(q.blockableKeys(c, team), now)
}

// onlyRequest reports whether the entry is a request alone.
func onlyRequest(e *blocklist.Entry) bool { return len(e.Members()) == 1 && isRequestKey(e.Key()) }

// blockableKeys returns the keys of the call's parts and of itself, as far as any may be blocked.
func (q *quarantine) blockableKeys(c *Call, team string) []string {
	if q.blocked.Len() == 0 {
		return nil
	}
	var keys []string
	for _, p := range shareableParts(c.parts) {
		keys = append(keys, partKey(p))
	}
	if q.blockedRequests > 0 || q.comparesRequests {
		keys = append(keys, c.requestKey(team))
	}
	return keys
}

// startTrials notes the call of the team as the trial of its blocked parts, and of itself if it is blocked.
func (q *quarantine) startTrials(c *Call, team string) {
	for _, key := range q.blockableKeys(c, team) {
		if q.blocked.Entry(key) != nil {
			q.trials[key] = c
		}
	}
}

// tick forgets what has expired, and returns log lines for the parts that are blocked or released since the last call.
func (q *quarantine) tick(now time.Time) []Effect {
	for key, x := range q.suspects {
		if x.expired(now) {
			q.forget(key)
		}
	}
	for key, at := range q.answered {
		if now.Sub(at) > clearedTime {
			delete(q.answered, key)
		}
	}
	q.answerTimes = slices.DeleteFunc(q.answerTimes, func(at time.Time) bool { return now.Sub(at) > clearedTime })
	q.evaluate(now)
	var effects []Effect
	for _, e := range q.blocked.Entries() {
		for _, key := range e.Members() {
			if !q.logged[key] {
				q.logged[key] = true
				effects = append(effects, reportKey(rail.EventPromptPartBlocked, rail.EventRequestBlocked, key, NewField("crashes", q.suspects[key].crashCount()), NewField("with", e.Members()), NewField("leftMs", e.Until().Sub(now).Milliseconds())))
			}
		}
	}
	for key := range q.logged {
		if q.blocked.Entry(key) == nil {
			delete(q.logged, key)
			effects = append(effects, reportKey(rail.EventPromptPartReleased, rail.EventRequestReleased, key))
		}
	}
	return effects
}

// reportKey returns the log line of a part or of a request.
func reportKey(part, request rail.EventNumber, key string, fields ...Field) Effect {
	if isRequestKey(key) {
		return report(request, append([]Field{NewField("key", key)}, fields...)...)
	}
	return report(part, append([]Field{NewField("part", key)}, fields...)...)
}

// applyStored merges the records that were read from the store; full reports whether there are no others.
func (q *quarantine) applyStored(records map[string]suspect, full bool) {
	if full {
		clear(q.stored)
	}
	for key, x := range records {
		if len(x.crashes) == 0 && x.clearedAt.IsZero() {
			delete(q.stored, key)
			continue
		}
		q.stored[key] = x
		if q.admits(key, x) {
			q.merge(key, x)
		}
	}
}

// unstored returns the suspects whose records in the store lack something, an empty one for each record that is not needed any more.
func (q *quarantine) unstored(now time.Time) map[string]suspect {
	q.evaluate(now)
	records := map[string]suspect{}
	for key, x := range q.suspects {
		stored := q.stored[key]
		before := now.Add(-storeDelay)
		if q.blocked.Entry(key) != nil {
			before = now.Add(storeDelay) // News from gateways whose clocks are ahead counts too.
		}
		lacking := !stored.covers(*x, before)
		cleared := stored.crashCount() >= minCrashes && x.crashCount() == 0
		if lacking || cleared {
			records[key] = x.clone()
		}
	}
	for key, stored := range q.stored {
		if _, ok := q.suspects[key]; !ok && stored.expired(now) {
			records[key] = suspect{}
		}
	}
	return records
}

// recordPromptOutcome records what an attempt tells about the call and the parts of its prompt. An answer that ended with its
// connection may have been broken off. The attempt ended at the time, seen is the true one.
func (s *State) recordPromptOutcome(c *Call, p pendingCall, o Outcome, at, seen time.Time) {
	switch {
	case o.answered && o.endedWithConnection:
		s.keepUnconfirmed(c, &p, o, at, seen)
	case o.answered && !o.endedWithConnection && o.kind.Reply().Run() != rail.NotRun:
		s.quarantine.recordRequestAnswer(c, p.teamName(), seen)
		if o.kind == rail.KindNone {
			s.quarantine.recordAnswer(c.parts, seen)
		}
	case o.brokenOff() && (!p.gotFirstToken || at.Sub(p.firstTokenAt) < answerBeginning):
		crashed := p.target.start()
		s.quarantine.recordCrash(c.parts, crashed, seen)
		s.quarantine.recordRequestCrash(c.requestKey(p.teamName()), crashed, seen)
		s.recordEnd(p.target, seen)
	case o.brokenOff(), errors.Is(o.err, syscall.ECONNREFUSED):
		s.recordEnd(p.target, seen)
	case !p.gotFirstToken && (o.kind == rail.KindUpstreamSilent || o.kind == rail.KindDeadlinePassed):
		p.target.abandon(c.requestKey(p.teamName()), at)
	}
}
