package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func countsByDomain(desired []DesiredCapacity) (spot, onDemand map[string]int) {
	spot, onDemand = map[string]int{}, map[string]int{}
	for _, c := range desired {
		if c.Spot() {
			spot[c.Domain()] = c.Count()
		} else {
			onDemand[c.Domain()] = c.Count()
		}
	}
	return spot, onDemand
}

func TestLossOfOneDomainLeavesRequiredCapacity(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 12)
	spot, onDemand := countsByDomain(p.DesiredCapacity([]Domain{NewDomain("a", 1, 4, 0), NewDomain("b", 1, 4, 0), NewDomain("c", 1, 4, 0), NewDomain("d", 1, 4, 0)}, false))
	for _, d := range []string{"a", "b", "c", "d"} {
		is.Equal(spot[d], 4)
		is.Equal(onDemand[d], 0)
	}
}

func TestExistingUpstreamsStayUntilReplaced(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 9)
	_, onDemand := countsByDomain(p.DesiredCapacity([]Domain{NewDomain("a", 1, 0, 3), NewDomain("b", 1, 1, 3), NewDomain("c", 1, 3, 2), NewDomain("d", 1, 3, 0)}, false))
	is.Equal(onDemand, map[string]int{"a": 3, "b": 2, "c": 0, "d": 0})
}

func TestReclaimableUpstreamsUnavailable(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 12)
	all := []Domain{NewDomain("a", 1.25, 4, 0), NewDomain("b", 0.8, 4, 0), NewDomain("c", 0.9, 4, 0), NewDomain("d", 1, 4, 0)}
	p.DesiredCapacity(all, false)
	all[0] = NewDomain("a", 1.25, 0, 0)
	spot, onDemand := countsByDomain(p.DesiredCapacity(all, true))
	is.Equal(spot["a"], 4) // Still ordered, so that they return as soon as the cloud has any.
	is.Equal(spot["b"], 4)
	is.Equal(onDemand, map[string]int{"a": 0, "b": 0, "c": 0, "d": 0})
	all[3] = NewDomain("d", 1, 0, 0)
	_, onDemand = countsByDomain(p.DesiredCapacity(all, true))
	is.Equal(onDemand, map[string]int{"a": 0, "b": 3, "c": 1, "d": 0}) // Cheapest first, with room for reclaimable ones.
	all[1] = NewDomain("b", 0.8, 4, 2)
	_, onDemand = countsByDomain(p.DesiredCapacity(all, true))
	is.Equal(onDemand["b"], 3)
}

func TestOrdersStayWithinTheBounds(t *testing.T) {
	for required := range 60 {
		for running := range 14 {
			p := NewPlan(1, 10, required)
			domains := []Domain{NewDomain("a", 1, running, running), NewDomain("b", 2, 0, running)}
			for _, spotUnavailable := range []bool{false, true} {
				spot, onDemand := countsByDomain(p.DesiredCapacity(domains, spotUnavailable))
				for _, d := range domains {
					if spot[d.name] < 0 || spot[d.name] > 10 || onDemand[d.name] < 0 || onDemand[d.name] > 10 {
						t.Fatalf("required %d, running %d: %v %v", required, running, spot, onDemand)
					}
				}
			}
		}
	}
}

func TestDemandGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 4)
	now := time.Unix(0, 0)
	p.UpdateDemand(10*upstreamTokensPerSecond, now)
	is.Equal(p.required, 10)
	p.UpdateDemand(upstreamTokensPerSecond, now.Add(time.Second))
	is.Equal(p.required, 10)
	p.UpdateDemand(upstreamTokensPerSecond, now.Add(shrinkDelay))
	is.Equal(p.required, 9)
}
