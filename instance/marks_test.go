package instance

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

// Marks of instances that no list ever named must not stay for good.
func TestMarksOfInstancesThatWereNeverListed(t *testing.T) {
	is := is.New(t)
	r := New(rail.NewInstance("e1", "breno", rail.RoleEntry, "127.0.0.1:1").WithIncarnation("e1-a"))
	now := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	reduce := func(e rail.Event) { r.Reduce(rail.NewInput(e, now, 7)) }
	for i := range 100 {
		key := rail.NewFactKey(rail.FactLeaving, "m"+strconv.Itoa(i), "e2-a")
		reduce(rail.NewFactsLearned([]rail.Fact{rail.NewFact(key, 1, "x")}))
	}
	is.Equal(len(r.leaving), 100)
	reduce(rail.NewListRead(nil))
	now = now.Add(markRetention - time.Second)
	reduce(rail.NewListRead(nil))
	is.Equal(len(r.leaving), 100) // A lagging list may still name them.
	now = now.Add(2 * time.Second)
	reduce(rail.NewListRead(nil))
	is.Equal(len(r.leaving), 0)
}
