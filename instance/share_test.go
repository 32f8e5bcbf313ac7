package instance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
)

// published returns the facts that the effects publish, as another entry receives them.
func published(es []rail.Effect) []rail.Fact {
	var fs []rail.Fact
	for _, e := range es {
		if p, ok := e.(rail.Publish); ok {
			fs = append(fs, rail.NewFact(rail.NewFactKey(p.Kind(), p.Subject(), "a"), 1, p.Value()))
		}
	}
	return fs
}

func TestListedInstanceIsSharedWithPeers(t *testing.T) {
	is := is.New(t)
	reduceAtStart := func(r *instance.Reducer, e rail.Event) []rail.Effect {
		return r.Reduce(rail.NewInput(e, time.Unix(0, 0), 1))
	}
	engine := func(id rail.InstanceID, n rail.Incarnation) rail.Instance {
		return rail.NewInstance(id, "breno", rail.RoleEngine, "127.0.0.1:7").WithIncarnation(n).
			WithServing("tin-writer", "v1").WithClass(rail.ClassReclaimable).WithFencing(true)
	}
	a := instance.New(rail.NewInstance("a", "breno", rail.RoleEntry, ""))
	b := instance.New(rail.NewInstance("b", "breno", rail.RoleEntry, ""))
	old := []rail.Instance{engine("m1", "1")}
	is.Equal(len(published(reduceAtStart(a, rail.NewListRead(old)))), 0) // Instances of the first list are not published.
	reduceAtStart(b, rail.NewListRead(old))

	news := published(reduceAtStart(a, rail.NewListRead(append(old, engine("m2", "1")))))
	is.Equal(len(news), 1)
	reduceAtStart(b, rail.NewFactsLearned(news))
	known, ok := b.Instance("m2")
	is.True(ok)
	is.Equal(known, engine("m2", "1"))
	is.Equal(len(b.Upstreams("tin-writer", "v1")), 2)

	// A late fact about an earlier incarnation does not replace the one that the list showed.
	reduceAtStart(b, rail.NewListRead([]rail.Instance{engine("m1", "1"), engine("m2", "2")}))
	reduceAtStart(b, rail.NewFactsLearned(news))
	known, _ = b.Instance("m2")
	is.Equal(known.Incarnation(), rail.Incarnation("2"))
}
