package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dandelionrail.org/rail"
)

const (
	cheap = rail.ClassReclaimable
	sure  = rail.ClassOnDemand
)

func option(domain rail.Domain, class rail.Class, price float64, have int) Pool {
	return NewPool(domain, class, price).WithInstances(have)
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		need    int
		options []Pool
		want    map[place]int
	}{
		{
			"spreads so that any domain may go", 6,
			[]Pool{option("a", cheap, 0.4, 0), option("b", cheap, 0.4, 0), option("c", cheap, 0.4, 0), option("d", cheap, 0.4, 0)},
			map[place]int{{"a", cheap}: 2, {"b", cheap}: 2, {"c", cheap}: 2, {"d", cheap}: 2},
		},
		{
			"two cheap domains beat four when the others are dear", 2,
			[]Pool{option("a", cheap, 0.1, 0), option("b", cheap, 0.1, 0), option("c", cheap, 5, 0), option("d", cheap, 5, 0)},
			map[place]int{{"a", cheap}: 2, {"b", cheap}: 2},
		},
		{
			"a refused offer is replaced by the dearer class", 2,
			[]Pool{option("a", cheap, 0.4, 0).WithRefused(), option("a", sure, 1, 0), option("b", cheap, 0.4, 0)},
			map[place]int{{"a", sure}: 2, {"b", cheap}: 2},
		},
		{
			"often reclaimed costs more than on demand", 1,
			[]Pool{option("a", cheap, 0.9, 0).WithReclaimRate(10), option("a", sure, 1, 0), option("b", sure, 1, 0)},
			map[place]int{{"a", sure}: 1, {"b", sure}: 1},
		},
		{
			"keeps what is warm", 2,
			[]Pool{option("a", cheap, 0.4, 1), option("b", cheap, 0.4, 1), option("c", cheap, 0.4, 1), option("d", cheap, 0.35, 0)},
			map[place]int{},
		},
		{
			"releases what is too much", 2,
			[]Pool{option("a", cheap, 0.4, 4), option("b", cheap, 0.4, 2)},
			map[place]int{{"a", cheap}: -2},
		},
		{
			"one domain only", 3,
			[]Pool{option("a", cheap, 0.4, 1)},
			map[place]int{{"a", cheap}: 2},
		},
		{"nothing to be had", 3, nil, map[place]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := map[place]int{}
			for _, c := range Plan(tt.need, tt.options, 6*time.Minute) {
				got[place{c.Pool().Domain(), c.Pool().Class()}] = c.Count()
			}
			is.Equal(got, tt.want)
		})
	}
}

// Whatever the prices and what is there, the need is kept when any domain goes.
func TestPlanKeepsTheNeedWithoutAnyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		need := rapid.IntRange(1, 300).Draw(t, "need")
		names := []rail.Domain{"a", "b", "c", "d", "e", "f", "g", "h"}[:rapid.IntRange(2, 8).Draw(t, "domains")]
		var options []Pool
		for _, d := range names {
			for _, c := range []rail.Class{cheap, sure} {
				o := option(d, c, rapid.Float64Range(0.1, 3).Draw(t, "price"), rapid.IntRange(0, need).Draw(t, "have"))
				if c == cheap && rapid.Bool().Draw(t, "refused") {
					o = o.WithRefused()
				}
				options = append(options, o)
			}
		}
		left := map[rail.Domain]int{}
		total := 0
		for _, o := range options {
			left[o.domain] += o.have
			total += o.have
		}
		for _, c := range Plan(need, options, time.Minute) {
			left[c.option.domain] += c.count
			total += c.count
			is.True(c.count < 0 || !c.option.refused)
		}
		for _, n := range left {
			is.True(total-n >= need)
		}
	})
}
