package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func newEntry(n string) rail.Instance {
	return rail.NewInstance(rail.InstanceID(n), "breno", rail.RoleEntry, "").WithIncarnation(rail.Incarnation(n))
}

// An entry that has not been listed yet must not count as removed: its tickets are still valid.
func TestOnlyAListedEntryIsReportedAsRemoved(t *testing.T) {
	is := is.New(t)
	r := &EffectRunner{listReadRequests: make(chan struct{}, 1)}
	r.targets.Store(&PollTargets{})
	r.Run(PollTargets{known: []rail.Instance{newEntry("a")}})
	is.Equal(r.unknownEntryKind("b"), rail.KindIssuerUnreachable)
	is.Equal(len(r.listReadRequests), 1) // The list is read before the interval ends.
	r.Run(PollTargets{})
	is.Equal(r.unknownEntryKind("a"), rail.KindIssuerGone)
}

func TestRemovedEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	var removed removedEntries
	for i := range maxRemovedEntries + 5 {
		removed.recordMissing([]rail.Instance{newEntry(fmt.Sprint(i))}, nil)
	}
	is.Equal(len(removed.set), maxRemovedEntries)
	is.True(!removed.has("0"))
	is.True(removed.has(rail.Incarnation(fmt.Sprint(maxRemovedEntries + 4))))
}
