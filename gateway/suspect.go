package gateway

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

// suspect is a prompt part of which requests were beginning to be answered when engines crashed, or a request that was running when
// upstreams did.
type suspect struct {
	// request reports whether it is a whole request.
	request   bool
	clearedAt time.Time
	// depth is the position of the part in prompts.
	depth int
	// crashes holds the last crash of each engine, first the first one that counts.
	crashes, first map[upstreamStart]time.Time
	// number is its position in the order in which suspects were added.
	number int64
	// ownNews and peerNews are its elements in the lists of its kind, nil if it is not in them.
	ownNews, peerNews *list.Element
}

// upstreamStart identifies a start of an upstream.
type upstreamStart struct {
	id          string
	startedAtMs int64
}

// counts reports whether the crash was after the part was cleared.
func (x suspect) counts(at time.Time) bool { return at.After(x.clearedAt) }

// crashTimes returns the times of the crashes that count, in order: of each engine the first one and, if it is apart, the last one.
// except leaves out engines.
func (x suspect) crashTimes(except map[upstreamStart]bool) []time.Time {
	var times []time.Time
	for engine, at := range x.crashes {
		if !x.counts(at) || except[engine] {
			continue
		}
		times = append(times, at)
		if first, ok := x.first[engine]; ok && x.counts(first) && at.Sub(first) >= crashSpacing {
			times = append(times, first)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// crashCount returns the number of crashes that count.
func (x suspect) crashCount() int {
	n := 0
	for _, at := range x.crashes {
		if x.counts(at) {
			n++
		}
	}
	return n
}

// unexplained returns the starts of upstreams whose crashes count, without those that are explained.
func (x suspect) unexplained(explained map[upstreamStart]bool) []upstreamStart {
	var starts []upstreamStart
	for start, at := range x.crashes {
		if x.counts(at) && !explained[start] {
			starts = append(starts, start)
		}
	}
	return starts
}

// countsCrash reports whether the upstream's start crashed, and that counts.
func (x suspect) countsCrash(start upstreamStart) bool {
	at, ok := x.crashes[start]
	return ok && x.counts(at)
}

// requestPlace is the place of a request, which is no part.
const requestPlace = -1

// place returns where the part stands in prompts.
func (x suspect) place() int {
	if x.request {
		return requestPlace
	}
	return x.depth
}

// expired reports whether nothing has to be remembered about the part any more. A blocked part is remembered for twice the
// time for which it is blocked, so that it can be tried out.
func (x suspect) expired(now time.Time) bool {
	times := x.crashTimes(nil)
	switch {
	case len(times) == 0:
		return now.Sub(x.clearedAt) > clearedTime
	case x.request && len(times) == 1:
		return now.Sub(times[0]) > requestSuspicionTime
	case x.request:
		return now.Sub(times[len(times)-1]) > 2*requestBlockTime(countSpaced(times))
	}
	return now.Sub(times[len(times)-1]) > max(suspicionTime, 2*blockTime(countSpaced(times)))
}

// clone returns a copy that shares nothing with the suspect.
func (x suspect) clone() suspect {
	return suspect{request: x.request, clearedAt: x.clearedAt, depth: x.depth, crashes: x.counting(x.crashes), first: x.counting(x.first)}
}

// counting returns those of the crashes that count.
func (x suspect) counting(crashes map[upstreamStart]time.Time) map[upstreamStart]time.Time {
	counting := make(map[upstreamStart]time.Time, len(crashes))
	for engine, at := range crashes {
		if x.counts(at) {
			counting[engine] = at
		}
	}
	return counting
}

// covers reports whether the suspect has all crashes of the other one that count and were before the time.
func (x suspect) covers(o suspect, before time.Time) bool {
	for engine, at := range o.crashes {
		if o.counts(at) && at.Before(before) && x.crashes[engine].Before(at) {
			return false
		}
	}
	return true
}

// lastCrash returns the time of the last crash, zero if there is none.
func (x suspect) lastCrash() time.Time {
	var last time.Time
	for _, at := range x.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// noteFirst notes a crash of the engine, which may be its first one that counts, and reports whether it is.
func (x *suspect) noteFirst(engine upstreamStart, at time.Time) bool {
	first, ok := x.first[engine]
	if at.IsZero() || !x.counts(at) || (ok && x.counts(first) && !at.Before(first)) {
		return false
	}
	x.first[engine] = at
	return true
}

// dropMiddleCrashes keeps the engines that crashed first, those whose crashes are apart, and those that crashed last: what a block was
// first based on must not be forgotten, and the block's end follows from the last.
func (x *suspect) dropMiddleCrashes() {
	if len(x.crashes) <= maxCrashes {
		return
	}
	engines := slices.SortedFunc(maps.Keys(x.crashes), func(a, b upstreamStart) int {
		return cmp.Or(x.firstCrash(a).Compare(x.firstCrash(b)), cmp.Compare(a.id, b.id), cmp.Compare(a.startedAtMs, b.startedAtMs))
	})
	kept := map[upstreamStart]bool{}
	var last time.Time
	for i, engine := range engines {
		apart := i == 0 || x.firstCrash(engine).Sub(last) >= crashSpacing
		if apart {
			last = x.firstCrash(engine)
		}
		if i < maxCrashes/4 || (apart && len(kept) < maxCrashes/2) {
			kept[engine] = true
		}
	}
	for i := len(engines) - 1; len(kept) < maxCrashes; i-- {
		kept[engines[i]] = true
	}
	for _, engine := range engines {
		if !kept[engine] {
			delete(x.crashes, engine)
			delete(x.first, engine)
		}
	}
}

// firstCrash returns the first crash of the engine that counts, or its last one.
func (x *suspect) firstCrash(engine upstreamStart) time.Time {
	if at, ok := x.first[engine]; ok && x.counts(at) {
		return at
	}
	return x.crashes[engine]
}
