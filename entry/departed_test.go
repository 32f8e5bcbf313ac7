package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func entryNamed(n string) rail.Instance {
	return rail.NewInstance(rail.InstanceID(n), "breno", rail.RoleEntry, "").WithIncarnation(rail.Incarnation(n))
}

// An entry that no list has shown yet must not be called gone: its tickets still work.
func TestOnlyAnEntryThatWasListedIsGone(t *testing.T) {
	is := is.New(t)
	f := &EffectRunner{wanted: make(chan struct{}, 1)}
	f.polls.Store(&PollTargets{})
	f.Run(PollTargets{known: []rail.Instance{entryNamed("a")}})
	is.Equal(f.whyUnknown("b"), rail.KindIssuerUnreachable)
	is.Equal(len(f.wanted), 1) // The list is read before its time.
	f.Run(PollTargets{})
	is.Equal(f.whyUnknown("a"), rail.KindIssuerGone)
}

func TestDepartedIsBounded(t *testing.T) {
	is := is.New(t)
	var d departed
	for i := range maxDeparted + 5 {
		d.compare([]rail.Instance{entryNamed(fmt.Sprint(i))}, nil)
	}
	is.Equal(len(d.set), maxDeparted)
	is.True(!d.has("0"))
	is.True(d.has(rail.Incarnation(fmt.Sprint(maxDeparted + 4))))
}
