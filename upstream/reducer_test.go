package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

func reduce(reducer *Reducer, at time.Duration, events ...rail.Event) {
	for _, e := range events {
		reducer.Reduce(rail.NewInput(e, epoch.Add(at), 0))
	}
}

func report(id rail.InstanceID, running, waiting int, asOf time.Duration) rail.Event {
	return rail.NewLoadRead(rail.NewLoad(id, running, waiting, 8, epoch.Add(asOf)))
}

func criteriaFor(id, text string) rail.Criteria {
	return rail.NewCriteria(rail.NewRequest(rail.RequestID(id), "shop", "drafting", epoch).WithPrompt(text, 10), route, "v1", "d0")
}

func TestChoose(t *testing.T) {
	text := prompt(1, 320)
	held := func(id rail.InstanceID, held bool) rail.Event {
		hashes := PrefixHashes(text, 20)
		return NewCacheRead([]rail.CacheEvent{rail.NewCacheEvent(id, 1, hashes[len(hashes)-1], held)})
	}
	idle := []rail.Event{report("m0000", 0, 0, 0), report("m0001", 0, 0, 0), report("m0002", 0, 0, 0)}
	tests := []struct {
		name    string
		events  []rail.Event
		exclude []rail.InstanceID
		want    rail.InstanceID
	}{
		{"holds the prefix", []rail.Event{held("m0002", true)}, nil, "m0002"},
		{"holds it but has a long queue", []rail.Event{held("m0002", true), report("m0002", 8, 30, time.Second), report("m0000", 8, 30, time.Second)}, nil, "m0001"},
		{"holds it but failed this request", []rail.Event{held("m0002", true), report("m0001", 8, 30, time.Second)}, []rail.InstanceID{"m0002"}, "m0000"},
		{"has evicted it", []rail.Event{held("m0002", true), held("m0002", false), held("m0001", true)}, nil, "m0001"},
		{"all but one excluded", nil, []rail.InstanceID{"m0000", "m0001"}, "m0002"},
		{"all excluded", nil, []rail.InstanceID{"m0000", "m0001", "m0002"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			reducer := New(Defaults().WithSamples(maxSamples), "d0")
			reduce(reducer, 0, idle...)
			reduce(reducer, time.Second, tt.events...)
			chosen, ok := reducer.Choose(criteriaFor("r1", text).Excluding(tt.exclude...), instances(3), 7)
			is.Equal(chosen.ID(), tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

// A load report taken before an attempt was dispatched must not hide the attempt.
func TestOwnAttemptsSinceTheReport(t *testing.T) {
	is := is.New(t)
	reducer := New(Defaults(), "d0")
	a, b := criteriaFor("a", "x").Request(), criteriaFor("b", "x").Request()
	reduce(reducer, 0, report("m0", 0, 0, 0), NewSent(a, "m0"))
	reduce(reducer, 2*time.Second, NewSent(b, "m0"))
	is.Equal(reducer.pending("m0"), 2)
	reduce(reducer, 3*time.Second, report("m0", 1, 0, time.Second)) // includes a but not b
	is.Equal(reducer.pending("m0"), 2)
	reduce(reducer, 4*time.Second, NewEnded(a, "m0"), NewEnded(a, "m0"))
	is.Equal(reducer.pending("m0"), 1)
	reduce(reducer, 5*time.Second, report("m0", 9, 0, 0)) // older than the last report
	is.Equal(reducer.pending("m0"), 1)
}

func TestEntriesAgreeWithoutCommunicating(t *testing.T) {
	is := is.New(t)
	all, agreed := instances(20), 0
	for i := range 200 {
		criteria := criteriaFor(fmt.Sprint(i), prompt(i, 200))
		a, _ := New(Defaults(), "d0").Choose(criteria, all, uint64(i))
		b, _ := New(Defaults(), "d0").Choose(criteria, all, uint64(i)+1e6)
		if a.ID() == b.ID() {
			agreed++
		}
	}
	is.Equal(agreed, 200)
}

func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	reducer := New(Defaults().WithMaxPrefixes(100), "d0")
	all := instances(4)
	for i := range 3000 {
		criteria := criteriaFor(fmt.Sprint(i), prompt(i, 200))
		chosen, _ := reducer.Choose(criteria, all, uint64(i))
		reduce(reducer, time.Duration(i)*time.Millisecond, NewSent(criteria.Request(), chosen.ID()), NewEnded(criteria.Request(), chosen.ID()))
	}
	is.Equal(len(reducer.prefixes.byPrefix), 100)
	is.Equal(len(reducer.inFlight), 0)
	is.True(len(reducer.loads["m0000"].deltas) <= maxDeltas)
	is.Equal(reducer.pending("m0000"), 0)
	reduce(reducer, time.Hour, rail.NewListRead(all[:1]))
	is.Equal(len(reducer.loads), 1)
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(Defaults().Validate())
	for _, s := range []Settings{Defaults().WithPrefillRate(0), Defaults().WithReplicas(99), Defaults().WithSamples(0), Defaults().WithMaxPrefixes(0)} {
		is.Equal(rail.KindOf(s.Validate()), rail.KindBadSettings)
	}
}

// Every chooser skips excluded upstreams and returns false if none is left.
func TestBaselinesExclude(t *testing.T) {
	reducer := New(Defaults(), "d0")
	choosers := map[string]rail.Chooser{
		"random": Random{}, "round robin": &RoundRobin{}, "two choices": NewTwoChoices(reducer),
		"consistent hash": NewConsistentHash(8), "bounded hash": NewBoundedLoadHash(8, reducer), "tiered": NewTiered(8, reducer), "expected cost": reducer,
	}
	all := instances(3)
	for name, c := range choosers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range uint64(50) {
				chosen, ok := c.Choose(criteriaFor("r", "x").Excluding("m0000", "m0002"), all, mix(i, 1))
				is.True(ok)
				is.Equal(chosen.ID(), rail.InstanceID("m0001"))
			}
			_, ok := c.Choose(criteriaFor("r", "x").Excluding("m0000", "m0001", "m0002"), all, 5)
			is.True(!ok)
			_, ok = c.Choose(criteriaFor("r", "x"), nil, 5)
			is.True(!ok)
		})
	}
}

func TestServiceCallsAreSpread(t *testing.T) {
	is := is.New(t)
	reducer := New(Defaults(), "breno")
	var services []rail.Instance
	for _, id := range []rail.InstanceID{"s1", "s2", "s3"} {
		services = append(services, rail.NewInstance(id, "breno", rail.RoleService, "").WithServing("stock", "v1"))
	}
	route := rail.NewRoute("stock", rail.RouteService, "stock", true, "v1")
	calls := map[rail.InstanceID]int{}
	for i := range 300 {
		r := rail.NewRequest(rail.RequestID(fmt.Sprint(i)), "shop", "stock", time.Unix(0, 0))
		chosen, ok := reducer.Choose(rail.NewCriteria(r, route, "v1", "breno"), services, uint64(i)*0x9e3779b97f4a7c15)
		is.True(ok)
		calls[chosen.ID()]++
	}
	for _, s := range services {
		is.True(calls[s.ID()] > 50)
	}
}
