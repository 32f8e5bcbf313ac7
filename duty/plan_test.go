package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func counts(wanted []DesiredCapacity) (spot, onDemand map[string]int) {
	spot, onDemand = map[string]int{}, map[string]int{}
	for _, w := range wanted {
		if w.Spot() {
			spot[w.Domain()] = w.Count()
		} else {
			onDemand[w.Domain()] = w.Count()
		}
	}
	return spot, onDemand
}

func TestLossOfOneDomainLeavesWhatIsNeeded(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 12)
	spot, onDemand := counts(p.DesiredCapacity([]Domain{NewDomain("a", 1, 4, 0), NewDomain("b", 1, 4, 0), NewDomain("c", 1, 4, 0), NewDomain("d", 1, 4, 0)}, false))
	for _, d := range []string{"a", "b", "c", "d"} {
		is.Equal(spot[d], 4)
		is.Equal(onDemand[d], 0)
	}
}

func TestFoundUpstreamsStayUntilTheirSuccessorsServe(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 9)
	_, onDemand := counts(p.DesiredCapacity([]Domain{NewDomain("a", 1, 0, 3), NewDomain("b", 1, 1, 3), NewDomain("c", 1, 3, 2), NewDomain("d", 1, 3, 0)}, false))
	is.Equal(onDemand, map[string]int{"a": 3, "b": 2, "c": 0, "d": 0})
}

func TestDryMarket(t *testing.T) {
	is := is.New(t)
	p := NewPlan(1, 10, 12)
	all := []Domain{NewDomain("a", 1.25, 4, 0), NewDomain("b", 0.8, 4, 0), NewDomain("c", 0.9, 4, 0), NewDomain("d", 1, 4, 0)}
	p.DesiredCapacity(all, false)
	all[0] = NewDomain("a", 1.25, 0, 0)
	spot, onDemand := counts(p.DesiredCapacity(all, true))
	is.Equal(spot["a"], 4) // Wanted again as soon as there are any.
	is.Equal(spot["b"], 4)
	is.Equal(onDemand, map[string]int{"a": 0, "b": 0, "c": 0, "d": 0})
	all[3] = NewDomain("d", 1, 0, 0)
	_, onDemand = counts(p.DesiredCapacity(all, true))
	is.Equal(onDemand, map[string]int{"a": 0, "b": 3, "c": 1, "d": 0}) // Cheapest first, with room for reclaimable ones.
	all[1] = NewDomain("b", 0.8, 4, 2)
	_, onDemand = counts(p.DesiredCapacity(all, true))
	is.Equal(onDemand["b"], 3)
}

func TestOrdersStayWithinTheBounds(t *testing.T) {
	for need := range 60 {
		for present := range 14 {
			p := NewPlan(1, 10, need)
			domains := []Domain{NewDomain("a", 1, present, present), NewDomain("b", 2, 0, present)}
			for _, dry := range []bool{false, true} {
				spot, onDemand := counts(p.DesiredCapacity(domains, dry))
				for _, d := range domains {
					if spot[d.name] < 0 || spot[d.name] > 10 || onDemand[d.name] < 0 || onDemand[d.name] > 10 {
						t.Fatalf("need %d, present %d: %v %v", need, present, spot, onDemand)
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
	p.UpdateDemand(10*tokensPerUpstream, now)
	is.Equal(p.need, 10)
	p.UpdateDemand(tokensPerUpstream, now.Add(time.Second))
	is.Equal(p.need, 10)
	p.UpdateDemand(tokensPerUpstream, now.Add(shrinkTime))
	is.Equal(p.need, 9)
}
