package blocklist

import (
	"slices"
	"time"
)

// maxUnshared is the number of crashes that one suspect may have more than another one without being told apart from it: a sound
// request may have been at an engine that crashed for another reason.
const maxUnshared = 1

// Alike reports whether crashes do not tell two suspects apart, of which the first one has as many or more; has reports whether the other
// one has a crash.
func Alike[C any](crashes []C, has func(C) bool) bool {
	unshared := 0
	for _, crash := range crashes {
		if has(crash) {
			continue
		}
		if unshared++; unshared > maxUnshared {
			return false
		}
	}
	return true
}

// Entry is a set of suspects that no answer and no crash tells apart. What is known of them is that requests that hold all of them crash
// upstreams.
type Entry struct {
	members []string
	until   time.Time
	// alternatives holds, for each crash, the keys of the other suspects that may be to blame for it.
	alternatives [][]string
}

// NewEntry returns the entry with the keys of its suspects; requests with all of them are refused until the time.
func NewEntry(members []string, until time.Time) *Entry {
	return &Entry{members: slices.Sorted(slices.Values(members)), until: until}
}

// WithAlternatives returns the entry with the keys of the other suspects that may be to blame for each of its crashes; none may be.
func (e *Entry) WithAlternatives(alternatives [][]string) *Entry {
	e.alternatives = alternatives
	return e
}

// untried reports whether the crashes may tell nothing of requests that hold all members and the keys: others may be to blame for each crash,
// but for maxUnshared, and the request holds none of them.
func (e *Entry) untried(holds map[string]bool) bool {
	unexplained := 0
	for _, others := range e.alternatives {
		if slices.ContainsFunc(others, func(key string) bool { return holds[key] }) {
			return false
		}
		if len(others) == 0 {
			unexplained++
		}
	}
	return unexplained <= maxUnshared && unexplained < len(e.alternatives)
}

// Members returns the keys of the suspects, sorted.
func (e *Entry) Members() []string { return e.members }

// Until returns the time until which requests that hold all members are refused.
func (e *Entry) Until() time.Time { return e.until }

// Key returns a key of the entry that is the same at all gateways.
func (e *Entry) Key() string { return e.members[0] }

// List holds the entries in force.
type List struct {
	byMember map[string]*Entry
}

// New returns an empty list.
func New() *List { return &List{byMember: map[string]*Entry{}} }

// Add adds an entry; its members must be in no other one.
func (l *List) Add(e *Entry) {
	for _, key := range e.members {
		l.byMember[key] = e
	}
}

// Entry returns the entry that the suspect is in, nil if there is none.
func (l *List) Entry(key string) *Entry { return l.byMember[key] }

// Entries returns the entries in the order of their keys.
func (l *List) Entries() []*Entry {
	var entries []*Entry
	for key, e := range l.byMember {
		if key == e.Key() {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return slices.Compare(a.members, b.members) })
	return entries
}

// Len returns the number of suspects in the entries.
func (l *List) Len() int { return len(l.byMember) }

// Check decides on a request with the keys. A request that holds only some members of an entry shows whether they are to blame, as does one
// that holds all of them, but none of the other suspects of the crashes. One that holds all of them shows whether they still are once the
// entry's time has passed.
func (l *List) Check(keys []string, now time.Time) Verdict {
	if len(l.byMember) == 0 {
		return Verdict{}
	}
	held, holds := map[*Entry]int{}, map[string]bool{}
	for _, key := range keys {
		holds[key] = true
		if e := l.byMember[key]; e != nil {
			held[e]++
		}
	}
	var v Verdict
	for e, n := range held {
		switch {
		case n < len(e.members), now.Before(e.until) && e.untried(holds):
			v.trials = append(v.trials, Trial{entry: e})
		case now.Before(e.until):
			v.refused, v.wait = true, max(v.wait, e.until.Sub(now))
		default:
			v.trials = append(v.trials, Trial{entry: e, expired: true})
		}
	}
	slices.SortFunc(v.trials, func(a, b Trial) int { return slices.Compare(a.entry.members, b.entry.members) })
	return v
}

// Trial is what a request would show of an entry.
type Trial struct {
	entry *Entry
	// expired reports whether the request holds all members after the entry's time.
	expired bool
}

// Entry returns the entry.
func (t Trial) Entry() *Entry { return t.entry }

// Expired reports whether the request holds all members of the entry, and its time has passed.
func (t Trial) Expired() bool { return t.expired }

// Verdict is the decision on a request: it is refused, tries out entries, or neither.
type Verdict struct {
	refused bool
	wait    time.Duration
	trials  []Trial
}

// Refused reports whether the request is refused, and when to try again.
func (v Verdict) Refused() (time.Duration, bool) { return v.wait, v.refused }

// Trials returns the trials that the request would be.
func (v Verdict) Trials() []Trial { return v.trials }

// Refuse returns the verdict that the request is refused and may be sent again after the time.
func (v Verdict) Refuse(wait time.Duration) Verdict {
	v.refused, v.wait = true, max(v.wait, wait)
	return v
}
