package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
)

const (
	reclaimable = rail.ClassReclaimable
	onDemand    = rail.ClassOnDemand
)

func testPool(domain rail.Domain, class rail.Class, price float64, have int) Pool {
	return NewPool(domain, class, price).WithInstances(have)
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name     string
		required int
		pools    []Pool
		want     map[poolKey]int
	}{
		{
			"spreads instances so that any domain may be lost", 6,
			[]Pool{testPool("a", reclaimable, 0.4, 0), testPool("b", reclaimable, 0.4, 0), testPool("c", reclaimable, 0.4, 0), testPool("d", reclaimable, 0.4, 0)},
			map[poolKey]int{{"a", reclaimable}: 2, {"b", reclaimable}: 2, {"c", reclaimable}: 2, {"d", reclaimable}: 2},
		},
		{
			"uses two low-cost domains when the others are expensive", 2,
			[]Pool{testPool("a", reclaimable, 0.1, 0), testPool("b", reclaimable, 0.1, 0), testPool("c", reclaimable, 5, 0), testPool("d", reclaimable, 5, 0)},
			map[poolKey]int{{"a", reclaimable}: 2, {"b", reclaimable}: 2},
		},
		{
			"replaces a refused offer by the more expensive class", 2,
			[]Pool{testPool("a", reclaimable, 0.4, 0).WithRefused(), testPool("a", onDemand, 1, 0), testPool("b", reclaimable, 0.4, 0)},
			map[poolKey]int{{"a", onDemand}: 2, {"b", reclaimable}: 2},
		},
		{
			"adds the cost of frequent reclaims to the price", 1,
			[]Pool{testPool("a", reclaimable, 0.9, 0).WithReclaimRate(10), testPool("a", onDemand, 1, 0), testPool("b", onDemand, 1, 0)},
			map[poolKey]int{{"a", onDemand}: 1, {"b", onDemand}: 1},
		},
		{
			"keeps warm instances", 2,
			[]Pool{testPool("a", reclaimable, 0.4, 1), testPool("b", reclaimable, 0.4, 1), testPool("c", reclaimable, 0.4, 1), testPool("d", reclaimable, 0.35, 0)},
			map[poolKey]int{},
		},
		{
			"releases surplus instances", 2,
			[]Pool{testPool("a", reclaimable, 0.4, 4), testPool("b", reclaimable, 0.4, 2)},
			map[poolKey]int{{"a", reclaimable}: -2},
		},
		{
			"has only one domain", 3,
			[]Pool{testPool("a", reclaimable, 0.4, 1)},
			map[poolKey]int{{"a", reclaimable}: 2},
		},
		{"has no offers", 3, nil, map[poolKey]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := map[poolKey]int{}
			for _, c := range Plan(tt.required, tt.pools, 6*time.Minute) {
				got[poolKey{c.Pool().Domain(), c.Pool().Class()}] = c.Count()
			}
			is.Equal(got, tt.want)
		})
	}
}

// For any prices and existing instances, the required number remains after the loss of any domain.
func TestPlanSurvivesLossOfAnyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		required := rapid.IntRange(1, 300).Draw(t, "required")
		names := []rail.Domain{"a", "b", "c", "d", "e", "f", "g", "h"}[:rapid.IntRange(2, 8).Draw(t, "domains")]
		var pools []Pool
		for _, d := range names {
			for _, c := range []rail.Class{reclaimable, onDemand} {
				p := testPool(d, c, rapid.Float64Range(0.1, 3).Draw(t, "price"), rapid.IntRange(0, required).Draw(t, "instances"))
				if c == reclaimable && rapid.Bool().Draw(t, "refused") {
					p = p.WithRefused()
				}
				pools = append(pools, p)
			}
		}
		remaining := map[rail.Domain]int{}
		total := 0
		for _, p := range pools {
			remaining[p.domain] += p.instances
			total += p.instances
		}
		for _, c := range Plan(required, pools, time.Minute) {
			remaining[c.pool.domain] += c.count
			total += c.count
			is.True(c.count < 0 || !c.pool.refused)
		}
		for _, n := range remaining {
			is.True(total-n >= required)
		}
	})
}
