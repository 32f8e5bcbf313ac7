package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"dandelionrail.org/rail/gen/railv1"
)

// message returns the suspect as a protobuf message.
func (x suspect) message(key string) *railv1.PromptPartSuspect {
	m := &railv1.PromptPartSuspect{Part: key, Depth: int32(x.depth)} //nolint:gosec // Bounded by the size of a header.
	if !x.clearedAt.IsZero() {
		m.ClearedMs = x.clearedAt.UnixMilli()
	}
	for k, at := range x.crashes {
		crash := &railv1.EngineCrash{Upstream: k.id, StartedAtMs: k.startedAtMs, AtMs: at.UnixMilli()}
		if first, ok := x.first[k]; ok && first.Before(at) {
			crash.FirstMs = first.UnixMilli()
		}
		m.Crashes = append(m.Crashes, crash)
	}
	return m
}

// suspectFrom returns the suspect in a message.
func suspectFrom(m *railv1.PromptPartSuspect) suspect {
	x := suspect{request: isRequestKey(m.GetPart()), depth: int(m.GetDepth()), crashes: make(map[upstreamStart]time.Time, len(m.GetCrashes())), first: map[upstreamStart]time.Time{}}
	if m.GetClearedMs() != 0 {
		x.clearedAt = time.UnixMilli(m.GetClearedMs())
	}
	for _, c := range m.GetCrashes() {
		engine := upstreamStart{c.GetUpstream(), c.GetStartedAtMs()}
		x.crashes[engine] = time.UnixMilli(c.GetAtMs())
		if c.GetFirstMs() != 0 {
			x.first[engine] = time.UnixMilli(c.GetFirstMs())
		}
	}
	return x
}

// encode returns the value of the suspect's record in the store, empty for a record to delete.
func (x suspect) encode(key string) ([]byte, error) {
	if len(x.crashes) == 0 && x.clearedAt.IsZero() {
		return nil, nil
	}
	value, err := proto.Marshal(x.message(key))
	return value, errors.Wrap(err, "encode")
}

// UnstoredSuspects returns the values of the records that this gateway must write to the store, by key, so that gateways that
// its digests do not reach, and those that start later, know the blocked prompt parts. An empty value deletes the record. The
// readers of the store write on behalf of those that they receive digests from.
func (s *State) UnstoredSuspects(now time.Time) (map[string][]byte, error) {
	s.now = now
	if s.registry.storeUnavailable || !s.ReadsStore() {
		return nil, nil
	}
	records := map[string][]byte{}
	unstored := s.quarantine.unstored(s.trueTime())
	mostCrashes := func(a, b string) int {
		return cmp.Or(cmp.Compare(len(unstored[b].crashes), len(unstored[a].crashes)), cmp.Compare(a, b))
	}
	for _, key := range slices.SortedFunc(maps.Keys(unstored), mostCrashes) {
		value, err := unstored[key].encode(key)
		if err != nil {
			return records, err
		}
		if records[key] = value; len(records) == maxSuspectRecords {
			break
		}
	}
	return records, nil
}

// maxSuspectRecords bounds the records of one write.
const maxSuspectRecords = 64

func decodeSuspect(value []byte) (suspect, error) {
	var m railv1.PromptPartSuspect
	if err := proto.Unmarshal(value, &m); err != nil {
		return suspect{}, errors.Wrap(err, "decodeSuspect")
	}
	return suspectFrom(&m), nil
}
